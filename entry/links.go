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

// reconnectGracePeriod is how long a disconnected worker may take to reconnect
// under the same incarnation. After that, its tasks are treated as lost.
const reconnectGracePeriod = 3 * time.Second

// LinkUp handles a new link from an agent. It does nothing, because the worker
// is added when it announces itself.
func (e *Entry) LinkUp(*link.Link) {}

// LinkDown handles the loss of an agent's link.
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
		worker, number = w.Worker, w.linkNumber
	}
	e.workersMu.Unlock()
	if !current {
		return
	}
	e.memberLost(ref)
	e.cfg.Log.Info("worker link lost", "worker", ref.Host, "err", err)
	e.removeGrants(worker)
	for _, p := range e.poolsOf(worker) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	time.AfterFunc(reconnectGracePeriod, func() { e.removeIfDisconnected(ref, number) })
}

// removeIfDisconnected removes a worker that has not reconnected since the link
// with the given number went down, and treats its tasks as lost.
func (e *Entry) removeIfDisconnected(ref host.Ref, linkNumber uint64) {
	e.workersMu.Lock()
	w, ok := e.workers[ref]
	gone := ok && w.link == nil && w.linkNumber == linkNumber
	if gone {
		delete(e.workers, ref)
	}
	e.workersMu.Unlock()
	if gone {
		e.workerLost(ref)
	}
}

// workerLost reports the loss of a worker to all jobs.
func (e *Entry) workerLost(ref host.Ref) {
	for _, item := range e.jobs.all() {
		if r, ok := item.(*jobRun); ok {
			r.workerLost(ref)
		}
	}
}

// Receive handles a message from an agent.
func (e *Entry) Receive(l *link.Link, m contract.Message) {
	ref := host.FromHello(l.Remote()).Ref
	switch m := m.(type) {
	case *contract.Announce:
		e.handleAnnounce(l, m)
	case *contract.Result:
		e.handleResult(ref, m)
	case *contract.StartRefused:
		metrics.StartsRefused.Add(1)
		e.handleStartRefused(ref, m)
	case *contract.TaskStates:
		e.handleTaskStates(ref, m)
	case *contract.CreditGrant:
		e.handleCreditGrant(ref, m)
	case *contract.Drain:
		e.handleDrain(ref)
	}
}

func (e *Entry) handleAnnounce(l *link.Link, m *contract.Announce) {
	w := host.FromAnnounce(host.FromHello(l.Remote()), m)
	var replaced []host.Ref
	e.workersMu.Lock()
	have, known := e.workers[w.Ref]
	if known && have.linkNumber > m.LinkNumber {
		e.workersMu.Unlock()
		return // the announcement is from an earlier link
	}
	for ref := range e.workers {
		if ref.Host == w.Host && ref != w.Ref {
			replaced = append(replaced, ref)
			delete(e.workers, ref)
		}
	}
	e.workers[w.Ref] = &workerLink{Worker: w, link: l, linkNumber: m.LinkNumber}
	e.workersMu.Unlock()
	e.sendRowVersions(l, w.Pools)
	e.cfg.Log.Info("worker announced", "worker", w.Host, "domain", w.Location.Domain, "slots", w.Capacity.Slots)
	for _, ref := range replaced {
		e.retireIncarnation(ref, w)
	}
	e.admitWorker(w, m.LinkNumber)
	e.reconcile(l, w.Ref)
}

// retireIncarnation removes an incarnation that a later one has replaced from
// its pools, and treats its tasks as lost.
func (e *Entry) retireIncarnation(ref host.Ref, successor host.Worker) {
	for _, p := range e.poolsOf(successor) {
		e.step(p, dispatch.WorkerDown{Worker: ref})
	}
	e.workerLost(ref)
}

// reconcile asks a reconnected worker for the state of all tasks that were sent
// to it, including those that ended as unknown. It fences those that have not
// started.
func (e *Entry) reconcile(l *link.Link, ref host.Ref) {
	m := &contract.Fence{}
	for _, item := range e.jobs.all() {
		r, ok := item.(*jobRun)
		if !ok {
			continue
		}
		r.mu.Lock()
		ids, attempts := r.job.UnfinishedAt(ref)
		unknown, last := r.job.UnknownAt(ref)
		r.mu.Unlock()
		m.Tasks = append(append(m.Tasks, ids...), unknown...)
		m.Attempts = append(append(m.Attempts, attempts...), last...)
	}
	if len(m.Tasks) > 0 {
		l.Send(m)
	}
}

func (e *Entry) handleResult(ref host.Ref, m *contract.Result) {
	if r, ok := e.jobs.get(m.Task.Job).(*jobRun); ok {
		r.handleResult(ref, m)
	} else {
		e.recordUnmatchedResult(ref, m)
	}
	e.queueAck(ref, m.Task)
}

func (e *Entry) attemptFenced(ref host.Ref, id contract.TaskID, attempt uint32) {
	if r, ok := e.jobs.get(id.Job).(*jobRun); ok {
		r.attemptFenced(id, ref, attempt)
	}
}

func (e *Entry) handleTaskStates(ref host.Ref, m *contract.TaskStates) {
	for _, rep := range m.Reports {
		if rep.State == contract.TaskFenced {
			e.attemptFenced(ref, rep.Task, rep.Attempt)
			continue
		}
		if r, ok := e.jobs.get(rep.Task.Job).(*jobRun); ok {
			r.taskStarted(rep.Task, ref)
		}
	}
}

func (e *Entry) handleDrain(ref host.Ref) {
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
	e.memberDraining(ref)
	for _, p := range e.poolsOf(worker) {
		e.step(p, dispatch.WorkerUp{Worker: worker})
	}
}

// Drain refuses new work and waits until the work in progress has ended or ctx
// is done. It then sends the acknowledgements of results whose outcomes are
// durable.
func (e *Entry) Drain(ctx context.Context) {
	e.drainMu.Lock()
	e.draining = true
	e.drainMu.Unlock()
	idle := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	e.flushAcks()
}

// EndReadiness makes Ready return false while new work is still accepted: the
// load balancer needs time to notice.
func (e *Entry) EndReadiness() {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.readinessEnded = true
}

// beginWork counts new work as in progress; the caller calls inFlight.Done when
// it ends. It fails if the entry has no tables yet, the outcome ledger is full,
// or the entry is draining.
func (e *Entry) beginWork() error {
	if e.cfg.Tables.Version() == 0 {
		return contract.ErrNoQuorum.WithRetryAfter(time.Second, "this entry has just started and has no tables yet")
	}
	if err := e.checkLedgerCapacity(); err != nil {
		return err
	}
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	if e.draining {
		return contract.ErrDraining.WithRetryAfter(time.Second, "the entry is shutting down")
	}
	e.inFlight.Add(1)
	return nil
}

// continueWork counts work in progress that belongs to work already accepted,
// so it succeeds while the entry is draining. The returned function is called
// when the work ends.
func (e *Entry) continueWork() func() {
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	e.inFlight.Add(1)
	return e.inFlight.Done
}

// Ready reports whether the entry should get new requests. A restarted entry is
// ready once its record holder votes again, so that a rolling restart of the
// entries keeps a quorum of record holders.
func (e *Entry) Ready() bool {
	if r := e.cfg.Records; r != nil && r.HolderReady != nil && !r.HolderReady() {
		return false
	}
	e.drainMu.Lock()
	defer e.drainMu.Unlock()
	return !e.draining && !e.readinessEnded && e.cfg.Tables.Version() > 0
}
