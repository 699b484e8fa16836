package entry

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// singleRun is a single request in progress: a job of one task whose body is
// streamed through the worker's agent.
type singleRun struct {
	placed  chan workerLink
	refused chan error

	mu   sync.Mutex // guards gone
	gone bool       // nobody takes from placed any more
}

func (s *singleRun) place(id contract.TaskID, w workerLink) []dispatch.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}
	}
	s.placed <- w
	return nil
}

// leave makes later placements give the worker back.
func (s *singleRun) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

func (s *singleRun) refuse(err error) { s.refused <- err }

// anyTeam is the team of a single request that names none.
const anyTeam = "default"

// serveSingle matches a request to its route and streams it to the pool.
func (e *Entry) serveSingle(w http.ResponseWriter, r *http.Request) {
	if err := e.begin(); err != nil {
		WriteError(w, err)
		return
	}
	defer e.active.Done()
	route, ok := e.cfg.Tables.View().Router.Match(r)
	if !ok {
		WriteError(w, contract.ErrNoRoute.With("no route matches %s %s", r.Method, r.URL.Path))
		return
	}
	if err := e.runSingle(w, r, route); err != nil {
		WriteError(w, err)
	}
}

// maxSingleAttempts bounds the attempts at one request that end at once. Those
// that wait for a busy worker are bounded by the deadline.
const maxSingleAttempts = 4

func (e *Entry) runSingle(w http.ResponseWriter, r *http.Request, route contract.Route) error {
	p := e.pool(route.Pool)
	if p == nil {
		return contract.ErrNoRoute.With("pool %q does not exist", route.Pool)
	}
	body, err := openBody(r)
	if err != nil {
		return contract.ErrBadRequest.With("the body could not be read: %v", err)
	}
	e.retries.request()
	began := time.Now()
	x := &exchange{
		entry:    e,
		req:      r,
		body:     body,
		route:    route,
		id:       contract.TaskID{Job: contract.NewJobID()},
		deadline: began.Add(singleDeadline(r, route)),
		retry:    route.Retryable(r.Method) && r.Header.Get(forward.HeaderNonIdempotent) == "",
	}
	w.Header().Set(forward.HeaderJobID, string(x.id.Job))
	run := &singleRun{placed: make(chan workerLink, 1), refused: make(chan error, 1)}
	e.jobs.swap(x.id.Job, nil, run)
	defer e.jobs.remove(x.id.Job, run)
	team := r.Header.Get(forward.HeaderTeam)
	if team == "" {
		team = anyTeam
	}
	e.step(p, dispatch.Submit{Job: x.id.Job, Team: team, Route: route.Name, Deadline: x.deadline, Demands: []contract.Demand{{Slots: 1}}})
	err = contract.ErrUpstreamLost.With("the answer was cut")
	x.team = team
	defer func() { x.record(w.Header(), err) }()
	err = e.attempts(w, p, run, x)
	e.observe(r.Context(), route.Name, team, began, x.worked, err)
	if x.cut {
		panic(http.ErrAbortHandler)
	}
	return err
}

// attempts places the request until it is answered, or must not go again.
func (e *Entry) attempts(w http.ResponseWriter, p *pool, run *singleRun, x *exchange) error {
	placed := x.id
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	for {
		select {
		case wk := <-run.placed:
			x.attempt++
			x.worker = wk.Ref
			sent := time.Now()
			fate, err := x.relay(w, wk)
			x.worked = time.Since(sent)
			if x.again(fate, err) {
				e.step(p, dispatch.Requeue{Task: placed, Worker: wk.Ref})
				continue
			}
			e.step(p, dispatch.Finished{Task: placed, Worker: wk.Ref, Elapsed: x.worked, Failed: err != nil && !x.callersFault(w)})
			return err
		case err := <-run.refused:
			return x.qualify(err)
		case <-timer.C:
			e.withdraw(p, run, placed)
			return x.qualify(contract.ErrOverload.Refuse(time.Second, "no worker was free before the deadline"))
		case <-x.req.Context().Done():
			e.withdraw(p, run, placed)
			return x.qualify(contract.ErrCancelled.With("the caller went away"))
		}
	}
}

// withdraw drops a request that waits; a placement that raced is given back.
func (e *Entry) withdraw(p *pool, run *singleRun, id contract.TaskID) {
	e.step(p, dispatch.Withdraw{Job: id.Job})
	e.jobs.remove(id.Job, run)
	run.leave()
	select {
	case wk := <-run.placed:
		e.step(p, dispatch.Finished{Task: id, Worker: wk.Ref})
	default:
	}
}

// again reports whether the request may be placed once more.
func (x *exchange) again(f fate, err error) bool {
	if x.worked < gateWait {
		x.quick++
	}
	if x.quick >= maxSingleAttempts || x.req.Context().Err() != nil || !x.body.rewind() {
		return false
	}
	switch f {
	case fateNotRun:
		metrics.SingleRetries.Add(1)
		return true
	case fateUnknown:
		if !x.retry {
			return false
		}
		if !x.entry.retries.spend() {
			metrics.RetriesDenied.Add(1)
			return false
		}
		// The gate never starts one task twice: the retry is another task.
		x.record(nil, err)
		x.id.Index++
		x.unsure = true
		metrics.SingleRetries.Add(1)
		return true
	}
	return false
}

// qualify makes a refusal say what earlier attempts mean for the outcome.
func (x *exchange) qualify(err error) error {
	e, ok := contract.AsError(err)
	switch {
	case !ok:
	case x.unsure:
		e.Outcome = contract.OutcomeUnknown
	case e.Kind.Name == contract.ErrCancelled.Name:
		e.Outcome = contract.OutcomeNotRun
	}
	return err
}

func singleDeadline(r *http.Request, route contract.Route) time.Duration {
	d := contract.DefaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(forward.HeaderDeadlineMS)); err == nil && ms > 0 {
		d = min(time.Duration(ms)*time.Millisecond, contract.MaxDeadline)
	}
	if limit := route.Timeout(); limit > 0 {
		d = min(d, limit)
	}
	return d
}
