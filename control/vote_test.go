package control

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Hosts that cannot save refuse to vote, and vote again once they can.
func TestFullDiskRefusesToVoteAndRecovers(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		n.host("c").disk.set(func(d *fakeDisk) { d.failSave = true })
		n.host("b").disk.set(func(d *fakeDisk) { d.failSave = true })
		_, err := n.host("a").Edit(t.Context(), putPool("e", 1, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		n.host("b").disk.set(func(d *fakeDisk) { d.failSave = false })
		makeEdits(t, n.host("a"), 1)
	})
}

// A save that failed may have written the state. The host must read the store
// again before it votes, so that it does not go back on a promise that is on the
// disk.
func TestStateIsReloadedAfterFailedSync(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		b := n.host("b")
		b.disk.set(func(d *fakeDisk) { d.failAfterWrite = true })
		n.isolate("c")
		_, err := n.host("a").Edit(t.Context(), putPool("e", 1, "q"))
		must.Error(t, err)
		b.disk.set(func(d *fakeDisk) { d.failAfterWrite = false })
		must.Eq(t, b.disk.synced.Promised, b.promisedBallot())
		v, err := n.host("a").Edit(t.Context(), putPool("e", 1, "q"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), v)
	})
}

// promisedBallot returns the promised ballot that applies to the next vote.
func (h *testHost) promisedBallot() contract.Ballot {
	h.voterState()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acceptor.State().Promised
}

// A crash loses only writes that the host had not confirmed, so no chosen value
// is lost.
func TestCrashBetweenWriteAndSync(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		// The writes of b are lost in its crash; b confirmed none of them.
		n.host("b").disk.set(func(d *fakeDisk) { d.failSave = true })
		makeEdits(t, n.host("a"), 1)
		disk := n.host("b").disk
		disk.set(func(d *fakeDisk) { d.failSave = false })
		n.start("b", disk, "a", "b", "c")
		n.isolate("a")
		got, err := n.host("b").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), got.Version)
	})
}

// A host whose file is corrupt refuses to vote with an error that says how to
// repair it, and does not count as having the current version.
func TestCorruptFileRefusesToVoteWithTheRemedy(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		disk := n.host("c").disk
		disk.set(func(d *fakeDisk) { d.failLoad = true })
		c := n.start("c", disk, "a", "b", "c")
		for _, m := range []contract.Message{&contract.Prepare{Forming: true}, &contract.Accept{}, &contract.Copy{}} {
			f, ok := c.Receive(t.Context(), m).(*contract.Fault)
			must.True(t, ok)
			must.True(t, strings.Contains(f.Message, "member replace"))
		}
		makeEdits(t, n.host("a"), 1)
		s := n.host("a").Status(t.Context())
		must.Eq(t, 2, s.UpToDate)
		must.Eq(t, 0, s.LossesSurvived)
		must.False(t, s.RepairComplete)
	})
}

// If a majority lost its disks, the remaining hosts refuse edits and do not form
// a new group, and the tables stay in force.
func TestAllDisksButAMinorityLost(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 3)
		for _, id := range []contract.HostID{"b", "c"} {
			n.start(id, &fakeDisk{}, "a", "b", "c")
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			_, err := n.host(id).Edit(t.Context(), putPool("e", 3, "q"))
			must.True(t, contract.ErrNoQuorum.Is(err), must.Sprintf("through %s: %v", id, err))
			must.False(t, n.host(id).Status(t.Context()).HasQuorum)
		}
		must.Eq(t, contract.Version(3), n.host("a").tables.Version())
	})
}

// Hosts with empty disks must not form a group and start from empty tables while
// tables are in force in their processes.
func TestEmptyDisksFormNoGroupWhileTablesAreInForce(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 3)
		inForce := n.host("a").tables.View().Tables
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.start(id, &fakeDisk{}, "a", "b", "c").tables.Update(inForce)
		}
		_, err := n.host("a").Edit(t.Context(), putPool("e", 0, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
	})
}
