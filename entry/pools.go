package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/tables"
)

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
	changed := make(map[*pool]contract.Pool)
	e.poolsMu.Lock()
	for _, row := range v.Pools {
		if p, ok := e.pools[row.Name]; ok {
			changed[p] = row
			continue
		}
		p := &pool{name: row.Name, sched: e.cfg.NewScheduler(row)}
		e.pools[row.Name] = p
		fresh = append(fresh, p)
	}
	e.poolsMu.Unlock()
	for p, row := range changed {
		e.step(p, dispatch.PoolChanged{Row: row})
	}
	for _, p := range fresh {
		e.step(p, dispatch.PeersChanged{Self: e.cfg.Identity.Host, Peers: e.currentPeers()})
		for _, w := range e.Workers() {
			e.offerWorker(p, w)
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

func (e *Entry) offerWorker(p *pool, w host.Worker) {
	for _, name := range w.Pools {
		if name == p.name {
			e.step(p, dispatch.WorkerUp{Worker: w})
			e.replayGrant(p, w.Ref)
		}
	}
}

// step feeds the pool's scheduler and carries out its actions, with the
// events that those lead to.
func (e *Entry) step(p *pool, ev dispatch.Event) {
	events := []dispatch.Event{ev}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, a := range p.step(next) {
			events = append(events, e.perform(p, a)...)
		}
	}
	e.flushPlans()
}

func (e *Entry) perform(p *pool, a dispatch.Action) []dispatch.Event {
	switch a := a.(type) {
	case dispatch.Place:
		return e.place(a)
	case dispatch.Refuse:
		if act := e.jobs.get(a.Job); act != nil {
			act.refuse(a.Err)
		}
	case dispatch.SendMessage:
		e.tellPeer(a)
	case dispatch.Wake:
		e.wakeLater(p, a.At)
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
		return []dispatch.Event{dispatch.Requeue(a)}
	}
	return act.place(a.Task, w)
}
