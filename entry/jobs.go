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

// jobAnswer is the body of a whole answer.
type jobAnswer struct {
	ID      contract.JobID `json:"id"`
	Results []taskAnswer   `json:"results"`
}

type taskAnswer struct {
	Task   uint32          `json:"task"`
	Status int             `json:"status"`
	Worker contract.HostID `json:"worker"`
	// Body is the upstream's body, as JSON where it is JSON, else as a string.
	Body json.RawMessage `json:"body"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	digest := sha256.New()
	spec, err := readSpec(w, r, digest)
	if err != nil {
		WriteError(w, err)
		return
	}
	key := r.Header.Get(forward.HeaderIdempotencyKey)
	var a answered
	switch {
	case key == "":
		a = e.answerOnce(r.Context(), spec)
	default:
		a = e.answerKeyed(r.Context(), spec, key, hex.EncodeToString(digest.Sum(nil)))
	}
	if a.id != "" {
		w.Header().Set(forward.HeaderJobID, string(a.id))
	}
	e.observe(r.Context(), spec.Route, spec.Team, began, longest(a.results), a.err)
	if a.err != nil {
		WriteError(w, a.err)
		return
	}
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeRan.String())
	writeJSON(w, http.StatusOK, newJobAnswer(a.id, a.results))
}

// answered is a job's answer: the results, or an error.
type answered struct {
	id      contract.JobID
	results []contract.TaskResult
	err     error
}

// answerOnce runs a job without an idempotency key: it ends with its caller.
func (e *Entry) answerOnce(ctx context.Context, spec contract.JobSpec) answered {
	if err := e.begin(); err != nil {
		return answered{err: err}
	}
	defer e.active.Done()
	run, err := e.newRun(spec, contract.NewJobID())
	if err != nil {
		return answered{err: err}
	}
	id := run.job.ID()
	e.jobs.swap(id, nil, run)
	e.step(run.pool, run.submission())
	run.watch(ctx)
	<-run.done
	time.AfterFunc(e.cfg.Retention, func() { e.jobs.remove(id, run) })
	results, err := run.outcome()
	run.drop()
	return answered{id: id, results: results, err: err}
}

// longest returns the longest work among the tasks: what the answer requires.
func longest(results []contract.TaskResult) time.Duration {
	var d time.Duration
	for _, r := range results {
		d = max(d, r.Elapsed)
	}
	return d
}

// newRun returns the run of a job that has not begun.
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
