package hub

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/gateway"
	"github.com/carawaylanding/carawaylanding/internal/leasedworker"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// leaderHub returns the hub that leads.
func (c *cluster) leaderHub() *Hub {
	leader := c.waitLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hubInstances[leader]
}

// hubOrder is an order to begin or to end an evacuation.
type hubOrder func(*Hub, context.Context, string) error

// send sends the order to the hub, and waits for the answer for at most 5 s.
func (o hubOrder) send(h *Hub, domain string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return o(h, ctx, domain)
}

// The orders that operators give.
var begin, end hubOrder = (*Hub).BeginEvacuation, (*Hub).EndEvacuation

// order sends an order to the leader until one acknowledges it, as operators do.
func (c *cluster) order(order hubOrder, domain string) {
	c.t.Helper()
	c.waitFor("the order is acknowledged", func() bool { return order.send(c.leaderHub(), domain) == nil })
}

// evacuations returns the evacuated domains as the leader has them.
func (c *cluster) evacuations() (domains []string) {
	c.waitFor("the leader lists the evacuations", func() bool {
		var err error
		domains, err = c.leaderHub().Evacuations(context.Background())
		return err == nil
	})
	return domains
}

// Orders must be idempotent, be taken by the leader only, and name a known domain:
// that of a hub, of a worker, or one that the settings name.
func TestEvacuationOrders(t *testing.T) {
	c := newCluster(t, 3, "a-w1")
	c.waitFor("the error names the domains of all hubs and of the worker", func() bool {
		err := end.send(c.leaderHub(), "nowhere")
		return err != nil && strings.Contains(err.Error(), "name one of [a, h0, h1, h2]")
	})
	must.ErrorIs(t, begin.send(c.leaderHub(), "nowhere"), ErrUnknownDomain)
	c.order(begin, "h1")
	c.order(begin, "h1")
	c.order(begin, "a")
	must.Eq(t, []string{"a", "h1"}, c.evacuations())
	must.ErrorIs(t, begin.send(c.hubInstances[(c.waitLeader()+1)%3], "a"), ErrNotLeader)
	c.order(end, "h1")
	c.order(end, "h1")
	must.Eq(t, []string{"a"}, c.evacuations())
	h := &Hub{state: durable.New(), cfg: Config{FailureDomain: "c", FailureDomains: func() []string { return []string{"b", "c"} }}}
	must.Eq(t, []string{"b", "c"}, h.knownDomains())
}

// An order whose leader is lost before the commit must not be acknowledged. It may
// take effect or not, and the operator's next attempt settles it.
func TestLeaderLostBeforeTheCommit(t *testing.T) {
	c := newCluster(t, 3)
	for _, domain := range []string{"h0", "h1", "h2"} {
		c.order(end, domain)
	}
	c.order(begin, "h0")
	leader, h := c.waitLeader(), c.leaderHub()
	c.stopHub((leader + 1) % 3)
	c.stopHub((leader + 2) % 3)
	must.ErrorIs(t, begin.send(h, "h1"), ErrNotLeader)
	must.ErrorIs(t, begin.send(h, "h1"), ErrNotLeader, must.Sprint("a hub without a majority takes no order"))
	h.runInLoop(func() { must.Eq(t, []string{"h0"}, h.state.Evacuated) })
	c.stopHub(leader)
	for i := range 3 {
		c.restartHub(i)
	}
	c.order(begin, "h1")
	must.Eq(t, []string{"h0", "h1"}, c.evacuations(), must.Sprint("all power lost after the acknowledgement"))
}

// Agents and entries must learn of a change at once, not at the next broadcast, and
// only from a hub that leads.
func TestEvacuationIsBroadcastAtOnce(t *testing.T) {
	c := newCluster(t, 1)
	h := c.hubInstances[c.waitLeader()]
	var unchanged, changed time.Duration
	var sent, refused contract.HubState
	h.runInLoop(func() {
		now := boottime.Now()
		h.lastBroadcast, h.lastBroadcastAt = h.leadership(now), now
		h.broadcastState(now + time.Millisecond)
		unchanged = h.lastBroadcastAt - now
		h.state.Evacuated = []string{"a"}
		h.broadcastState(now + time.Millisecond)
		changed, sent = h.lastBroadcastAt-now, h.lastBroadcast
		h.cfg.MaxLostDisks = 1
		refused = h.hubState(now)
	})
	must.Zero(t, unchanged)
	must.Eq(t, time.Millisecond, changed)
	must.Eq(t, []string{"a"}, sent.Evacuated)
	must.False(t, refused.Leads)
	must.SliceEmpty(t, refused.Evacuated)
}

// The log must have the domain of each worker, also if only its agent names one, so
// that a new leader knows it before the worker attaches. How long the worker stays
// cold changes with each report, and must not cause a log entry.
func TestWorkerIsRecordedWithItsDomain(t *testing.T) {
	c := newCluster(t, 1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	report := func(domain string, coldLeft int64) (proposals int) {
		h.runInLoop(func() {
			r := testReport(h, 7, 1)
			r.Worker.FailureDomain, r.Worker.ColdLeftMillis = domain, coldLeft
			h.handleAgentMessage(boottime.Now(), l, r)
			proposals = len(h.leader.pending.batch.RegisteredAgents)
		})
		return proposals
	}
	recorded := func() (w contract.WorkerAnnouncement) {
		h.runInLoop(func() { w = h.state.Agents["w1"] })
		return w
	}
	must.One(t, report("", 900))
	c.waitFor("the worker is recorded", func() bool { return recorded().FailureDomain == "a" })
	must.Zero(t, recorded().ColdLeftMillis)
	must.Zero(t, report("", 800), must.Sprint("proposed although only the time has changed"))
	must.One(t, report("b", 800))
	c.waitFor("the new domain is recorded", func() bool { return recorded().FailureDomain == "b" })
}

// Once an order is acknowledged, no path may start a run in the domain: neither the
// leader that took it, nor the next one, nor for a worker that joins later. Runs in
// progress end as usual, and the domain gets work again once the order is taken back.
func TestEvacuationHoldsThroughAChangeOfLeader(t *testing.T) {
	c := newCluster(t, 3, "a-w1", "b-w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("before", 16, 800))
	c.waitFor("the domain has runs", func() bool { return c.workers["a-w1"].Running() > 0 })
	c.order(begin, "a")
	must.Positive(t, c.workers["a-w1"].Running(), must.Sprint("runs in progress were stopped"))
	c.waitCompleted("before")
	must.Eq(t, 16, c.runChecker.Starts())

	starts := c.workers["a-w1"].Starts()
	c.submitUntilAccepted(testJob("during", 30, 50))
	c.stopHub(c.waitLeader())
	c.workers["a-w2"] = leasedworker.New("a-w2", c.runChecker)
	c.startAgent("a-w2")
	c.submitUntilAccepted(testJob("after", 30, 50))
	c.waitCompleted("during")
	c.waitCompleted("after")
	c.waitFor("the new worker has attached", func() (both bool) {
		h := c.leaderHub()
		h.runInLoop(func() {
			both = h.leader != nil && h.leader.sched.PoolSummaries(boottime.Now())[0].EvacuatedWorkers == 2
		})
		return both
	})
	c.submitUntilAccepted(testJob("later", 30, 50))
	c.waitCompleted("later")
	must.Eq(t, starts, c.workers["a-w1"].Starts()+c.workers["a-w2"].Starts())

	c.order(end, "a")
	c.submitUntilAccepted(testJob("back", 30, 50))
	c.waitCompleted("back")
	must.Greater(t, starts, c.workers["a-w1"].Starts())
	must.Eq(t, nil, c.runChecker.Violations())
}

// A caller that waits for a job whose capacity is evacuated must get its refusal at
// once, with the time after which to come back; so must one that asks later.
func TestWaitingCallerIsRefusedOnAnEvacuation(t *testing.T) {
	c := newCluster(t, 1, "a-w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("runs", 10, 2000))
	c.waitFor("the worker is full", func() bool { return c.workers["a-w1"].Running() == 10 })
	answers := make(chan gateway.Answer, 1)
	submit := func(id string) {
		job := testJob(id, 1, 10_000)
		job.Transient = true
		answers <- c.sendToLeader(job)
	}
	go submit("waits")
	h := c.leaderHub()
	c.waitFor("the job waits", func() (known bool) {
		h.runInLoop(func() { known = h.leader.transients.jobs["waits"] != nil })
		return known
	})
	c.order(begin, "a")
	for range 2 {
		answer := <-answers
		must.Eq(t, contract.VerdictOverload, answer.Verdict)
		must.Eq(t, schedule.EvacuatedReason, answer.Reason)
		must.Eq(t, schedule.NoWorkerRetryAfter, answer.RetryAfter)
		go submit("later")
	}
	must.Positive(t, c.workers["a-w1"].Running(), must.Sprint("the refusal waited for the runs to end"))
}

// An order that was accepted must not be refused when it is sent again, also if the
// domain was known only by its workers, and these have gone in the meantime.
func TestRepeatedOrderIsNotUnknown(t *testing.T) {
	c := newCluster(t, 1)
	h := c.leaderHub()
	h.runInLoop(func() { h.state.Agents["w1"] = contract.WorkerAnnouncement{FailureDomain: "w"} })
	c.order(begin, "w")
	h.runInLoop(func() { delete(h.state.Agents, "w1") })
	must.NoError(t, begin.send(h, "w"))
	must.NoError(t, end.send(h, "w"))
	must.NoError(t, end.send(h, "w"), must.Sprint("the acknowledgement was lost"))
	c.stopHub(0)
	c.restartHub(0)
	must.NoError(t, end.send(c.leaderHub(), "w"), must.Sprint("so was the hub"))
}
