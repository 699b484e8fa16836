package entry

import (
	"context"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/record"
)

// placementQueue holds the runs with placements that are not yet written to
// their records. All placements of a run from one scheduler step are written in
// one message.
type placementQueue struct {
	mu   sync.Mutex // guards runs
	runs []*jobRun
}

func (p *placementQueue) add(r *jobRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, r)
}

func (p *placementQueue) takeAll() []*jobRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs
	p.runs = nil
	return runs
}

// flushPlacements writes the placements of the queued runs to their records.
func (e *Entry) flushPlacements() {
	for _, r := range e.placementQueue.takeAll() {
		go r.extend(false)
	}
}

// extend writes the pending placements to the job's record, and sends their
// starts once a quorum holds them. If first is set, the write also claims the
// record. It implements the Extend step of the specification,
// spec/startgate.pml.
func (r *jobRun) extend(first bool) {
	r.mu.Lock()
	batch := r.pending
	r.pending = nil
	r.mu.Unlock()
	plan := make([]contract.Placement, len(batch))
	for i, p := range batch {
		plan[i] = contract.Placement{Task: p.id.Index, Attempt: p.attempt, Worker: p.worker.Host, Incarnation: p.worker.Incarnation}
	}
	records := r.entry.cfg.Records
	tally := records.queryHolders(RecordTimeout, &contract.RecordWrite{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, Plan: plan, TTL: records.ttl(r.deadline),
	})
	switch tally.Final() {
	case record.Granted:
		r.sendStarts(batch)
		return
	case record.Owned:
		r.yieldTo(tally.Owner())
	}
	r.rejectPlacements(batch, refusalError(tally), first)
}

func (r *jobRun) sendStarts(batch []placement) {
	var events []dispatch.Event
	r.mu.Lock()
	for _, p := range batch {
		events = append(events, r.sendStart(p)...)
	}
	failed := r.finishIfDone()
	r.mu.Unlock()
	r.applyEvents(events, failed)
}

// rejectPlacements ends the run with err because the record holders did not
// grant the placements, whose starts were never sent.
func (r *jobRun) rejectPlacements(batch []placement, err error, first bool) {
	var events []dispatch.Event
	r.mu.Lock()
	if first {
		r.claimRefused = true
		r.refused = err
	}
	if e, ok := contract.AsError(err); ok && r.newOwner == nil {
		r.job.Abort(e.Kind, "%s", e.Message)
	}
	for _, p := range batch {
		events = append(events, r.requeue(p.id, p.worker, p.attempt)...)
	}
	failed := r.finishIfDone()
	r.mu.Unlock()
	r.applyEvents(events, failed)
}

// sealTimeout limits how long an answer waits for seal.
const sealTimeout = 50 * time.Millisecond

// mustSeal reports whether the answer would report tasks as not run that a new
// owner may have started meanwhile. The caller holds r.mu.
func (r *jobRun) mustSeal() bool {
	return r.keyed() && !r.sealed && !r.claimRefused && r.newOwner == nil && r.job.Err() != nil && r.job.AnyNotRun()
}

// seal confirms with a quorum that this run still owns the job, and answers.
// Without a quorum, the outcome of the tasks that were not run is unknown. It
// implements the Seal step of the specification, spec/startgate.pml.
func (r *jobRun) seal() {
	records := r.entry.cfg.Records
	tally := records.queryHolders(sealTimeout, &contract.RecordWrite{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, TTL: records.ttl(r.deadline),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	switch tally.Final() {
	case record.Granted:
	case record.Owned:
		owner := tally.Owner()
		r.newOwner = &owner
	default:
		r.job.MarkNotRunUnknown()
	}
	r.markAnswered()
}

// yieldTo ends the run because another owner has taken the job over. Its tasks
// are not cancelled, and the new owner records their outcomes.
func (r *jobRun) yieldTo(owner contract.RecordEpoch) {
	r.mu.Lock()
	if !r.answered && r.newOwner == nil {
		r.newOwner = &owner
		r.job.Abort(contract.ErrCancelled, "the job was taken over by entry %s", owner.Host)
		r.finishIfDone()
	}
	r.mu.Unlock()
	r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
}

// takenOverBy returns the epoch that took the job over from this run, or nil.
func (r *jobRun) takenOverBy() *contract.RecordEpoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newOwner
}

// claim makes this run the first owner of the job. The claim and the placements
// that the scheduler makes in the same step are written in one message. It
// implements the Claim step of the specification, spec/startgate.pml.
func (r *jobRun) claim() {
	r.mu.Lock()
	r.claiming = true
	r.placeable = true
	r.mu.Unlock()
	r.entry.step(r.pool, r.submission())
	r.mu.Lock()
	r.claiming = false
	r.mu.Unlock()
	r.extend(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused != nil {
		r.markAnswered()
	}
}

func (r *jobRun) submission() dispatch.Submit {
	return dispatch.Submit{Job: r.job.ID(), Team: r.spec.Team, Route: r.route.Name, Deadline: r.deadline, Demands: r.demands}
}

// takeOver makes this run the owner in place of an earlier one, under a later
// round. It queries the workers in the recorded plan for the state of each
// task, adopts the tasks that have started, and places the others. It
// implements the Takeover step of the specification, spec/startgate.pml.
func (r *jobRun) takeOver() {
	records := r.entry.cfg.Records
	tally := records.queryHolders(RecordTimeout, &contract.RecordPrepare{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, TTL: records.ttl(r.deadline),
	})
	switch tally.Final() {
	case record.Granted:
	case record.Owned:
		r.yieldTo(tally.Owner())
		return
	default:
		r.rejectPlacements(nil, refusalError(tally), true)
		return
	}
	r.mu.Lock()
	for _, p := range tally.Plan() {
		r.job.Adopt(p.Task, workerRef(p), p.Attempt)
	}
	workers := r.job.ActiveWorkers()
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, ref := range workers {
		wg.Go(func() { r.queryWorker(ref) })
	}
	wg.Wait()
	r.mu.Lock()
	queued := r.job.Queued()
	done := r.job.Done()
	r.mu.Unlock()
	if done || len(queued) == 0 {
		return
	}
	if err := r.recordPendingStarts(queued); err != nil {
		r.refuse(contract.ErrNoQuorum.WithRetryAfter(ledgerRetryAfter, "the outcome ledger did not sync: %v", err))
		return
	}
	r.mu.Lock()
	r.placeable = true
	r.mu.Unlock()
	r.entry.step(r.pool, r.submission())
}

// workerQueryInterval is the interval between queries to a worker that has not
// answered.
const workerQueryInterval = 50 * time.Millisecond

// queryWorker asks a worker of the plan for the state of its tasks, and fences
// those that have not started. The worker is considered lost if a later
// incarnation exists, or if it doesn't answer within reconnectGracePeriod.
func (r *jobRun) queryWorker(ref host.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), reconnectGracePeriod)
	defer cancel()
	for ctx.Err() == nil && !r.entry.hasNewerIncarnation(ref) {
		if w, ok := r.entry.worker(ref); ok && w.link != nil {
			r.mu.Lock()
			ids, attempts := r.job.UnfinishedAt(ref)
			r.mu.Unlock()
			reply, err := w.link.Call(ctx, &contract.Fence{Tasks: ids, Attempts: attempts})
			if states, ok := reply.(*contract.TaskStates); ok && err == nil {
				r.entry.handleTaskStates(ref, states)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(workerQueryInterval):
		}
	}
	r.workerLost(ref)
}

func workerRef(p contract.Placement) host.Ref {
	return host.Ref{Host: p.Worker, Incarnation: p.Incarnation}
}
