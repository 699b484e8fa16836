package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// restartAll restarts all members at once, as after a stop of everything. The hosts in
// wiped come back with empty disks.
func (c *cluster) restartAll(wiped int) {
	c.inFlight, c.statements = nil, nil
	for i, m := range c.members {
		c.nodes[m] = nil
		if i < wiped {
			m = contract.LogMember{Addr: m.Addr, Disk: m.Disk + "-new"}
			c.members[i] = m
			c.disks[m] = &simulatedDisk{}
		}
		c.start(m)
	}
}

// settledCluster returns a cluster that has committed an entry. The groups in its logs
// don't share its list of members.
func settledCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed, 5)
	c.members = append([]contract.LogMember(nil), c.members...)
	c.waitForLeader()
	for range 30 {
		c.step()
	}
	return c
}

// TestRestartedGroupNeedNotWait is the return after a stop of everything. The election
// takes a few syncs and round trips, and must not wait for the election timeout. With two
// of five disks lost, all that are left must vote for the same candidate.
func TestRestartedGroupNeedNotWait(t *testing.T) {
	for wiped := range 3 {
		for seed := range uint64(50) {
			c := settledCluster(t, seed)
			c.talkative = true
			c.restartAll(wiped)
			restartedAt := c.now
			c.waitForLeader()
			must.Less(t, testTiming.ElectionTimeout, c.now-restartedAt, must.Sprintf("seed %d, %d disks lost", seed, wiped))
		}
	}
}

func TestRestartWait(t *testing.T) {
	others := func(n int, s PeerState) []PeerState {
		var out []PeerState
		for i := 1; i <= n; i++ {
			s.Self = contract.LogMember{Addr: fmt.Sprintf("h%d", i), Disk: contract.DiskID(fmt.Sprintf("d%d", i))}
			out = append(out, s)
		}
		return out
	}
	c := settledCluster(t, 1)
	id := GroupID(c.nodes[c.members[0]].Group())
	free := PeerState{Leaderless: true, GroupID: id}
	with := func(s PeerState) []PeerState {
		out := others(4, free)
		if s.Self.Disk == "" {
			s.Self = out[3].Self
		}
		out[3] = s
		return out
	}
	wiped := contract.LogMember{Addr: "h4", Disk: "new"}
	for _, x := range []struct {
		name   string
		states []PeerState
		ends   bool
	}{
		{"all others know no leader", others(4, free), true},
		{"one does not answer", others(3, free), false},
		{"one follows a leader or leads", with(PeerState{GroupID: id}), false},
		{"one knows another group", with(PeerState{Leaderless: true, GroupID: id + 1}), false},
		{"one has lost its disk", with(PeerState{Self: wiped, Leaderless: true}), true},
		{"one has lost its disk and knows another group", with(PeerState{Self: wiped, Leaderless: true, GroupID: id + 1}), false},
		{"one has its disk and no group", with(PeerState{Leaderless: true}), false},
		{"one is of an earlier version", append(others(3, free), PeerState{Self: contract.LogMember{Addr: "h4"}, Leaderless: true}), false},
	} {
		n := New(c.members[0], testTiming, c.disks[c.members[0]].stored, c.now, func(time.Duration) time.Duration { return 0 })
		for _, s := range x.states {
			n.PeerReported(c.now, s)
		}
		must.Eq(t, x.ends, n.restart == nil, must.Sprint(x.name))
	}
}

// TestPromiseToALeaderIsKept restarts a follower beside its leader: what the others say
// before they hear from the leader again must not free it.
func TestPromiseToALeaderIsKept(t *testing.T) {
	c := settledCluster(t, 2)
	n := New(c.members[1], testTiming, c.disks[c.members[1]].stored, c.now, func(time.Duration) time.Duration { return 0 })
	n.Step(c.now, &contract.LogMessage{Type: contract.LogAppend, From: c.members[0], To: c.members[1], Term: n.Term()})
	for _, m := range c.members {
		n.PeerReported(c.now, PeerState{Self: m, Leaderless: true, GroupID: GroupID(n.Group())})
	}
	n.Step(c.now, &contract.LogMessage{Type: contract.LogPreVote, From: c.members[2], To: c.members[1], Term: n.Term() + 1, Index: 1 << 20, LogTerm: n.Term()})
	for _, m := range n.Ready().Send {
		must.False(t, m.Type == contract.LogPreVoteReply && !m.Refused)
	}
}

// TestAtMostOneLeaseAfterRestarts restarts members together and one by one, some with lost
// disks, within the time of a lease and beside lossy and cut links.
func TestAtMostOneLeaseAfterRestarts(t *testing.T) {
	early := 0
	for seed := range uint64(150) {
		c := newCluster(t, seed, 5)
		c.lossRate = 0.1
		for range 1500 {
			c.step()
			if c.rng.IntN(60) > 0 {
				continue
			}
			m := c.members[c.rng.IntN(5)]
			switch c.rng.IntN(5) {
			case 0:
				c.partitioned[m] = !c.partitioned[m]
			case 1:
				c.start(m)
			case 2:
				for _, m := range c.members[:2+c.rng.IntN(4)] {
					c.start(m)
				}
			case 3:
				restartedAt := c.now
				for _, m := range c.members {
					c.partitioned[m] = false
					c.start(m)
				}
				for range 25 {
					c.step()
					if c.establishedLeader() != nil && c.now-restartedAt < testTiming.ElectionTimeout {
						early++
						break
					}
				}
			case 4:
				c.restartAroundTheLeader()
			}
		}
	}
	must.Greater(t, 100, early)
}

// restartAroundTheLeader restarts most members while the leader, often cut off, keeps the
// lease that they have forgotten.
func (c *cluster) restartAroundTheLeader() {
	c.inFlight, c.statements = nil, nil
	for _, m := range c.members {
		leads := c.nodes[m].LeaseUntil(c.now) > c.now
		c.partitioned[m] = leads && c.rng.IntN(3) > 0
		if !leads && c.rng.IntN(5) > 0 {
			c.start(m)
		}
	}
}
