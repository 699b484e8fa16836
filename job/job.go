// Package job tracks one job at the entry that owns it, from admission to its
// answer. It is pure: calls report what happened, and return what to do. It is
// not safe for concurrent use.
//
// Invariant: a task is offered for placement only while it is known that no
// worker has started it or will. A task that was sent stays with its worker
// until the worker says that it is fenced, reports a result, or is lost. A task
// that an earlier owner of the job may have sent is asked about at each worker
// that it may have been sent to, and is offered once all have fenced it.
package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// phase is where a task stands.
type phase uint8

const (
	phaseQueued phase = iota
	phaseAsked
	phasePlaced // has a worker, and its start has not left
	phaseSent
	phaseEnded
)

type task struct {
	phase phase
	// worker is where the task was last sent.
	worker  host.Ref
	attempt uint32
	// asked are the workers whose answer is awaited in phaseAsked.
	asked []host.Ref
	// unsure means that a worker was lost that may have started the task.
	unsure bool
	// notStarted counts the ends without a start at an upstream.
	notStarted int
	result     contract.TaskResult
}

// Job is one job's state.
type Job struct {
	id     contract.JobID
	tasks  []task
	open   int // tasks not ended
	ended  []uint32
	failed error
	// closing means that no task is placed any more: the deadline is near.
	closing bool
	// late means that a task ended for that reason: the job can't be whole.
	late bool
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

// Place records that task i is to be sent to w, and returns the attempt number
// of the start. It reports false where the task must not start.
func (j *Job) Place(i uint32, w host.Ref) (uint32, bool) {
	t := j.task(i)
	if t == nil || t.phase != phaseQueued || j.failed != nil || j.closing {
		return 0, false
	}
	t.phase = phasePlaced
	t.worker = w
	t.attempt++
	return t.attempt, true
}

// Send records that the start of the attempt leaves for w. It reports false
// where it must not: the task was not placed so, or the job has ended.
func (j *Job) Send(i uint32, w host.Ref, attempt uint32) bool {
	t := j.task(i)
	if t == nil || t.phase != phasePlaced || t.worker != w || t.attempt != attempt || j.failed != nil {
		return false
	}
	t.phase = phaseSent
	return true
}

// Unsent records that task i provably never left for w, or that w has fenced
// the attempts up to the given one: it may be placed again. It reports whether
// the task waits for placement. A report on an earlier attempt comes late and
// says nothing.
func (j *Job) Unsent(i uint32, w host.Ref, attempt uint32) bool {
	t := j.task(i)
	if t == nil || attempt < t.attempt {
		return false
	}
	if t.phase == phasePlaced && t.worker == w || j.sentTo(i, w) != nil {
		return j.requeue(t)
	}
	return j.unasked(i, w)
}

// requeue makes t wait for placement, unless the job places no more.
func (j *Job) requeue(t *task) bool {
	switch {
	case t.unsure:
		j.end(t, contract.OutcomeUnknown, 0, "a worker was lost that it was sent to")
		j.fail(contract.ErrUpstreamLost, "worker %s was lost after task %d was sent to it", t.worker.Host, t.result.Task)
		return false
	case j.failed != nil:
		j.end(t, contract.OutcomeNotRun, 0, "the job had ended")
		return false
	case j.closing:
		j.late = true
		j.end(t, contract.OutcomeNotRun, 0, "the deadline was too near to start")
		return false
	}
	t.phase = phaseQueued
	return true
}

// maxNotStarted is how many workers may report that they could not reach their
// upstream before the task fails.
const maxNotStarted = 3

// Disposition says what became of a result.
type Disposition uint8

// The dispositions.
const (
	// Stray means that the result belongs to no task that waits for it.
	Stray Disposition = iota
	// Ending means that the task has ended.
	Ending
	// Requeued means that the task did not run and waits for placement.
	Requeued
)

// Result records the end of task i at w. A result that does not belong to the
// task's present worker is stray.
func (j *Job) Result(w host.Ref, r *contract.Result) Disposition {
	if r.Outcome != contract.OutcomeNotRun {
		// A result that says not-run leaves the other workers of the plan to ask.
		j.Started(r.Task.Index, w)
	}
	t := j.sentTo(r.Task.Index, w)
	if t == nil || r.Outcome == contract.OutcomeNotRun && r.Attempt < t.attempt {
		return Stray
	}
	if r.Outcome == contract.OutcomeNotRun && t.notStarted < maxNotStarted-1 {
		t.notStarted++
		if j.requeue(t) {
			return Requeued
		}
		return Ending
	}
	if j.failed == nil {
		t.result.Body = r.Body
	}
	t.result.Elapsed = r.Elapsed
	j.end(t, r.Outcome, r.Status, r.Reason)
	if r.Outcome != contract.OutcomeRan || r.Status >= 300 {
		j.fail(contract.ErrTaskFailed, "task %d ended with status %d at %s: %s", r.Task.Index, r.Status, w.Host, r.Reason)
	}
	return Ending
}

// Close stops placement: the deadline is near. A job with a task that is fenced
// from now on fails once the others have ended, or at its deadline.
func (j *Job) Close() { j.closing = true }

// Untouched reports whether no task can have been sent to any worker.
func (j *Job) Untouched() bool {
	return !slices.ContainsFunc(j.tasks, func(t task) bool { return t.phase != phaseQueued || t.attempt > 0 })
}

// Queued returns the tasks that wait for placement.
func (j *Job) Queued() []uint32 {
	var out []uint32
	for i := range j.tasks {
		if j.tasks[i].phase == phaseQueued {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Attempt returns the last attempt at task i that may have been sent.
func (j *Job) Attempt(i uint32) uint32 {
	if t := j.task(i); t != nil {
		return t.attempt
	}
	return 0
}

// Lost records that w is gone for good: what it was sent may have run.
func (j *Job) Lost(w host.Ref) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseSent && t.worker == w:
			j.end(t, contract.OutcomeUnknown, 0, "the worker was lost")
			j.fail(contract.ErrUpstreamLost, "worker %s was lost after task %d was sent to it", w.Host, i)
		case t.phase == phaseAsked && slices.Contains(t.asked, w):
			t.unsure = true
			t.worker = w
			j.unasked(uint32(i), w)
		}
	}
}

// Abort ends the job for the given kind of reason: what waits never runs.
// A job whose tasks have all ended stays as it is.
func (j *Job) Abort(k contract.Kind, format string, args ...any) {
	if j.open > 0 {
		j.fail(k, format, args...)
	}
}

// Done reports whether the job has its answer: it failed, or all tasks ended.
func (j *Job) Done() bool { return j.failed != nil || j.open == 0 }

// Settled reports whether every task's outcome is final.
func (j *Job) Settled() bool { return j.open == 0 }

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
	if j.open == 0 && j.late {
		j.fail(contract.ErrDeadline, "a task had not started when the deadline came")
	}
}

// fail records the first reason and ends what waits.
func (j *Job) fail(k contract.Kind, format string, args ...any) {
	if j.failed != nil {
		return
	}
	j.failed = k.With(format, args...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phaseQueued || t.phase == phasePlaced {
			j.end(t, contract.OutcomeNotRun, 0, "the job ended first")
		}
	}
}
