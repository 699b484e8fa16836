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
