package agent

import (
	"github.com/carawaylanding/carawaylanding/contract"
)

// Verdict is the gate's decision on a start.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun means that the task is to be started now.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that the start waits for slots.
	VerdictWait
	// VerdictDuplicate means that the task was offered before; nothing is started.
	VerdictDuplicate
	// VerdictRefuse means that this attempt at the task never starts here.
	VerdictRefuse
)

// gateState is the state of a task at the gate.
type gateState uint8

const (
	gateWaiting gateState = iota + 1
	gateRunning
	gateDone
	gateFenced
)

// gateTask is the gate's record of a task.
type gateTask struct {
	state gateState
	start *contract.Start
	// attempt is the highest attempt that was offered or fenced.
	attempt uint32
	// endedTick is the tick at which the task became done or fenced.
	endedTick uint64
}

// tombstone marks a task that became done or fenced at the tick.
type tombstone struct {
	id   contract.TaskID
	tick uint64
}

// Gate decides which tasks start on one upstream. It does no I/O and reads no
// clock. It is not safe for concurrent use.
//
// Invariant: in the gate's lifetime, which is one incarnation, a task enters the
// running state at most once, not counting attempts that did not reach the
// upstream. A fenced attempt never enters it. The gate forgets a task only in
// Sweep.
type Gate struct {
	self       contract.Incarnation
	capacity   contract.Capacity
	inUse      contract.Demand // total demand of the running tasks
	draining   bool
	jobs       map[contract.JobID]map[uint32]*gateTask
	queue      []*contract.Start // waiting starts, oldest first
	tick       uint64            // count of Sweep calls
	tombstones []tombstone       // oldest first
}

// NewGate returns an empty gate for the incarnation and the upstream's capacity.
func NewGate(self contract.Incarnation, c contract.Capacity) *Gate {
	return &Gate{self: self, capacity: c, jobs: make(map[contract.JobID]map[uint32]*gateTask)}
}

func (g *Gate) task(id contract.TaskID) *gateTask { return g.jobs[id.Job][id.Index] }

// addTask adds the gate's record of a task, and returns it.
func (g *Gate) addTask(id contract.TaskID, t *gateTask) *gateTask {
	tasks := g.jobs[id.Job]
	if tasks == nil {
		tasks = make(map[uint32]*gateTask)
		g.jobs[id.Job] = tasks
	}
	tasks[id.Index] = t
	return t
}

// setEnded moves a task to an ended state and adds its tombstone.
func (g *Gate) setEnded(id contract.TaskID, t *gateTask, s gateState) {
	t.state = s
	t.start = nil
	t.endedTick = g.tick
	g.tombstones = append(g.tombstones, tombstone{id: id, tick: g.tick})
}

// Offer decides on a start. The reason is set only with VerdictRefuse. Offer
// implements the Offer step of the specification, spec/startgate.pml.
func (g *Gate) Offer(s *contract.Start) (Verdict, string) {
	t, verdict, reason := g.register(s)
	if t == nil {
		return verdict, reason
	}
	if g.draining {
		g.setEnded(s.Task, t, gateFenced)
		return VerdictRefuse, "the worker is draining"
	}
	if !g.capacity.Fits(s.Demand) {
		g.setEnded(s.Task, t, gateFenced)
		return VerdictRefuse, "the task does not fit the worker"
	}
	t.state = gateWaiting
	t.start = s
	if len(g.queue) == 0 && g.fits(s) {
		g.setRunning(s)
		return VerdictRun, ""
	}
	g.queue = append(g.queue, s)
	return VerdictWait, ""
}

// Refuse fences a start for a reason given by the agent, unless the task was
// offered before.
func (g *Gate) Refuse(s *contract.Start, reason string) (Verdict, string) {
	t, verdict, finalReason := g.register(s)
	if t == nil {
		return verdict, finalReason
	}
	g.setEnded(s.Task, t, gateFenced)
	return VerdictRefuse, reason
}

// register records the attempt of a start and returns its task, if the start is
// one of a new task or a later attempt at a fenced task. For any other start the
// returned task is nil, and the verdict and the reason are final.
func (g *Gate) register(s *contract.Start) (*gateTask, Verdict, string) {
	if s.To != g.self {
		return nil, VerdictRefuse, "the start is addressed to another incarnation"
	}
	t := g.task(s.Task)
	switch {
	case t == nil:
		t = g.addTask(s.Task, &gateTask{})
	case t.state != gateFenced:
		return nil, VerdictDuplicate, ""
	case s.Attempt <= t.attempt:
		return nil, VerdictRefuse, "the task is fenced"
	}
	t.attempt = s.Attempt
	return t, 0, ""
}

// fits reports whether the free capacity suffices for the start.
func (g *Gate) fits(s *contract.Start) bool {
	return g.capacity.Fits(g.inUseWith(s, 1))
}

// inUseWith returns the demand in use plus the start's demand times sign, which
// is 1 or -1.
func (g *Gate) inUseWith(s *contract.Start, sign int) contract.Demand {
	d := s.Demand.Normalized()
	return contract.Demand{
		Slots:        g.inUse.Slots + sign*d.Slots,
		MilliCPU:     g.inUse.MilliCPU + sign*d.MilliCPU,
		MemoryMB:     g.inUse.MemoryMB + sign*d.MemoryMB,
		Accelerators: g.inUse.Accelerators + sign*d.Accelerators,
	}
}

// setRunning moves the task of a start to the running state and reserves its
// demand.
func (g *Gate) setRunning(s *contract.Start) {
	g.inUse = g.inUseWith(s, 1)
	g.task(s.Task).state = gateRunning
}

// Finish records that a running task ended, and returns the waiting starts that
// are now to run. If the upstream was not reached, the task has not run, and a
// later attempt at it may run.
func (g *Gate) Finish(id contract.TaskID, reached bool) []*contract.Start {
	t := g.task(id)
	if t == nil || t.state != gateRunning {
		return nil
	}
	g.inUse = g.inUseWith(t.start, -1)
	if reached {
		g.setEnded(id, t, gateDone)
	} else {
		g.setEnded(id, t, gateFenced)
	}
	return g.admit()
}

// admit moves the oldest waiting starts that fit to running, and returns them.
func (g *Gate) admit() []*contract.Start {
	var out []*contract.Start
	for len(g.queue) > 0 && g.fits(g.queue[0]) {
		s := g.queue[0]
		g.queue = g.queue[1:]
		g.setRunning(s)
		out = append(out, s)
	}
	return out
}

// Fence prevents the start of every attempt at the task up to the given one, and
// returns TaskFenced. If the task has already started, it returns TaskRunning or
// TaskDone instead. Fence implements the Fence step of the specification,
// spec/startgate.pml.
func (g *Gate) Fence(id contract.TaskID, attempt uint32) contract.TaskState {
	t := g.task(id)
	if t == nil {
		t = g.addTask(id, &gateTask{attempt: attempt})
		g.setEnded(id, t, gateFenced)
		return contract.TaskFenced
	}
	switch t.state {
	case gateRunning:
		return contract.TaskRunning
	case gateDone:
		return contract.TaskDone
	case gateWaiting:
		g.unqueue(id)
		g.setEnded(id, t, gateFenced)
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

// Unfinished returns the job's waiting tasks and its running tasks.
func (g *Gate) Unfinished(job contract.JobID) (waiting, running []contract.TaskID) {
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

// Waiting returns the tasks that wait for capacity, oldest first.
func (g *Gate) Waiting() []contract.TaskID {
	out := make([]contract.TaskID, len(g.queue))
	for i, s := range g.queue {
		out[i] = s.Task
	}
	return out
}

// Attempt returns the highest attempt at the task that was offered or fenced, or
// 0 for an unknown task.
func (g *Gate) Attempt(id contract.TaskID) uint32 {
	if t := g.task(id); t != nil {
		return t.attempt
	}
	return 0
}

// Sweep advances the gate's tick by one, and forgets the tasks that became done or
// fenced more than keep ticks ago. It may only be called while the process reads
// its links. This ensures that before the gate forgets a task, every start sent
// before the task ended has been read, or the link that carried it has closed.
func (g *Gate) Sweep(keep uint64) {
	g.tick++
	n := 0
	for n < len(g.tombstones) && g.tombstones[n].tick+keep < g.tick {
		g.expunge(g.tombstones[n])
		n++
	}
	g.tombstones = g.tombstones[n:]
}

// expunge removes the task of a tombstone, unless a later attempt at the task was
// offered since.
func (g *Gate) expunge(ts tombstone) {
	t := g.task(ts.id)
	if t == nil || t.endedTick != ts.tick || t.state == gateWaiting || t.state == gateRunning {
		return
	}
	delete(g.jobs[ts.id.Job], ts.id.Index)
	if len(g.jobs[ts.id.Job]) == 0 {
		delete(g.jobs, ts.id.Job)
	}
}

// Drain makes the gate refuse all later starts.
func (g *Gate) Drain() { g.draining = true }

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.draining }

// Idle reports whether no task runs or waits.
func (g *Gate) Idle() bool { return g.inUse.Slots == 0 && len(g.queue) == 0 }
