package control

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func TestFullDiskRefusesToVoteAndRecovers(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		n.host("c").disk.set(func(d *fakeDisk) { d.full = true })
		n.host("b").disk.set(func(d *fakeDisk) { d.full = true })
		_, err := n.host("a").Edit(t.Context(), put("e", 1, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		n.host("b").disk.set(func(d *fakeDisk) { d.full = false })
		edits(t, n.host("a"), 1)
	})
}

func TestSyncThatFailedAfterItsWriteIsReadAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		b := n.host("b")
		b.disk.set(func(d *fakeDisk) { d.torn = true })
		n.isolate("c")
		_, err := n.host("a").Edit(t.Context(), put("e", 1, "q"))
		must.Error(t, err)
		b.disk.set(func(d *fakeDisk) { d.torn = false })
		must.Eq(t, b.disk.synced.Promised, b.promised())
		v, err := n.host("a").Edit(t.Context(), put("e", 1, "q"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), v)
	})
}

// promised returns the ballot promised as the next vote sees it.
func (h *testHost) promised() contract.Ballot {
	h.voterState()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acceptor.State().Promised
}

func TestCrashBetweenWriteAndSync(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		// b's writes are lost with its crash: none of them was answered.
		n.host("b").disk.set(func(d *fakeDisk) { d.full = true })
		edits(t, n.host("a"), 1)
		disk := n.host("b").disk
		disk.set(func(d *fakeDisk) { d.full = false })
		n.start("b", disk, "a", "b", "c")
		n.isolate("a")
		got, err := n.host("b").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), got.Version)
	})
}

func TestCorruptFileRefusesToVoteWithTheRemedy(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		disk := n.host("c").disk
		disk.set(func(d *fakeDisk) { d.corrupt = true })
		c := n.start("c", disk, "a", "b", "c")
		for _, m := range []contract.Message{&contract.Prepare{Forming: true}, &contract.Accept{}, &contract.Copy{}} {
			f, ok := c.Receive(t.Context(), m).(*contract.Fault)
			must.True(t, ok)
			must.True(t, strings.Contains(f.Message, "member replace"))
		}
		edits(t, n.host("a"), 1)
		s := n.host("a").Status(t.Context())
		must.Eq(t, 2, s.Holding)
		must.Eq(t, 0, s.LossesSurvived)
		must.False(t, s.RepairComplete)
	})
}

func TestAllDisksButAMinorityLost(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 3)
		for _, id := range []contract.HostID{"b", "c"} {
			n.start(id, &fakeDisk{}, "a", "b", "c")
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			_, err := n.host(id).Edit(t.Context(), put("e", 3, "q"))
			must.True(t, contract.ErrNoQuorum.Is(err), must.Sprintf("through %s: %v", id, err))
			must.False(t, n.host(id).Status(t.Context()).Agreed)
		}
		must.Eq(t, contract.Version(3), n.host("a").tables.Version())
	})
}

func TestEmptyDisksDoNotStartOverBesideAVersionInForce(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 3)
		old := n.host("a").tables.View().Tables
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.start(id, &fakeDisk{}, "a", "b", "c").tables.Offer(old)
		}
		_, err := n.host("a").Edit(t.Context(), put("e", 0, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
	})
}
