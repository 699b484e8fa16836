package agent

import (
	"net/http"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// LinkUp implements link.Handler: it announces the upstream and resends the
// results that the entry has not acknowledged. It fences the waiting tasks that
// another incarnation of the entry sent.
func (a *Agent) LinkUp(l *link.Link) {
	ref := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	a.links[ref.Host] = l
	a.linkNumber++
	number := a.linkNumber
	draining := a.gate.Draining()
	grants := a.credits.entryUp(ref.Host)
	a.fenceWaiting(func(owner host.Ref) bool { return owner.Host == ref.Host && owner != ref })
	var unacked []*contract.Result
	for _, t := range a.tasks {
		if t.result != nil && !t.acked && t.owner == ref {
			unacked = append(unacked, t.result)
		}
	}
	a.mu.Unlock()
	l.Send(&contract.Announce{
		Pools:      a.cfg.Pools,
		Capacity:   a.cfg.Capacity,
		HTTPAddr:   a.cfg.HTTPListener.Addr().String(),
		Draining:   draining,
		LinkNumber: number,
	})
	for _, r := range unacked {
		l.Send(r)
	}
	a.sendCredits(grants)
	a.cfg.Log.Info("link up", "entry", ref.Host)
}

// disconnectGrace is how long an entry may be disconnected before its waiting
// tasks are fenced. Its running tasks continue within their lease.
const disconnectGrace = 3 * time.Second

// LinkDown implements link.Handler: it redistributes the entry's credits, and
// fences the entry's waiting tasks if it is still disconnected after
// disconnectGrace.
func (a *Agent) LinkDown(l *link.Link, err error) {
	ref := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	var grants []creditMessage
	if a.links[ref.Host] == l {
		delete(a.links, ref.Host)
		grants = a.credits.entryDown(ref.Host)
	}
	a.mu.Unlock()
	a.sendCredits(grants)
	a.cfg.Log.Info("link down", "entry", ref.Host, "err", err)
	time.AfterFunc(disconnectGrace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.links[ref.Host] == nil {
			a.fenceWaiting(func(owner host.Ref) bool { return owner == ref })
		}
	})
}

// fenceWaiting fences the waiting tasks of jobs whose owner matches. The caller
// holds a.mu.
func (a *Agent) fenceWaiting(match func(host.Ref) bool) {
	for _, id := range a.gate.Waiting() {
		if t := a.tasks[id]; t != nil && t.admission == nil && match(t.owner) {
			a.fenceTask(id, a.gate.Attempt(id))
		}
	}
}

// Receive implements link.Handler: it handles the messages of an entry. seq is
// non-zero if the entry waits for a reply.
func (a *Agent) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		a.observeTablesVersion(m.TablesVersion)
	case *contract.RowVersions:
		a.handleRowVersions(l, m)
	case *contract.Start:
		a.handleStart(l, m)
	case *contract.ResultAck:
		a.handleAcks(l, m.Tasks)
	case *contract.Fence:
		a.handleFence(l, seq, m)
	case *contract.CreditReset:
		a.handleCreditReset(m.Pool)
	case *contract.Cancel:
		a.handleCancel(l, m.Job)
	case *contract.StatusRequest, *contract.DrainRequest:
		a.handleAdmin(l, seq, m)
	}
}

// observeTablesVersion raises the known tables version.
func (a *Agent) observeTablesVersion(v contract.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.knownTablesVersion = max(a.knownTablesVersion, v)
}

// handleStart handles the acknowledgements that a start carries and offers the
// start to the gate.
func (a *Agent) handleStart(l *link.Link, s *contract.Start) {
	a.handleAcks(l, s.Acks)
	s.Acks = nil
	a.mu.Lock()
	verdict, reason := a.offer(s)
	if verdict == VerdictRun || verdict == VerdictWait {
		a.tasks[s.Task] = &task{
			owner:   host.FromHello(l.Remote()).Ref,
			expires: time.Now().Add(s.Lease),
			retain:  s.KeepResult,
		}
		a.credits.taskStarted(s, l.Remote().Host)
	}
	if verdict == VerdictWait {
		metrics.StartsQueued.Add(1)
	}
	if verdict == VerdictRun {
		a.launch(s)
	}
	version := a.knownTablesVersion
	a.mu.Unlock()
	if verdict == VerdictRefuse {
		l.Send(&contract.StartRefused{Task: s.Task, Attempt: s.Attempt, Reason: reason, TablesVersion: version})
	}
}

// handleFence fences those of the named tasks that have not started, and reports
// the state of each named task. The requesting entry becomes the owner of the
// started tasks, and is sent the results of those that have ended. The previous
// owner of a task that is now fenced is notified.
func (a *Agent) handleFence(l *link.Link, seq uint64, m *contract.Fence) {
	requester := host.FromHello(l.Remote()).Ref
	reply := &contract.TaskStates{}
	var results []*contract.Result
	notices := make(map[*link.Link][]contract.TaskReport)
	a.mu.Lock()
	for i, id := range m.Tasks {
		var attempt uint32
		if i < len(m.Attempts) {
			attempt = m.Attempts[i]
		}
		t := a.tasks[id]
		state := a.fenceTask(id, attempt)
		reply.Reports = append(reply.Reports, contract.TaskReport{Task: id, State: state, Attempt: a.gate.Attempt(id)})
		if state == contract.TaskDone && (t == nil || t.result == nil) {
			results = append(results, goneResult(id, a.gate.Attempt(id)))
		}
		if t == nil {
			continue
		}
		if state == contract.TaskFenced && t.owner != requester {
			if prev := a.linkTo(t.owner); prev != nil {
				notices[prev] = append(notices[prev], contract.TaskReport{Task: id, State: state, Attempt: a.gate.Attempt(id)})
			}
		}
		t.setOwner(requester)
		if t.result != nil {
			results = append(results, t.result)
		}
	}
	a.mu.Unlock()
	for prev, reports := range notices {
		prev.Send(&contract.TaskStates{Reports: reports})
	}
	for _, r := range results {
		l.Send(r)
	}
	if seq != 0 {
		l.Reply(seq, reply)
		return
	}
	l.Send(reply)
}

// goneResult returns a substitute for the result of a task that ran but whose
// result is no longer kept.
func goneResult(id contract.TaskID, attempt uint32) *contract.Result {
	return &contract.Result{
		Task: id, Attempt: attempt, Outcome: contract.OutcomeRan, Status: http.StatusGone,
		Reason: "the task ran, and its result is no longer kept",
	}
}

// setOwner makes ref the owner of the task; the result must then be acknowledged
// by ref.
func (t *task) setOwner(ref host.Ref) {
	if t.owner == ref {
		return
	}
	t.previousOwners = slices.DeleteFunc(t.previousOwners, func(r host.Ref) bool { return r == ref })
	t.previousOwners = append(t.previousOwners, t.owner)
	t.owner = ref
	t.acked = false
}

// fenceTask fences one task, up to the attempt, and returns its state. It removes
// the record of a fenced task and ends the wait of a single request. The caller
// holds a.mu.
func (a *Agent) fenceTask(id contract.TaskID, attempt uint32) contract.TaskState {
	state := a.gate.Fence(id, attempt)
	t := a.tasks[id]
	if state != contract.TaskFenced || t == nil {
		return startedTaskState(state)
	}
	if t.admission != nil {
		t.admission <- false
	}
	delete(a.tasks, id)
	delete(a.credits.uses, id)
	return state
}

// handleCancel fences the job's waiting tasks and stops its running tasks, as far
// as the sender owns them.
func (a *Agent) handleCancel(l *link.Link, job contract.JobID) {
	owner := host.FromHello(l.Remote()).Ref
	var reports []contract.TaskReport
	a.mu.Lock()
	waiting, running := a.gate.Unfinished(job)
	for _, id := range waiting {
		if t := a.tasks[id]; t == nil || t.owner != owner {
			continue
		}
		state := a.fenceTask(id, a.gate.Attempt(id))
		reports = append(reports, contract.TaskReport{Task: id, State: state, Attempt: a.gate.Attempt(id)})
	}
	for _, id := range running {
		if t := a.tasks[id]; t != nil && t.owner == owner && t.cancel != nil {
			t.cancel()
		}
	}
	a.mu.Unlock()
	if len(reports) > 0 {
		l.Send(&contract.TaskStates{Reports: reports})
	}
}
