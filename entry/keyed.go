package entry

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// maxHandovers bounds how often one submission follows a job from owner to
// owner.
const maxHandovers = 6

// answerKeyed answers a submission with an idempotency key: it runs the job,
// attaches to the run of an earlier submission, or takes the job over where
// its owner is gone.
func (e *Entry) answerKeyed(ctx context.Context, spec contract.JobSpec, key, digest string) answered {
	id := contract.KeyedJobID(spec.Team, key)
	if e.cfg.Records == nil {
		return answered{id: id, err: unknownOf(contract.ErrNoQuorum.Refuse(time.Second, "this entry has no record holders: set -record-holders"))}
	}
	if limit := e.cfg.Records.Retention; spec.Deadline() > limit {
		return answered{id: id, err: contract.ErrBadRequest.With("the deadline is %v: with an Idempotency-Key give at most %v", spec.Deadline(), limit)}
	}
	if err := e.begin(); err != nil {
		return answered{id: id, err: unknownOf(err)}
	}
	defer e.active.Done()
	round := uint64(contract.FirstRound)
	for range maxHandovers {
		run, err := e.openKeyed(spec, id, digest, round)
		if err != nil {
			return answered{id: id, err: err}
		}
		select {
		case <-run.done:
		case <-ctx.Done():
			// The job goes on: a resubmission finds it.
			return answered{id: id, err: contract.ErrCancelled.With("the caller went away")}
		}
		owner := run.takenOver()
		if owner == nil {
			results, err := run.outcome()
			return answered{id: id, results: results, err: err}
		}
		e.jobs.remove(id, run)
		if a, ok := e.attach(ctx, *owner, id, digest); ok {
			return a
		}
		round = owner.Round + 1
	}
	return answered{id: id, err: unknownOf(contract.ErrNoQuorum.Refuse(time.Second, "the job changes owners too fast"))}
}

// openKeyed returns the run of the job at this entry: one in progress, one that
// ended with an answer that stands, or a new one of the round.
func (e *Entry) openKeyed(spec contract.JobSpec, id contract.JobID, digest string, round uint64) (*jobRun, error) {
	for {
		var old active
		have, ok := e.jobs.get(id).(*jobRun)
		if ok {
			if have.digest != digest {
				return nil, keyReused(false)
			}
			if have.standing() {
				metrics.Resubmissions.Add(1)
				return have, nil
			}
			old = have
			round = max(round, have.epoch.Round+1)
		}
		run, err := e.newRun(spec, id)
		if err != nil {
			return nil, unknownOf(err)
		}
		run.digest = digest
		run.epoch = e.cfg.Records.epoch(round)
		if !e.jobs.swap(id, old, run) {
			continue
		}
		leave := e.join()
		go func() {
			defer leave()
			e.driveKeyed(run)
		}()
		return run, nil
	}
}

// driveKeyed runs a keyed job to its answer, with or without a caller.
func (e *Entry) driveKeyed(run *jobRun) {
	go func() {
		if run.epoch.Round == contract.FirstRound {
			run.claim()
			return
		}
		metrics.Takeovers.Add(1)
		run.takeOver()
	}()
	run.watch(context.Background())
	e.kept.add(run, time.Now(), e.cfg.Retention)
	time.AfterFunc(e.cfg.Retention, func() { e.jobs.remove(run.job.ID(), run) })
}

// standing reports whether a resubmission gets this run's answer: it has none
// yet, it is whole, or a task ran and failed. Otherwise a resubmission starts
// what never did.
func (r *jobRun) standing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.owner != nil || r.refused != nil || r.dropped:
		return false
	case !r.answered:
		return true
	}
	err := r.job.Err()
	return err == nil || contract.ErrTaskFailed.Is(err)
}

// attach waits for the answer at the job's owner. It reports false where the
// job must be taken over: its owner is gone, or has no answer that stands.
func (e *Entry) attach(ctx context.Context, owner contract.RecordEpoch, id contract.JobID, digest string) (answered, bool) {
	peer := e.cfg.Records.Peer(host.Ref{Host: owner.Host, Incarnation: owner.Incarnation})
	if peer == nil {
		return answered{}, false
	}
	reply, err := peer.Call(ctx, &contract.JobWait{Job: id, Digest: digest})
	if ctx.Err() != nil {
		return answered{id: id, err: contract.ErrCancelled.With("the caller went away")}, true
	}
	a, ok := reply.(*contract.JobAnswer)
	if err != nil || !ok || !a.Final {
		return answered{}, false
	}
	metrics.Resubmissions.Add(1)
	if !a.Failed {
		return answered{id: id, results: a.Results}, true
	}
	return answered{id: id, err: &contract.Error{
		Kind: a.Kind, Message: a.Message, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Tasks: a.Results,
	}}, true
}

// WaitJob answers another entry that asks for a job's answer. A submission that
// finds the job in progress gets its answer, whatever it is; one that comes
// after gets it only where it stands.
func (e *Entry) WaitJob(ctx context.Context, m *contract.JobWait) contract.Message {
	defer e.join()()
	run, ok := e.jobs.get(m.Job).(*jobRun)
	if !ok || run.digest != m.Digest {
		return &contract.JobAnswer{}
	}
	if !run.standing() {
		return &contract.JobAnswer{}
	}
	select {
	case <-run.done:
	case <-ctx.Done():
		return &contract.JobAnswer{}
	}
	if run.takenOver() != nil {
		return &contract.JobAnswer{}
	}
	results, err := run.outcome()
	if err == nil {
		if size(results) > maxHandedBytes {
			return link.NewFault(contract.ErrTooLarge.With("the answer is too large to hand over"))
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

// maxHandedBytes bounds the bodies of an answer that goes to another entry in
// one frame. A larger one is gathered again from the agents.
const maxHandedBytes = link.MaxFrameBytes - 1<<20

func size(results []contract.TaskResult) int {
	n := 0
	for _, r := range results {
		n += len(r.Body)
	}
	return n
}
