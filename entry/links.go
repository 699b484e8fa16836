package entry

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// silentGrace is how long a silent worker may come back under the same
// incarnation before what it was sent is lost.
const silentGrace = 3 * time.Second

// LinkUp takes a new link from an agent. The worker joins when it announces
// itself.
func (e *Entry) LinkUp(*link.Link) {}

// LinkDown takes the loss of an agent's link.
func (e *Entry) LinkDown(l *link.Link, err error) {
	ref := host.FromHello(l.Remote()).Ref
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	current := ok && w.link == l
	if current {
		w.link = nil
	}
	e.workersMu.Unlock()
	if !current {
		return
	}
	e.cfg.Log.Info("worker silent", "worker", ref.Host, "err", err)
	e.dropGrants(w.Worker)
	for _, p := range e.poolsOf(w.Worker) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	time.AfterFunc(silentGrace, func() { e.forgetSilent(ref) })
}

func (e *Entry) forgetSilent(ref host.Ref) {
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	gone := ok && w.link == nil
	if gone {
		delete(e.workers, ref)
	}
	e.workersMu.Unlock()
	if gone {
		e.workerLost(ref)
	}
}

func (e *Entry) workerLost(ref host.Ref) {
	for _, a := range e.jobs.all() {
		if r, ok := a.(*jobRun); ok {
			r.lost(ref)
		}
	}
}

// Receive takes a message from an agent.
func (e *Entry) Receive(l *link.Link, m contract.Message) {
	ref := host.FromHello(l.Remote()).Ref
	switch m := m.(type) {
	case *contract.Announce:
		e.announced(l, m)
	case *contract.Result:
		e.resulted(l, ref, m)
	case *contract.StartRefused:
		metrics.StartsRefused.Add(1)
		e.unsent(ref, m.Task)
	case *contract.TaskStates:
		e.states(ref, m)
	case *contract.CreditGrant:
		e.granted(ref, m)
	case *contract.Drain:
		e.drained(ref)
	}
}

func (e *Entry) announced(l *link.Link, m *contract.Announce) {
	w := host.FromAnnounce(host.FromHello(l.Remote()), m)
	var replaced []host.Ref
	e.workersMu.Lock()
	_, returned := e.workers[w.Ref]
	for ref := range e.workers {
		if ref.Host == w.Host && ref != w.Ref {
			replaced = append(replaced, ref)
			delete(e.workers, ref)
		}
	}
	e.workers[w.Ref] = &workerLink{Worker: w, link: l}
	e.workersMu.Unlock()
	e.cfg.Log.Info("worker announced", "worker", w.Host, "domain", w.Place.Domain, "slots", w.Capacity.Slots)
	for _, ref := range replaced {
		e.retire(ref, w)
	}
	for _, p := range e.poolsOf(w) {
		e.step(p, dispatch.WorkerUp{Worker: w})
	}
	if returned {
		e.reconcile(l, w.Ref)
	}
}

// retire ends an incarnation that a later one has replaced.
func (e *Entry) retire(ref host.Ref, successor host.Worker) {
	for _, p := range e.poolsOf(successor) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	e.workerLost(ref)
}

// reconcile asks a worker that came back about all that it was sent.
func (e *Entry) reconcile(l *link.Link, ref host.Ref) {
	var ids []contract.TaskID
	for _, a := range e.jobs.all() {
		if r, ok := a.(*jobRun); ok {
			r.mu.Lock()
			ids = append(ids, r.job.Sent(ref)...)
			r.mu.Unlock()
		}
	}
	if len(ids) > 0 {
		l.Send(&contract.Fence{Tasks: ids})
	}
}

func (e *Entry) resulted(l *link.Link, ref host.Ref, m *contract.Result) {
	if r, ok := e.jobs.get(m.Task.Job).(*jobRun); ok {
		r.result(ref, m)
	} else {
		e.recordStray(ref, m)
	}
	l.Send(&contract.ResultAck{Tasks: []contract.TaskID{m.Task}})
}

func (e *Entry) unsent(ref host.Ref, id contract.TaskID) {
	r, ok := e.jobs.get(id.Job).(*jobRun)
	if !ok {
		return
	}
	for _, ev := range r.unsent(id, ref) {
		e.step(r.pool, ev)
	}
}

func (e *Entry) states(ref host.Ref, m *contract.TaskStates) {
	for _, rep := range m.Reports {
		if rep.State == contract.TaskFenced {
			e.unsent(ref, rep.Task)
		}
	}
}

func (e *Entry) drained(ref host.Ref) {
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	if ok {
		w.Draining = true
	}
	e.workersMu.Unlock()
	if !ok {
		return
	}
	for _, p := range e.poolsOf(w.Worker) {
		e.step(p, dispatch.WorkerUp{Worker: w.Worker})
	}
}

// Drain refuses new work and waits for what is in progress, or for ctx.
func (e *Entry) Drain(ctx context.Context) {
	e.drainMu.Lock()
	e.draining = true
	e.drainMu.Unlock()
	idle := make(chan struct{})
	go func() {
		e.active.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// EndReadiness makes Ready false, while work is still taken: the balancer
// needs time to see it.
func (e *Entry) EndReadiness() {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.leaving = true
}

// begin counts work in progress; it fails once the entry drains.
func (e *Entry) begin() error {
	if err := e.ledgerRoom(); err != nil {
		return err
	}
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	if e.draining {
		return contract.ErrDraining.Refuse(time.Second, "the entry is shutting down")
	}
	e.active.Add(1)
	return nil
}

// Ready reports whether the entry takes work.
func (e *Entry) Ready() bool {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	return !e.draining && !e.leaving && e.cfg.Tables.Version() > 0
}
