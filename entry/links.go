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
	var worker host.Worker
	var number uint64
	if current {
		worker, number = w.Worker, w.number
	}
	e.workersMu.Unlock()
	if !current {
		return
	}
	e.memberLost(ref)
	e.cfg.Log.Info("worker silent", "worker", ref.Host, "err", err)
	e.dropGrants(worker)
	for _, p := range e.poolsOf(worker) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	time.AfterFunc(silentGrace, func() { e.forgetSilent(ref, number) })
}

// forgetSilent gives a worker up that has not come back since its link of the
// number went down.
func (e *Entry) forgetSilent(ref host.Ref, number uint64) {
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	gone := ok && w.link == nil && w.number == number
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
		e.resulted(ref, m)
	case *contract.StartRefused:
		metrics.StartsRefused.Add(1)
		e.startRefused(ref, m)
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
	have, known := e.workers[w.Ref]
	if known && have.number > m.Link {
		e.workersMu.Unlock()
		return // an announcement on an earlier link came late
	}
	for ref := range e.workers {
		if ref.Host == w.Host && ref != w.Ref {
			replaced = append(replaced, ref)
			delete(e.workers, ref)
		}
	}
	e.workers[w.Ref] = &workerLink{Worker: w, link: l, number: m.Link}
	e.workersMu.Unlock()
	e.tellRows(l, w.Pools)
	e.cfg.Log.Info("worker announced", "worker", w.Host, "domain", w.Location.Domain, "slots", w.Capacity.Slots)
	for _, ref := range replaced {
		e.retire(ref, w)
	}
	e.admit(w, m.Link)
	e.reconcile(l, w.Ref)
}

// retire ends an incarnation that a later one has replaced.
func (e *Entry) retire(ref host.Ref, successor host.Worker) {
	for _, p := range e.poolsOf(successor) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	e.workerLost(ref)
}

// reconcile asks a worker that came back about all that it was sent, what was
// given up as unknown included.
func (e *Entry) reconcile(l *link.Link, ref host.Ref) {
	m := &contract.Fence{}
	for _, a := range e.jobs.all() {
		r, ok := a.(*jobRun)
		if !ok {
			continue
		}
		r.mu.Lock()
		ids, attempts := r.job.Held(ref)
		unknown, last := r.job.Unknown(ref)
		r.mu.Unlock()
		m.Tasks = append(append(m.Tasks, ids...), unknown...)
		m.Attempts = append(append(m.Attempts, attempts...), last...)
	}
	if len(m.Tasks) > 0 {
		l.Send(m)
	}
}

func (e *Entry) resulted(ref host.Ref, m *contract.Result) {
	if r, ok := e.jobs.get(m.Task.Job).(*jobRun); ok {
		r.result(ref, m)
	} else {
		e.recordStray(ref, m)
	}
	e.ack(ref, m.Task)
}

func (e *Entry) unsent(ref host.Ref, id contract.TaskID, attempt uint32) {
	if r, ok := e.jobs.get(id.Job).(*jobRun); ok {
		r.unsent(id, ref, attempt)
	}
}

func (e *Entry) states(ref host.Ref, m *contract.TaskStates) {
	for _, rep := range m.Reports {
		if rep.State == contract.TaskFenced {
			e.unsent(ref, rep.Task, rep.Attempt)
			continue
		}
		if r, ok := e.jobs.get(rep.Task.Job).(*jobRun); ok {
			r.started(rep.Task, ref)
		}
	}
}

func (e *Entry) drained(ref host.Ref) {
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	var worker host.Worker
	if ok {
		w.Draining = true
		worker = w.Worker
	}
	e.workersMu.Unlock()
	if !ok {
		return
	}
	e.memberDrained(ref)
	for _, p := range e.poolsOf(worker) {
		e.step(p, dispatch.WorkerUp{Worker: worker})
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
	e.flushAcks()
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
	if e.cfg.Tables.Version() == 0 {
		return contract.ErrNoQuorum.Refuse(time.Second, "this entry has just started and has no tables yet")
	}
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

// join counts work in progress that belongs to work already taken.
func (e *Entry) join() func() {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.active.Add(1)
	return e.active.Done
}

// Ready reports whether the entry takes work. An entry that restarted is ready
// once its record holder votes again, so that a restart of one entry after the
// other leaves a quorum.
func (e *Entry) Ready() bool {
	if r := e.cfg.Records; r != nil && r.Ready != nil && !r.Ready() {
		return false
	}
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	return !e.draining && !e.leaving && e.cfg.Tables.Version() > 0
}
