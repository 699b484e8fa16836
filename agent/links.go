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

// LinkUp implements link.Handler: it announces the upstream and sends again
// the results that the entry has not acknowledged. What an earlier process of
// the entry had sent and has not started is dropped.
func (a *Agent) LinkUp(l *link.Link) {
	ref := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	a.links[ref.Host] = l
	a.linkNumber++
	number := a.linkNumber
	draining := a.gate.Draining()
	grants := a.credits.entryUp(ref.Host)
	a.dropWaiting(func(owner host.Ref) bool { return owner.Host == ref.Host && owner != ref })
	var unacked []*contract.Result
	for _, t := range a.tasks {
		if t.result != nil && !t.acked && t.owner == ref {
			unacked = append(unacked, t.result)
		}
	}
	a.mu.Unlock()
	l.Send(&contract.Announce{
		Pools:    a.cfg.Pools,
		Capacity: a.cfg.Capacity,
		HTTPAddr: a.cfg.HTTPListener.Addr().String(),
		Draining: draining,
		Link:     number,
	})
	for _, r := range unacked {
		l.Send(r)
	}
	a.sendCredits(grants)
	a.cfg.Log.Info("link up", "entry", ref.Host)
}

// orphanGrace is how long an entry may be without a link before its tasks that
// have not started are dropped. Those that have go on under their lease.
const orphanGrace = 3 * time.Second

// LinkDown implements link.Handler.
func (a *Agent) LinkDown(l *link.Link, err error) {
	ref := host.FromHello(l.Remote()).Ref
	a.mu.Lock()
	var grants []creditMail
	if a.links[ref.Host] == l {
		delete(a.links, ref.Host)
		grants = a.credits.entryDown(ref.Host)
	}
	a.mu.Unlock()
	a.sendCredits(grants)
	a.cfg.Log.Info("link down", "entry", ref.Host, "err", err)
	time.AfterFunc(orphanGrace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.links[ref.Host] == nil {
			a.dropWaiting(func(owner host.Ref) bool { return owner == ref })
		}
	})
}

// dropWaiting fences the waiting tasks of the owners that match; the caller
// holds a.mu.
func (a *Agent) dropWaiting(match func(host.Ref) bool) {
	for _, id := range a.gate.Waiting() {
		if t := a.tasks[id]; t != nil && t.wait == nil && match(t.owner) {
			a.fenceTask(id, a.gate.Attempt(id))
		}
	}
}

// Receive implements link.Handler.
func (a *Agent) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		a.sawTables(m.Tables)
	case *contract.RowVersions:
		a.tookRows(l, m)
	case *contract.Start:
		a.takeStart(l, m)
	case *contract.ResultAck:
		a.acked(l, m.Tasks)
	case *contract.Fence:
		a.fence(l, seq, m)
	case *contract.CreditReset:
		a.resetCredits(m.Pool)
	case *contract.Cancel:
		a.cancelJob(l, m.Job)
	case *contract.StatusRequest, *contract.DrainRequest:
		a.receiveAdmin(l, seq, m)
	}
}

func (a *Agent) sawTables(v contract.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tables = max(a.tables, v)
}

func (a *Agent) takeStart(l *link.Link, s *contract.Start) {
	a.acked(l, s.Acks)
	s.Acks = nil
	a.mu.Lock()
	verdict, reason := a.offer(s)
	if verdict == VerdictRun || verdict == VerdictWait {
		a.tasks[s.Task] = &task{
			owner:   host.FromHello(l.Remote()).Ref,
			expires: time.Now().Add(s.Lease),
			keep:    s.Keep,
		}
		a.credits.begin(s, l.Remote().Host)
	}
	if verdict == VerdictWait {
		metrics.StartsQueued.Add(1)
	}
	if verdict == VerdictRun {
		a.launch(s)
	}
	known := a.tables
	a.mu.Unlock()
	if verdict == VerdictRefuse {
		l.Send(&contract.StartRefused{Task: s.Task, Attempt: s.Attempt, Reason: reason, Tables: known})
	}
}

// fence answers an entry that asks what became of tasks, and makes it the
// owner of those that have started. An earlier owner learns of those that have
// not.
func (a *Agent) fence(l *link.Link, seq uint64, m *contract.Fence) {
	asker := host.FromHello(l.Remote()).Ref
	reply := &contract.TaskStates{}
	var done []*contract.Result
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
			done = append(done, goneResult(id, a.gate.Attempt(id)))
		}
		if t == nil {
			continue
		}
		if state == contract.TaskFenced && t.owner != asker {
			if prev := a.linkTo(t.owner); prev != nil {
				notices[prev] = append(notices[prev], contract.TaskReport{Task: id, State: state, Attempt: a.gate.Attempt(id)})
			}
		}
		t.adopt(asker)
		if t.result != nil {
			done = append(done, t.result)
		}
	}
	a.mu.Unlock()
	for prev, reports := range notices {
		prev.Send(&contract.TaskStates{Reports: reports})
	}
	for _, r := range done {
		l.Send(r)
	}
	if seq != 0 {
		l.Reply(seq, reply)
		return
	}
	l.Send(reply)
}

// goneResult stands for the result of a task that ran and is no longer kept.
func goneResult(id contract.TaskID, attempt uint32) *contract.Result {
	return &contract.Result{
		Task: id, Attempt: attempt, Outcome: contract.OutcomeRan, Status: http.StatusGone,
		Reason: "the task ran, and its result is no longer kept",
	}
}

// adopt makes ref the owner.
func (t *task) adopt(ref host.Ref) {
	if t.owner == ref {
		return
	}
	t.earlier = slices.DeleteFunc(t.earlier, func(r host.Ref) bool { return r == ref })
	t.earlier = append(t.earlier, t.owner)
	t.owner = ref
	t.acked = false
}

// fenceTask fences one task, and ends the wait of a single request; the caller
// holds a.mu.
func (a *Agent) fenceTask(id contract.TaskID, attempt uint32) contract.TaskState {
	state := a.gate.Fence(id, attempt)
	t := a.tasks[id]
	if state != contract.TaskFenced || t == nil {
		return reported(state)
	}
	if t.wait != nil {
		t.wait <- false
	}
	delete(a.tasks, id)
	delete(a.credits.uses, id)
	return state
}

// cancelJob drops the sender's unstarted tasks of the job, and stops those
// that run.
func (a *Agent) cancelJob(l *link.Link, job contract.JobID) {
	owner := host.FromHello(l.Remote()).Ref
	var reports []contract.TaskReport
	a.mu.Lock()
	waiting, running := a.gate.Open(job)
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
