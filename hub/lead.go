package hub

import (
	"slices"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// replyTo identifies the request that a reply answers. seq is zero if the sender
// expects no reply.
type replyTo struct {
	link *link.Link
	seq  uint64
}

// endAck is a pending acknowledgement of run ends: all ends of the session up
// to seq are acknowledged to the agent once they are committed.
type endAck struct {
	agent   *agent
	session contract.WorkerSession
	seq     uint64
}

// proposal is a batch for the log, with the requests that wait until it is
// committed.
type proposal struct {
	batch         durable.Batch
	endAcks       []endAck
	cancelWaiters []replyTo
	// waiters receive the result of operators' changes.
	waiters []chan error
}

// submission is a submitted job that is not committed yet.
type submission struct {
	receivedAt time.Duration
	waiters    []replyTo
}

// updateLeadership creates the leader state once this hub is an established
// leader that has applied all committed entries, and drops it when this hub no
// longer leads the term.
func (h *Hub) updateLeadership(now time.Duration) {
	switch {
	case h.leader != nil && (h.node.Role() != consensus.Leader || h.node.Term() != h.leader.term):
		h.log.Info("leadership lost", "term", h.leader.term, "open_submits", len(h.leader.submissions))
		for _, p := range h.leader.proposed {
			p.failWaiters()
		}
		h.leader.pending.failWaiters()
		h.leader = nil
	case h.leader == nil && h.node.IsEstablishedLeader() && h.node.Applied() >= h.node.Commit():
		h.leader = &leaderState{
			term: h.node.Term(), startedAt: now,
			sched:       schedule.New(h.node.Term(), h.state, now),
			agents:      map[contract.HostID]*agent{},
			agentByLink: map[*link.Link]*agent{},
			toldFirst:   map[contract.HostID]contract.Incarnation{},
			pending:     &proposal{},
			proposed:    map[uint64]*proposal{},
			submissions: map[contract.DurableJobID]*submission{},
			transients:  newTransientJobs(),
			memory:      newJobMemory(h.cfg.memoryBytes()),
		}
		for _, j := range h.state.Jobs {
			if !j.State.Ended() {
				h.leader.memory.add(&j.DurableJob, false)
			}
		}
		for host := range h.state.Agents {
			h.leader.agents[host] = &agent{host: host, authorityGrantedAt: now, unreachable: true, registered: true}
		}
		for host, at := range h.state.GoneAgents {
			h.leader.sched.AgentGone(host, now-time.Duration(h.logClock.now(now)-at)*time.Millisecond)
		}
		for l := range h.inbound {
			h.sendKnownWorker(l)
			h.leader.sched.AgentConnected(now, l.Remote().Host)
		}
		h.log.Info("leadership acquired", "term", h.node.Term(), "jobs", len(h.state.Jobs), "agents", len(h.state.Agents))
	}
}

// failWaiters fails the operators' changes that wait for the proposal with
// ErrNotLeader.
func (p *proposal) failWaiters() {
	for _, ch := range p.waiters {
		ch <- ErrNotLeader
	}
	p.waiters = nil
}

// holdsLeaderLease reports whether this hub may answer requests and send orders
// now: no other hub can have become the leader, and a majority of the voters has
// more members than may lose their disks at once.
func (h *Hub) holdsLeaderLease(now time.Duration) bool {
	return h.leader != nil && h.node.LeaseUntil(now) > now &&
		consensus.Majority(len(h.node.Group().Voters)) > h.cfg.MaxLostDisks
}

func (h *Hub) tickLeader(now time.Duration) {
	h.reconcileGroup(now)
	if now-h.leader.lastCheckAt >= checkInterval {
		h.leader.lastCheckAt = now
		h.checkAgents(now)
		h.leader.sched.CheckRuns(now)
		h.leader.transients.evictEnded(now)
		h.dropSilentEntries(now)
	}
	if now-h.leader.lastSummaryAt >= summaryInterval {
		h.leader.lastSummaryAt = now
		h.logSummaries(now)
	}
}

// summaryInterval is how often the leader logs a summary of each pool.
const summaryInterval = time.Second

func (h *Hub) logSummaries(now time.Duration) {
	unattached := h.leader.countUnattached()
	for _, p := range h.leader.sched.PoolSummaries(now) {
		h.log.Info("pool summary", append(poolFields(p, unattached), "viable", p.ViableJobs, "late", p.LateJobs, "jobs", p.Jobs)...)
	}
}

// poolFields returns the fields of log lines that describe the workers of a pool.
// unattached counts the agents, of whatever pool, that have not reported to this
// leader yet.
func poolFields(p schedule.PoolSummary, unattached int) []any {
	return []any{
		"pool", p.Pool, "workers", p.AvailableWorkers, "slow", p.SlowWorkers, "suspects", p.SuspectedWorkers, "away", p.UnavailableWorkers,
		"cells", p.Cells, "lost", p.LostWorkers, "cell_limit", p.CellLimit, "confined_queues", p.ConfinedQueues, "unreachable", p.UnreachableWorkers, "evacuated", p.EvacuatedWorkers, "unattached", unattached, "room", p.CapacityMilliCPU, "used", p.UsedMilliCPU,
		"expected", p.ExpectedMilliCPU, "expected_ms", p.ExpectedDelay.Milliseconds(),
	}
}

// countUnattached returns the number of agents that the replicated state lists and
// that have no session with this leader.
func (ls *leaderState) countUnattached() int {
	n := 0
	for _, a := range ls.agents {
		if a.registered && !a.attached {
			n++
		}
	}
	return n
}

// refusalFieldsTTL is how long the description of the pools in the log lines of
// refused jobs is reused, since it takes a walk over all workers.
const refusalFieldsTTL = 50 * time.Millisecond

// refusalFields returns the fields that describe the pool in the log line of a
// refused job, and the age of that knowledge.
func (ls *leaderState) refusalFields(now time.Duration, pool string) []any {
	if ls.poolFields == nil || now-ls.poolFieldsAt > refusalFieldsTTL {
		ls.poolFields, ls.poolFieldsAt = map[string][]any{}, now
		unattached := ls.countUnattached()
		for _, p := range ls.sched.PoolSummaries(now) {
			ls.poolFields[p.Pool] = poolFields(p, unattached)
		}
	}
	return append(slices.Clone(ls.poolFields[pool]), "pool_age_ms", (now - ls.poolFieldsAt).Milliseconds())
}

// checkInterval is how often the leader checks agents, runs and ended transient
// jobs for timeouts.
const checkInterval = 20 * time.Millisecond

// propose proposes the changes collected since the last proposal as one log
// entry.
func (h *Hub) propose(now time.Duration) {
	if h.leader == nil {
		return
	}
	p := h.leader.pending
	if p.batch.Empty() && len(p.endAcks) == 0 {
		return
	}
	p.batch.LogTime = h.logClock.now(now)
	p.batch.ForgetBefore = p.batch.LogTime - h.cfg.JobRetention.Milliseconds()
	data, err := p.batch.Encode()
	if err != nil {
		h.log.Error(err, "cannot encode batch: its changes are dropped")
		h.leader.pending = &proposal{}
		return
	}
	index, ok := h.node.Propose(data)
	if !ok {
		return
	}
	h.leader.proposed[index] = p
	h.leader.pending = &proposal{}
}

// applyProposed applies a committed batch that this leader proposed, and
// answers the requests that waited for it.
func (h *Hub) applyProposed(now time.Duration, p *proposal) {
	changes := h.state.Apply(&p.batch)
	h.logClock.set(p.batch.LogTime, now)
	sched := h.leader.sched
	for _, j := range changes.Ended {
		h.recordJobEnd(j, j.EndedAt-j.AcceptedAt)
		h.leader.memory.remove(j.ID)
		sched.JobEnded(j.ID)
	}
	for _, j := range changes.Accepted {
		h.jobAccepted(now, j)
	}
	for _, e := range p.batch.Ends {
		sched.TaskEndApplied(e.DurableTask)
	}
	for _, ack := range p.endAcks {
		ack.agent.pendingEndAcks--
		h.leader.acknowledgeEnds(ack)
	}
	for _, r := range p.cancelWaiters {
		h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictCancelled})
	}
	h.evacuationsChanged(changes.Evacuations)
	for _, ch := range p.waiters {
		ch <- nil
	}
	if changes.TablesChanged {
		h.tablesChanged(now, changes)
	}
	for _, seen := range p.batch.RegisteredAgents {
		h.agentRegistered(now, seen.Host)
	}
}

// jobAccepted passes a committed job to the scheduler, and replies to the callers
// that wait for it.
func (h *Hub) jobAccepted(now time.Duration, j *durable.Job) {
	receivedAt := now
	if sub := h.leader.submissions[j.ID]; sub != nil {
		receivedAt = sub.receivedAt
		delete(h.leader.submissions, j.ID)
		for _, r := range sub.waiters {
			h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictAccepted})
		}
	}
	h.leader.memory.add(&j.DurableJob, false)
	h.leader.sched.AddAccepted(j, receivedAt)
}

// recordJobEnd counts and logs the end of a job. ms is the time from its
// acceptance to its end, in milliseconds.
func (h *Hub) recordJobEnd(j *durable.Job, ms int64) {
	telemetry.JobsEnded.WithLabelValues(j.State.String()).Inc()
	telemetry.JobSeconds.Observe((time.Duration(ms) * time.Millisecond).Seconds())
	h.log.Info("job ended", "job", j.ID, "state", j.State.String(), "ms", ms)
}

// handleSubmit admits or refuses a caller's job, and replies unless the reply
// has to wait.
func (h *Hub) handleSubmit(now time.Duration, to replyTo, m *contract.JobSubmit) {
	r := h.admitJob(now, to, m)
	if r == nil {
		return
	}
	if r.Verdict != contract.VerdictAccepted && r.Verdict != contract.VerdictState {
		telemetry.JobsRefused.WithLabelValues(r.Reason).Inc()
		fields := []any{"path", m.Path[:min(len(m.Path), maxLoggedPath)], "verdict", r.Verdict, "reason", r.Reason, "retry_ms", r.RetryAfter.Milliseconds()}
		if r.Verdict == contract.VerdictOverload {
			if q, _ := h.state.MatchQueue(m.Host, m.Path); q != nil {
				fields = append(fields, "wait_ms", h.leader.refusedWait.Milliseconds())
				fields = append(fields, h.leader.refusalFields(now, q.Pool)...)
			}
		}
		h.log.Info("job refused", fields...)
	}
	h.reply(to.link, to.seq, r)
}

// maxLoggedPath limits the path of a caller in a log line, in bytes.
const maxLoggedPath = 200

// matchQueue returns the queue that matches the path, and the rest of the path
// after the queue's prefix. If no queue matches or this hub can't answer, it
// returns the refusal instead.
func (h *Hub) matchQueue(now time.Duration, host, path string) (*contract.Queue, string, *contract.JobReply) {
	if !h.holdsLeaderLease(now) {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictNotLeader}
	}
	if h.state.Tables.Version == 0 {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictUnready, Reason: "no tables yet"}
	}
	q, suffix := h.state.MatchQueue(host, path)
	if q == nil {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictNoQueue}
	}
	return q, suffix, nil
}

// admitJob admits or refuses a job. It returns nil if the reply is sent later: when
// the job has been committed or, for a transient job, when it has ended.
func (h *Hub) admitJob(now time.Duration, to replyTo, m *contract.JobSubmit) *contract.JobReply {
	if h.leader != nil && m.Term != 0 && m.Term != h.leader.term {
		// A message to an earlier leader at this hub. Its sender may have been told since
		// that the job has not run.
		return &contract.JobReply{Verdict: contract.VerdictNotLeader}
	}
	q, suffix, unmatched := h.matchQueue(now, m.Host, m.Path)
	if unmatched != nil {
		if unmatched.Verdict == contract.VerdictNoQueue && h.mayHaveAccepted(now, m) {
			return &contract.JobReply{Verdict: contract.VerdictUnknown}
		}
		return unmatched
	}
	if m.Bound && h.entrySilent(now, to.link) {
		// The entry may be gone already. If it is not, it submits the job again.
		return &contract.JobReply{Verdict: contract.VerdictNotLeader}
	}
	id := contract.JobIDIn(suffix)
	if h.state.Jobs[id] != nil {
		return &contract.JobReply{Verdict: contract.VerdictAccepted}
	}
	if sub := h.leader.submissions[id]; sub != nil {
		sub.waiters = append(sub.waiters, to)
		return nil
	}
	if t := h.leader.transients.jobs[id]; t != nil {
		t.sentAfter = min(t.sentAfter, h.leader.sentAfter(now, m))
		return t.addWaiter(to)
	}
	if m.Transient && h.leader.sched.GivenUp(id) {
		// Submitted again, perhaps after a change of leader.
		return &contract.JobReply{Verdict: contract.VerdictState, State: contract.DurableFailed}
	}
	if m.Unsupported != "" || q.NeedsAdvice {
		return &contract.JobReply{Verdict: contract.VerdictUnsupported, Reason: "not built: " + m.Unsupported}
	}
	// The ID is a part of the path, which would be kept with it.
	id = contract.DurableJobID(strings.Clone(string(id)))
	job := contract.DurableJob{
		ID: id, Queue: q.Name, Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Slack: q.Slack, Target: q.Target, Spec: m.Spec, Steps: m.Steps,
	}
	// A refusal tells the caller that the job has not run. That could be wrong for a
	// job that an earlier leader may have started.
	mayHaveStarted := m.Resubmitted
	if m.Transient {
		mayHaveStarted = h.mayHaveStarted(now, id, m) || h.leader.sched.HasDirectRuns(id)
	}
	if !mayHaveStarted {
		if r := h.refuseFull(&job, m.Transient); r != nil {
			return r
		}
	}
	admission := schedule.Admission{OK: true}
	// settleResubmitted admits a transient job that may have started.
	if !m.Transient || !mayHaveStarted || !h.leader.sched.AwaitingRelease() {
		admission = h.leader.sched.Admit(now, now-m.Age, &job)
		if !admission.OK && m.Transient && !mayHaveStarted {
			admission = h.leader.sched.AdmitLate(now, now-m.Age, &job, admission)
		}
		if !admission.OK && !mayHaveStarted {
			h.leader.refusedWait = admission.PredictedWait
			return refusal(admission)
		}
	}
	if m.Transient {
		h.startTransient(now, to, &job, m, mayHaveStarted)
		if admission.Late {
			telemetry.JobsAdmittedLate.Inc()
			h.log.Info("job admitted late", "job", id, "wait_ms", admission.PredictedWait.Milliseconds())
		}
		h.leader.sched.Arrange(id, admission)
		return nil
	}
	h.leader.memory.add(&job, false)
	h.leader.submissions[id] = &submission{receivedAt: now, waiters: []replyTo{to}}
	if len(h.leader.pending.batch.Submits) == 0 {
		h.leader.pending.batch.SubmitTables = h.state.Tables.Version
	}
	h.leader.pending.batch.Submits = append(h.leader.pending.batch.Submits, job)
	return nil
}

// mayHaveAccepted reports whether the submitted job, which no queue matches, may have been
// accepted while one did. A refusal would say that it has not run.
func (h *Hub) mayHaveAccepted(now time.Duration, m *contract.JobSubmit) bool {
	id := contract.JobIDIn(m.Path)
	if h.state.Jobs[id] != nil || h.leader.submissions[id] != nil || h.leader.transients.jobs[id] != nil {
		return true
	}
	return m.Transient && h.mayHaveStarted(now, id, m)
}

// refusal returns the reply to a job that is not admitted and has not run.
func refusal(a schedule.Admission) *contract.JobReply {
	verdict := contract.VerdictOverload
	if a.NeverFits {
		verdict = contract.VerdictUnsupported
	}
	return &contract.JobReply{Verdict: verdict, RetryAfter: a.RetryAfter, Reason: a.Reason}
}

// handleQuery handles a request to read, cancel or abandon a job.
func (h *Hub) handleQuery(now time.Duration, to replyTo, m *contract.JobQuery) {
	if r := h.answerQuery(now, to, m); r != nil && to.seq != 0 {
		h.reply(to.link, to.seq, r)
	}
}

// answerQuery carries out the query. It returns nil for a cancel that is answered
// once it is committed, and for an abandon, which gets no reply.
func (h *Hub) answerQuery(now time.Duration, to replyTo, m *contract.JobQuery) *contract.JobReply {
	q, suffix, refusal := h.matchQueue(now, m.Host, m.Path)
	if m.Action == contract.JobAbandon && h.holdsLeaderLease(now) {
		// The queue of the job may have been dropped since.
		h.abandonTransient(now, to.link, contract.JobIDIn(m.Path))
		return nil
	}
	if refusal != nil {
		return refusal
	}
	if suffix == "" && m.Action == contract.JobRead {
		return &contract.JobReply{Verdict: contract.VerdictWaiting, Waiting: h.leader.sched.WaitingJobs(q.Name)}
	}
	id := contract.JobIDIn(suffix)
	j := h.state.Jobs[id]
	switch {
	case m.Action == contract.JobCancel && (j != nil && !j.State.Ended() || h.leader.submissions[id] != nil):
		h.leader.pending.batch.Cancels = append(h.leader.pending.batch.Cancels, id)
		h.leader.pending.cancelWaiters = append(h.leader.pending.cancelWaiters, to)
		return nil
	case j == nil:
		return &contract.JobReply{Verdict: contract.VerdictNoJob}
	case m.Action == contract.JobCancel:
		return &contract.JobReply{Verdict: contract.VerdictCancelled}
	}
	state := j.State
	if state == contract.DurableQueued && h.leader.sched.Begun(id) {
		state = contract.DurableRunning
	}
	return &contract.JobReply{Verdict: contract.VerdictState, State: state}
}
