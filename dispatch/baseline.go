package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Choice selects how ImmediateScheduler picks a worker for a task.
type Choice uint8

// The ways to pick a worker.
const (
	// ChooseRandom picks a worker at random.
	ChooseRandom Choice = iota
	// ChooseRoundRobin picks the workers in turn.
	ChooseRoundRobin
	// ChooseLeastOutstanding picks the worker on which this entry has the
	// fewest tasks in progress.
	ChooseLeastOutstanding
	// ChooseTwoRandom picks the one with the lower estimated load of two workers
	// drawn at random.
	ChooseTwoRandom
	// ChooseShortestQueue picks the worker with the lowest estimated load.
	ChooseShortestQueue
)

// ImmediateScheduler is a Scheduler that places each task as soon as it is
// submitted; the task waits in its worker's queue for a slot. It serves as a
// baseline for measurements of Pool.
type ImmediateScheduler struct {
	choice  Choice
	rng     *rand.Rand
	turn    int // counter that rotates the picks
	workers []*candidate
}

// candidate is the state of one worker.
type candidate struct {
	host.Worker
	inProgress        int // this entry's tasks there
	reportedLoad      int // as in the last WorkerLoad
	placedSinceReport int // tasks placed since the last WorkerLoad, less those finished
}

// NewImmediateScheduler returns an ImmediateScheduler without workers. The seed
// determines its random choices.
func NewImmediateScheduler(choice Choice, seed uint64) *ImmediateScheduler {
	return &ImmediateScheduler{choice: choice, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Step implements Scheduler. The time is not used.
func (m *ImmediateScheduler) Step(_ time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case WorkerUp:
		m.workerUp(ev.Worker)
	case WorkerDown:
		m.workers = slices.DeleteFunc(m.workers, func(c *candidate) bool { return c.Ref == ev.Worker })
	case WorkerLoad:
		if c := m.find(ev.Worker); c != nil {
			c.reportedLoad = ev.Used
			c.placedSinceReport = 0
		}
	case Finished:
		if c := m.find(ev.Worker); c != nil {
			c.inProgress--
			c.placedSinceReport--
		}
	case Requeue:
		return m.placeTask(ev.Task)
	case Submit:
		return m.submit(ev)
	}
	return nil
}

// find returns the worker with the reference, or nil.
func (m *ImmediateScheduler) find(ref host.Ref) *candidate {
	for _, c := range m.workers {
		if c.Ref == ref {
			return c
		}
	}
	return nil
}

func (m *ImmediateScheduler) workerUp(w host.Worker) {
	if c := m.find(w.Ref); c != nil {
		c.Worker = w
		return
	}
	m.workers = append(m.workers, &candidate{Worker: w})
}

func (m *ImmediateScheduler) submit(s Submit) []Action {
	if len(m.workers) == 0 {
		return []Action{Refuse{Job: s.Job, Err: contract.ErrNoUpstream.WithRetryAfter(noUpstreamRetryAfter, "the pool has no worker")}}
	}
	var actions []Action
	for i := range s.Demands {
		actions = append(actions, m.placeTask(contract.TaskID{Job: s.Job, Index: uint32(i)})...)
	}
	return actions
}

func (m *ImmediateScheduler) placeTask(id contract.TaskID) []Action {
	c := m.pick()
	if c == nil {
		return nil
	}
	c.inProgress++
	c.placedSinceReport++
	return []Action{Place{Task: id, Worker: c.Ref}}
}

// pick returns the worker for the next task, or nil if there is none.
func (m *ImmediateScheduler) pick() *candidate {
	n := len(m.workers)
	if n == 0 {
		return nil
	}
	switch m.choice {
	case ChooseRandom:
		return m.workers[m.rng.IntN(n)]
	case ChooseTwoRandom:
		a, b := m.workers[m.rng.IntN(n)], m.workers[m.rng.IntN(n)]
		if b.estimatedLoad() < a.estimatedLoad() {
			return b
		}
		return a
	case ChooseLeastOutstanding:
		return m.leastLoaded(func(c *candidate) int { return c.inProgress })
	case ChooseShortestQueue:
		return m.leastLoaded((*candidate).estimatedLoad)
	}
	m.turn++
	return m.workers[m.turn%n]
}

// estimatedLoad returns the worker's reported load, corrected by what this
// entry has placed and what has finished there since the report.
func (c *candidate) estimatedLoad() int { return c.reportedLoad + c.placedSinceReport }

// leastLoaded returns the worker with the lowest load. Ties are broken in turn,
// so that equal workers are picked in rotation.
func (m *ImmediateScheduler) leastLoaded(load func(*candidate) int) *candidate {
	m.turn++
	var best *candidate
	for i := range m.workers {
		c := m.workers[(m.turn+i)%len(m.workers)]
		if best == nil || load(c) < load(best) {
			best = c
		}
	}
	return best
}
