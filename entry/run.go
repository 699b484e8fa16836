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

// jobRun is a job in progress at this entry.
type jobRun struct {
	entry    *Entry
	pool     *pool
	route    contract.Route
	spec     contract.JobSpec // its tasks are guarded by mu
	demands  []contract.Demand
	deadline time.Time
	done     chan struct{} // closed when the job has its answer
	// digest and epoch are set for a job with an idempotency key.
	digest string
	epoch  contract.RecordEpoch

	mu       sync.Mutex // guards all below; links are sent to while it is held
	job      *job.Job
	refused  error
	answered bool
	// placeable means that a job with a key has claimed its record, or has
	// adopted what the owner before may have started.
	placeable bool
	// claiming holds plans back until the job's placements have been gathered.
	claiming bool
	// pending are placements whose starts wait for the record's quorum.
	pending []placement
	// owner is the epoch that took the job over from this run.
	owner *contract.RecordEpoch
	// unclaimed means that the record was refused: the run knows nothing of
	// the tasks' outcomes.
	unclaimed bool
	// dropped means that the results' bodies are no longer kept.
	dropped bool
	// sealing means that the owner's epoch is being confirmed before an answer
	// that says not-run; sealed that this is over.
	sealing, sealed bool
}

// placement is a task that is to be started at a worker.
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
		// The placement is meant for an earlier run of the job here. This one
		// doesn't know yet what has started.
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
			r.entry.plans.add(r)
		}
		return nil
	}
	return r.send(p)
}

// send sends a start; the caller holds r.mu, so that a cancel follows it.
func (r *jobRun) send(p placement) []dispatch.Event {
	w, ok := r.entry.worker(p.worker)
	if ok && w.link != nil && r.job.Send(p.id.Index, p.worker, p.attempt) {
		if err := w.link.Send(r.start(p)); err == nil {
			metrics.StartsSent.Add(1)
			return nil
		}
	}
	return r.putBack(p.id, p.worker, p.attempt)
}

func (r *jobRun) start(p placement) *contract.Start {
	t := r.spec.Tasks[p.id.Index]
	lease := time.Until(r.deadline)
	if limit := r.route.Timeout(); limit > 0 {
		lease = min(lease, limit)
	}
	return &contract.Start{
		Task:    p.id,
		To:      p.worker.Incarnation,
		Attempt: p.attempt,
		Route:   r.route.Name,
		Pool:    r.route.Pool,
		Method:  "POST",
		Path:    r.route.PathPrefix,
		Payload: t.Payload,
		Demand:  t.Demand.Normalized(),
		Lease:   lease,
		Tables:  r.entry.cfg.Tables.Version(),
		Keep:    r.keyed(),
		Acks:    r.entry.takeAcks(p.worker),
	}
}

// putBack puts back a task that did not start at w and never will; the caller
// holds r.mu.
func (r *jobRun) putBack(id contract.TaskID, w host.Ref, attempt uint32) []dispatch.Event {
	if r.job.Unsent(id.Index, w, attempt) {
		return []dispatch.Event{dispatch.Requeue{Task: id, Worker: w}}
	}
	return []dispatch.Event{dispatch.Finished{Task: id, Worker: w}}
}

// unsent takes a worker's word that it has fenced an attempt.
func (r *jobRun) unsent(id contract.TaskID, w host.Ref, attempt uint32) {
	r.mu.Lock()
	if r.job.Resolve(id.Index, w, contract.OutcomeNotRun, 0, "fenced after the answer") {
		metrics.OutcomesResolved.Add(1)
	}
	var events []dispatch.Event
	if attempt >= r.job.Attempt(id.Index) {
		events = r.putBack(id, w, attempt)
	}
	failed := r.settle()
	r.mu.Unlock()
	r.follow(events, failed)
}

// started takes a worker's word that it has started a task.
func (r *jobRun) started(id contract.TaskID, w host.Ref) {
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
	if e, ok := contract.AsError(err); ok && !r.job.Untouched() {
		r.job.Abort(e.Kind, "%s", e.Message)
		r.settle()
		return
	}
	r.refused = err
	if !r.claiming {
		r.answer()
	}
}

// result takes a task's result from w.
func (r *jobRun) result(w host.Ref, res *contract.Result) {
	id := res.Task
	r.mu.Lock()
	excused := res.Outcome == contract.OutcomeUnknown && stopped(r.job.Err())
	disposition := r.job.Result(w, res)
	if disposition == job.Stray && r.job.Resolve(id.Index, w, res.Outcome, res.Status, res.Reason) {
		metrics.OutcomesResolved.Add(1)
	}
	failed := r.settle()
	r.mu.Unlock()
	var events []dispatch.Event
	switch disposition {
	case job.Stray:
		metrics.ResultsStray.Add(1)
	case job.Requeued:
		events = []dispatch.Event{dispatch.Requeue{Task: id, Worker: w}}
	case job.Ending:
		metrics.ResultsTaken.Add(1)
		bad := !excused && (res.Outcome != contract.OutcomeRan || res.Status >= 500)
		events = []dispatch.Event{dispatch.Finished{Task: id, Worker: w, Elapsed: res.Elapsed, Failed: bad}}
	}
	r.follow(events, failed)
}

// stopped reports that a job's end is why its running tasks were cancelled, so
// that a task that ends unknown says nothing about its worker. A deadline that
// passed does say something: the worker may have stalled.
func stopped(end error) bool { return end != nil && !contract.ErrDeadline.Is(end) }

// lost ends the tasks that w holds as unknown.
func (r *jobRun) lost(w host.Ref) {
	r.mu.Lock()
	ids, _ := r.job.Held(w)
	r.job.Lost(w)
	failed := r.settle()
	r.mu.Unlock()
	var events []dispatch.Event
	for _, id := range ids {
		events = append(events, dispatch.Finished{Task: id, Worker: w, Failed: true})
	}
	r.follow(events, failed)
}

// abort ends the job: what waits never runs, what was sent is cancelled.
func (r *jobRun) abort(k contract.Kind, format string, args ...any) {
	r.mu.Lock()
	if r.owner != nil {
		r.mu.Unlock()
		return
	}
	r.job.Abort(k, format, args...)
	holders := r.job.Holders()
	r.settle()
	r.mu.Unlock()
	r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
	for _, ref := range holders {
		r.entry.tell(ref, &contract.Cancel{Job: r.job.ID()})
	}
}

// fenceLead is how long before the deadline the tasks that have been sent and
// not started are fenced, so that the answer can say so.
const fenceLead = 20 * time.Millisecond

// fenceUnstarted asks the workers to fence what they have not started.
func (r *jobRun) fenceUnstarted() {
	r.mu.Lock()
	fences := make(map[host.Ref]*contract.Fence)
	for _, ref := range r.job.Holders() {
		ids, attempts := r.job.Held(ref)
		fences[ref] = &contract.Fence{Tasks: ids, Attempts: attempts}
	}
	r.mu.Unlock()
	for ref, m := range fences {
		r.entry.tell(ref, m)
	}
}

// follow carries out what an event led to.
func (r *jobRun) follow(events []dispatch.Event, failed bool) {
	for _, ev := range events {
		r.entry.step(r.pool, ev)
	}
	if failed {
		r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
		r.fenceUnstarted()
	}
}

// watch ends the job at its deadline, or when ctx is done.
func (r *jobRun) watch(ctx context.Context) {
	left := time.Until(r.deadline)
	lead := time.NewTimer(max(left-fenceLead, left/2))
	defer lead.Stop()
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-lead.C:
			r.mu.Lock()
			r.job.Close()
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

// settle records the outcomes that are new and answers the job once it is
// done. It reports whether the job has just failed with tasks that may still
// be fenced; the caller holds r.mu.
func (r *jobRun) settle() bool {
	for _, t := range r.job.TakeEnded() {
		r.record(t)
	}
	if !r.job.Done() || r.answered || r.sealing {
		return false
	}
	if r.mustSeal() {
		r.sealing = true
		go r.seal()
	} else {
		r.answer()
	}
	return !r.job.Settled()
}

func (r *jobRun) record(t job.Ended) {
	if r.entry.cfg.Outcomes == nil || r.owner != nil || r.unclaimed {
		return
	}
	r.entry.cfg.Outcomes.Record(contract.OutcomeRecord{
		Task:        contract.TaskID{Job: r.job.ID(), Index: t.Task},
		Team:        r.spec.Team,
		Route:       r.route.Name,
		Outcome:     t.Outcome,
		Status:      t.Status,
		Worker:      t.Ref.Host,
		Incarnation: t.Ref.Incarnation,
		Attempt:     t.Attempt,
		Round:       r.epoch.Round,
		Entry:       r.entry.cfg.Identity.Host,
		At:          time.Now(),
		Reason:      t.Reason,
	})
}

func (r *jobRun) answer() {
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

// outcome returns the answer's error, or the results.
func (r *jobRun) outcome() ([]contract.TaskResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused != nil {
		return nil, r.refused
	}
	if err := r.job.Err(); err != nil {
		return nil, err
	}
	if r.dropped {
		return nil, contract.ErrAnswerGone.WithTasks(r.job.Results(), "the job ran whole, and its answer is no longer kept")
	}
	return r.job.Results(), nil
}
