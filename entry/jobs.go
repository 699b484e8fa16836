package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/job"
)

// jobAnswer is the body of the answer to a job whose tasks have all succeeded.
type jobAnswer struct {
	ID      contract.JobID `json:"id"`
	Results []taskAnswer   `json:"results"`
}

type taskAnswer struct {
	Task   uint32          `json:"task"`
	Status int             `json:"status"`
	Worker contract.HostID `json:"worker"`
	// Body is the body of the upstream's answer: as it is if it is valid JSON,
	// else as a JSON string.
	Body json.RawMessage `json:"body"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	digest := sha256.New()
	spec, err := readSpec(r, digest)
	if err != nil {
		WriteError(w, err)
		return
	}
	key := r.Header.Get(forward.HeaderIdempotencyKey)
	var result submitResult
	switch {
	case key == "":
		result = e.submitUnkeyed(r.Context(), spec)
	default:
		result = e.submitKeyed(r.Context(), spec, key, hex.EncodeToString(digest.Sum(nil)))
	}
	if result.id != "" {
		w.Header().Set(forward.HeaderJobID, string(result.id))
	}
	e.observe(r.Context(), spec.Route, spec.Team, began, maxElapsed(result.results), result.err)
	if result.err != nil {
		WriteError(w, result.err)
		return
	}
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeRan.String())
	writeJSON(w, http.StatusOK, newJobAnswer(result.id, result.results))
}

// submitResult is the result of a job submission: the results of the tasks, or
// an error.
type submitResult struct {
	id      contract.JobID
	results []contract.TaskResult
	err     error
}

// submitUnkeyed runs a job without an idempotency key. The job is cancelled
// when its caller leaves.
func (e *Entry) submitUnkeyed(ctx context.Context, spec contract.JobSpec) submitResult {
	if err := e.beginWork(); err != nil {
		return submitResult{err: err}
	}
	defer e.inFlight.Done()
	run, err := e.newRun(spec, contract.NewJobID())
	if err != nil {
		return submitResult{err: err}
	}
	id := run.job.ID()
	e.jobs.compareAndSwap(id, nil, run)
	e.step(run.pool, run.submission())
	run.watch(ctx)
	<-run.done
	time.AfterFunc(e.cfg.Retention, func() { e.jobs.remove(id, run) })
	results, err := run.outcome()
	run.dropBodies()
	return submitResult{id: id, results: results, err: err}
}

// maxElapsed returns the longest run time among the tasks, which is the minimum
// time for the answer.
func maxElapsed(results []contract.TaskResult) time.Duration {
	var d time.Duration
	for _, r := range results {
		d = max(d, r.Elapsed)
	}
	return d
}

// newRun returns a run of the job, without registering or submitting it.
func (e *Entry) newRun(spec contract.JobSpec, id contract.JobID) (*jobRun, error) {
	view := e.cfg.Tables.View()
	route, ok := view.Route(spec.Route)
	if !ok {
		return nil, contract.ErrNoRoute.With("route %q does not exist in version %d", spec.Route, view.Version)
	}
	p := e.pool(route.Pool)
	if p == nil {
		return nil, contract.ErrNoRoute.With("pool %q does not exist in version %d", route.Pool, view.Version)
	}
	return &jobRun{
		entry:    e,
		pool:     p,
		route:    route,
		spec:     spec,
		demands:  demands(spec),
		deadline: time.Now().Add(spec.Deadline()),
		done:     make(chan struct{}),
		job:      job.New(id, len(spec.Tasks)),
	}, nil
}

func demands(spec contract.JobSpec) []contract.Demand {
	out := make([]contract.Demand, len(spec.Tasks))
	for i, t := range spec.Tasks {
		out[i] = t.Demand
	}
	return out
}

func newJobAnswer(id contract.JobID, results []contract.TaskResult) jobAnswer {
	a := jobAnswer{ID: id, Results: make([]taskAnswer, len(results))}
	for i, res := range results {
		a.Results[i] = taskAnswer{Task: res.Task, Status: res.Status, Worker: res.Worker, Body: asJSON(res.Body)}
	}
	return a
}

func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}

func (e *Entry) findJob(r *http.Request) (*jobRun, error) {
	id := contract.JobID(r.PathValue("id"))
	run, ok := e.jobs.get(id).(*jobRun)
	if !ok {
		return nil, contract.ErrNoJob.With("job %q is not known to this entry", id)
	}
	return run, nil
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	run, err := e.findJob(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, run.status())
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	run, err := e.findJob(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	run.abort(contract.ErrCancelled, "the caller cancelled the job")
	writeJSON(w, http.StatusOK, run.status())
}
