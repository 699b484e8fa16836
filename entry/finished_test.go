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

// finishedRecorder keeps the ends of tasks that it is told of.
type finishedRecorder struct{ finished []dispatch.Finished }

func (s *finishedRecorder) Step(_ time.Time, ev dispatch.Event) []dispatch.Action {
	if ev, ok := ev.(dispatch.Finished); ok {
		s.finished = append(s.finished, ev)
	}
	return nil
}

// TestWorkerIsBlamedForItsOwnFailuresOnly: a task that was stopped because its
// job had ended is no failure of its worker.
func TestWorkerIsBlamedForItsOwnFailuresOnly(t *testing.T) {
	unknown := contract.Result{Outcome: contract.OutcomeUnknown, Elapsed: time.Millisecond}
	broken := contract.Result{Outcome: contract.OutcomeRan, Status: 500, Elapsed: time.Millisecond}
	whole := contract.Result{Outcome: contract.OutcomeRan, Status: 200, Elapsed: time.Millisecond}
	for _, tc := range []struct {
		name   string
		abort  contract.Kind // none where it has no name
		result contract.Result
		blamed bool
	}{
		{"whole", contract.Kind{}, whole, false},
		{"failed", contract.Kind{}, broken, true},
		{"unknown", contract.Kind{}, unknown, true},
		{"cancelled by the caller", contract.ErrCancelled, unknown, false},
		{"stopped as another task failed", contract.ErrTaskFailed, unknown, false},
		{"failed though the job was cancelled", contract.ErrCancelled, broken, true},
		{"cut off by the deadline", contract.ErrDeadline, unknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rec := &finishedRecorder{}
			run := newTestRun(t, rec)
			ref := host.Ref{Host: "w1", Incarnation: 1}
			attempt, ok := run.job.Place(0, ref)
			must.True(t, ok)
			run.job.Send(0, ref, attempt)
			if tc.abort.Name != "" {
				run.abort(tc.abort, "ended")
			}
			tc.result.Task = contract.TaskID{Job: run.job.ID()}
			tc.result.Attempt = attempt
			run.result(ref, &tc.result)
			must.Len(t, 1, rec.finished)
			must.Eq(t, tc.blamed, rec.finished[0].Failed)
		})
	}
}

func newTestRun(t *testing.T, s dispatch.Scheduler) *jobRun {
	t.Helper()
	h := tables.NewHolder()
	h.Offer(contract.Tables{Version: 1, Routes: []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}}, Pools: []contract.Pool{{Name: "formula"}}})
	e := New(Config{Tables: h, NewScheduler: func(contract.Pool) dispatch.Scheduler { return s }, Log: logr.Discard()})
	run, err := e.newRun(contract.JobSpec{Route: "cards", Team: "thamel", Tasks: make([]contract.TaskSpec, 2)}, contract.NewJobID())
	must.NoError(t, err)
	return run
}

// TestPlacementThatRacesWithdrawalGivesTheWorkerBack: the placement has found
// the request before it was withdrawn, and places it after.
func TestPlacementThatRacesWithdrawalGivesTheWorkerBack(t *testing.T) {
	e := newTestRun(t, &finishedRecorder{}).entry
	id := contract.TaskID{Job: contract.NewJobID()}
	run := &singleRun{placed: make(chan workerLink, 1), refused: make(chan error, 1)}
	e.jobs.swap(id.Job, nil, run)
	found := e.jobs.get(id.Job)
	e.withdraw(e.pool("formula"), run, id)
	ref := host.Ref{Host: "w1", Incarnation: 1}
	events := found.place(id, workerLink{Worker: host.Worker{Identity: host.Identity{Ref: ref}}})
	must.Eq(t, []dispatch.Event{dispatch.Finished{Task: id, Worker: ref}}, events)
}
