package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// EndedTask is the result of a task that ended.
type EndedTask struct {
	contract.TaskResult
	// WorkerRef is the incarnation of the worker that the result names. It is zero if the
	// task was never placed.
	WorkerRef host.Ref
}

// TakeEnded returns the tasks that ended, or were resolved from unknown, since
// the last call.
func (j *Job) TakeEnded() []EndedTask {
	out := make([]EndedTask, 0, len(j.newlyEnded))
	for _, i := range j.newlyEnded {
		t := &j.tasks[i]
		out = append(out, EndedTask{TaskResult: t.result, WorkerRef: t.worker})
	}
	j.newlyEnded = j.newlyEnded[:0]
	return out
}

// Err returns the error with which the job failed, including the results of its
// tasks so far, or nil if the job has not failed.
func (j *Job) Err() error {
	if j.failure == nil {
		return nil
	}
	e, ok := contract.AsError(j.failure)
	if !ok {
		return j.failure
	}
	return e.Kind.WithTasks(j.Results(), "%s", e.Message)
}

// Status returns the job's state as it is reported to callers.
func (j *Job) Status() contract.JobStatus {
	s := contract.JobStatus{ID: j.id, State: contract.JobRunning, Tasks: j.Results()}
	switch {
	case j.failure != nil:
		s.State = contract.JobFailed
	case j.unfinished == 0:
		s.State = contract.JobComplete
	}
	outcomes := make([]contract.Outcome, len(s.Tasks))
	for i, t := range s.Tasks {
		outcomes[i] = t.Outcome
	}
	s.Outcome = contract.CombineOutcomes(outcomes)
	return s
}

// Results returns the results of all tasks in order of their index. The outcome
// of an unfinished task is unknown.
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

// AnyNotRun reports whether a task has ended as not-run.
func (j *Job) AnyNotRun() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.phase == phaseEnded && t.result.Outcome == contract.OutcomeNotRun
	})
}

// MarkNotRunUnknown changes the outcome of the tasks that ended as not-run to
// unknown, because another owner of the job may have started them since.
func (j *Job) MarkNotRunUnknown() {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseEnded && t.result.Outcome == contract.OutcomeNotRun {
			t.result.Outcome = contract.OutcomeUnknown
			t.result.Reason = "no quorum could say whether another entry took the job over"
		}
	}
}

// DropBodies releases the bodies of the results. It is called when the answer is
// no longer kept.
func (j *Job) DropBodies() {
	for i := range j.tasks {
		j.tasks[i].result.Body = nil
	}
}
