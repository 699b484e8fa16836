package hub

import (
	"time"

	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// replyTo is where an answer goes.
type replyTo struct {
	link *link.Link
	seq  uint64
}

// noted is an end, or all up to it, to be acknowledged once it is stored.
type noted struct {
	agent *agent
	sess  contract.WorkerSession
	seq   uint64
}

// proposal is a batch with those who wait for it to be stored.
type proposal struct {
	batch   durable.Batch
	noted   []noted
	cancels []replyTo
	tables  []chan error
}

// submission is a job on its way to being stored.
type submission struct {
	arrived time.Duration
	waiters []replyTo
}

// checkLead starts and ends the leadership as the log's state says.
func (h *Hub) checkLead(now time.Duration) {
	switch {
	case h.lead != nil && (h.node.Role() != consensus.Leader || h.node.Term() != h.lead.term):
		h.log.Info("leadership lost", "term", h.lead.term, "open_submits", len(h.lead.submits))
		for _, p := range h.lead.proposed {
			p.failTables()
		}
		h.lead.open.failTables()
		h.lead = nil
	case h.lead == nil && h.node.Established() && h.node.Applied() >= h.node.Commit():
		h.lead = &leadership{
			term: h.node.Term(), since: now,
			sched:      schedule.New(h.node.Term(), h.state, now),
			agents:     map[contract.HostID]*agent{},
			links:      map[*link.Link]*agent{},
			open:       &proposal{},
			proposed:   map[uint64]*proposal{},
			submits:    map[contract.DurableJobID]*submission{},
			transients: newTransients(),
		}
		for host := range h.state.Agents {
			h.lead.agents[host] = &agent{host: host, echoed: now, away: true, known: true}
		}
		for l := range h.inbound {
			h.tellWorker(l)
		}
		h.log.Info("leadership taken", "term", h.node.Term(), "jobs", len(h.state.Jobs), "agents", len(h.state.Agents))
	}
}

func (p *proposal) failTables() {
	for _, ch := range p.tables {
		ch <- ErrNotLeader
	}
	p.tables = nil
}

// leads reports whether this hub may answer and give orders now: no other can
// have become the leader, and a majority holds a copy more than may be lost.
func (h *Hub) leads(now time.Duration) bool {
	return h.lead != nil && h.node.LeaseUntil(now) > now &&
		consensus.Majority(len(h.node.Group().Voters)) > h.cfg.Tolerance
}

func (h *Hub) tickLead(now time.Duration) {
	h.tendGroup(now)
	if now-h.lead.checkedAt >= checkEvery {
		h.lead.checkedAt = now
		h.checkAgents(now)
		h.lead.sched.Check(now)
		h.lead.transients.forget(now)
	}
	if now-h.lead.summaryAt >= summaryEvery {
		h.lead.summaryAt = now
		h.logSummaries()
	}
}

// summaryEvery is how often the log says how the pools stand.
const summaryEvery = time.Second

func (h *Hub) logSummaries() {
	for _, p := range h.lead.sched.Summaries() {
		h.log.Info("pool", "pool", p.Pool, "workers", p.Workers, "suspects", p.Suspects, "away", p.Away,
			"room", p.Room, "used", p.Used, "viable", p.Viable, "late", p.Late, "jobs", p.Jobs)
	}
}

// checkEvery is how often agents and runs are looked at.
const checkEvery = 20 * time.Millisecond

// propose puts what came since the last turn into the log.
func (h *Hub) propose(now time.Duration) {
	if h.lead == nil {
		return
	}
	p := h.lead.open
	if p.batch.Empty() && len(p.noted) == 0 {
		return
	}
	p.batch.At = h.logClock.now(now)
	p.batch.ForgetBefore = p.batch.At - h.cfg.Retain.Milliseconds()
	data, err := p.batch.Encode()
	if err != nil {
		h.log.Error(err, "a batch can't be encoded: what it holds is dropped")
		h.lead.open = &proposal{}
		return
	}
	index, ok := h.node.Propose(data)
	if !ok {
		return
	}
	h.lead.proposed[index] = p
	h.lead.open = &proposal{}
}

// applyProposed applies a batch that this leader proposed, and answers those
// who waited for it.
func (h *Hub) applyProposed(now time.Duration, p *proposal) {
	c := h.state.Apply(&p.batch)
	h.logClock.set(p.batch.At, now)
	s := h.lead.sched
	for _, j := range c.Finished {
		h.countEnd(j, j.EndedAt-j.At)
		s.Finished(j.ID)
	}
	for _, j := range c.Accepted {
		h.accepted(now, j)
	}
	for _, e := range p.batch.Ends {
		s.TaskStored(e.DurableTask)
	}
	for _, n := range p.noted {
		n.agent.storing--
		n.agent.note(n)
	}
	for _, r := range p.cancels {
		h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictCancelled})
	}
	for _, ch := range p.tables {
		ch <- nil
	}
	if c.TablesChanged {
		h.log.Info("tables in force", "version", h.state.Tables.Version, "queues", len(h.state.Tables.Queues))
	}
	for _, seen := range p.batch.AgentsSeen {
		h.agentKnown(now, seen.Host)
	}
}

func (h *Hub) accepted(now time.Duration, j *durable.Job) {
	arrived := now
	if sub := h.lead.submits[j.ID]; sub != nil {
		arrived = sub.arrived
		delete(h.lead.submits, j.ID)
		for _, r := range sub.waiters {
			h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictAccepted})
		}
	}
	h.lead.sched.Accepted(j, arrived)
}

// countEnd tells of a job's end; ms is how long it took.
func (h *Hub) countEnd(j *durable.Job, ms int64) {
	telemetry.JobsEnded.WithLabelValues(j.State.String()).Inc()
	telemetry.JobSeconds.Observe((time.Duration(ms) * time.Millisecond).Seconds())
	h.log.Info("job ended", "job", j.ID, "state", j.State.String(), "ms", ms)
}

// submit decides on a job of a caller.
func (h *Hub) submit(now time.Duration, to replyTo, m *contract.JobSubmit) {
	r := h.decide(now, to, m)
	if r == nil {
		return
	}
	if r.Verdict != contract.VerdictAccepted && r.Verdict != contract.VerdictState {
		telemetry.Refused.WithLabelValues(r.Reason).Inc()
		h.log.Info("job refused", "path", m.Path, "verdict", r.Verdict, "reason", r.Reason, "retry_ms", r.RetryAfter.Milliseconds())
	}
	h.reply(to.link, to.seq, r)
}

// match returns the queue that takes the path and what follows its prefix, or
// the answer where this hub can't tell or there is none.
func (h *Hub) match(now time.Duration, host, path string) (*contract.Queue, string, *contract.JobReply) {
	if !h.leads(now) {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictNotLeader}
	}
	if h.state.Tables.Version == 0 {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictUnready, Reason: "no tables yet"}
	}
	q, rest := h.state.Match(host, path)
	if q == nil {
		return nil, "", &contract.JobReply{Verdict: contract.VerdictNoQueue}
	}
	return q, rest, nil
}

// decide returns the answer, or nil when it is to come once the job is stored.
func (h *Hub) decide(now time.Duration, to replyTo, m *contract.JobSubmit) *contract.JobReply {
	q, rest, refusal := h.match(now, m.Host, m.Path)
	if refusal != nil {
		return refusal
	}
	id := contract.DurableJobID(rest)
	if h.state.Jobs[id] != nil {
		return &contract.JobReply{Verdict: contract.VerdictAccepted}
	}
	if sub := h.lead.submits[id]; sub != nil {
		sub.waiters = append(sub.waiters, to)
		return nil
	}
	if t := h.lead.transients.jobs[id]; t != nil {
		return t.join(to)
	}
	if m.Unsupported != "" || q.NeedsAdvice {
		return &contract.JobReply{Verdict: contract.VerdictUnsupported, Reason: "not built: " + m.Unsupported}
	}
	job := contract.DurableJob{
		ID: id, Queue: q.Name, Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Slack: q.Slack, Target: q.Target, Spec: m.Spec, Steps: m.Steps,
	}
	// An earlier leader may have started the job: a refusal, which says that
	// it has not run, could be untrue.
	if a := h.lead.sched.Admit(now, now-m.Age, &job); !a.OK && !m.Again {
		verdict := contract.VerdictOverload
		if a.Never {
			verdict = contract.VerdictUnsupported
		}
		return &contract.JobReply{Verdict: verdict, RetryAfter: a.RetryAfter, Reason: a.Reason}
	}
	if m.Transient {
		h.startTransient(now, to, &job, m)
		return nil
	}
	h.lead.submits[id] = &submission{arrived: now, waiters: []replyTo{to}}
	h.lead.open.batch.Submits = append(h.lead.open.batch.Submits, job)
	return nil
}

// query answers a read or a cancel.
func (h *Hub) query(now time.Duration, to replyTo, m *contract.JobQuery) {
	if r := h.answer(now, to, m); r != nil && to.seq != 0 {
		h.reply(to.link, to.seq, r)
	}
}

func (h *Hub) answer(now time.Duration, to replyTo, m *contract.JobQuery) *contract.JobReply {
	q, rest, refusal := h.match(now, m.Host, m.Path)
	if refusal != nil {
		return refusal
	}
	if rest == "" && m.Action == contract.JobRead {
		return &contract.JobReply{Verdict: contract.VerdictWaiting, Waiting: h.lead.sched.Waiting(q.Name)}
	}
	id := contract.DurableJobID(rest)
	if m.Action == contract.JobAbandon {
		h.abandon(now, id)
		return nil
	}
	j := h.state.Jobs[id]
	switch {
	case m.Action == contract.JobCancel && (j != nil && !j.State.Ended() || h.lead.submits[id] != nil):
		h.lead.open.batch.Cancels = append(h.lead.open.batch.Cancels, id)
		h.lead.open.cancels = append(h.lead.open.cancels, to)
		return nil
	case j == nil:
		return &contract.JobReply{Verdict: contract.VerdictNoJob}
	case m.Action == contract.JobCancel:
		return &contract.JobReply{Verdict: contract.VerdictCancelled}
	}
	state := j.State
	if state == contract.DurableQueued && h.lead.sched.Begun(id) {
		state = contract.DurableRunning
	}
	return &contract.JobReply{Verdict: contract.VerdictState, State: state}
}
