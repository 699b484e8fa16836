package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// entryBytes returns the bytes of entry data and snapshots that the messages carry
// to m.
func entryBytes(ms []contract.LogMessage, m contract.LogMember) int {
	total := 0
	for i := range ms {
		if ms[i].To != m {
			continue
		}
		total += len(ms[i].Data)
		for _, e := range ms[i].Entries {
			total += len(e.Data)
		}
	}
	return total
}

// TestCatchUpSendsMissingEntriesOnce replays a leader under full load whose
// follower comes back after a cut: many appends are on their way to the follower
// before its first refusal arrives, and each of them is refused. What the leader
// sends until the follower has caught up must stay in proportion to what the
// follower has missed, or its queued messages outgrow its memory.
func TestCatchUpSendsMissingEntriesOnce(t *testing.T) {
	const entrySize = 10 << 10
	c := newCluster(t, 1, 3)
	leader := c.waitForLeader()
	var cut contract.LogMember
	for _, m := range c.members {
		if m != leader.Self() {
			cut = m
		}
	}
	propose := func() {
		for range 5 {
			leader.Propose(make([]byte, entrySize))
			leader.Flush(c.now)
		}
	}
	c.partitioned[cut] = true
	for range 200 {
		propose()
		c.step()
	}
	missed := int(leader.LastIndex()-c.nodes[cut].LastIndex()) * entrySize
	// The follower is reachable again, through a network with a delay of 100 ms.
	c.partitioned[cut] = false
	c.latency[cut] = 10
	sent := 0
	for i := range 400 {
		if i < 100 {
			propose()
			missed += 5 * entrySize
		}
		c.step()
		sent += entryBytes(c.inFlight, cut)
		for _, ms := range c.delayed[c.stepCount+1+c.latency[cut]] {
			sent += entryBytes([]contract.LogMessage{ms}, cut)
		}
	}
	must.True(t, leader.CaughtUp(cut), must.Sprint("the follower has not caught up"))
	must.LessEq(t, 2*missed+maxInFlightBytes, sent, must.Sprint("the leader resent entries over and over"))
}

// TestInFlightBytesAreBounded checks that a leader stops sending entries to a member
// that does not answer.
func TestInFlightBytesAreBounded(t *testing.T) {
	c := newCluster(t, 2, 3)
	leader := c.waitForLeader()
	for range 20 {
		c.step()
	}
	silent := c.members[2]
	if silent == leader.Self() {
		silent = c.members[1]
	}
	c.partitioned[silent] = true
	sent := 0
	for range 500 {
		leader.Propose(make([]byte, 100<<10))
		c.step()
		sent += entryBytes(c.inFlight, silent)
	}
	must.LessEq(t, maxInFlightBytes+2*MaxAppendBytes, sent)
}

// TestSnapshotNotAcknowledgedBeforeSync lets a follower install a snapshot in memory
// and lose power before its sync: until then, nothing that it answers may count as
// a synced copy.
func TestSnapshotNotAcknowledgedBeforeSync(t *testing.T) {
	members := []contract.LogMember{{Addr: "h0", Disk: "d0"}, {Addr: "h1", Disk: "d1"}, {Addr: "h2", Disk: "d2"}}
	group := contract.LogGroup{Voters: members}
	f := New(members[1], testTiming, StoredState{}, time.Second, func(time.Duration) time.Duration { return 0 })
	f.Step(time.Second, &contract.LogMessage{Type: contract.LogSnapshot, From: members[0], To: members[1], Term: 3, Index: 50, LogTerm: 3, Group: group, Data: []byte("s"), SentAt: 1})
	snapshot := f.Ready()
	must.NotNil(t, snapshot.Snapshot)
	for _, index := range []uint64{0, 40, 50} {
		f.Step(time.Second, &contract.LogMessage{Type: contract.LogAppend, From: members[0], To: members[1], Term: 3, Index: index, LogTerm: 3, Commit: 50, SentAt: 2})
		r := f.Ready()
		for _, m := range r.Send {
			must.Zero(t, m.Index, must.Sprintf("append after index %d: reply before the sync acknowledges the snapshot", index))
		}
	}
	f.Synced(50, 3)
	f.Step(time.Second, &contract.LogMessage{Type: contract.LogAppend, From: members[0], To: members[1], Term: 3, Index: 50, LogTerm: 3, Commit: 50, SentAt: 3})
	r := f.Ready()
	must.SliceLen(t, 1, r.Send)
	must.Eq(t, 50, r.Send[0].Index)
}

// TestCompactionIsNoSync compacts entries that are committed by others but not
// synced on this member.
func TestCompactionIsNoSync(t *testing.T) {
	members := []contract.LogMember{{Addr: "h0", Disk: "d0"}, {Addr: "h1", Disk: "d1"}, {Addr: "h2", Disk: "d2"}}
	stored := StoredState{Hard: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Group: contract.LogGroup{Voters: members}}}
	f := New(members[1], testTiming, stored, time.Second, func(time.Duration) time.Duration { return 0 })
	entries := []contract.LogEntry{{Index: 2, Term: 1, Data: []byte("a")}, {Index: 3, Term: 1, Data: []byte("b")}}
	f.Step(time.Second, &contract.LogMessage{Type: contract.LogAppend, From: members[0], To: members[1], Term: 1, Index: 1, LogTerm: 1, Entries: entries, Commit: 3, SentAt: 1})
	f.Ready()
	must.SliceLen(t, 2, f.Committed())
	f.Compact(Snapshot{Index: 3, Term: 1, Group: f.GroupAt(3), Data: []byte("ab")})
	f.Step(time.Second, &contract.LogMessage{Type: contract.LogAppend, From: members[0], To: members[1], Term: 1, Index: 3, LogTerm: 1, Commit: 3, SentAt: 2})
	r := f.Ready()
	for _, m := range r.Send {
		must.LessEq(t, 1, m.Index, must.Sprint("acknowledges entries that are on no disk of this member"))
	}
}

// TestDelayedSnapshotKeepsLaterEntries delivers a snapshot after the member has
// received and synced entries beyond it, as happens when two links reorder messages.
func TestDelayedSnapshotKeepsLaterEntries(t *testing.T) {
	members := []contract.LogMember{{Addr: "h0", Disk: "d0"}, {Addr: "h1", Disk: "d1"}, {Addr: "h2", Disk: "d2"}}
	stored := StoredState{
		Hard: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Group: contract.LogGroup{Voters: members}},
		Entries: []contract.LogEntry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}},
	}
	f := New(members[1], testTiming, stored, time.Second, func(time.Duration) time.Duration { return 0 })
	f.Step(time.Second, &contract.LogMessage{Type: contract.LogSnapshot, From: members[0], To: members[1], Term: 1, Index: 3, LogTerm: 1, Data: []byte("s"), SentAt: 1})
	must.Eq(t, 4, f.LastIndex(), must.Sprint("a synced entry was dropped"))
	must.Eq(t, 3, f.Commit())
}

// TestRandomHistoriesWithLostDisks adds to TestRandomHistories members that compact
// their logs and hosts that lose their disks, also between the installation of a
// snapshot and its sync. At most two disks of five voters are lost before the group
// has replaced them.
func TestRandomHistoriesWithLostDisks(t *testing.T) {
	disksLost := 0
	for seed := range uint64(40) {
		c := newCluster(t, seed, 5)
		c.lossRate = 0.05
		proposed, wiped := 0, 0
		for i := range 4000 {
			if n := c.establishedLeader(); n != nil {
				c.reconcile(n)
				if c.rng.IntN(3) == 0 {
					proposed++
					n.Propose([]byte(fmt.Sprint(proposed)))
				}
			}
			c.step()
			if i%60 == 59 {
				c.injectFault()
			}
			if i%60 == 29 {
				c.repairHost()
			}
			if m := c.members[c.rng.IntN(len(c.members))]; i%37 == 36 && c.nodes[m] != nil && c.nodes[m].Applied() > 0 {
				c.compact(m)
			}
			if i%400 == 399 && c.replaceLostDisk(wiped) {
				wiped++
			}
		}
		c.lossRate = 0
		for _, m := range c.members {
			c.partitioned[m] = false
			if c.nodes[m] == nil {
				c.start(m)
			}
		}
		leader := c.waitForLeader()
		for range 300 {
			c.reconcile(leader)
			c.step()
		}
		for _, m := range c.members {
			must.Eq(t, len(c.committed), len(c.applied[m]), must.Sprintf("seed %d member %s %s", seed, m.Addr, m.Disk))
		}
		must.Greater(t, 100, len(c.committed), must.Sprintf("seed %d", seed))
		disksLost += wiped
	}
	must.Greater(t, 40, disksLost)
}

// repairHost starts and reconnects a random member.
func (c *cluster) repairHost() {
	m := c.members[c.rng.IntN(len(c.members))]
	c.partitioned[m] = false
	if c.nodes[m] == nil {
		c.start(m)
	}
}

// replaceLostDisk restarts a random host with an empty disk, if the group has all
// five of the present disks as voters and only those. It reports whether it did.
func (c *cluster) replaceLostDisk(number int) bool {
	leader := c.establishedLeader()
	if leader == nil || !leader.GroupCommitted() || len(leader.Group().Voters) != len(c.members) {
		return false
	}
	for _, m := range c.members {
		if !IsVoter(leader.Group(), m) {
			return false
		}
	}
	i := c.rng.IntN(len(c.members))
	old := c.members[i]
	c.nodes[old] = nil
	delete(c.partitioned, old)
	fresh := contract.LogMember{Addr: old.Addr, Disk: contract.DiskID(fmt.Sprintf("%s-%d", old.Addr, number))}
	// The groups in the members' logs share the old slice.
	c.members = slices.Clone(c.members)
	c.members[i] = fresh
	c.disks[fresh] = &simulatedDisk{}
	c.start(fresh)
	return true
}

// reconcile changes the group by one member, as the hub does: it adds running
// members as learners, removes the voter whose disk a caught-up learner replaces,
// and makes that learner a voter.
func (c *cluster) reconcile(leader *Node) {
	g := leader.Group()
	for _, m := range c.members {
		switch {
		case !IsMember(g, m):
			leader.ProposeGroup(WithLearner(g, m), c.now)
			return
		case IsVoter(g, m) || !leader.CaughtUp(m):
			continue
		}
		for _, v := range g.Voters {
			if v.Addr == m.Addr {
				leader.ProposeGroup(WithoutMember(g, v), c.now)
				return
			}
		}
		leader.ProposeGroup(WithVoter(g, m), c.now)
		return
	}
}
