package entry

import (
	"context"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// jobRun is a job at this entry: one in progress, or an ended one whose state is
// still kept.
type jobRun struct {
	entry    *Entry
	pool     *pool
	route    contract.Route
	spec     contract.JobSpec // its tasks are guarded by mu
	demands  []contract.Demand
	deadline time.Time
	done     chan struct{} // closed when the job is answered
	// digest and epoch are set for a job with an idempotency key.
	digest string
	epoch  contract.RecordEpoch

	mu  sync.Mutex // guards the fields below; held while sending on links
	job *job.Job
	// refused is the error of a job that the scheduler or the record holders
	// refused.
	refused  error
	answered bool
	// placeable is set for a job with an idempotency key once its claim has
	// begun, or once it has adopted all tasks that the previous owner may have
	// started.
	placeable bool
	// claiming is set while the first placements are collected, so that they
	// are written in one message with the claim.
	claiming bool
	// pending holds the placements that extend has yet to write to the job's
	// record. Their starts have not been sent.
	pending []placement
	// newOwner is the epoch that took the job over from this run, or nil.
	newOwner *contract.RecordEpoch
	// claimRefused means that the record holders did not grant ownership, so
	// that the run doesn't know the outcomes of the tasks.
	claimRefused bool
	// bodiesDropped means that the bodies of the results are no longer kept.
	bodiesDropped bool
	// sealing is set when the run begins to confirm with a quorum that it still
	// owns the job, before an answer that reports tasks as not run. sealed is
	// set when the confirmation has ended.
	sealing, sealed bool
}

// placement is an attempt at a task that is to be started at a worker.
type placement struct {
	id      contract.TaskID
	worker  host.Ref
	attempt uint32
}

func (r *jobRun) keyed() bool { return r.digest != "" }

func (r *jobRun) place(id contract.TaskID, w workerLink) []dispatch.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keyed() && !r.placeable {
		// The placement is for an earlier run of the job at this entry. This
		// run doesn't know yet which tasks have started.
		return []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}
	}
	attempt, ok := r.job.Place(id.Index, w.Ref)
	if !ok {
		return []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}
	}
	p := placement{id: id, worker: w.Ref, attempt: attempt}
	if r.keyed() {
		r.pending = append(r.pending, p)
		if len(r.pending) == 1 && !r.claiming {
			r.entry.placementQueue.add(r)
		}
		return nil
	}
	return r.sendStart(p)
}

// sendStart sends the start of a placement. The caller holds r.mu, so that a
// Cancel message can't overtake the start.
func (r *jobRun) sendStart(p placement) []dispatch.Event {
	w, ok := r.entry.worker(p.worker)
	if ok && w.link != nil && r.job.MarkSent(p.id.Index, p.worker, p.attempt) {
		if err := w.link.Send(r.startMessage(p)); err == nil {
			metrics.StartsSent.Add(1)
			return nil
		}
	}
	return r.requeue(p.id, p.worker, p.attempt)
}

func (r *jobRun) startMessage(p placement) *contract.Start {
	t := r.spec.Tasks[p.id.Index]
	lease := time.Until(r.deadline)
	if limit := r.route.Timeout(); limit > 0 {
		lease = min(lease, limit)
	}
	return &contract.Start{
		Task:          p.id,
		To:            p.worker.Incarnation,
		Attempt:       p.attempt,
		Route:         r.route.Name,
		Pool:          r.route.Pool,
		Method:        "POST",
		Path:          r.route.PathPrefix,
		Payload:       t.Payload,
		Demand:        t.Demand.Normalized(),
		Lease:         lease,
		TablesVersion: r.entry.cfg.Tables.Version(),
		KeepResult:    r.keyed(),
		Acks:          r.entry.takeDurableAcks(p.worker),
	}
}

// requeue returns the event for a task whose attempt has not started at w and
// never will: Requeue if the job may place it again, else Finished. The caller
// holds r.mu.
func (r *jobRun) requeue(id contract.TaskID, w host.Ref, attempt uint32) []dispatch.Event {
	if r.job.NotStarted(id.Index, w, attempt) {
		return []dispatch.Event{dispatch.Requeue{Task: id, Worker: w}}
	}
	return []dispatch.Event{dispatch.Finished{Task: id, Worker: w}}
}

// attemptFenced handles a worker's report that it has fenced an attempt.
func (r *jobRun) attemptFenced(id contract.TaskID, w host.Ref, attempt uint32) {
	r.mu.Lock()
	if r.job.Resolve(id.Index, w, contract.OutcomeNotRun, 0, "fenced after the answer") {
		metrics.OutcomesResolved.Add(1)
	}
	var events []dispatch.Event
	if attempt >= r.job.Attempt(id.Index) {
		events = r.requeue(id, w, attempt)
	}
	failed := r.finishIfDone()
	r.mu.Unlock()
	r.applyEvents(events, failed)
}

// taskStarted handles a worker's report that it has started a task.
func (r *jobRun) taskStarted(id contract.TaskID, w host.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.job.Started(id.Index, w)
}

func (r *jobRun) refuse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered {
		return
	}
	if e, ok := contract.AsError(err); ok && !r.job.NonePlaced() {
		r.job.Abort(e.Kind, "%s", e.Message)
		r.finishIfDone()
		return
	}
	r.refused = err
	if !r.claiming {
		r.markAnswered()
	}
}

// handleResult handles the result of a task from w.
func (r *jobRun) handleResult(w host.Ref, res *contract.Result) {
	id := res.Task
	r.mu.Lock()
	excused := res.Outcome == contract.OutcomeUnknown && endedByEntry(r.job.Err())
	disposition := r.job.Result(w, res)
	if disposition == job.Ignored && r.job.Resolve(id.Index, w, res.Outcome, res.Status, res.Reason) {
		metrics.OutcomesResolved.Add(1)
	}
	failed := r.finishIfDone()
	r.mu.Unlock()
	var events []dispatch.Event
	switch disposition {
	case job.Ignored:
		metrics.ResultsUnmatched.Add(1)
	case job.Requeued:
		events = []dispatch.Event{dispatch.Requeue{Task: id, Worker: w}}
	case job.TaskEnded:
		metrics.ResultsMatched.Add(1)
		workerFailed := !excused && (res.Outcome != contract.OutcomeRan || res.Status >= 500)
		events = []dispatch.Event{dispatch.Finished{Task: id, Worker: w, Elapsed: res.Elapsed, Failed: workerFailed}}
	}
	r.applyEvents(events, failed)
}

// endedByEntry reports whether a job ended with an error other than its
// deadline. The entry may then have cancelled the running tasks, so an unknown
// outcome does not count as a failure of the worker. After a missed deadline it
// does count, because the worker may have stalled.
func endedByEntry(end error) bool { return end != nil && !contract.ErrDeadline.Is(end) }

// workerLost records that w is lost. The tasks that were sent to it end with an
// unknown outcome.
func (r *jobRun) workerLost(w host.Ref) {
	r.mu.Lock()
	ids, _ := r.job.UnfinishedAt(w)
	r.job.WorkerLost(w)
	failed := r.finishIfDone()
	r.mu.Unlock()
	var events []dispatch.Event
	for _, id := range ids {
		events = append(events, dispatch.Finished{Task: id, Worker: w, Failed: true})
	}
	r.applyEvents(events, failed)
}

// abort ends the job: queued tasks never run, and tasks that were sent are
// cancelled. It does nothing if another owner has taken the job over.
func (r *jobRun) abort(k contract.ErrorKind, format string, args ...any) {
	r.mu.Lock()
	if r.newOwner != nil {
		r.mu.Unlock()
		return
	}
	r.job.Abort(k, format, args...)
	workers := r.job.ActiveWorkers()
	r.finishIfDone()
	r.mu.Unlock()
	r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
	for _, ref := range workers {
		r.entry.sendToWorker(ref, &contract.Cancel{Job: r.job.ID()})
	}
}

// fenceBeforeDeadline is how long before the deadline the tasks that have been
// sent but not started are fenced, so that the answer can report them as not
// run.
const fenceBeforeDeadline = 20 * time.Millisecond

// fenceUnstarted asks the workers to fence the tasks that they have not
// started.
func (r *jobRun) fenceUnstarted() {
	r.mu.Lock()
	fences := make(map[host.Ref]*contract.Fence)
	for _, ref := range r.job.ActiveWorkers() {
		ids, attempts := r.job.UnfinishedAt(ref)
		fences[ref] = &contract.Fence{Tasks: ids, Attempts: attempts}
	}
	r.mu.Unlock()
	for ref, m := range fences {
		r.entry.sendToWorker(ref, m)
	}
}

// applyEvents passes events to the pool's scheduler. If the job has failed, it
// also withdraws the queued tasks and fences those that have not started.
func (r *jobRun) applyEvents(events []dispatch.Event, failed bool) {
	for _, ev := range events {
		r.entry.step(r.pool, ev)
	}
	if failed {
		r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
		r.fenceUnstarted()
	}
}

// watch waits until the job is answered. It fences the unstarted tasks shortly
// before the deadline, and ends the job at the deadline or when ctx is done.
func (r *jobRun) watch(ctx context.Context) {
	left := time.Until(r.deadline)
	fence := time.NewTimer(max(left-fenceBeforeDeadline, left/2))
	defer fence.Stop()
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-fence.C:
			r.mu.Lock()
			r.job.StopPlacement()
			r.mu.Unlock()
			r.fenceUnstarted()
		case <-deadline.C:
			r.abort(contract.ErrDeadline, "the deadline passed")
		case <-ctx.Done():
			r.abort(contract.ErrCancelled, "the caller went away")
			return
		}
	}
}

// finishIfDone records new outcomes, and answers the job once it is done. It
// reports whether the job has just failed with tasks that have not ended, so that
// applyEvents fences those that have not started. The caller holds r.mu.
func (r *jobRun) finishIfDone() bool {
	for _, t := range r.job.TakeEnded() {
		r.recordEnd(t)
	}
	if !r.job.Done() || r.answered || r.sealing {
		return false
	}
	if r.mustSeal() {
		r.sealing = true
		go r.seal()
	} else {
		r.markAnswered()
	}
	return !r.job.AllEnded()
}

// recordEnd records the outcome of a task, unless this run does not own the job.
// The caller holds r.mu.
func (r *jobRun) recordEnd(t job.EndedTask) {
	if r.entry.cfg.Outcomes == nil || r.newOwner != nil || r.claimRefused {
		return
	}
	r.entry.cfg.Outcomes.Record(contract.OutcomeRecord{
		Task:        contract.TaskID{Job: r.job.ID(), Index: t.Task},
		Team:        r.spec.Team,
		Route:       r.route.Name,
		Outcome:     t.Outcome,
		Status:      t.Status,
		Worker:      t.WorkerRef.Host,
		Incarnation: t.WorkerRef.Incarnation,
		Attempt:     t.Attempt,
		Round:       r.epoch.Round,
		Entry:       r.entry.cfg.Identity.Host,
		At:          time.Now(),
		Reason:      t.Reason,
	})
}

func (r *jobRun) markAnswered() {
	if !r.answered {
		r.answered = true
		close(r.done)
	}
}

func (r *jobRun) status() contract.JobStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job.Status()
}

// outcome returns the results of the job, or the error that ended it.
func (r *jobRun) outcome() ([]contract.TaskResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused != nil {
		return nil, r.refused
	}
	if err := r.job.Err(); err != nil {
		return nil, err
	}
	if r.bodiesDropped {
		return nil, contract.ErrAnswerGone.WithTasks(r.job.Results(), "the job completed, but its answer is no longer kept")
	}
	return r.job.Results(), nil
}
