package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
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
	spec, err := readSpec(w, r)
	if err != nil {
		WriteError(w, err)
		return
	}
	if err := e.begin(); err != nil {
		WriteError(w, err)
		return
	}
	defer e.active.Done()
	run, err := e.submit(spec)
	if err != nil {
		WriteError(w, err)
		return
	}
	e.await(r, run)
	w.Header().Set(forward.HeaderJobID, string(run.job.ID()))
	results, err := run.outcome()
	e.observe(run.route.Name, spec.Team, began, longest(results), err)
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeRan.String())
	writeJSON(w, http.StatusOK, newJobAnswer(run.job.ID(), results))
}

// longest returns the longest work among the tasks: what the answer requires.
func longest(results []contract.TaskResult) time.Duration {
	var d time.Duration
	for _, r := range results {
		d = max(d, r.Elapsed)
	}
	return d
}

// submit admits a job and begins to place its tasks.
func (e *Entry) submit(spec contract.JobSpec) (*jobRun, error) {
	view := e.cfg.Tables.View()
	route, ok := view.Route(spec.Route)
	if !ok {
		return nil, contract.ErrNoRoute.With("route %q does not exist in version %d", spec.Route, view.Version)
	}
	p := e.pool(route.Pool)
	if p == nil {
		return nil, contract.ErrNoRoute.With("pool %q does not exist in version %d", route.Pool, view.Version)
	}
	id := contract.NewJobID()
	run := &jobRun{
		entry:    e,
		pool:     p,
		route:    route,
		spec:     spec,
		deadline: time.Now().Add(spec.Deadline()),
		done:     make(chan struct{}),
		job:      job.New(id, len(spec.Tasks)),
	}
	e.jobs.add(id, run)
	e.step(p, dispatch.Submit{Job: id, Team: spec.Team, Route: route.Name, Deadline: run.deadline, Demands: demands(spec)})
	return run, nil
}

func demands(spec contract.JobSpec) []contract.Demand {
	out := make([]contract.Demand, len(spec.Tasks))
	for i, t := range spec.Tasks {
		out[i] = t.Demand
	}
	return out
}

// await waits for the job's answer, its deadline or its caller's leaving.
func (e *Entry) await(r *http.Request, run *jobRun) {
	deadline := time.NewTimer(time.Until(run.deadline))
	defer deadline.Stop()
	select {
	case <-run.done:
	case <-deadline.C:
		run.abort(contract.ErrDeadline, "the deadline passed")
		<-run.done
	case <-r.Context().Done():
		run.abort(contract.ErrCancelled, "the caller went away")
		<-run.done
	}
	time.AfterFunc(e.cfg.Retention, func() { e.jobs.remove(run.job.ID()) })
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
