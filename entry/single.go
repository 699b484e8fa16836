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

// singleRun receives the placement of a single request in progress. A single
// request is a job of one task whose body is streamed through the worker's
// agent.
type singleRun struct {
	placed  chan workerLink
	refused chan error

	mu     sync.Mutex // guards closed
	closed bool       // placed is no longer received from
}

func (s *singleRun) place(id contract.TaskID, w workerLink) []dispatch.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}
	}
	s.placed <- w
	return nil
}

// stopPlacements makes later placements release the worker at once.
func (s *singleRun) stopPlacements() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

func (s *singleRun) refuse(err error) { s.refused <- err }

// defaultTeam is the team of a single request without a team header field.
const defaultTeam = "default"

// serveSingle matches a request to its route and streams it to a worker of the
// route's pool.
func (e *Entry) serveSingle(w http.ResponseWriter, r *http.Request) {
	if err := e.beginWork(); err != nil {
		WriteError(w, err)
		return
	}
	defer e.inFlight.Done()
	route, ok := e.cfg.Tables.View().Router.Match(r)
	if !ok {
		WriteError(w, contract.ErrNoRoute.With("no route matches %s %s", r.Method, r.URL.Path))
		return
	}
	if err := e.runSingle(w, r, route); err != nil {
		WriteError(w, err)
	}
}

// maxFastAttempts limits the attempts at one request that end within
// gateTimeout. Longer attempts, such as those that wait for a busy worker, are
// limited by the deadline instead.
const maxFastAttempts = 4

// maxLostUpstreams is the number of upstreams under which a request may get lost until it
// is not sent to another: a second one points to the request.
const maxLostUpstreams = 2

func (e *Entry) runSingle(w http.ResponseWriter, r *http.Request, route contract.Route) error {
	p := e.pool(route.Pool)
	if p == nil {
		return contract.ErrNoRoute.With("pool %q does not exist", route.Pool)
	}
	body, err := newRequestBody(r)
	if err != nil {
		return bodyReadError(r, err)
	}
	e.retryBudget.earn()
	began := time.Now()
	x := &exchange{
		entry:     e,
		req:       r,
		body:      body,
		route:     route,
		id:        contract.TaskID{Job: contract.NewJobID()},
		deadline:  began.Add(singleDeadline(r, route)),
		retryable: route.Retryable(r.Method) && r.Header.Get(forward.HeaderNonIdempotent) == "",
	}
	w.Header().Set(forward.HeaderJobID, string(x.id.Job))
	run := &singleRun{placed: make(chan workerLink, 1), refused: make(chan error, 1)}
	e.jobs.compareAndSwap(x.id.Job, nil, run)
	defer e.jobs.remove(x.id.Job, run)
	team := r.Header.Get(forward.HeaderTeam)
	if team == "" {
		team = defaultTeam
	}
	e.step(p, dispatch.Submit{Job: x.id.Job, Team: team, Route: route.Name, Deadline: x.deadline, Demands: []contract.Demand{{Slots: 1}}})
	err = contract.ErrUpstreamLost.With("the answer was cut") // recorded if runAttempts panics
	x.team = team
	defer func() { x.recordEnd(w.Header(), err) }()
	err = e.runAttempts(w, p, run, x)
	e.observe(r.Context(), route.Name, team, began, x.lastElapsed, err)
	if x.truncated {
		panic(http.ErrAbortHandler)
	}
	return err
}

// runAttempts sends the request to one worker after another, as the scheduler
// places it, until it is answered or must not be sent again.
func (e *Entry) runAttempts(w http.ResponseWriter, p *pool, run *singleRun, x *exchange) error {
	scheduledID := x.id // a retry may change x.id, but not the scheduler's ID of the task
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	for {
		select {
		case wk := <-run.placed:
			x.attempt++
			x.worker = wk.Ref
			sent := time.Now()
			result, err := x.relay(w, wk)
			x.lastElapsed = time.Since(sent)
			if x.shouldRetry(result, err) {
				e.step(p, dispatch.Requeue{Task: scheduledID, Worker: wk.Ref})
				continue
			}
			e.step(p, dispatch.Finished{Task: scheduledID, Worker: wk.Ref, Elapsed: x.lastElapsed, Failed: err != nil && !x.isCallerFault(w)})
			return err
		case err := <-run.refused:
			return x.correctOutcome(err)
		case <-timer.C:
			e.withdraw(p, run, scheduledID)
			return x.correctOutcome(contract.ErrOverload.WithRetryAfter(time.Second, "no worker was free before the deadline"))
		case <-x.req.Context().Done():
			e.withdraw(p, run, scheduledID)
			return x.correctOutcome(contract.ErrCancelled.With("the caller went away"))
		}
	}
}

// withdraw removes a queued request. If it was placed concurrently, the worker
// is released.
func (e *Entry) withdraw(p *pool, run *singleRun, id contract.TaskID) {
	e.step(p, dispatch.Withdraw{Job: id.Job})
	e.jobs.remove(id.Job, run)
	run.stopPlacements()
	select {
	case wk := <-run.placed:
		e.step(p, dispatch.Finished{Task: id, Worker: wk.Ref})
	default:
	}
}

// shouldRetry reports whether the request is to be placed again after an
// attempt that ended with err.
func (x *exchange) shouldRetry(result attemptResult, err error) bool {
	if x.lastElapsed < gateTimeout {
		x.fastAttempts++
	}
	if x.fastAttempts >= maxFastAttempts || x.req.Context().Err() != nil || !x.body.canRewind() {
		return false
	}
	switch result {
	case attemptNotRun:
		metrics.SingleRetries.Add(1)
		return true
	case attemptUnknown:
		x.lostUpstreams++
		if !x.retryable || x.lostUpstreams >= maxLostUpstreams {
			return false
		}
		if !x.entry.retryBudget.spend() {
			metrics.RetriesDenied.Add(1)
			return false
		}
		// The agent's gate never starts a task twice, so the retry needs
		// another task ID.
		x.recordEnd(nil, err)
		x.id.Index++
		x.mayHaveRun = true
		metrics.SingleRetries.Add(1)
		return true
	}
	return false
}

// correctOutcome sets the outcome of an error for a request whose last attempt
// did not run: unknown if an earlier attempt may have run, else not-run if the
// request was cancelled. Other errors keep the outcome of their kind.
func (x *exchange) correctOutcome(err error) error {
	e, ok := contract.AsError(err)
	switch {
	case !ok:
	case x.mayHaveRun:
		e.Outcome = contract.OutcomeUnknown
	case e.Kind.Name == contract.ErrCancelled.Name:
		e.Outcome = contract.OutcomeNotRun
	}
	return err
}

// singleDeadline returns the time limit of a single request, from the caller's
// header field or the default, and at most the route's timeout.
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
