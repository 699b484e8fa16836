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

// plans are the runs whose placements wait to be written to their records: all
// that one step of a pool has placed goes in one message.
type plans struct {
	mu   sync.Mutex // guards runs
	runs []*jobRun
}

func (p *plans) add(r *jobRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, r)
}

func (p *plans) take() []*jobRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs
	p.runs = nil
	return runs
}

// flushPlans writes the placements that have been gathered.
func (e *Entry) flushPlans() {
	for _, r := range e.plans.take() {
		go r.extend(false)
	}
}

// extend writes the pending placements to the job's record, and sends their
// starts once a quorum holds them. The first write is the claim. It is the
// specification's Extend.
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
	tally := records.ask(RecordTimeout, &contract.RecordWrite{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, Plan: plan, TTL: records.ttl(r.deadline),
	})
	switch tally.Final() {
	case record.Granted:
		r.sendAll(batch)
		return
	case record.Owned:
		r.handOver(tally.Owner())
	}
	r.dropAll(batch, refusal(tally), first)
}

func (r *jobRun) sendAll(batch []placement) {
	var events []dispatch.Event
	r.mu.Lock()
	for _, p := range batch {
		events = append(events, r.send(p)...)
	}
	failed := r.settle()
	r.mu.Unlock()
	r.follow(events, failed)
}

// dropAll ends the run: the placements were not granted, and never left.
func (r *jobRun) dropAll(batch []placement, err error, first bool) {
	var events []dispatch.Event
	r.mu.Lock()
	if first {
		r.unclaimed = true
		r.refused = err
	}
	if e, ok := contract.AsError(err); ok && r.owner == nil {
		r.job.Abort(e.Kind, "%s", e.Message)
	}
	for _, p := range batch {
		events = append(events, r.putBack(p.id, p.worker, p.attempt)...)
	}
	failed := r.settle()
	r.mu.Unlock()
	r.follow(events, failed)
}

// sealTimeout bounds how long an answer waits for its seal.
const sealTimeout = 50 * time.Millisecond

// mustSeal reports whether the answer says not-run of tasks that another owner
// may have started by now; the caller holds r.mu.
func (r *jobRun) mustSeal() bool {
	return r.keyed() && !r.sealed && !r.unclaimed && r.owner == nil && r.job.Err() != nil && r.job.AnyNotRun()
}

// seal confirms with a quorum that this run still owns the job, and answers.
// Where there is no quorum, what was not run is unknown. It is the
// specification's Seal.
func (r *jobRun) seal() {
	records := r.entry.cfg.Records
	tally := records.ask(sealTimeout, &contract.RecordWrite{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, TTL: records.ttl(r.deadline),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	switch tally.Final() {
	case record.Granted:
	case record.Owned:
		owner := tally.Owner()
		r.owner = &owner
	default:
		r.job.Doubt()
	}
	r.answer()
}

// handOver ends the run in favour of another owner. Its tasks are not
// cancelled, and their outcomes are the other's to record.
func (r *jobRun) handOver(owner contract.RecordEpoch) {
	r.mu.Lock()
	if !r.answered && r.owner == nil {
		r.owner = &owner
		r.job.Abort(contract.ErrCancelled, "the job was taken over by entry %s", owner.Host)
		r.settle()
	}
	r.mu.Unlock()
	r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
}

// takenOver returns the epoch that took the job over, or nil.
func (r *jobRun) takenOver() *contract.RecordEpoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// claim makes this run the first owner: the claim and the placements that the
// pool has made at once go to the quorum together. It is the specification's
// Claim.
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
		r.answer()
	}
}

func (r *jobRun) submission() dispatch.Submit {
	return dispatch.Submit{Job: r.job.ID(), Team: r.spec.Team, Route: r.route.Name, Deadline: r.deadline, Demands: r.demands}
}

// takeOver makes this run the owner after another, under a later round: it
// asks the workers in the plan what became of each task, adopts what has
// started, and places the rest. It is the specification's Takeover.
func (r *jobRun) takeOver() {
	records := r.entry.cfg.Records
	tally := records.ask(RecordTimeout, &contract.RecordPrepare{
		Job: r.job.ID(), Digest: r.digest, Epoch: r.epoch, TTL: records.ttl(r.deadline),
	})
	switch tally.Final() {
	case record.Granted:
	case record.Owned:
		r.handOver(tally.Owner())
		return
	default:
		r.dropAll(nil, refusal(tally), true)
		return
	}
	r.mu.Lock()
	for _, p := range tally.Plan() {
		r.job.Adopt(p.Task, refOf(p), p.Attempt)
	}
	holders := r.job.Holders()
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, ref := range holders {
		wg.Go(func() { r.inquire(ref) })
	}
	wg.Wait()
	r.mu.Lock()
	queued := r.job.Queued()
	done := r.job.Done()
	r.mu.Unlock()
	if done || len(queued) == 0 {
		return
	}
	if err := r.announce(queued); err != nil {
		r.refuse(contract.ErrNoQuorum.Refuse(ledgerWait, "the outcome ledger did not sync: %v", err))
		return
	}
	r.mu.Lock()
	r.placeable = true
	r.mu.Unlock()
	r.entry.step(r.pool, r.submission())
}

// inquireWait is the wait before a worker is asked again.
const inquireWait = 50 * time.Millisecond

// inquire asks a worker of the plan what became of its tasks. One that has a
// later incarnation, or stays silent, is lost.
func (r *jobRun) inquire(ref host.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), silentGrace)
	defer cancel()
	for ctx.Err() == nil && !r.entry.replaced(ref) {
		if w, ok := r.entry.worker(ref); ok && w.link != nil {
			r.mu.Lock()
			ids, attempts := r.job.Held(ref)
			r.mu.Unlock()
			reply, err := w.link.Call(ctx, &contract.Fence{Tasks: ids, Attempts: attempts})
			if states, ok := reply.(*contract.TaskStates); ok && err == nil {
				r.entry.states(ref, states)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(inquireWait):
		}
	}
	r.lost(ref)
}

func refOf(p contract.Placement) host.Ref {
	return host.Ref{Host: p.Worker, Incarnation: p.Incarnation}
}
