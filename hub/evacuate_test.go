package hub

import (
	"context"
	"errors"
	"slices"
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

// order sends an order to the leader until one has acknowledged it, as operators do.
func (c *cluster) order(domain string, begin bool) {
	c.t.Helper()
	c.waitFor("the order is acknowledged", func() bool { return c.orderOnce(c.waitLeader(), domain, begin) == nil })
}

// orderOnce sends an order to one hub.
func (c *cluster) orderOnce(hub int, domain string, begin bool) error {
	c.mu.Lock()
	h := c.hubInstances[hub]
	c.mu.Unlock()
	if h == nil {
		return errors.New("the hub is not running")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if begin {
		return h.BeginEvacuation(ctx, domain)
	}
	return h.EndEvacuation(ctx, domain)
}

// evacuations returns the evacuated domains as the leader has them.
func (c *cluster) evacuations() []string {
	var out []string
	c.waitFor("the leader lists the evacuations", func() bool {
		leader := c.waitLeader()
		c.mu.Lock()
		h := c.hubInstances[leader]
		c.mu.Unlock()
		if h == nil {
			return false
		}
		var err error
		out, err = h.Evacuations(context.Background())
		return err == nil
	})
	return out
}

// Orders must be idempotent, be taken by the leader only, and name a known domain:
// that of a hub, of a worker, or one that the settings name.
func TestEvacuationOrders(t *testing.T) {
	c := newCluster(t, 3, "a-w1")
	leader := c.waitLeader()
	must.ErrorIs(t, c.orderOnce(leader, "nowhere", true), ErrUnknownDomain)
	c.waitFor("the error names the domains of all hubs and of the worker", func() bool {
		return strings.Contains(c.orderOnce(leader, "nowhere", false).Error(), "name one of [a, h0, h1, h2]")
	})
	c.order("h1", true)
	c.order("h1", true)
	c.order("a", true)
	must.Eq(t, []string{"a", "h1"}, c.evacuations())
	must.ErrorIs(t, c.orderOnce((c.waitLeader()+1)%3, "a", true), ErrNotLeader)
	c.order("h1", false)
	c.order("h1", false)
	must.Eq(t, []string{"a"}, c.evacuations())
}

// A domain that only the settings name has no process that runs.
func TestDomainOfTheSettingsIsKnown(t *testing.T) {
	h := &Hub{state: durable.New(), cfg: Config{FailureDomain: "c", FailureDomains: func() []string { return []string{"b", "c"} }}}
	must.Eq(t, []string{"b", "c"}, h.knownDomains())
}

// An order whose leader is lost before the commit must not be acknowledged. It may
// take effect or not, and the operator's next attempt settles it.
func TestLeaderLostBeforeTheCommit(t *testing.T) {
	c := newCluster(t, 3, "a-w1")
	c.order("h0", true)
	leader := c.waitLeader()
	for i := range 3 {
		if i != leader {
			c.stopHub(i)
		}
	}
	must.ErrorIs(t, c.orderOnce(leader, "h1", true), ErrNotLeader)
	must.ErrorIs(t, c.orderOnce(leader, "h1", true), ErrNotLeader, must.Sprint("a hub without a majority takes no order"))
	var applied []string
	h := c.hubInstances[leader]
	h.runInLoop(func() { applied = slices.Clone(h.state.Evacuated) })
	must.Eq(t, []string{"h0"}, applied)
	c.stopHub(leader)
	for i := range 3 {
		c.restartHub(i)
	}
	c.order("h1", true)
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
	running := func(worker string) func() bool { return func() bool { return c.workers[worker].Running() > 0 } }
	c.submitUntilAccepted(testJob("before", 16, 800))
	c.waitFor("the domain has runs", running("a-w1"))
	c.order("a", true)
	must.Positive(t, c.workers["a-w1"].Running(), must.Sprint("runs in progress were stopped"))
	c.waitCompleted("before")
	must.Eq(t, 16, c.runChecker.Starts())

	stopWatching := c.watchForRuns("a-w1", "a-w2")
	c.submitUntilAccepted(testJob("during", 30, 50))
	leader := c.waitLeader()
	c.stopHub(leader)
	c.mu.Lock()
	c.workers["a-w2"] = leasedworker.New("a-w2", c.runChecker)
	c.mu.Unlock()
	c.startAgent("a-w2")
	c.waitLeader()
	c.submitUntilAccepted(testJob("after", 30, 50))
	c.waitCompleted("during")
	c.waitCompleted("after")
	c.waitFor("the new worker has attached", func() bool {
		h := c.hubInstances[c.waitLeader()]
		evacuated := 0
		h.runInLoop(func() {
			if h.leader != nil && len(h.leader.sched.PoolSummaries()) > 0 {
				evacuated = h.leader.sched.PoolSummaries()[0].EvacuatedWorkers
			}
		})
		return evacuated == 2
	})
	must.False(t, stopWatching(), must.Sprint("a run started in the evacuated domain"))

	c.order("b", true)
	refused := testJob("refused", 1, 50)
	refused.Transient = true
	answer := c.sendToLeader(refused)
	must.Eq(t, contract.VerdictOverload, answer.Verdict, must.Sprint("the last domain of the pool"))
	must.Positive(t, answer.RetryAfter)
	c.order("a", false)
	c.submitUntilAccepted(testJob("back", 4, 300))
	c.waitFor("the domain has runs again", running("a-w1"))
	c.waitCompleted("back")
	must.Eq(t, nil, c.runChecker.Violations())
}

// watchForRuns watches the workers until the returned function is called, which reports
// whether any of them had a run.
func (c *cluster) watchForRuns(names ...string) func() bool {
	stop, seen := make(chan struct{}), make(chan bool)
	go func() {
		found := false
		for {
			select {
			case <-stop:
				seen <- found
				return
			case <-time.After(time.Millisecond):
			}
			for _, n := range names {
				c.mu.Lock()
				w := c.workers[n]
				c.mu.Unlock()
				found = found || w != nil && w.Running() > 0
			}
		}
	}()
	return func() bool { close(stop); return <-seen }
}

// A caller that waits for a job whose capacity is evacuated must get its refusal at
// once, with the time after which to come back.
func TestWaitingCallerIsRefusedOnAnEvacuation(t *testing.T) {
	c := newCluster(t, 1, "a-w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("runs", 10, 2000))
	c.waitFor("the worker is full", func() bool { return c.workers["a-w1"].Running() == 10 })
	waits := testJob("waits", 1, 10_000)
	waits.Transient = true
	answers := make(chan gateway.Answer, 1)
	go func() { answers <- c.sendToLeader(waits) }()
	h := c.hubInstances[c.waitLeader()]
	c.waitFor("the job waits", func() bool {
		known := false
		h.runInLoop(func() { known = h.leader.transients.jobs["waits"] != nil })
		return known
	})
	c.order("a", true)
	answer := <-answers
	must.Eq(t, contract.VerdictOverload, answer.Verdict)
	must.Eq(t, schedule.EvacuatedReason, answer.Reason)
	must.Eq(t, schedule.NoWorkerRetryAfter, answer.RetryAfter)
	must.Positive(t, c.workers["a-w1"].Running(), must.Sprint("the refusal waited for the runs to end"))
}
