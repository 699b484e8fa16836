package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
)

// singleRun is a single request in progress: a job of one task whose body is
// streamed through the worker's agent.
type singleRun struct {
	placed  chan workerLink
	refused chan error
}

func (s *singleRun) place(_ contract.TaskID, w workerLink) []dispatch.Event {
	s.placed <- w
	return nil
}

func (s *singleRun) refuse(err error) { s.refused <- err }

// anyTeam is the team of a single request that names none.
const anyTeam = "default"

// serveSingle matches a request to its route and streams it to the pool.
func (e *Entry) serveSingle(w http.ResponseWriter, r *http.Request) {
	route, ok := e.cfg.Tables.View().Router.Match(r)
	if !ok {
		WriteError(w, contract.ErrNoRoute.With("no route matches %s %s", r.Method, r.URL.Path))
		return
	}
	if err := e.begin(); err != nil {
		WriteError(w, err)
		return
	}
	defer e.active.Done()
	if err := e.runSingle(w, r, route); err != nil {
		WriteError(w, err)
	}
}

func (e *Entry) runSingle(w http.ResponseWriter, r *http.Request, route contract.Route) error {
	p := e.pool(route.Pool)
	if p == nil {
		return contract.ErrNoRoute.With("pool %q does not exist", route.Pool)
	}
	id := contract.NewJobID()
	run := &singleRun{placed: make(chan workerLink, 1), refused: make(chan error, 1)}
	e.jobs.add(id, run)
	defer e.jobs.remove(id)
	deadline := time.Now().Add(singleDeadline(r, route))
	team := r.Header.Get(forward.HeaderTeam)
	if team == "" {
		team = anyTeam
	}
	e.step(p, dispatch.Submit{Job: id, Team: team, Route: route.Name, Deadline: deadline, Demands: []contract.Demand{{Slots: 1}}})
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case wk := <-run.placed:
		began := time.Now()
		rec := contract.OutcomeRecord{Task: contract.TaskID{Job: id}, Team: team, Route: route.Name, Worker: wk.Host, Incarnation: wk.Incarnation, Attempt: 1}
		err := contract.ErrUpstreamLost.With("the answer was cut")
		defer func() { e.recordSingle(rec, w.Header(), err) }()
		err = e.relay(w, r, contract.TaskID{Job: id}, wk, deadline)
		e.step(p, dispatch.Finished{Task: contract.TaskID{Job: id}, Worker: wk.Ref, Elapsed: time.Since(began), Failed: err != nil})
		return err
	case err := <-run.refused:
		return err
	case <-timer.C:
		e.withdraw(p, run, id)
		return contract.ErrOverload.Refuse(time.Second, "no worker was free before the deadline")
	case <-r.Context().Done():
		e.withdraw(p, run, id)
		return contract.ErrCancelled.With("the caller went away")
	}
}

// withdraw drops a request that waits; a placement that raced is given back.
func (e *Entry) withdraw(p *pool, run *singleRun, id contract.JobID) {
	e.step(p, dispatch.Withdraw{Job: id})
	e.jobs.remove(id)
	select {
	case wk := <-run.placed:
		e.step(p, dispatch.Finished{Task: contract.TaskID{Job: id}, Worker: wk.Ref})
	default:
	}
}

func singleDeadline(r *http.Request, route contract.Route) time.Duration {
	d := contract.DefaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(forward.HeaderDeadlineMS)); err == nil && ms > 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	if limit := route.Timeout(); limit > 0 {
		d = min(d, limit)
	}
	return d
}

// relay streams the request through the worker's agent. Once bytes of the
// answer have left, a fault cuts the connection rather than ending it cleanly.
func (e *Entry) relay(w http.ResponseWriter, r *http.Request, id contract.TaskID, wk workerLink, deadline time.Time) error {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+wk.HTTPAddr+r.URL.RequestURI(), r.Body)
	if err != nil {
		return contract.ErrBadRequest.With("%v", err)
	}
	forward.CopyHeader(out.Header, r.Header)
	out.ContentLength = r.ContentLength
	out.Host = r.Host
	setStart(out.Header, id, wk.Ref, time.Until(deadline))
	res, err := agentTransport.RoundTrip(out)
	if err != nil {
		return contract.ErrUpstreamLost.With("worker %s: %v", wk.Host, err)
	}
	defer res.Body.Close()
	w.Header().Set(forward.HeaderJobID, string(id.Job))
	if err := forward.CopyResponse(w, res); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func setStart(h http.Header, id contract.TaskID, to host.Ref, lease time.Duration) {
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, "1")
	h.Set(forward.HeaderIncarnation, strconv.FormatUint(uint64(to.Incarnation), 10))
	h.Set(forward.HeaderLeaseMS, strconv.FormatInt(lease.Milliseconds(), 10))
}

// maxIdleAgentConns bounds the idle connections to one agent.
const maxIdleAgentConns = 64

var agentTransport = &http.Transport{
	MaxIdleConnsPerHost: maxIdleAgentConns,
	IdleConnTimeout:     30 * time.Second,
	DisableCompression:  true,
}
