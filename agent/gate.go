package agent

import (
	"github.com/carawaylanding/carawaylanding/contract"
)

// Verdict is the gate's answer to a start.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun means start now.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that the start waits for slots.
	VerdictWait
	// VerdictKnown means that the task was offered before; nothing is started.
	VerdictKnown
	// VerdictRefuse means that the task does not start here, ever.
	VerdictRefuse
)

type gateState uint8

const (
	gateWaiting gateState = iota + 1
	gateRunning
	gateDone
	gateFenced
)

type gateTask struct {
	state gateState
	start *contract.Start
}

// Gate decides which tasks start beside one upstream. It is pure, and not safe
// for concurrent use.
//
// Invariant: a task goes to running at most once in the gate's life, which is
// one incarnation, and never after it was fenced.
type Gate struct {
	self     contract.Incarnation
	capacity contract.Capacity
	used     int
	draining bool
	tasks    map[contract.TaskID]*gateTask
	queue    []*contract.Start
}

// NewGate returns the gate of one incarnation.
func NewGate(self contract.Incarnation, c contract.Capacity) *Gate {
	return &Gate{self: self, capacity: c, tasks: make(map[contract.TaskID]*gateTask)}
}

// Offer takes a start. The reason goes with VerdictRefuse.
func (g *Gate) Offer(s *contract.Start) (Verdict, string) {
	if s.To != g.self {
		return VerdictRefuse, "the start is addressed to another incarnation"
	}
	if t, ok := g.tasks[s.Task]; ok {
		if t.state == gateFenced {
			return VerdictRefuse, "the task is fenced"
		}
		return VerdictKnown, ""
	}
	if g.draining {
		g.tasks[s.Task] = &gateTask{state: gateFenced}
		return VerdictRefuse, "the worker is draining"
	}
	if !g.capacity.Fits(s.Demand) {
		g.tasks[s.Task] = &gateTask{state: gateFenced}
		return VerdictRefuse, "the task does not fit the worker"
	}
	g.tasks[s.Task] = &gateTask{state: gateWaiting, start: s}
	g.queue = append(g.queue, s)
	if len(g.queue) == 1 && g.fits(s) {
		g.queue = nil
		g.run(s)
		return VerdictRun, ""
	}
	return VerdictWait, ""
}

func (g *Gate) fits(s *contract.Start) bool {
	return g.used+s.Demand.Normalized().Slots <= g.capacity.Slots
}

func (g *Gate) run(s *contract.Start) {
	g.used += s.Demand.Normalized().Slots
	g.tasks[s.Task].state = gateRunning
}

// Finish records that a running task ended, and returns the starts that now
// run.
func (g *Gate) Finish(id contract.TaskID) []*contract.Start {
	t, ok := g.tasks[id]
	if !ok || t.state != gateRunning {
		return nil
	}
	t.state = gateDone
	g.used -= t.start.Demand.Normalized().Slots
	t.start = nil
	return g.admit()
}

func (g *Gate) admit() []*contract.Start {
	var out []*contract.Start
	for len(g.queue) > 0 && g.fits(g.queue[0]) {
		s := g.queue[0]
		g.queue = g.queue[1:]
		g.run(s)
		out = append(out, s)
	}
	return out
}

// Fence makes the tasks never start unless they have, and reports each.
func (g *Gate) Fence(ids []contract.TaskID) []contract.TaskReport {
	out := make([]contract.TaskReport, 0, len(ids))
	for _, id := range ids {
		out = append(out, contract.TaskReport{Task: id, State: g.fence(id)})
	}
	return out
}

func (g *Gate) fence(id contract.TaskID) contract.TaskState {
	t, ok := g.tasks[id]
	if !ok {
		g.tasks[id] = &gateTask{state: gateFenced}
		return contract.TaskFenced
	}
	switch t.state {
	case gateRunning:
		return contract.TaskRunning
	case gateDone:
		return contract.TaskDone
	case gateWaiting:
		g.unqueue(id)
		t.state = gateFenced
		t.start = nil
	}
	return contract.TaskFenced
}

func (g *Gate) unqueue(id contract.TaskID) {
	for i, s := range g.queue {
		if s.Task == id {
			g.queue = append(g.queue[:i:i], g.queue[i+1:]...)
			return
		}
	}
}

// FenceJob fences the job's unstarted tasks and returns them, with those that
// run.
func (g *Gate) FenceJob(job contract.JobID) (fenced, running []contract.TaskID) {
	for id, t := range g.tasks {
		if id.Job != job {
			continue
		}
		switch t.state {
		case gateWaiting:
			g.fence(id)
			fenced = append(fenced, id)
		case gateRunning:
			running = append(running, id)
		}
	}
	return fenced, running
}

// Drain refuses starts from now on.
func (g *Gate) Drain() { g.draining = true }

// Idle reports whether nothing runs or waits.
func (g *Gate) Idle() bool { return g.used == 0 && len(g.queue) == 0 }
