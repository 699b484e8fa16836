package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/tables"
)

// pool is the scheduler of one pool with its lock.
type pool struct {
	name string

	mu        sync.Mutex // guards scheduler
	scheduler dispatch.Scheduler
}

func (p *pool) step(ev dispatch.Event) []dispatch.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Step(time.Now(), ev)
}

// handleTables creates a scheduler for each pool that has none, and passes the
// current rows to the others. The scheduler of a removed pool is kept for its
// remaining work.
func (e *Entry) handleTables(v *tables.View) {
	var added []*pool
	existing := make(map[*pool]contract.Pool)
	e.poolsMu.Lock()
	for _, row := range v.Pools {
		if p, ok := e.pools[row.Name]; ok {
			existing[p] = row
			continue
		}
		p := &pool{name: row.Name, scheduler: e.cfg.NewScheduler(row)}
		e.pools[row.Name] = p
		added = append(added, p)
	}
	e.poolsMu.Unlock()
	for p, row := range existing {
		e.step(p, dispatch.PoolChanged{Row: row})
	}
	for _, p := range added {
		e.step(p, dispatch.PeersChanged{Self: e.cfg.Identity.Host, Peers: e.currentPeers()})
		for _, w := range e.Workers() {
			e.addWorkerToPool(p, w)
		}
	}
}

func (e *Entry) allPools() []*pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	out := make([]*pool, 0, len(e.pools))
	for _, p := range e.pools {
		out = append(out, p)
	}
	return out
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

func (e *Entry) addWorkerToPool(p *pool, w host.Worker) {
	for _, name := range w.Pools {
		if name == p.name {
			e.step(p, dispatch.WorkerUp{Worker: w})
			e.replayGrant(p, w.Ref)
		}
	}
}

// step passes an event to the pool's scheduler and performs the resulting
// actions, and does the same with the events that follow from those.
func (e *Entry) step(p *pool, ev dispatch.Event) {
	events := []dispatch.Event{ev}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, a := range p.step(next) {
			events = append(events, e.perform(p, a)...)
		}
	}
	e.flushPlacements()
}

func (e *Entry) perform(p *pool, a dispatch.Action) []dispatch.Event {
	switch a := a.(type) {
	case dispatch.Place:
		return e.placeTask(a)
	case dispatch.Refuse:
		if work := e.jobs.get(a.Job); work != nil {
			work.refuse(a.Err)
		}
	case dispatch.SendMessage:
		e.sendToPeer(a)
	case dispatch.Wake:
		e.scheduleTick(p, a.At)
	}
	return nil
}

func (e *Entry) placeTask(a dispatch.Place) []dispatch.Event {
	work := e.jobs.get(a.Task.Job)
	if work == nil {
		return []dispatch.Event{dispatch.Finished{Task: a.Task, Worker: a.Worker}}
	}
	w, ok := e.worker(a.Worker)
	if !ok || w.link == nil {
		return []dispatch.Event{dispatch.Requeue(a)}
	}
	return work.place(a.Task, w)
}
