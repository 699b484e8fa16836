package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
)

// TestLeaderThatIsBehindCallsNoAgentSilent replays the seconds after a takeover: the
// messages of all agents wait in the leader's queue for longer than agentTimeout. Only
// time for which the queue has been handled counts as silence.
func TestLeaderThatIsBehindCallsNoAgentSilent(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	h.runInLoop(func() {
		h.handleAgentMessage(boottime.Now(), l, testReport(h, 7, 1))
	})
	c.waitFor("the agent is registered", func() bool {
		registered := false
		h.runInLoop(func() { registered = h.leader.agents["w1"].registered })
		return registered
	})
	var behind, upToDate, ordersBehind bool
	h.runInLoop(func() {
		now := boottime.Now()
		a := h.leader.agents["w1"]
		a.unreachable = false
		a.lastHeardAt = now - 2*agentTimeout
		h.handledUntil = a.lastHeardAt + 10*time.Millisecond
		h.checkAgents(now)
		behind = a.unreachable
		a.lastOrderNumber, a.unackedSince = a.ackedOrderNumber+1, h.handledUntil-10*time.Millisecond
		h.checkAgents(now)
		ordersBehind = a.unreachable
		h.handledUntil = now
		h.checkAgents(now)
		upToDate = a.unreachable
	})
	must.False(t, behind, must.Sprint("called silent although its messages may wait in the queue"))
	must.False(t, ordersBehind, must.Sprint("its acknowledgement may wait in the queue"))
	must.True(t, upToDate)
}

// TestShrunkCapacityIsRecorded: a restarted agent is told the worker as recorded, and must
// not start runs for a capacity that the worker has lost.
func TestShrunkCapacityIsRecorded(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	announce := func(milliCPU int) {
		h.runInLoop(func() {
			r := testReport(h, 7, 1)
			r.NoWorker, r.Worker.ID, r.Worker.Capacity.MilliCPU = false, "i", milliCPU
			h.handleAgentMessage(boottime.Now(), l, r)
		})
	}
	recorded := func() int {
		n := 0
		h.runInLoop(func() { n = h.state.Agents["w1"].Capacity.MilliCPU })
		return n
	}
	announce(1000)
	c.waitFor("the capacity is recorded", func() bool { return recorded() == 1000 })
	announce(400)
	c.waitFor("the shrunk capacity is recorded", func() bool { return recorded() == 400 })
	announce(1000)
	announce(300)
	c.waitFor("the next one is recorded", func() bool { return recorded() == 300 })
}
