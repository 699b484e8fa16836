package hub

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// agent is the leader's view of an agent and its worker's session.
type agent struct {
	host contract.HostID
	link *link.Link
	// attachID and incarnation are those of the agent's last attachment, and
	// retired holds the earlier incarnations of the agent.
	attachID    int64
	incarnation contract.Incarnation
	retired     map[contract.Incarnation]bool
	session     contract.WorkerSession
	// registered says that the replicated state lists the agent, so that a
	// later leader waits for it.
	registered bool
	// attached says that this leader has handled a report of the agent, and that no
	// session of the agent has expired since.
	attached bool
	// unreachable says that the agent gets no new work, since it has not reported
	// to this leader yet, its link is down, it is silent, or it does not
	// acknowledge its orders.
	unreachable bool
	// expiredSession is the last session that this leader has declared expired.
	expiredSession contract.WorkerSession
	// lastHeardAt is when the last message arrived; authorityGrantedAt is when
	// the agent was last granted authority. Before this leader's first grant,
	// authorityGrantedAt is when this hub became the leader or when the agent was
	// registered.
	lastHeardAt, authorityGrantedAt time.Duration
	// backlog holds the messages that are processed once the agent is
	// registered.
	backlog []contract.Message
	// orders collects the orders that are sent next; hasOrders says that there are
	// any. nextOrders adds to them.
	orders    contract.WorkerOrders
	hasOrders bool
	// lastOrderNumber is the number of the last orders sent on the link, and
	// ackedOrderNumber that of the last orders acknowledged. orderAckTimeout
	// counts from unackedSince: when the oldest unacknowledged orders were sent,
	// or when the agent last acknowledged any, whichever is later.
	lastOrderNumber, ackedOrderNumber uint64
	unackedSince                      time.Duration
	// ackedEndSeq is the sequence number up to which run ends of the session
	// are acknowledged.
	ackedEndSeq uint64
	// pendingEndAcks counts the acknowledgements that wait until a proposal is
	// applied.
	pendingEndAcks int
}

// acknowledgeEnds acknowledges committed run ends in the agent's next orders.
func (ls *leaderState) acknowledgeEnds(ack endAck) {
	a := ack.agent
	if a.session == ack.session && ack.seq > a.ackedEndSeq {
		a.ackedEndSeq = ack.seq
		ls.nextOrders(a).AckedEndSeq = ack.seq
	}
}

// nextOrders returns the orders that are sent to the agent at the end of this loop
// iteration.
func (ls *leaderState) nextOrders(a *agent) *contract.WorkerOrders {
	if !a.hasOrders {
		a.hasOrders = true
		ls.withOrders = append(ls.withOrders, a)
	}
	return &a.orders
}

// sessionTTL is how long a session may last after its agent was last granted
// authority. No worker lease lasts longer than the authority, and a worker's
// clock may be slow by one part in contract.WorkerClockDriftDivisor.
const sessionTTL = AgentAuthorityTTL + AgentAuthorityTTL/contract.WorkerClockDriftDivisor + sessionMargin

// agentLinkDown marks the agent of the link as unreachable, unless the agent has
// attached on another link since.
func (ls *leaderState) agentLinkDown(h *Hub, l *link.Link) {
	a := ls.agentByLink[l]
	if a == nil {
		return
	}
	delete(ls.agentByLink, l)
	if a.link == l {
		a.link = nil
		ls.markUnreachable(h, a, "link down")
	}
}

// markUnreachable makes the scheduler place no new work on the agent's worker.
func (ls *leaderState) markUnreachable(h *Hub, a *agent, why string) {
	if !a.unreachable {
		a.unreachable = true
		ls.sched.WorkerUnreachable(a.host)
		h.log.Info("agent unreachable", "worker", a.host, "why", why)
	}
}

// handleAgentMessage handles a message from an agent. A hub that does not lead
// drops the message, and the agent attaches to the next leader. Messages of an
// agent that is not registered yet are queued.
func (h *Hub) handleAgentMessage(now time.Duration, l *link.Link, m contract.Message) {
	if !h.holdsLeaderLease(now) {
		return
	}
	ls := h.leader
	a := ls.agentByLink[l]
	if r, ok := m.(*contract.WorkerReport); ok {
		if r.Term != ls.term {
			return
		}
		if r.Worker.FailureDomain == "" && !r.NoWorker {
			r.Worker.FailureDomain = l.Remote().FailureDomain
		}
		if r.Attach {
			a = h.attachAgent(l, r)
		}
	}
	if a == nil {
		return
	}
	a.lastHeardAt = h.eventAt
	ls.sched.AgentHeard(h.eventAt, a.host)
	if r, ok := m.(*contract.WorkerReport); ok {
		h.registerWorker(a, r)
	}
	if !a.registered {
		if len(a.backlog) >= maxAgentBacklog {
			h.log.Info("agent sent too much before its registration: closing its link", "worker", a.host, "messages", len(a.backlog))
			a.backlog = nil
			l.Close()
			return
		}
		a.backlog = append(a.backlog, m)
		return
	}
	h.processAgentMessage(now, a, m)
}

// registerWorker proposes to record the agent and its worker in the replicated
// state, unless it lists them already. A later leader then waits for the agent,
// and a restarted agent is told at once which worker it had. A capacity that has shrunk is
// recorded, since a restarted agent must not use the earlier one; one that grows is not
// worth a record, since the worker announces it within seconds. How long the worker stays
// cold is not recorded: it would be out of date when it is read, and would need a
// record for each report.
func (h *Hub) registerWorker(a *agent, r *contract.WorkerReport) {
	recorded := h.state.Agents[r.Host]
	if a.registered && (r.NoWorker || recorded.SameInstance(r.Worker) && recorded.Draining == r.Worker.Draining &&
		recorded.FailureDomain == r.Worker.FailureDomain && r.Worker.Capacity.Covers(recorded.Capacity)) {
		return
	}
	// A removal of the agent that is not proposed yet would undo the registration.
	h.leader.pending.batch.RemovedAgents = slices.DeleteFunc(h.leader.pending.batch.RemovedAgents, func(host contract.HostID) bool { return host == r.Host })
	worker := r.Worker
	worker.ColdLeftMillis = 0
	h.leader.pending.batch.RegisteredAgents = append(h.leader.pending.batch.RegisteredAgents, durable.AgentRegistration{Host: r.Host, Worker: worker})
}

// isStale reports whether the agent has attached again, or has been restarted, since
// it sent the report r on l. Such a report does not contain the runs that the agent has
// started since, so they must not count as lost.
func (a *agent) isStale(l *link.Link, r *contract.WorkerReport) bool {
	if inc := l.Remote().Incarnation; inc != a.incarnation {
		return a.retired[inc]
	}
	return r.AttachID < a.attachID
}

// attachAgent binds the agent that sent the report r to its link, and returns the
// agent, or nil if the report is stale. For a new attachment it discards the orders
// that were not sent; otherwise it clears r.Attach.
func (h *Hub) attachAgent(l *link.Link, r *contract.WorkerReport) *agent {
	ls := h.leader
	a := ls.agents[r.Host]
	if a == nil {
		a = &agent{host: r.Host, unreachable: true}
		ls.agents[r.Host] = a
	}
	if a.isStale(l, r) {
		h.log.Info("report of an earlier attachment ignored", "worker", a.host, "attachment", r.AttachID, "present", a.attachID)
		return nil
	}
	if a.link == l && a.attachID == r.AttachID {
		// A link that is up loses no messages: orders that the report does not
		// reflect may still be in transit, so they must not count as lost.
		r.Attach = false
		return a
	}
	if a.link != nil && a.link != l {
		delete(ls.agentByLink, a.link)
	}
	a.setIncarnation(l.Remote().Incarnation)
	a.link, a.attachID = l, r.AttachID
	a.orders = contract.WorkerOrders{}
	a.ackedEndSeq = 0
	a.lastOrderNumber, a.ackedOrderNumber = 0, 0
	ls.agentByLink[l] = a
	return a
}

// setIncarnation records the agent's present process, and retires the one before.
func (a *agent) setIncarnation(inc contract.Incarnation) {
	if inc == a.incarnation {
		return
	}
	if a.incarnation != 0 {
		if a.retired == nil {
			a.retired = map[contract.Incarnation]bool{}
		}
		a.retired[a.incarnation] = true
	}
	a.incarnation = inc
}

// agentRegistered processes the queued messages of an agent whose registration
// has been committed.
func (h *Hub) agentRegistered(now time.Duration, host contract.HostID) {
	a := h.leader.agents[host]
	if a == nil || a.registered {
		return
	}
	a.registered = true
	a.authorityGrantedAt = now
	backlog := a.backlog
	a.backlog = nil
	for _, m := range backlog {
		h.processAgentMessage(now, a, m)
	}
}

// maxAgentBacklog is the maximum number of messages that are queued for an agent
// until it is registered. An agent sends about ten a second, and some for each run
// that ends; a registration takes a few milliseconds while there is a majority.
const maxAgentBacklog = 256

func (h *Hub) processAgentMessage(now time.Duration, a *agent, m contract.Message) {
	switch m := m.(type) {
	case *contract.WorkerReport:
		h.handleReport(now, a, m)
	case *contract.WorkerEnds:
		if m.Session == a.session && m.Session != a.expiredSession {
			h.handleEnds(now, a, m.Ends)
		}
	case *contract.OrdersTaken:
		if m.AttachID != a.attachID {
			return
		}
		a.ackedOrderNumber = max(a.ackedOrderNumber, m.Number)
		a.unackedSince = now
	case *contract.AgentBeat:
		if m.Session == a.session && m.Session != a.expiredSession {
			h.grantAuthority(now, a, m.Stamp)
			if a.ackedOrderNumber == a.lastOrderNumber {
				h.markReachable(a)
			}
		}
	}
}

// markReachable lets the scheduler place work on the agent's worker again, if the
// agent has attached.
func (h *Hub) markReachable(a *agent) {
	if a.unreachable && a.attached {
		a.unreachable = false
		h.leader.sched.WorkerReachable(a.host)
		h.log.Info("agent reachable again", "worker", a.host)
	}
}

// grantAuthority grants the agent authority for AgentAuthorityTTL from the time
// at which the agent sent the message with the stamp, or from an earlier one while its
// worker may have runs of a bound job whose entry is silent.
func (h *Hub) grantAuthority(now time.Duration, a *agent, stamp int64) {
	if a.link == nil {
		return
	}
	a.authorityGrantedAt = now
	if limit, ok := h.leader.sched.AuthorityLimit(a.host); ok {
		stamp -= int64(max(0, now-limit))
	}
	if err := a.link.Send(&contract.AgentAuthority{Term: h.leader.term, Stamp: stamp}); err != nil {
		h.log.V(1).Info("authority not sent", "worker", a.host, "err", err)
	}
}

// handleReport passes an agent's report to the scheduler, and grants the agent
// authority. For an expired session it only orders the agent to end the session.
func (h *Hub) handleReport(now time.Duration, a *agent, r *contract.WorkerReport) {
	if r.Session == a.expiredSession && r.Session != 0 {
		h.leader.nextOrders(a).EndSession = true
		a.session = r.Session
		return
	}
	if a.session != r.Session {
		a.ackedEndSeq = 0
	}
	a.session = r.Session
	a.attached = true
	if r.Attach {
		h.log.Info("worker attached", "worker", a.host, "session", r.Session, "pool", r.Worker.Pool, "running", len(r.Running), "ends", len(r.Ends), "recent", len(r.Recent), "recent_ms", r.RecentSince.Milliseconds(), "draining", r.Worker.Draining, "gone", r.NoWorker)
	}
	h.proposeEnds(now, a, r.Ends, h.leader.sched.WorkerReported(now, r))
	h.handleCrashes(now)
	a.unreachable = false
	h.grantAuthority(now, a, r.Stamp)
}

// handleEnds passes run ends to the scheduler, and proposes those that must be
// stored.
func (h *Hub) handleEnds(now time.Duration, a *agent, ends []contract.RunEnded) {
	var taskEnds []schedule.TaskEnd
	for _, e := range ends {
		c := h.leader.sched.RunEnded(now, a.host, e)
		h.log.V(1).Info("run ended", "job", e.Job, "task", e.Task, "run", e.Run, "how", e.Kind.String(), "worker", a.host, "counts", c != nil)
		if c != nil {
			taskEnds = append(taskEnds, *c)
		}
	}
	h.proposeEnds(now, a, ends, taskEnds)
}

// proposeEnds adds the task ends to the pending proposal, and acknowledges all the
// run ends to the agent once the proposal is committed. Task ends of transient
// jobs take effect at once, without a proposal. If nothing has to be committed
// first, the run ends are acknowledged at once.
func (h *Hub) proposeEnds(now time.Duration, a *agent, ends []contract.RunEnded, taskEnds []schedule.TaskEnd) {
	p := h.leader.pending
	proposed := false
	for _, c := range taskEnds {
		if !h.endTransientTask(now, c.DurableTask, c.Done) {
			p.batch.Ends = append(p.batch.Ends, durable.TaskEnd{DurableTask: c.DurableTask, Done: c.Done})
			proposed = true
		}
	}
	var last uint64
	for _, e := range ends {
		last = max(last, e.Seq)
	}
	if last == 0 {
		return
	}
	ack := endAck{agent: a, session: a.session, seq: last}
	if !proposed && a.pendingEndAcks == 0 {
		h.leader.acknowledgeEnds(ack)
		return
	}
	// Ends are acknowledged in order, so these wait for earlier ends that are
	// not committed yet.
	a.pendingEndAcks++
	p.endAcks = append(p.endAcks, ack)
}

// checkAgents marks agents that time out as unreachable, as far as the messages that
// have arrived were handled, and declares sessions
// expired once none of their runs can be alive. It removes an agent whose session
// has expired if the agent has no link. It releases the tasks that may have runs
// of an earlier leader once each registered agent has attached or its session has
// expired.
func (h *Hub) checkAgents(now time.Duration) {
	ls := h.leader
	allAttached := true
	for _, a := range ls.agents {
		if a.registered && !a.unreachable && h.handledUntil-a.lastHeardAt > agentTimeout {
			ls.markUnreachable(h, a, "silent")
		}
		if a.registered && !a.unreachable && a.ackedOrderNumber < a.lastOrderNumber && h.handledUntil-a.unackedSince > orderAckTimeout {
			ls.markUnreachable(h, a, "orders not acknowledged")
		}
		if !a.unreachable || !a.registered {
			continue
		}
		if now-a.authorityGrantedAt <= sessionTTL {
			allAttached = allAttached && a.attached
			continue
		}
		if a.attached || a.expiredSession != a.session {
			h.log.Info("worker session expired", "worker", a.host, "session", a.session, "silent_ms", (now - a.authorityGrantedAt).Milliseconds())
			a.expiredSession = a.session
			a.attached = false
			ls.sched.SessionEnded(a.host)
		}
		if a.link == nil {
			ls.pending.batch.RemovedAgents = append(ls.pending.batch.RemovedAgents, a.host)
			delete(ls.agents, a.host)
		}
	}
	if allAttached && ls.sched.AwaitingRelease() {
		h.log.Info("tasks of earlier leader released", "after_ms", (now - ls.startedAt).Milliseconds())
		h.settleResubmitted(now)
	}
}

// placeAndSendOrders places waiting tasks on workers, and sends each agent its
// orders.
func (h *Hub) placeAndSendOrders(now time.Duration) {
	if h.leader == nil || !h.holdsLeaderLease(now) {
		return
	}
	h.handleCrashes(now)
	h.leader.sched.Place(now)
	h.shedLateTransients(now)
	placed := placements{}
	for _, o := range h.leader.sched.TakeOrders() {
		h.queueOrder(o, placed)
	}
	for id, workers := range placed {
		h.log.Info("job placed", "job", id, "workers", workers)
	}
	for _, a := range h.leader.withOrders {
		a.hasOrders = false
		h.sendOrders(now, a)
	}
	h.leader.withOrders = h.leader.withOrders[:0]
}

// placements lists, by job, the workers that were assigned its tasks in one loop
// iteration.
type placements map[contract.DurableJobID][]contract.HostID

// queueOrder adds an order of the scheduler to the next orders for its agent. It
// drops the order if the agent has gone or its session has changed.
func (h *Hub) queueOrder(o schedule.Order, placed placements) {
	a := h.leader.agents[o.Host]
	if a == nil || a.session != o.Session {
		return
	}
	if o.Start != nil {
		next := h.leader.nextOrders(a)
		next.Starts = append(next.Starts, *o.Start)
		telemetry.RunsPlaced.Inc()
		placed[o.Start.Job] = append(placed[o.Start.Job], o.Host)
		return
	}
	telemetry.RunsStopped.Inc()
	next := h.leader.nextOrders(a)
	next.Stops = append(next.Stops, *o.Stop)
	h.log.Info("run stopped", "job", o.Stop.Job, "task", o.Stop.Task, "run", o.Stop.Run, "worker", o.Host, "why", o.Reason)
}

// sendOrders sends the agent its queued orders, if there are any and the agent has
// a link.
func (h *Hub) sendOrders(now time.Duration, a *agent) {
	o := &a.orders
	if len(o.Starts) == 0 && len(o.Stops) == 0 && o.AckedEndSeq == 0 && !o.EndSession {
		return
	}
	if a.link == nil {
		// attachAgent discards what is left.
		return
	}
	if a.ackedOrderNumber == a.lastOrderNumber {
		a.unackedSince = now
	}
	a.lastOrderNumber++
	o.Number = a.lastOrderNumber
	o.Term, o.Session, o.AttachID = h.leader.term, a.session, a.attachID
	if err := a.link.Send(o); err != nil {
		// The agent never acknowledges these orders. A new link lets it attach again.
		h.log.Info("orders not sent: closing the agent's link", "worker", a.host, "err", err)
		a.link.Close()
	}
	a.orders = contract.WorkerOrders{}
}
