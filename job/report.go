package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Ended is a task whose outcome is final, with the worker it was last sent to.
type Ended struct {
	contract.TaskResult
	Ref host.Ref
}

// TakeEnded returns the tasks that ended since the last call.
func (j *Job) TakeEnded() []Ended {
	out := make([]Ended, 0, len(j.ended))
	for _, i := range j.ended {
		t := &j.tasks[i]
		out = append(out, Ended{TaskResult: t.result, Ref: t.worker})
	}
	j.ended = j.ended[:0]
	return out
}

// Err returns the typed reason why the job failed with the outcomes by task so
// far, or nil.
func (j *Job) Err() error {
	if j.failed == nil {
		return nil
	}
	e, ok := contract.AsError(j.failed)
	if !ok {
		return j.failed
	}
	return e.Kind.WithTasks(j.Results(), "%s", e.Message)
}

// Status returns the job's state for its caller.
func (j *Job) Status() contract.JobStatus {
	s := contract.JobStatus{ID: j.id, State: contract.JobRunning, Tasks: j.Results()}
	switch {
	case j.failed != nil:
		s.State = contract.JobFailed
	case j.open == 0:
		s.State = contract.JobComplete
	}
	outcomes := make([]contract.Outcome, len(s.Tasks))
	for i, t := range s.Tasks {
		outcomes[i] = t.Outcome
	}
	s.Outcome = contract.Combine(outcomes)
	return s
}

// Results returns the tasks' results in order. A task that was sent and has
// not ended is unknown; one that waits is not-run once the job has failed.
func (j *Job) Results() []contract.TaskResult {
	out := make([]contract.TaskResult, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		out[i] = t.result
		if t.phase == phaseSent {
			out[i].Worker = t.worker.Host
		}
	}
	return out
}

// AnyNotRun reports whether a task has ended without a start.
func (j *Job) AnyNotRun() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.phase == phaseEnded && t.result.Outcome == contract.OutcomeNotRun
	})
}

// Doubt makes unknown what has not run: another owner of the job may have
// started it since.
func (j *Job) Doubt() {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseEnded && t.result.Outcome == contract.OutcomeNotRun {
			t.result.Outcome = contract.OutcomeUnknown
			t.result.Reason = "no quorum could say whether another entry took the job over"
		}
	}
}

// DropBodies forgets the results' bodies, once the answer has been taken.
func (j *Job) DropBodies() {
	for i := range j.tasks {
		j.tasks[i].result.Body = nil
	}
}
