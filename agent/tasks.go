package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
)

// launch runs a start that the gate has let pass; the caller holds a.mu.
func (a *Agent) launch(s *contract.Start) {
	t := a.tasks[s.Task]
	if t.wait != nil {
		t.wait <- true
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.expires)
	t.cancel = cancel
	a.active.Add(1)
	go func() {
		defer a.active.Done()
		defer cancel()
		r := a.callUpstream(ctx, s)
		a.finish(r)
	}()
}

// finish stores the result, sends it to its owners and launches what fits now.
func (a *Agent) finish(r *contract.Result) {
	a.mu.Lock()
	t := a.tasks[r.Task]
	t.cancel = nil
	t.result = r
	var to []*link.Link
	for _, ref := range append([]host.Ref{t.owner}, t.earlier...) {
		if l := a.linkTo(ref); l != nil {
			to = append(to, l)
		}
	}
	a.release(r.Task, r.Outcome != contract.OutcomeNotRun)
	grants := a.credits.end(r.Task)
	a.mu.Unlock()
	for _, l := range to {
		l.Send(r)
	}
	a.sendCredits(grants)
}

// release frees the task's slots and launches what now fits; the caller holds
// a.mu.
func (a *Agent) release(id contract.TaskID, reached bool) {
	for _, s := range a.gate.Finish(id, reached) {
		a.launch(s)
	}
}

// acked takes the owner's acknowledgements. A result that a resubmission may
// ask for is kept for as long as there is room.
func (a *Agent) acked(l *link.Link, ids []contract.TaskID) {
	owner := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		t := a.tasks[id]
		if t == nil || t.result == nil || t.owner != owner || t.acked {
			continue
		}
		if !t.keep {
			delete(a.tasks, id)
			continue
		}
		t.acked = true
		if !t.kept {
			t.kept = true
			a.kept = append(a.kept, id)
			a.bytes += len(t.result.Body)
		}
	}
	a.trimKept()
}

// maxKeptBytes bounds the acknowledged results that are kept for
// resubmissions.
const maxKeptBytes = 64 << 20

// trimKept drops the oldest kept results that have no room; the caller holds
// a.mu.
func (a *Agent) trimKept() {
	for a.bytes > maxKeptBytes {
		id := a.kept[0]
		a.kept = a.kept[1:]
		t := a.tasks[id]
		if t == nil || t.result == nil {
			continue
		}
		a.bytes -= len(t.result.Body)
		t.kept = false
		if t.acked {
			delete(a.tasks, id)
		}
	}
}

// The gate forgets an ended task keepTicks of sweepInterval after its end: a
// resubmission may ask for it for the longest deadline and the retention of
// its record. The ticks count only while the process runs, so that one that
// was stopped forgets nothing that its links still hold.
const (
	sweepInterval = 10 * time.Second
	keepTicks     = uint64((contract.MaxDeadline + 10*time.Minute) / sweepInterval)
)

func (a *Agent) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.sweep()
	}
}

// sweep forgets what ended long ago, results that no owner came back for
// included.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Sweep(keepTicks)
	for id := range a.tasks {
		if a.gate.task(id) == nil {
			delete(a.tasks, id)
		}
	}
	kept := a.kept[:0]
	a.bytes = 0
	for _, id := range a.kept {
		if t := a.tasks[id]; t != nil && t.kept {
			kept = append(kept, id)
			a.bytes += len(t.result.Body)
		}
	}
	a.kept = kept
}

// callUpstream makes the one HTTP request of a started task.
func (a *Agent) callUpstream(ctx context.Context, s *contract.Start) *contract.Result {
	began := time.Now()
	res := &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeUnknown}
	defer func() { res.Elapsed = time.Since(began) }()
	if ctx.Err() != nil {
		res.Outcome = contract.OutcomeNotRun
		res.Reason = "the lease ended before the start"
		return res
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, a.cfg.Upstream+s.Path, bytes.NewReader(s.Payload))
	if err != nil {
		res.Outcome = contract.OutcomeNotRun
		res.Reason = err.Error()
		return res
	}
	req.Header.Set("Content-Type", "application/json")
	setTaskHeader(req.Header, s.Task, s.Attempt)
	answer, err := a.client.Do(req)
	if err != nil {
		res.Outcome = outcomeOfDialError(err)
		res.Reason = err.Error()
		return res
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResultBytes+1))
	if err != nil {
		res.Reason = err.Error()
		return res
	}
	res.Outcome = contract.OutcomeRan
	res.Status = answer.StatusCode
	res.Body = body
	if len(body) > maxResultBytes {
		res.Status = http.StatusBadGateway
		res.Reason = "the upstream's answer is too large: answer with at most 8 MiB"
		res.Body = nil
	}
	return res
}

// maxResultBytes bounds one task's answer.
const maxResultBytes = 8 << 20

// setTaskHeader names the start to the upstream, so that it can count starts.
func setTaskHeader(h http.Header, id contract.TaskID, attempt uint32) {
	h.Set(forward.HeaderJobID, string(id.Job))
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}
