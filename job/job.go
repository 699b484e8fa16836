// Package job tracks one job at the entry that owns it, from admission to its
// answer. It does no I/O and reads no clock: the caller reports events, and acts
// on what the methods return. It is not safe for concurrent use.
//
// Invariant: a task is queued for placement only while it is known that no
// worker has started it or will start it. A task that was sent stays with its
// worker until the worker reports that it has fenced the task, reports a result,
// or is lost. If an earlier owner of the job may have sent a task, each worker
// that may have received it is asked, and the task is queued once all of them
// have fenced it.
package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// phase is the state of a task.
type phase uint8

const (
	phaseQueued  phase = iota // waits for placement
	phaseAdopted              // may have been sent by an earlier owner; workers are being asked
	phasePlaced               // has a worker; its start has not been sent
	phaseSent                 // its start was sent to the worker
	phaseEnded                // has an outcome
)

// task is the state of one task of a job.
type task struct {
	phase phase
	// worker is the worker that the task was last placed on. For an adopted task,
	// it is the worker that started it, or the last possible worker that was lost.
	worker  host.Ref
	attempt uint32
	// possibleWorkers are, in phaseAdopted, the workers that may have received
	// the task from an earlier owner, and that have neither fenced it nor been lost.
	possibleWorkers []host.Ref
	// mayHaveRun is set when a worker was lost that may have started the task for
	// an earlier owner.
	mayHaveRun bool
	// startFailures counts the attempts that failed because the worker could not
	// reach its upstream.
	startFailures int
	result        contract.TaskResult
}

// Job is the state of one job and its tasks.
type Job struct {
	id         contract.JobID
	tasks      []task
	unfinished int      // number of tasks that have not ended
	newlyEnded []uint32 // tasks that the next call of TakeEnded returns
	failure    error    // the error with which the job failed, or nil
	// placementStopped is set when the deadline is near: no more tasks are placed.
	placementStopped bool
	// deadlineMissed is set when a task ended as not-run because placement had
	// stopped. The job fails once all its tasks have ended.
	deadlineMissed bool
}

// New returns the state of a job with n queued tasks.
func New(id contract.JobID, n int) *Job {
	j := &Job{id: id, tasks: make([]task, n), unfinished: n}
	for i := range j.tasks {
		j.tasks[i].result.Task = uint32(i)
	}
	return j
}

// ID returns the job's ID.
func (j *Job) ID() contract.JobID { return j.id }

// Place records that task i is to be sent to w, and returns the attempt number
// of the start. It returns false if the task is not queued, the job has failed,
// or placement has stopped.
func (j *Job) Place(i uint32, w host.Ref) (uint32, bool) {
	t := j.task(i)
	if t == nil || t.phase != phaseQueued || j.failure != nil || j.placementStopped {
		return 0, false
	}
	t.phase = phasePlaced
	t.worker = w
	t.attempt++
	return t.attempt, true
}

// MarkSent records that the start of the attempt is sent to w. It returns false if
// the start must not be sent: this attempt is not placed on w, or the job has
// failed.
func (j *Job) MarkSent(i uint32, w host.Ref, attempt uint32) bool {
	t := j.task(i)
	if t == nil || t.phase != phasePlaced || t.worker != w || t.attempt != attempt || j.failure != nil {
		return false
	}
	t.phase = phaseSent
	return true
}

// NotStarted records that the given attempt at task i was not sent to w, or that w
// has fenced the attempts up to it. It queues the task again, unless another worker
// may have started it, the job has failed, or placement has stopped, and reports
// whether it did. A call for an attempt before the last one is out of date and is
// ignored.
func (j *Job) NotStarted(i uint32, w host.Ref, attempt uint32) bool {
	t := j.task(i)
	if t == nil || attempt < t.attempt {
		return false
	}
	if t.phase == phasePlaced && t.worker == w || j.sentTo(i, w) != nil {
		return j.requeue(t)
	}
	return j.excludeWorker(i, w)
}

// requeue queues t for placement and returns true. If a lost worker may have
// started t, the job has failed, or placement has stopped, it ends t instead and
// returns false.
func (j *Job) requeue(t *task) bool {
	switch {
	case t.mayHaveRun:
		j.end(t, contract.OutcomeUnknown, 0, "a worker was lost that it was sent to")
		j.fail(contract.ErrUpstreamLost, "worker %s was lost after task %d was sent to it", t.worker.Host, t.result.Task)
		return false
	case j.failure != nil:
		j.end(t, contract.OutcomeNotRun, 0, "the job had ended")
		return false
	case j.placementStopped:
		j.deadlineMissed = true
		j.end(t, contract.OutcomeNotRun, 0, "the deadline was too near to start")
		return false
	}
	t.phase = phaseQueued
	return true
}

// maxStartFailures is the number of attempts after which a task fails, if each of
// them failed because the worker could not reach its upstream.
const maxStartFailures = 3

// Disposition tells what Result did with a worker's result.
type Disposition uint8

// The dispositions of a result.
const (
	// Ignored means that the result was ignored: no task is waiting for it.
	Ignored Disposition = iota
	// TaskEnded means that the result ended the task.
	TaskEnded
	// Requeued means that the task did not run and was queued again.
	Requeued
)

// Result records the result r that w reported for a task. It ignores a result
// from a worker other than the one that the task was last sent to, and a not-run
// result of an earlier attempt. A result other than not-run first counts as a
// report that w has started the task, as in Started.
func (j *Job) Result(w host.Ref, r *contract.Result) Disposition {
	if r.Outcome != contract.OutcomeNotRun {
		// Such a result proves that w started the task. A not-run result does not
		// rule out that another of the possible workers has started it.
		j.Started(r.Task.Index, w)
	}
	t := j.sentTo(r.Task.Index, w)
	if t == nil || r.Outcome == contract.OutcomeNotRun && r.Attempt < t.attempt {
		return Ignored
	}
	if r.Outcome == contract.OutcomeNotRun && t.startFailures < maxStartFailures-1 {
		t.startFailures++
		if j.requeue(t) {
			return Requeued
		}
		return TaskEnded
	}
	if j.failure == nil {
		t.result.Body = r.Body
	}
	t.result.Elapsed = r.Elapsed
	j.end(t, r.Outcome, r.Status, r.Reason)
	if r.Outcome != contract.OutcomeRan || r.Status >= 300 {
		j.fail(contract.ErrTaskFailed, "task %d ended with status %d at %s: %s", r.Task.Index, r.Status, w.Host, r.Reason)
	}
	return TaskEnded
}

// StopPlacement stops placement because the deadline is near. A task that would be
// queued again after that ends as not-run instead, and the job fails once all its
// tasks have ended.
func (j *Job) StopPlacement() { j.placementStopped = true }

// NonePlaced reports whether all tasks are queued and none has been placed or
// adopted before, so that no worker can have received one.
func (j *Job) NonePlaced() bool {
	return !slices.ContainsFunc(j.tasks, func(t task) bool { return t.phase != phaseQueued || t.attempt > 0 })
}

// Queued returns the indexes of the tasks that wait for placement.
func (j *Job) Queued() []uint32 {
	var out []uint32
	for i := range j.tasks {
		if j.tasks[i].phase == phaseQueued {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Attempt returns the number of the last attempt at task i, which may or may not
// have been sent, or 0 if there was none.
func (j *Job) Attempt(i uint32) uint32 {
	if t := j.task(i); t != nil {
		return t.attempt
	}
	return 0
}

// WorkerLost records that w is permanently lost. Tasks that were sent to it end as
// unknown, since they may have run, and the job fails. The same applies to an
// adopted task that w may have received, unless another possible worker reports
// that it has started it.
func (j *Job) WorkerLost(w host.Ref) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseSent && t.worker == w:
			j.end(t, contract.OutcomeUnknown, 0, "the worker was lost")
			j.fail(contract.ErrUpstreamLost, "worker %s was lost after task %d was sent to it", w.Host, i)
		case t.phase == phaseAdopted && slices.Contains(t.possibleWorkers, w):
			t.mayHaveRun = true
			t.worker = w
			j.excludeWorker(uint32(i), w)
		}
	}
}

// Abort fails the job with an error of kind k. Queued and placed tasks end as
// not-run; tasks that a worker may have received stay unfinished. Abort has no
// effect if the job has failed before or all its tasks have ended.
func (j *Job) Abort(k contract.ErrorKind, format string, args ...any) {
	if j.unfinished > 0 {
		j.fail(k, format, args...)
	}
}

// Done reports whether the job can be answered: it failed, or all its tasks
// ended.
func (j *Job) Done() bool { return j.failure != nil || j.unfinished == 0 }

// AllEnded reports whether all tasks have ended.
func (j *Job) AllEnded() bool { return j.unfinished == 0 }

// task returns task i, or nil if the job has no such task.
func (j *Job) task(i uint32) *task {
	if int(i) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[i]
}

// sentTo returns task i if it was last sent to w and has not ended, or nil.
func (j *Job) sentTo(i uint32, w host.Ref) *task {
	t := j.task(i)
	if t == nil || t.phase != phaseSent || t.worker != w {
		return nil
	}
	return t
}

// end records the outcome of t. If t is the last task to end and the deadline
// was missed, the job fails.
func (j *Job) end(t *task, o contract.Outcome, status int, reason string) {
	t.phase = phaseEnded
	t.result.Outcome = o
	t.result.Status = status
	t.result.Reason = reason
	t.result.Worker = t.worker.Host
	t.result.Attempt = t.attempt
	j.unfinished--
	j.newlyEnded = append(j.newlyEnded, t.result.Task)
	if j.unfinished == 0 && j.deadlineMissed {
		j.fail(contract.ErrDeadline, "a task had not started when the deadline came")
	}
}

// fail records the job's failure and ends its queued and placed tasks as not-run.
// It has no effect if the job has failed before.
func (j *Job) fail(k contract.ErrorKind, format string, args ...any) {
	if j.failure != nil {
		return
	}
	j.failure = k.With(format, args...)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phaseQueued || t.phase == phasePlaced {
			j.end(t, contract.OutcomeNotRun, 0, "the job ended first")
		}
	}
}
