package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Choice is how an Immediate picks a worker.
type Choice uint8

// The choices.
const (
	// ChooseRandom picks at random.
	ChooseRandom Choice = iota
	// ChooseRoundRobin picks in turn.
	ChooseRoundRobin
	// ChooseLeastOutstanding picks the worker on which this entry has the
	// fewest tasks in progress.
	ChooseLeastOutstanding
	// ChooseTwo picks the better of two random workers by reported load.
	ChooseTwo
	// ChooseShortestQueue picks the worker with the lowest reported load.
	ChooseShortestQueue
)

// Immediate is a Scheduler that sends each task to a worker as soon as it is
// submitted, where it waits in the worker's queue for a slot. It is a baseline
// for measurement.
type Immediate struct {
	choice  Choice
	rng     *rand.Rand
	next    int
	workers []*target
}

// target is one worker as an Immediate sees it.
type target struct {
	host.Worker
	own      int // this entry's tasks there
	reported int // as the worker last said
	since    int // sent since then, less ended
}

// NewImmediate returns a baseline with a seed for its choices.
func NewImmediate(c Choice, seed uint64) *Immediate {
	return &Immediate{choice: c, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Step implements Scheduler.
func (m *Immediate) Step(_ time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case WorkerUp:
		m.workerUp(ev.Worker)
	case WorkerDown:
		m.workers = slices.DeleteFunc(m.workers, func(t *target) bool { return t.Ref == ev.Worker })
	case WorkerLoad:
		if t := m.find(ev.Worker); t != nil {
			t.reported = ev.Used
			t.since = 0
		}
	case Finished:
		if t := m.find(ev.Worker); t != nil {
			t.own--
			t.since--
		}
	case Requeue:
		return m.send(ev.Task)
	case Submit:
		return m.submit(ev)
	}
	return nil
}

func (m *Immediate) find(ref host.Ref) *target {
	for _, t := range m.workers {
		if t.Ref == ref {
			return t
		}
	}
	return nil
}

func (m *Immediate) workerUp(w host.Worker) {
	if t := m.find(w.Ref); t != nil {
		t.Worker = w
		return
	}
	m.workers = append(m.workers, &target{Worker: w})
}

func (m *Immediate) submit(s Submit) []Action {
	if len(m.workers) == 0 {
		return []Action{Refuse{Job: s.Job, Err: contract.ErrNoUpstream.Refuse(retryNoUpstream, "the pool has no worker")}}
	}
	var out []Action
	for i := range s.Demands {
		out = append(out, m.send(contract.TaskID{Job: s.Job, Index: uint32(i)})...)
	}
	return out
}

func (m *Immediate) send(id contract.TaskID) []Action {
	t := m.pick()
	if t == nil {
		return nil
	}
	t.own++
	t.since++
	return []Action{Place{Task: id, Worker: t.Ref}}
}

func (m *Immediate) pick() *target {
	n := len(m.workers)
	if n == 0 {
		return nil
	}
	switch m.choice {
	case ChooseRandom:
		return m.workers[m.rng.IntN(n)]
	case ChooseTwo:
		a, b := m.workers[m.rng.IntN(n)], m.workers[m.rng.IntN(n)]
		if b.load() < a.load() {
			return b
		}
		return a
	case ChooseLeastOutstanding:
		return m.least(func(t *target) int { return t.own })
	case ChooseShortestQueue:
		return m.least((*target).load)
	}
	m.next++
	return m.workers[m.next%n]
}

func (t *target) load() int { return t.reported + t.since }

// least returns the worker with the lowest load, the first after the last one
// picked where several have it.
func (m *Immediate) least(load func(*target) int) *target {
	m.next++
	var best *target
	for i := range m.workers {
		t := m.workers[(m.next+i)%len(m.workers)]
		if best == nil || load(t) < load(best) {
			best = t
		}
	}
	return best
}
