package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
)

// serveSingle gates one single request from an entry and streams it to the
// upstream. A refusal carries the outcome not-run: the task is fenced here.
func (a *Agent) serveSingle(w http.ResponseWriter, r *http.Request) {
	s, err := startOfRequest(r)
	if err != nil {
		refuseSingle(w, http.StatusBadRequest, err.Error())
		return
	}
	if reason, ok := a.admitSingle(r.Context(), s); !ok {
		refuseSingle(w, http.StatusConflict, reason)
		return
	}
	a.active.Add(1)
	defer a.active.Done()
	defer a.endSingle(s.Task)
	ctx, cancel := context.WithTimeout(r.Context(), s.Lease)
	defer cancel()
	a.relaySingle(ctx, w, r, s)
}

func refuseSingle(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeNotRun.String())
	http.Error(w, reason, status)
}

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
	return &contract.Start{
		Task:    id,
		To:      contract.Incarnation(to),
		Attempt: uint32(attempt),
		Lease:   time.Duration(lease) * time.Millisecond,
	}, nil
}

// admitSingle passes the gate, waiting for a slot while the caller is there.
func (a *Agent) admitSingle(ctx context.Context, s *contract.Start) (string, bool) {
	ready := make(chan bool, 1)
	a.mu.Lock()
	verdict, reason := a.gate.Offer(s)
	if verdict == VerdictWait {
		a.waits[s.Task] = ready
	}
	a.mu.Unlock()
	switch verdict {
	case VerdictRun:
		return "", true
	case VerdictWait:
		return a.awaitSlot(ctx, s.Task, ready)
	case VerdictKnown:
		return "the task was offered before", false
	}
	return reason, false
}

func (a *Agent) awaitSlot(ctx context.Context, id contract.TaskID, ready chan bool) (string, bool) {
	select {
	case <-ready:
		return "", true
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waiting := a.waits[id]; waiting {
		delete(a.waits, id)
		a.gate.Fence([]contract.TaskID{id})
	} else {
		a.release(id)
	}
	return "the caller went away", false
}

func (a *Agent) endSingle(id contract.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(id)
}

func (a *Agent) relaySingle(ctx context.Context, w http.ResponseWriter, r *http.Request, s *contract.Start) {
	out, err := http.NewRequestWithContext(ctx, r.Method, a.cfg.Upstream+r.URL.RequestURI(), r.Body)
	if err != nil {
		refuseSingle(w, http.StatusBadRequest, err.Error())
		return
	}
	forward.CopyHeader(out.Header, r.Header)
	out.ContentLength = r.ContentLength
	out.Host = r.Host
	out.Header.Del(forward.HeaderIncarnation)
	out.Header.Del(forward.HeaderLeaseMS)
	setTaskHeader(out.Header, s.Task, s.Attempt)
	res, err := a.client.Transport.RoundTrip(out)
	if err != nil {
		w.Header().Set(forward.HeaderOutcome, outcomeOfDialError(err).String())
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	w.Header().Set(forward.HeaderOutcome, contract.OutcomeRan.String())
	if err := forward.CopyResponse(w, res); err != nil {
		panic(http.ErrAbortHandler)
	}
}
