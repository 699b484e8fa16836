// Package job tracks one job at the entry that owns it, from admission to its
// answer. It is pure: calls report what happened, and return what to do. It is
// not safe for concurrent use.
//
// Invariant: a task is offered for placement only while it is known that no
// worker has started it or will. A task that was sent stays with its worker
// until the worker says that it is fenced, reports a result, or is lost.
package job

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// phase is where a task stands.
type phase uint8

const (
	phaseQueued phase = iota
	phaseSent
	phaseEnded
)

type task struct {
	phase   phase
	worker  host.Ref
	attempt uint32
	result  contract.TaskResult
}

// Job is one job's state.
type Job struct {
	id     contract.JobID
	tasks  []task
	open   int // tasks not ended
	ended  []uint32
	failed error
}

// New returns the state of a job with n unplaced tasks.
func New(id contract.JobID, n int) *Job {
	j := &Job{id: id, tasks: make([]task, n), open: n}
	for i := range j.tasks {
		j.tasks[i].result.Task = uint32(i)
	}
	return j
}

// ID returns the job's ID.
func (j *Job) ID() contract.JobID { return j.id }

// Place records that task i is about to be sent to w, and returns the attempt
// number of the start. It reports false where the task must not start.
func (j *Job) Place(i uint32, w host.Ref) (uint32, bool) {
	t := j.task(i)
	if t == nil || t.phase != phaseQueued || j.failed != nil {
		return 0, false
	}
	t.phase = phaseSent
	t.worker = w
	t.attempt++
	return t.attempt, true
}

// Unsent records that task i provably never left for w, or that w has fenced
// it: it may be placed again. It reports whether the task waits for placement.
func (j *Job) Unsent(i uint32, w host.Ref) bool {
	t := j.sentTo(i, w)
	if t == nil {
		return false
	}
	if j.failed != nil {
		j.end(t, contract.OutcomeNotRun, 0, "the job had ended")
		return false
	}
	t.phase = phaseQueued
	return true
}

// Result records the end of task i at w. It reports false for a result that
// does not belong to the task's present worker.
func (j *Job) Result(w host.Ref, r *contract.Result) bool {
	t := j.sentTo(r.Task.Index, w)
	if t == nil {
		return false
	}
	t.result.Body = r.Body
	t.result.Elapsed = r.Elapsed
	j.end(t, r.Outcome, r.Status, r.Reason)
	if r.Outcome != contract.OutcomeRan || r.Status >= 300 {
		j.fail(contract.ErrTaskFailed, "task %d ended with status %d at %s: %s", r.Task.Index, r.Status, w.Host, r.Reason)
	}
	return true
}

// Lost records that w is gone for good: what it was sent may have run.
func (j *Job) Lost(w host.Ref) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseSent && t.worker == w {
			j.end(t, contract.OutcomeUnknown, 0, "the worker was lost")
			j.fail(contract.ErrUpstreamLost, "worker %s was lost after task %d was sent to it", w.Host, i)
		}
	}
}

// Abort ends the job for the given kind of reason: what waits never runs.
func (j *Job) Abort(k contract.Kind, format string, args ...any) {
	j.fail(k, format, args...)
}

// Sent returns the tasks that w holds without an end.
func (j *Job) Sent(w host.Ref) []contract.TaskID {
	var out []contract.TaskID
	for i := range j.tasks {
		if j.tasks[i].phase == phaseSent && j.tasks[i].worker == w {
			out = append(out, contract.TaskID{Job: j.id, Index: uint32(i)})
		}
	}
	return out
}

// Holders returns the workers that hold tasks without an end.
func (j *Job) Holders() []host.Ref {
	seen := make(map[host.Ref]bool)
	var out []host.Ref
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseSent && !seen[t.worker] {
			seen[t.worker] = true
			out = append(out, t.worker)
		}
	}
	return out
}

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

// Done reports whether the job has its answer: it failed, or all tasks ended.
func (j *Job) Done() bool { return j.failed != nil || j.open == 0 }

// Settled reports whether every task's outcome is final.
func (j *Job) Settled() bool { return j.open == 0 }

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

func (j *Job) task(i uint32) *task {
	if int(i) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

func (j *Job) sentTo(i uint32, w host.Ref) *task {
	t := j.task(i)
	if t == nil || t.phase != phaseSent || t.worker != w {
		return nil
	}
	return t
}

func (j *Job) end(t *task, o contract.Outcome, status int, reason string) {
	t.phase = phaseEnded
	t.result.Outcome = o
	t.result.Status = status
	t.result.Reason = reason
	t.result.Worker = t.worker.Host
	t.result.Attempt = t.attempt
	j.open--
	j.ended = append(j.ended, t.result.Task)
}

// fail records the first reason and ends what waits.
func (j *Job) fail(k contract.Kind, format string, args ...any) {
	if j.failed != nil || j.open == 0 && k.Name != contract.ErrTaskFailed.Name && k.Name != contract.ErrUpstreamLost.Name {
		return
	}
	j.failed = k.With(format, args...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phaseQueued {
			j.end(t, contract.OutcomeNotRun, 0, "the job ended first")
		}
	}
}
