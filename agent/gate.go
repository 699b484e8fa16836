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
	// VerdictRefuse means that this attempt at the task never starts here.
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
	// attempt is the last attempt that was offered or fenced.
	attempt uint32
	// ended is the tick at which the task was done or fenced.
	ended uint64
}

// endedTask is a tombstone in the order of its making.
type endedTask struct {
	id   contract.TaskID
	tick uint64
}

// Gate decides which tasks start beside one upstream. It is pure, and not safe
// for concurrent use.
//
// Invariant: a task goes to running at most once in the gate's life, which is
// one incarnation, and no attempt of it does after it was fenced. The gate
// forgets a task only in Sweep.
type Gate struct {
	self     contract.Incarnation
	capacity contract.Capacity
	inUse    contract.Demand // of the tasks that run
	draining bool
	jobs     map[contract.JobID]map[uint32]*gateTask
	queue    []*contract.Start
	tick     uint64
	ended    []endedTask
}

// NewGate returns the gate of one incarnation.
func NewGate(self contract.Incarnation, c contract.Capacity) *Gate {
	return &Gate{self: self, capacity: c, jobs: make(map[contract.JobID]map[uint32]*gateTask)}
}

func (g *Gate) task(id contract.TaskID) *gateTask { return g.jobs[id.Job][id.Index] }

func (g *Gate) put(id contract.TaskID, t *gateTask) *gateTask {
	tasks := g.jobs[id.Job]
	if tasks == nil {
		tasks = make(map[uint32]*gateTask)
		g.jobs[id.Job] = tasks
	}
	tasks[id.Index] = t
	return t
}

func (g *Gate) end(id contract.TaskID, t *gateTask, s gateState) {
	t.state = s
	t.start = nil
	t.ended = g.tick
	g.ended = append(g.ended, endedTask{id: id, tick: g.tick})
}

// Offer takes a start. The reason goes with VerdictRefuse. It is the
// specification's Offer.
func (g *Gate) Offer(s *contract.Start) (Verdict, string) {
	t, verdict, reason := g.open(s)
	if t == nil {
		return verdict, reason
	}
	if g.draining {
		g.end(s.Task, t, gateFenced)
		return VerdictRefuse, "the worker is draining"
	}
	if !g.capacity.Fits(s.Demand) {
		g.end(s.Task, t, gateFenced)
		return VerdictRefuse, "the task does not fit the worker"
	}
	t.state = gateWaiting
	t.start = s
	if len(g.queue) == 0 && g.fits(s) {
		g.run(s)
		return VerdictRun, ""
	}
	g.queue = append(g.queue, s)
	return VerdictWait, ""
}

// Refuse fences a start for a reason of the agent's own, unless the task was
// offered before.
func (g *Gate) Refuse(s *contract.Start, reason string) (Verdict, string) {
	t, verdict, known := g.open(s)
	if t == nil {
		return verdict, known
	}
	g.end(s.Task, t, gateFenced)
	return VerdictRefuse, reason
}

// open returns the task of a start that is new here. For any other start the
// task is nil, and the verdict stands.
func (g *Gate) open(s *contract.Start) (*gateTask, Verdict, string) {
	if s.To != g.self {
		return nil, VerdictRefuse, "the start is addressed to another incarnation"
	}
	t := g.task(s.Task)
	switch {
	case t == nil:
		t = g.put(s.Task, &gateTask{})
	case t.state != gateFenced:
		return nil, VerdictKnown, ""
	case s.Attempt <= t.attempt:
		return nil, VerdictRefuse, "the task is fenced"
	}
	t.attempt = s.Attempt
	return t, 0, ""
}

func (g *Gate) fits(s *contract.Start) bool {
	return g.capacity.Fits(g.with(s, 1))
}

// with returns what is in use with the start's demand added, or taken off for
// a sign of -1.
func (g *Gate) with(s *contract.Start, sign int) contract.Demand {
	d := s.Demand.Normalized()
	return contract.Demand{
		Slots:        g.inUse.Slots + sign*d.Slots,
		MilliCPU:     g.inUse.MilliCPU + sign*d.MilliCPU,
		MemoryMB:     g.inUse.MemoryMB + sign*d.MemoryMB,
		Accelerators: g.inUse.Accelerators + sign*d.Accelerators,
	}
}

func (g *Gate) run(s *contract.Start) {
	g.inUse = g.with(s, 1)
	g.task(s.Task).state = gateRunning
}

// Finish records that a running task ended, and returns the starts that now
// run. A task whose upstream was never reached has not run: a later attempt at
// it may.
func (g *Gate) Finish(id contract.TaskID, reached bool) []*contract.Start {
	t := g.task(id)
	if t == nil || t.state != gateRunning {
		return nil
	}
	g.inUse = g.with(t.start, -1)
	if reached {
		g.end(id, t, gateDone)
	} else {
		g.end(id, t, gateFenced)
	}
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

// Fence makes no attempt at the task up to the given one start, unless the
// task has started, and reports which. It is the specification's Fence.
func (g *Gate) Fence(id contract.TaskID, attempt uint32) contract.TaskState {
	t := g.task(id)
	if t == nil {
		t = g.put(id, &gateTask{attempt: attempt})
		g.end(id, t, gateFenced)
		return contract.TaskFenced
	}
	switch t.state {
	case gateRunning:
		return contract.TaskRunning
	case gateDone:
		return contract.TaskDone
	case gateWaiting:
		g.unqueue(id)
		g.end(id, t, gateFenced)
	}
	t.attempt = max(t.attempt, attempt)
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

// Open returns the job's tasks that wait and those that run.
func (g *Gate) Open(job contract.JobID) (waiting, running []contract.TaskID) {
	for i, t := range g.jobs[job] {
		id := contract.TaskID{Job: job, Index: i}
		switch t.state {
		case gateWaiting:
			waiting = append(waiting, id)
		case gateRunning:
			running = append(running, id)
		}
	}
	return waiting, running
}

// Waiting returns the tasks that wait for slots, in order.
func (g *Gate) Waiting() []contract.TaskID {
	out := make([]contract.TaskID, len(g.queue))
	for i, s := range g.queue {
		out[i] = s.Task
	}
	return out
}

// Attempt returns the last attempt at the task that was offered or fenced.
func (g *Gate) Attempt(id contract.TaskID) uint32 {
	if t := g.task(id); t != nil {
		return t.attempt
	}
	return 0
}

// Sweep lets one tick of the gate's time pass, and forgets the tasks that
// ended more than keep ticks ago. A tick must only pass while the process
// reads its links: then a start that was sent before the task ended has long
// been read, or its link has closed.
func (g *Gate) Sweep(keep uint64) {
	g.tick++
	n := 0
	for n < len(g.ended) && g.ended[n].tick+keep < g.tick {
		g.forget(g.ended[n])
		n++
	}
	g.ended = g.ended[n:]
}

// forget drops a tombstone, unless the task has been taken up again since.
func (g *Gate) forget(e endedTask) {
	t := g.task(e.id)
	if t == nil || t.ended != e.tick || t.state == gateWaiting || t.state == gateRunning {
		return
	}
	delete(g.jobs[e.id.Job], e.id.Index)
	if len(g.jobs[e.id.Job]) == 0 {
		delete(g.jobs, e.id.Job)
	}
}

// Drain refuses starts from now on.
func (g *Gate) Drain() { g.draining = true }

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.draining }

// Idle reports whether nothing runs or waits.
func (g *Gate) Idle() bool { return g.inUse.Slots == 0 && len(g.queue) == 0 }
