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
