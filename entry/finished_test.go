package entry

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/tables"
)

// finishedRecorder is a Scheduler that records the Finished events.
type finishedRecorder struct{ finished []dispatch.Finished }

func (s *finishedRecorder) Step(_ time.Time, ev dispatch.Event) []dispatch.Action {
	if ev, ok := ev.(dispatch.Finished); ok {
		s.finished = append(s.finished, ev)
	}
	return nil
}

// TestCancelledTasksDoNotCountAsWorkerFailures checks that a task that was
// cancelled because its job had ended does not count as a failure of its
// worker.
func TestCancelledTasksDoNotCountAsWorkerFailures(t *testing.T) {
	unknown := contract.Result{Outcome: contract.OutcomeUnknown, Elapsed: time.Millisecond}
	serverError := contract.Result{Outcome: contract.OutcomeRan, Status: 500, Elapsed: time.Millisecond}
	succeeded := contract.Result{Outcome: contract.OutcomeRan, Status: 200, Elapsed: time.Millisecond}
	for _, tc := range []struct {
		name       string
		abort      contract.ErrorKind // not aborted if Name is empty
		result     contract.Result
		wantFailed bool
	}{
		{"succeeded", contract.ErrorKind{}, succeeded, false},
		{"failed", contract.ErrorKind{}, serverError, true},
		{"unknown", contract.ErrorKind{}, unknown, true},
		{"cancelled by the caller", contract.ErrCancelled, unknown, false},
		{"stopped as another task failed", contract.ErrTaskFailed, unknown, false},
		{"failed though the job was cancelled", contract.ErrCancelled, serverError, true},
		{"cut off by the deadline", contract.ErrDeadline, unknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rec := &finishedRecorder{}
			run := newTestRun(t, rec)
			ref := host.Ref{Host: "w1", Incarnation: 1}
			attempt, ok := run.job.Place(0, ref)
			must.True(t, ok)
			run.job.MarkSent(0, ref, attempt)
			if tc.abort.Name != "" {
				run.abort(tc.abort, "ended")
			}
			tc.result.Task = contract.TaskID{Job: run.job.ID()}
			tc.result.Attempt = attempt
			run.handleResult(ref, &tc.result)
			must.Len(t, 1, rec.finished)
			must.Eq(t, tc.wantFailed, rec.finished[0].Failed)
		})
	}
}

func newTestRun(t *testing.T, s dispatch.Scheduler) *jobRun {
	t.Helper()
	store := tables.NewStore()
	store.Update(contract.Tables{Version: 1, Routes: []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}}, Pools: []contract.Pool{{Name: "formula"}}})
	e := New(Config{Tables: store, NewScheduler: func(contract.Pool) dispatch.Scheduler { return s }, Log: logr.Discard()})
	run, err := e.newRun(contract.JobSpec{Route: "cards", Team: "thamel", Tasks: make([]contract.TaskSpec, 2)}, contract.NewJobID())
	must.NoError(t, err)
	return run
}

// TestPlacementAfterWithdrawalReleasesTheWorker covers a placement that looks
// up the request before it is withdrawn, and places it afterwards. The worker
// must be released.
func TestPlacementAfterWithdrawalReleasesTheWorker(t *testing.T) {
	e := newTestRun(t, &finishedRecorder{}).entry
	id := contract.TaskID{Job: contract.NewJobID()}
	run := &singleRun{placed: make(chan workerLink, 1), refused: make(chan error, 1)}
	e.jobs.compareAndSwap(id.Job, nil, run)
	found := e.jobs.get(id.Job)
	e.withdraw(e.pool("formula"), run, id)
	ref := host.Ref{Host: "w1", Incarnation: 1}
	events := found.place(id, workerLink{Worker: host.Worker{Identity: host.Identity{Ref: ref}}})
	must.Eq(t, []dispatch.Event{dispatch.Finished{Task: id, Worker: ref}}, events)
}
