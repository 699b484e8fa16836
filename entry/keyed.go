package entry

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// maxOwnerChanges is how often the owner of a job may change before a submission
// gives up waiting for its answer.
const maxOwnerChanges = 6

// submitKeyed answers a submission with an idempotency key. It runs the job,
// waits for the run of an earlier submission, or takes the job over if its
// owner is gone.
func (e *Entry) submitKeyed(ctx context.Context, spec contract.JobSpec, key, digest string) submitResult {
	id := contract.KeyedJobID(spec.Team, key)
	if e.cfg.Records == nil {
		return submitResult{id: id, err: withUnknownOutcome(contract.ErrNoQuorum.WithRetryAfter(time.Second, "this entry has no record holders: set -record-holders"))}
	}
	if limit := e.cfg.Records.Retention; spec.Deadline() > limit {
		return submitResult{id: id, err: contract.ErrBadRequest.With("the deadline is %v: with an Idempotency-Key give at most %v", spec.Deadline(), limit)}
	}
	if err := e.beginWork(); err != nil {
		return submitResult{id: id, err: withUnknownOutcome(err)}
	}
	defer e.inFlight.Done()
	round := uint64(contract.FirstRound)
	for range maxOwnerChanges {
		run, err := e.findOrStartKeyed(ctx, spec, id, digest, round)
		if err != nil {
			return submitResult{id: id, err: err}
		}
		select {
		case <-run.done:
		case <-ctx.Done():
			// The job continues, and a resubmission finds it.
			return submitResult{id: id, err: contract.ErrCancelled.With("the caller went away")}
		}
		owner := run.takenOverBy()
		if owner == nil {
			results, err := run.outcome()
			return submitResult{id: id, results: results, err: err}
		}
		e.jobs.remove(id, run)
		if a, ok := e.waitForOwner(ctx, *owner, id, digest); ok {
			return a
		}
		round = owner.Round + 1
	}
	return submitResult{id: id, err: withUnknownOutcome(contract.ErrNoQuorum.WithRetryAfter(time.Second, "the job changes owners too fast"))}
}

// findOrStartKeyed returns the run of the job at this entry: one in progress,
// one that ended with a reusable answer, or a new one in the given round or a
// later one. A new run keeps the memory of the request with the context until it ends.
func (e *Entry) findOrStartKeyed(ctx context.Context, spec contract.JobSpec, id contract.JobID, digest string, round uint64) (*jobRun, error) {
	for {
		var old workItem
		have, ok := e.jobs.get(id).(*jobRun)
		if ok {
			if have.digest != digest {
				return nil, keyReusedError(false)
			}
			if have.reusable() {
				metrics.Resubmissions.Add(1)
				return have, nil
			}
			old = have
			round = max(round, have.epoch.Round+1)
		}
		run, err := e.newRun(spec, id)
		if err != nil {
			return nil, withUnknownOutcome(err)
		}
		run.digest = digest
		run.epoch = e.cfg.Records.epoch(round)
		if !e.jobs.compareAndSwap(id, old, run) {
			continue
		}
		release, releaseMemory := e.continueWork(), ingress.HoldOf(ctx).Keep()
		go func() {
			defer release()
			defer releaseMemory()
			e.runKeyed(run)
		}()
		return run, nil
	}
}

// runKeyed runs a job with an idempotency key until it is answered, even if its
// caller has left.
func (e *Entry) runKeyed(run *jobRun) {
	go func() {
		if run.epoch.Round == contract.FirstRound {
			run.claim()
			return
		}
		metrics.Takeovers.Add(1)
		run.takeOver()
	}()
	run.watch(context.Background())
	e.answerCache.add(run, time.Now(), e.cfg.Retention)
	time.AfterFunc(e.cfg.Retention, func() { e.jobs.remove(run.job.ID(), run) })
}

// reusable reports whether a resubmission gets the answer of this run: the run
// is in progress, its answer is complete, or a task ran and failed. Otherwise a
// resubmission starts the tasks that have not run.
func (r *jobRun) reusable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.newOwner != nil || r.refused != nil || r.bodiesDropped:
		return false
	case !r.answered:
		return true
	}
	err := r.job.Err()
	return err == nil || contract.ErrTaskFailed.Is(err)
}

// waitForOwner waits for the answer of the entry that owns the job. It reports
// false if the job must be taken over: the owner is gone, or has no reusable
// answer.
func (e *Entry) waitForOwner(ctx context.Context, owner contract.RecordEpoch, id contract.JobID, digest string) (submitResult, bool) {
	peer := e.cfg.Records.Peer(host.Ref{Host: owner.Host, Incarnation: owner.Incarnation})
	if peer == nil {
		return submitResult{}, false
	}
	reply, err := peer.Call(ctx, &contract.JobWait{Job: id, Digest: digest})
	if ctx.Err() != nil {
		return submitResult{id: id, err: contract.ErrCancelled.With("the caller went away")}, true
	}
	a, ok := reply.(*contract.JobAnswer)
	if err != nil || !ok || !a.Final {
		return submitResult{}, false
	}
	metrics.Resubmissions.Add(1)
	if !a.Failed {
		return submitResult{id: id, results: a.Results}, true
	}
	return submitResult{id: id, err: &contract.Error{
		Kind: a.Kind, Message: a.Message, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Tasks: a.Results,
	}}, true
}

// WaitJob waits for the answer of a job on behalf of another entry. A request
// that arrives while the job is in progress gets the answer in any case; a
// later one gets it only if it is reusable.
func (e *Entry) WaitJob(ctx context.Context, m *contract.JobWait) contract.Message {
	defer e.continueWork()()
	run, ok := e.jobs.get(m.Job).(*jobRun)
	if !ok || run.digest != m.Digest {
		return &contract.JobAnswer{}
	}
	if !run.reusable() {
		return &contract.JobAnswer{}
	}
	select {
	case <-run.done:
	case <-ctx.Done():
		return &contract.JobAnswer{}
	}
	if run.takenOverBy() != nil {
		return &contract.JobAnswer{}
	}
	results, err := run.outcome()
	if err == nil {
		if bodyBytes(results) > maxForwardedAnswerBytes {
			return link.NewFault(contract.ErrTooLarge.With("the answer is too large to send to another entry"))
		}
		return &contract.JobAnswer{Final: true, Results: results}
	}
	typed, ok := contract.AsError(err)
	if !ok {
		return &contract.JobAnswer{}
	}
	return &contract.JobAnswer{
		Final: true, Failed: true, Kind: typed.Kind, Message: typed.Message, Outcome: typed.Outcome, RetryAfter: typed.RetryAfter, Results: typed.Tasks,
	}
}

// maxForwardedAnswerBytes limits the bodies of an answer that is sent to
// another entry in one frame. For a larger answer, that entry collects the
// results from the agents again.
const maxForwardedAnswerBytes = link.MaxFrameBytes - 1<<20

func bodyBytes(results []contract.TaskResult) int {
	n := 0
	for _, r := range results {
		n += len(r.Body)
	}
	return n
}
