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

// launch runs a start that the gate has admitted. For a single request, it lets
// the waiting handler run it. The caller holds a.mu.
func (a *Agent) launch(s *contract.Start) {
	t := a.tasks[s.Task]
	if t.admission != nil {
		t.admission <- true
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

// finish stores the result, sends it to the current and previous owners, and
// launches the waiting starts that now fit.
func (a *Agent) finish(r *contract.Result) {
	a.mu.Lock()
	t := a.tasks[r.Task]
	t.cancel = nil
	t.result = r
	var to []*link.Link
	for _, ref := range append([]host.Ref{t.owner}, t.previousOwners...) {
		if l := a.linkTo(ref); l != nil {
			to = append(to, l)
		}
	}
	a.release(r.Task, r.Outcome != contract.OutcomeNotRun)
	grants := a.credits.taskEnded(r.Task)
	a.mu.Unlock()
	for _, l := range to {
		l.Send(r)
	}
	a.sendCredits(grants)
}

// release frees the task's capacity and launches the waiting starts that now fit.
// The caller holds a.mu.
func (a *Agent) release(id contract.TaskID, reached bool) {
	for _, s := range a.gate.Finish(id, reached) {
		a.launch(s)
	}
}

// handleAcks handles the owner's acknowledgements of results. A result that a
// resubmission may ask for is retained until it is evicted or expires; any other
// is removed.
func (a *Agent) handleAcks(l *link.Link, ids []contract.TaskID) {
	owner := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		t := a.tasks[id]
		if t == nil || t.result == nil || t.owner != owner || t.acked {
			continue
		}
		if !t.retain {
			delete(a.tasks, id)
			continue
		}
		t.acked = true
		if !t.inRetained {
			t.inRetained = true
			a.retained = append(a.retained, id)
			a.retainedBytes += len(t.result.Body)
		}
	}
	a.evictRetained()
}

// maxRetainedBytes limits the total body size of the acknowledged results that
// are retained for resubmissions.
const maxRetainedBytes = 64 << 20

// evictRetained evicts the oldest retained results until the rest fit into
// maxRetainedBytes. The caller holds a.mu.
func (a *Agent) evictRetained() {
	for a.retainedBytes > maxRetainedBytes {
		id := a.retained[0]
		a.retained = a.retained[1:]
		t := a.tasks[id]
		if t == nil || t.result == nil {
			continue
		}
		a.retainedBytes -= len(t.result.Body)
		t.inRetained = false
		if t.acked {
			delete(a.tasks, id)
		}
	}
}

// The gate forgets an ended task retentionTicks sweeps after its end. Until then, a
// resubmission may ask for the task: this time is the longest deadline plus the
// retention time of the job's record. It is measured in ticks rather than by the
// clock, since ticks pass only while the process runs: a process that was suspended
// does not forget a task whose start may still be unread on one of its links.
const (
	sweepInterval  = 10 * time.Second
	retentionTicks = uint64((contract.MaxDeadline + 10*time.Minute) / sweepInterval)
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

// sweep removes the tasks that ended more than retentionTicks ago, including
// those whose result no owner has acknowledged.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Sweep(retentionTicks)
	for id := range a.tasks {
		if a.gate.task(id) == nil {
			delete(a.tasks, id)
		}
	}
	remaining := a.retained[:0]
	a.retainedBytes = 0
	for _, id := range a.retained {
		if t := a.tasks[id]; t != nil && t.inRetained {
			remaining = append(remaining, id)
			a.retainedBytes += len(t.result.Body)
		}
	}
	a.retained = remaining
}

// callUpstream sends the HTTP request of a started task once and returns its
// result.
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
	resp, err := a.client.Do(req)
	if err != nil {
		res.Outcome = outcomeOfFailedCall(err)
		res.Reason = err.Error()
		return res
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		res.Reason = err.Error()
		return res
	}
	res.Outcome = contract.OutcomeRan
	res.Status = resp.StatusCode
	res.Body = body
	if len(body) > maxResultBytes {
		res.Status = http.StatusBadGateway
		res.Reason = "the upstream's answer is too large: answer with at most 8 MiB"
		res.Body = nil
	}
	return res
}

// maxResultBytes is the maximum size of the upstream's answer to one task.
const maxResultBytes = 8 << 20

// setTaskHeader sets the headers that identify the start, so that the upstream
// can count the starts of each task.
func setTaskHeader(h http.Header, id contract.TaskID, attempt uint32) {
	h.Set(forward.HeaderJobID, string(id.Job))
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}
