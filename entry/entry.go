// Package entry is the role that faces callers: it admits jobs and single
// requests, places their tasks on workers through the pool's scheduler, and
// answers each whole or refuses it truthfully.
package entry

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Config holds an entry's settings.
type Config struct {
	Identity host.Identity
	Tables   *tables.Holder
	// NewScheduler makes the scheduler of a pool.
	NewScheduler func(contract.Pool) dispatch.Scheduler
	// Retention is how long an ended job's state is kept.
	Retention time.Duration
	Log       logr.Logger
}

// DefaultRetention is the default of Config.Retention.
const DefaultRetention = 10 * time.Minute

// Entry runs the role. Its state is in shards, each under its own lock: the
// pools, the jobs and the workers. No lock is held while another is taken.
type Entry struct {
	cfg Config

	poolsMu sync.RWMutex // guards pools
	pools   map[string]*pool

	workersMu sync.RWMutex // guards workers
	workers   map[host.Ref]*workerLink

	jobs jobShards

	drainMu  sync.Mutex // guards leaving and draining
	leaving  bool
	draining bool
	active   sync.WaitGroup
}

// workerLink is a worker and the link to its agent; the link is nil while the
// worker is silent.
type workerLink struct {
	host.Worker
	link *link.Link
}

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	e := &Entry{
		cfg:     cfg,
		pools:   make(map[string]*pool),
		workers: make(map[host.Ref]*workerLink),
	}
	e.jobs.init()
	cfg.Tables.Watch(e.poolsChanged)
	return e
}

// pool is one pool's scheduler under its lock.
type pool struct {
	name string

	mu    sync.Mutex // guards sched
	sched dispatch.Scheduler
}

func (p *pool) step(ev dispatch.Event) []dispatch.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Step(time.Now(), ev)
}

// poolsChanged makes a scheduler for each pool that has none. The scheduler of
// a removed pool stays for the work that it still holds.
func (e *Entry) poolsChanged(v *tables.View) {
	var fresh []*pool
	e.poolsMu.Lock()
	for _, row := range v.Pools {
		if _, ok := e.pools[row.Name]; !ok {
			p := &pool{name: row.Name, sched: e.cfg.NewScheduler(row)}
			e.pools[row.Name] = p
			fresh = append(fresh, p)
		}
	}
	e.poolsMu.Unlock()
	for _, w := range e.Workers() {
		for _, p := range fresh {
			e.offerWorker(p, w)
		}
	}
}

func (e *Entry) pool(name string) *pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	return e.pools[name]
}

func (e *Entry) poolsOf(w host.Worker) []*pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	var out []*pool
	for _, name := range w.Pools {
		if p, ok := e.pools[name]; ok {
			out = append(out, p)
		}
	}
	return out
}

func (e *Entry) offerWorker(p *pool, w host.Worker) {
	for _, name := range w.Pools {
		if name == p.name {
			e.step(p, dispatch.WorkerUp{Worker: w})
		}
	}
}

// Workers returns the workers that are linked now.
func (e *Entry) Workers() []host.Worker {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	out := make([]host.Worker, 0, len(e.workers))
	for _, w := range e.workers {
		if w.link != nil {
			out = append(out, w.Worker)
		}
	}
	return out
}

func (e *Entry) worker(ref host.Ref) (workerLink, bool) {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	w, ok := e.workers[ref]
	if !ok {
		return workerLink{}, false
	}
	return *w, true
}

// step feeds the pool's scheduler and carries out its actions, with the
// events that those lead to.
func (e *Entry) step(p *pool, ev dispatch.Event) {
	events := []dispatch.Event{ev}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, a := range p.step(next) {
			events = append(events, e.perform(a)...)
		}
	}
}

func (e *Entry) perform(a dispatch.Action) []dispatch.Event {
	switch a := a.(type) {
	case dispatch.Place:
		return e.place(a)
	case dispatch.Refuse:
		if act := e.jobs.get(a.Job); act != nil {
			act.refuse(a.Err)
		}
	}
	return nil
}

func (e *Entry) place(a dispatch.Place) []dispatch.Event {
	act := e.jobs.get(a.Task.Job)
	if act == nil {
		return []dispatch.Event{dispatch.Finished{Task: a.Task, Worker: a.Worker}}
	}
	w, ok := e.worker(a.Worker)
	if !ok || w.link == nil {
		return []dispatch.Event{dispatch.Requeue{Task: a.Task, Worker: a.Worker}}
	}
	return act.place(a.Task, w)
}

// active is a job or single request in progress, as placement sees it.
type active interface {
	// place starts the task at the worker, and returns the events that follow
	// at once.
	place(id contract.TaskID, w workerLink) []dispatch.Event
	// refuse ends it: none of its tasks was placed.
	refuse(err error)
}

const jobShardCount = 64

// jobShards holds the work in progress by job ID.
type jobShards struct {
	seed   maphash.Seed
	shards [jobShardCount]jobShard
}

type jobShard struct {
	mu   sync.Mutex // guards byID
	byID map[contract.JobID]active
}

func (s *jobShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].byID = make(map[contract.JobID]active)
	}
}

func (s *jobShards) shard(id contract.JobID) *jobShard {
	return &s.shards[maphash.String(s.seed, string(id))%jobShardCount]
}

func (s *jobShards) get(id contract.JobID) active {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id]
}

// add stores a under id, and reports false where id is taken.
func (s *jobShards) add(id contract.JobID, a active) bool {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, taken := sh.byID[id]; taken {
		return false
	}
	sh.byID[id] = a
	return true
}

func (s *jobShards) remove(id contract.JobID) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.byID, id)
}

// all returns the work in progress at some time during the call.
func (s *jobShards) all() []active {
	var out []active
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, a := range sh.byID {
			out = append(out, a)
		}
		sh.mu.Unlock()
	}
	return out
}
