package entry

import (
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
	spec     contract.JobSpec
	deadline time.Time
	done     chan struct{} // closed when the job has its answer

	mu       sync.Mutex // guards all below
	job      *job.Job
	refused  error
	answered bool
}

func (r *jobRun) place(id contract.TaskID, w workerLink) []dispatch.Event {
	r.mu.Lock()
	attempt, ok := r.job.Place(id.Index, w.Ref)
	r.mu.Unlock()
	if !ok {
		return []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}
	}
	if err := w.link.Send(r.start(id, w.Ref, attempt)); err != nil {
		return r.unsent(id, w.Ref)
	}
	metrics.StartsSent.Add(1)
	return nil
}

func (r *jobRun) start(id contract.TaskID, to host.Ref, attempt uint32) *contract.Start {
	t := r.spec.Tasks[id.Index]
	lease := time.Until(r.deadline)
	if limit := r.route.Timeout(); limit > 0 {
		lease = min(lease, limit)
	}
	return &contract.Start{
		Task:    id,
		To:      to.Incarnation,
		Attempt: attempt,
		Route:   r.route.Name,
		Pool:    r.route.Pool,
		Method:  "POST",
		Path:    r.route.PathPrefix,
		Payload: t.Payload,
		Demand:  t.Demand.Normalized(),
		Lease:   lease,
		Tables:  r.entry.cfg.Tables.Version(),
	}
}

// unsent puts back a task that did not start at w and never will.
func (r *jobRun) unsent(id contract.TaskID, w host.Ref) []dispatch.Event {
	r.mu.Lock()
	again := r.job.Unsent(id.Index, w)
	r.settle()
	r.mu.Unlock()
	if again {
		return []dispatch.Event{dispatch.Requeue{Task: id, Worker: w}}
	}
	return []dispatch.Event{dispatch.Finished{Task: id, Worker: w}}
}

func (r *jobRun) refuse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = err
	r.answer()
}

// result takes a task's result from w.
func (r *jobRun) result(w host.Ref, res *contract.Result) {
	r.mu.Lock()
	known := r.job.Result(w, res)
	r.settle()
	r.mu.Unlock()
	if !known {
		metrics.ResultsStray.Add(1)
		return
	}
	metrics.ResultsTaken.Add(1)
	failed := res.Outcome != contract.OutcomeRan || res.Status >= 500
	r.entry.step(r.pool, dispatch.Finished{Task: res.Task, Worker: w, Elapsed: res.Elapsed, Failed: failed})
}

// lost ends the tasks that w holds as unknown.
func (r *jobRun) lost(w host.Ref) {
	r.mu.Lock()
	ids := r.job.Sent(w)
	r.job.Lost(w)
	r.settle()
	r.mu.Unlock()
	for _, id := range ids {
		r.entry.step(r.pool, dispatch.Finished{Task: id, Worker: w, Failed: true})
	}
}

// abort ends the job: what waits never runs, what was sent is cancelled.
func (r *jobRun) abort(k contract.Kind, format string, args ...any) {
	r.mu.Lock()
	r.job.Abort(k, format, args...)
	holders := r.job.Holders()
	r.settle()
	r.mu.Unlock()
	r.entry.step(r.pool, dispatch.Withdraw{Job: r.job.ID()})
	for _, ref := range holders {
		if w, ok := r.entry.worker(ref); ok && w.link != nil {
			w.link.Send(&contract.Cancel{Job: r.job.ID()})
		}
	}
}

// settle records the outcomes that are new and answers the job once it is
// done; the caller holds r.mu.
func (r *jobRun) settle() {
	for _, t := range r.job.TakeEnded() {
		r.record(t)
	}
	if r.job.Done() {
		r.answer()
	}
}

func (r *jobRun) record(t job.Ended) {
	if r.entry.cfg.Outcomes == nil {
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
	return r.job.Results(), nil
}
