package dispatch

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Config holds a pool's settings.
type Config struct {
	// MaxQueue bounds the tasks that wait.
	MaxQueue int
}

// DefaultMaxQueue is the default of Config.MaxQueue, in tasks.
const DefaultMaxQueue = 10_000

// retryNoUpstream is how long a caller waits where the pool has no worker.
const retryNoUpstream = 2 * time.Second

// Pool is a Scheduler that places each task, first in first out, on the worker
// with the most free slots.
type Pool struct {
	cfg     Config
	workers map[host.Ref]*worker
	order   []*worker
	queue   []waiting
	placed  map[contract.TaskID]placement
}

type worker struct {
	host.Worker
	used int
}

type waiting struct {
	task   contract.TaskID
	demand contract.Demand
}

type placement struct {
	worker host.Ref
	demand contract.Demand
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	return &Pool{
		cfg:     cfg,
		workers: make(map[host.Ref]*worker),
		placed:  make(map[contract.TaskID]placement),
	}
}

// Step implements Scheduler.
func (p *Pool) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case WorkerUp:
		p.workerUp(ev.Worker)
	case WorkerDown:
		p.workerDown(ev.Worker)
	case Submit:
		if err := p.submit(ev); err != nil {
			return []Action{Refuse{Job: ev.Job, Err: err}}
		}
	case Requeue:
		p.requeue(ev)
	case Finished:
		p.release(ev.Task)
	case Withdraw:
		p.queue = slices.DeleteFunc(p.queue, func(w waiting) bool { return w.task.Job == ev.Job })
	}
	return p.place()
}

func (p *Pool) workerUp(w host.Worker) {
	if old, ok := p.workers[w.Ref]; ok {
		old.Worker = w
		return
	}
	nw := &worker{Worker: w}
	p.workers[w.Ref] = nw
	p.order = append(p.order, nw)
}

func (p *Pool) workerDown(ref host.Ref) {
	delete(p.workers, ref)
	p.order = slices.DeleteFunc(p.order, func(w *worker) bool { return w.Ref == ref })
}

func (p *Pool) submit(s Submit) error {
	if len(p.workers) == 0 {
		return contract.ErrNoUpstream.Refuse(retryNoUpstream, "the pool has no worker")
	}
	if len(p.queue)+len(s.Demands) > p.cfg.MaxQueue {
		return contract.ErrOverload.Refuse(time.Second, "%d tasks wait", len(p.queue))
	}
	for i, d := range s.Demands {
		if !p.fitsAny(d) {
			return contract.ErrNeverFits.With("task %d fits no worker of the pool", i)
		}
	}
	for i, d := range s.Demands {
		id := contract.TaskID{Job: s.Job, Index: uint32(i)}
		p.queue = append(p.queue, waiting{task: id, demand: d.Normalized()})
	}
	return nil
}

func (p *Pool) fitsAny(d contract.Demand) bool {
	return slices.ContainsFunc(p.order, func(w *worker) bool { return w.Capacity.Fits(d) })
}

func (p *Pool) requeue(r Requeue) {
	pl, ok := p.placed[r.Task]
	if !ok {
		return
	}
	p.release(r.Task)
	p.queue = slices.Insert(p.queue, 0, waiting{task: r.Task, demand: pl.demand})
}

func (p *Pool) release(id contract.TaskID) {
	pl, ok := p.placed[id]
	if !ok {
		return
	}
	delete(p.placed, id)
	if w, ok := p.workers[pl.worker]; ok {
		w.used -= pl.demand.Slots
	}
}

func (p *Pool) place() []Action {
	var out []Action
	for len(p.queue) > 0 {
		head := p.queue[0]
		w := p.mostFree(head.demand)
		if w == nil {
			break
		}
		p.queue = p.queue[1:]
		w.used += head.demand.Slots
		p.placed[head.task] = placement{worker: w.Ref, demand: head.demand}
		out = append(out, Place{Task: head.task, Worker: w.Ref})
	}
	return out
}

func (p *Pool) mostFree(d contract.Demand) *worker {
	var best *worker
	for _, w := range p.order {
		if w.Draining || !w.Capacity.Fits(d) || w.Capacity.Slots-w.used < d.Slots {
			continue
		}
		if best == nil || w.Capacity.Slots-w.used > best.Capacity.Slots-best.used {
			best = w
		}
	}
	return best
}
