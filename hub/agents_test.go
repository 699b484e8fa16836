package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
)

// TestLeaderThatIsBehindCallsNoAgentSilent replays the seconds after a takeover: the
// messages of all agents wait in the leader's queue for longer than agentTimeout. Only
// time for which the queue has been handled counts as silence.
func TestLeaderThatIsBehindCallsNoAgentSilent(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	onLoop := func(f func()) {
		done := make(chan struct{})
		h.post(func() { f(); close(done) })
		<-done
	}
	onLoop(func() {
		h.handleAgentMessage(boottime.Now(), l, &contract.WorkerReport{
			Attach: true, Term: h.leader.term, Host: "w1", Session: 7,
			Worker: contract.WorkerAnnouncement{ID: "w1", Pool: testPool, Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}},
		})
	})
	c.waitFor("the agent is registered", func() bool {
		registered := false
		onLoop(func() { registered = h.leader.agents["w1"].registered })
		return registered
	})
	var behind, upToDate, ordersBehind bool
	onLoop(func() {
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
