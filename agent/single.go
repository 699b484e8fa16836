package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
)

// serveSingle passes one single request from an entry through the gate and
// streams it to the upstream. An informational response 102 tells the entry that
// the gate admitted it. A refusal carries the outcome not-run: the attempt is
// fenced here.
func (a *Agent) serveSingle(w http.ResponseWriter, r *http.Request) {
	s, err := startOfRequest(r)
	if err != nil {
		refuseSingle(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Lease)
	defer cancel()
	if reason, ok := a.admitSingle(ctx, s); !ok {
		refuseSingle(w, http.StatusConflict, reason)
		return
	}
	a.active.Add(1)
	defer a.active.Done()
	w.WriteHeader(http.StatusProcessing)
	reached := true
	defer func() { a.endSingle(s.Task, reached) }()
	reached = a.relaySingle(ctx, w, r, s)
}

// refuseSingle answers a request that was not run.
func refuseSingle(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeNotRun.String())
	http.Error(w, reason, status)
}

// startOfRequest returns the start that the headers of a request describe.
func startOfRequest(r *http.Request) (*contract.Start, error) {
	id, err := contract.ParseTaskID(r.Header.Get(forward.HeaderTaskID))
	if err != nil {
		return nil, err
	}
	to, err := strconv.ParseUint(r.Header.Get(forward.HeaderIncarnation), 10, 64)
	if err != nil {
		return nil, err
	}
	attempt, err := strconv.ParseUint(r.Header.Get(forward.HeaderAttempt), 10, 32)
	if err != nil {
		return nil, err
	}
	lease, err := strconv.ParseInt(r.Header.Get(forward.HeaderLeaseMS), 10, 64)
	if err != nil {
		return nil, err
	}
	s := &contract.Start{
		Task:    id,
		To:      contract.Incarnation(to),
		Attempt: uint32(attempt),
		Lease:   time.Duration(lease) * time.Millisecond,
	}
	return s, readRoutingHeaders(r.Header, s)
}

// admitSingle offers the request to the gate and waits for a slot until ctx is
// done. It reports whether the request may run, and if not, why.
func (a *Agent) admitSingle(ctx context.Context, s *contract.Start) (string, bool) {
	admission := make(chan bool, 1)
	a.mu.Lock()
	verdict, reason := a.offer(s)
	if verdict == VerdictRun || verdict == VerdictWait {
		a.tasks[s.Task] = &task{admission: admission}
	}
	a.mu.Unlock()
	switch verdict {
	case VerdictRun:
		return "", true
	case VerdictWait:
		return a.awaitSlot(ctx, s, admission)
	case VerdictDuplicate:
		// A refusal would say that the attempt is fenced, but the start that was
		// offered first may run: close the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	return reason, false
}

// awaitSlot waits until the gate admits or fences the request, or ctx is done,
// and returns as admitSingle does.
func (a *Agent) awaitSlot(ctx context.Context, s *contract.Start, admission chan bool) (string, bool) {
	select {
	case run := <-admission:
		return "the task was fenced", run
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if state := a.fenceTask(s.Task, s.Attempt); state == contract.TaskRunning {
		delete(a.tasks, s.Task)
		a.release(s.Task, false)
	}
	return "the caller went away", false
}

// endSingle removes a single request and frees its slots.
func (a *Agent) endSingle(id contract.TaskID, reached bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.tasks, id)
	a.release(id, reached)
}

// relaySingle sends the request to the upstream once and copies the response. It
// reports whether the upstream may have been reached.
func (a *Agent) relaySingle(ctx context.Context, w http.ResponseWriter, r *http.Request, s *contract.Start) bool {
	out, err := http.NewRequestWithContext(ctx, r.Method, a.cfg.Upstream+r.URL.RequestURI(), r.Body)
	if err != nil {
		refuseSingle(w, http.StatusBadRequest, err.Error())
		return false
	}
	forward.CopyHeader(out.Header, r.Header)
	forward.StripControlFields(out.Header)
	out.Header.Del("Expect")
	forward.DisableAutoRetry(out)
	out.ContentLength = r.ContentLength
	out.Host = r.Host
	setTaskHeader(out.Header, s.Task, s.Attempt)
	res, err := a.client.Transport.RoundTrip(out)
	if err != nil {
		outcome := outcomeOfFailedCall(err)
		w.Header().Set(forward.HeaderOutcome, outcome.String())
		http.Error(w, err.Error(), http.StatusBadGateway)
		return outcome != contract.OutcomeNotRun
	}
	defer res.Body.Close()
	forward.StripControlFields(res.Header)
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeRan.String())
	if err := forward.CopyResponse(w, res); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}
