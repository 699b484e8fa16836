package hub

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// agent is an agent as the leader sees it.
type agent struct {
	host contract.HostID
	link *link.Link
	sess contract.WorkerSession
	// known says that the log names it: a later leader will wait for it.
	known    bool
	attached bool
	away     bool
	// over is the session that this leader has given up.
	over contract.WorkerSession
	// beat is when it was last heard; echoed is when it was last given
	// authority.
	beat, echoed time.Duration
	// backlog waits until the agent is known.
	backlog []contract.Message
	orders  contract.WorkerOrders
	// number counts the orders sent on the link; taken is the last that the
	// agent acknowledged. waitSince is when the oldest of the rest was sent.
	number, taken uint64
	waitSince     time.Duration
	noted         uint64
	// storing counts the proposals that hold ends of this agent.
	storing int
}

// note takes ends that are stored now.
func (a *agent) note(n noted) {
	if a.sess == n.sess && n.seq > a.noted {
		a.noted = n.seq
		a.orders.Noted = n.seq
	}
}

// sessionLife is how long a session may last after its agent was given
// authority for the last time: no lease is longer than the authority.
const sessionLife = AgentAuthority + AgentAuthority/contract.WorkerClockError + sessionSlack

func (ld *leadership) linkDown(h *Hub, l *link.Link) {
	a := ld.links[l]
	if a == nil {
		return
	}
	delete(ld.links, l)
	if a.link == l {
		a.link = nil
		ld.away(h, a, "link down")
	}
}

func (ld *leadership) away(h *Hub, a *agent, why string) {
	if !a.away {
		a.away = true
		ld.sched.Away(a.host)
		h.log.Info("agent away", "worker", a.host, "why", why)
	}
}

// agentMessage takes a message of an agent. While this hub does not lead, it
// is dropped: the agent attaches again to the next leader.
func (h *Hub) agentMessage(now time.Duration, l *link.Link, m contract.Message) {
	if !h.leads(now) {
		return
	}
	ld := h.lead
	a := ld.links[l]
	if r, ok := m.(*contract.WorkerReport); ok {
		if r.Term != ld.term {
			return
		}
		if r.Attach {
			a = h.attach(l, r)
		}
	}
	if a == nil {
		return
	}
	a.beat = now
	if r, ok := m.(*contract.WorkerReport); ok {
		h.rememberWorker(a, r)
	}
	if !a.known {
		a.backlog = append(a.backlog, m)
		return
	}
	h.handleAgent(now, a, m)
}

// rememberWorker has the agent and its worker logged: a later leader waits for
// the agent, and the agent's next process finds its worker at once.
func (h *Hub) rememberWorker(a *agent, r *contract.WorkerReport) {
	stored := h.state.Agents[r.Host]
	if a.known && (r.Gone || stored.SameLife(r.Worker) && stored.Draining == r.Worker.Draining) {
		return
	}
	h.lead.open.batch.AgentsSeen = append(h.lead.open.batch.AgentsSeen, durable.AgentSeen{Host: r.Host, Worker: r.Worker})
}

func (h *Hub) attach(l *link.Link, r *contract.WorkerReport) *agent {
	ld := h.lead
	a := ld.agents[r.Host]
	if a == nil {
		a = &agent{host: r.Host, away: true}
		ld.agents[r.Host] = a
	}
	if a.link == l {
		// Nothing is lost on a link that is up: an order may be on its way.
		r.Attach = false
		return a
	}
	if a.link != nil && a.link != l {
		delete(ld.links, a.link)
	}
	a.link = l
	a.orders = contract.WorkerOrders{}
	a.noted = 0
	a.number, a.taken = 0, 0
	ld.links[l] = a
	return a
}

// agentKnown goes on with an agent that the log names now.
func (h *Hub) agentKnown(now time.Duration, host contract.HostID) {
	a := h.lead.agents[host]
	if a == nil || a.known {
		return
	}
	a.known = true
	a.echoed = now
	backlog := a.backlog
	a.backlog = nil
	for _, m := range backlog {
		h.handleAgent(now, a, m)
	}
}

func (h *Hub) handleAgent(now time.Duration, a *agent, m contract.Message) {
	switch m := m.(type) {
	case *contract.WorkerReport:
		h.report(now, a, m)
	case *contract.WorkerEnds:
		if m.Session == a.sess && m.Session != a.over {
			h.takeEnds(now, a, m.Ends)
		}
	case *contract.OrdersTaken:
		a.taken = max(a.taken, m.Number)
		a.waitSince = now
	case *contract.AgentBeat:
		if m.Session == a.sess && m.Session != a.over {
			h.echo(now, a, m.Stamp)
			if a.taken == a.number {
				h.back(a)
			}
		}
	}
}

func (h *Hub) back(a *agent) {
	if a.away && a.attached {
		a.away = false
		h.lead.sched.Back(a.host)
		h.log.Info("agent back", "worker", a.host)
	}
}

// echo gives the agent authority from when it sent the stamp.
func (h *Hub) echo(now time.Duration, a *agent, stamp int64) {
	if a.link == nil {
		return
	}
	a.echoed = now
	if err := a.link.Send(&contract.AgentAuthority{Term: h.lead.term, Stamp: stamp}); err != nil {
		h.log.V(1).Info("authority not sent", "worker", a.host, "err", err)
	}
}

func (h *Hub) report(now time.Duration, a *agent, r *contract.WorkerReport) {
	if r.Session == a.over && r.Session != 0 {
		a.orders.Over = true
		a.sess = r.Session
		return
	}
	if a.sess != r.Session {
		a.noted = 0
	}
	a.sess = r.Session
	if r.Attach {
		a.attached = true
		h.log.Info("worker attached", "worker", a.host, "session", r.Session, "pool", r.Worker.Pool, "running", len(r.Running), "ends", len(r.Ends), "draining", r.Worker.Draining, "gone", r.Gone)
	}
	h.storeEnds(now, a, r.Ends, h.lead.sched.Report(now, r))
	a.away = false
	h.echo(now, a, r.Stamp)
}

func (h *Hub) takeEnds(now time.Duration, a *agent, ends []contract.RunEnded) {
	var counted []schedule.Counted
	for _, e := range ends {
		c := h.lead.sched.Ended(now, a.host, e)
		h.log.V(1).Info("run ended", "job", e.Job, "task", e.Task, "run", e.Run, "how", e.How.String(), "worker", a.host, "counts", c != nil)
		if c != nil {
			counted = append(counted, *c)
		}
	}
	h.storeEnds(now, a, ends, counted)
}

// storeEnds puts the ends that count into the log, and has the worker note them
// once they are stored. Those of transient jobs count at once.
func (h *Hub) storeEnds(now time.Duration, a *agent, ends []contract.RunEnded, counted []schedule.Counted) {
	p := h.lead.open
	stored := false
	for _, c := range counted {
		if !h.endTransient(now, c.DurableTask, c.Done) {
			p.batch.Ends = append(p.batch.Ends, durable.TaskEnd{DurableTask: c.DurableTask, Done: c.Done})
			stored = true
		}
	}
	var last uint64
	for _, e := range ends {
		last = max(last, e.Seq)
	}
	if last == 0 {
		return
	}
	n := noted{agent: a, sess: a.sess, seq: last}
	if !stored && a.storing == 0 {
		a.note(n)
		return
	}
	// Ends are noted in their order: behind one that is being stored.
	a.storing++
	p.noted = append(p.noted, n)
}

// checkAgents looks for agents that went silent, gives up sessions that are
// over for certain, and releases held tasks once no earlier run can be alive
// out of reach.
func (h *Hub) checkAgents(now time.Duration) {
	ld := h.lead
	covered := true
	for _, a := range ld.agents {
		if a.known && !a.away && now-a.beat > agentSilent {
			ld.away(h, a, "silent")
		}
		if a.known && !a.away && a.taken < a.number && now-a.waitSince > ordersSilent {
			ld.away(h, a, "orders not taken")
		}
		if !a.away || !a.known {
			continue
		}
		if now-a.echoed <= sessionLife {
			covered = covered && a.attached
			continue
		}
		if a.attached || a.over != a.sess {
			h.log.Info("session given up", "worker", a.host, "session", a.sess, "silent_ms", (now - a.echoed).Milliseconds())
			a.over = a.sess
			a.attached = false
			ld.sched.SessionOver(a.host)
		}
		if a.link == nil {
			ld.open.batch.AgentsGone = append(ld.open.batch.AgentsGone, a.host)
			delete(ld.agents, a.host)
		}
	}
	if covered && ld.sched.Holding() {
		h.log.Info("held tasks released", "after_ms", (now - ld.since).Milliseconds())
		ld.sched.Release()
	}
}

// placeAndOrder places what can be placed and sends each agent its orders.
func (h *Hub) placeAndOrder(now time.Duration) {
	if h.lead == nil || !h.leads(now) {
		return
	}
	h.lead.sched.Place(now)
	h.giveUpHopeless(now)
	placed := placements{}
	for _, o := range h.lead.sched.Orders() {
		h.addOrder(o, placed)
	}
	for id, workers := range placed {
		h.log.Info("job placed", "job", id, "workers", workers)
	}
	for _, a := range h.lead.agents {
		h.sendOrders(now, a)
	}
}

// placements are the workers that got tasks of a job in one turn.
type placements map[contract.DurableJobID][]contract.HostID

func (h *Hub) addOrder(o schedule.Order, placed placements) {
	a := h.lead.agents[o.Host]
	if a == nil || a.sess != o.Session {
		return
	}
	if o.Start != nil {
		a.orders.Starts = append(a.orders.Starts, *o.Start)
		telemetry.Placed.Inc()
		placed[o.Start.Job] = append(placed[o.Start.Job], o.Host)
		return
	}
	telemetry.Stopped.Inc()
	a.orders.Stops = append(a.orders.Stops, *o.Stop)
	h.log.Info("run stopped", "job", o.Stop.Job, "task", o.Stop.Task, "run", o.Stop.Run, "worker", o.Host)
}

func (h *Hub) sendOrders(now time.Duration, a *agent) {
	o := &a.orders
	if len(o.Starts) == 0 && len(o.Stops) == 0 && o.Noted == 0 && !o.Over {
		return
	}
	if a.link == nil {
		return
	}
	if a.taken == a.number {
		a.waitSince = now
	}
	a.number++
	o.Number = a.number
	o.Term, o.Session = h.lead.term, a.sess
	if err := a.link.Send(o); err != nil {
		h.log.V(1).Info("orders not sent", "worker", a.host, "err", err)
	}
	a.orders = contract.WorkerOrders{}
}
