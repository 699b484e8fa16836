package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

var testTiming = Timing{Heartbeat: 50 * time.Millisecond, Election: 400 * time.Millisecond, Stagger: 60 * time.Millisecond}

// disk is what a simulated host has synced.
type disk struct {
	stored Stored
}

func (d *disk) write(r Ready) {
	if r.Hard != nil {
		d.stored.Hard = *r.Hard
	}
	if r.Snapshot != nil {
		d.stored.Snapshot = *r.Snapshot
		d.stored.Entries = nil
	}
	for _, e := range r.Entries {
		if n := len(d.stored.Entries); n > 0 && e.Index <= d.stored.Entries[n-1].Index {
			first := d.stored.Entries[0].Index
			d.stored.Entries = d.stored.Entries[:e.Index-first]
		}
		d.stored.Entries = append(d.stored.Entries, e)
	}
}

// cluster runs members under fake time, with messages that may be lost.
type cluster struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	members []contract.LogMember
	nodes   map[contract.LogMember]*Node
	disks   map[contract.LogMember]*disk
	pending map[contract.LogMember][]Ready
	wire    []contract.LogMessage
	cut     map[contract.LogMember]bool
	loss    float64
	applied map[contract.LogMember][]string
	chosen  []string
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[contract.LogMember]*Node{}, now: time.Second,
		disks: map[contract.LogMember]*disk{}, cut: map[contract.LogMember]bool{},
		pending: map[contract.LogMember][]Ready{}, applied: map[contract.LogMember][]string{},
	}
	for i := range n {
		m := contract.LogMember{Addr: fmt.Sprintf("h%d", i), Disk: contract.DiskID(fmt.Sprintf("d%d", i))}
		c.members = append(c.members, m)
		c.disks[m] = &disk{}
		c.start(m)
	}
	c.nodes[c.members[0]].Form(c.now, contract.LogGroup{Voters: c.members})
	return c
}

func (c *cluster) start(m contract.LogMember) {
	c.pending[m] = nil
	c.applied[m] = nil
	c.nodes[m] = New(m, testTiming, c.disks[m].stored, c.now, func(d time.Duration) time.Duration {
		return time.Duration(c.rng.Int64N(max(int64(d), 1)))
	})
}

// step lets 10 ms pass: messages arrive in order for each pair, some are lost,
// and each disk syncs at random.
func (c *cluster) step() {
	c.now += 10 * time.Millisecond
	wire := c.wire
	c.wire = nil
	for _, m := range wire {
		if c.cut[m.From] || c.cut[m.To] || c.rng.Float64() < c.loss {
			continue
		}
		if n := c.nodes[m.To]; n != nil {
			n.Step(c.now, &m)
		}
	}
	for _, m := range c.members {
		n := c.nodes[m]
		if n == nil {
			continue
		}
		n.Tick(c.now)
		n.Flush(c.now)
		c.drive(m, n)
	}
}

func (c *cluster) drive(m contract.LogMember, n *Node) {
	if r := n.Ready(); !r.Empty() {
		c.wire = append(c.wire, r.Send...)
		c.pending[m] = append(c.pending[m], r)
	}
	if c.rng.IntN(2) == 0 {
		for _, r := range c.pending[m] {
			c.disks[m].write(r)
			c.wire = append(c.wire, r.AfterSync...)
			if k := len(r.Entries); k > 0 {
				n.Synced(r.Entries[k-1].Index, r.Entries[k-1].Term)
			}
		}
		c.pending[m] = nil
	}
	for _, e := range n.Committed() {
		c.apply(m, e)
	}
}

func (c *cluster) apply(m contract.LogMember, e contract.LogEntry) {
	row := fmt.Sprintf("%d/%s", e.Term, e.Data)
	c.applied[m] = append(c.applied[m], row)
	i := len(c.applied[m]) - 1
	if i < len(c.chosen) {
		must.Eq(c.t, c.chosen[i], row, must.Sprintf("member %s applied another entry %d", m.Addr, i+1))
		return
	}
	c.chosen = append(c.chosen, row)
}

func (c *cluster) leader() *Node {
	for _, m := range c.members {
		if n := c.nodes[m]; n != nil && !c.cut[m] && n.Established() && n.LeaseUntil(c.now) > c.now {
			return n
		}
	}
	return nil
}

func (c *cluster) waitLeader() *Node {
	for range 1000 {
		if n := c.leader(); n != nil {
			return n
		}
		c.step()
	}
	c.t.Fatal("no leader within 10 s")
	return nil
}

func TestElectsAndCommits(t *testing.T) {
	c := newCluster(t, 1, 5)
	leader := c.waitLeader()
	index, ok := leader.Propose([]byte("a"))
	must.True(t, ok)
	for range 50 {
		c.step()
	}
	must.GreaterEq(t, index, leader.Commit())
	for _, m := range c.members {
		must.Eq(t, c.chosen, c.applied[m])
	}
}

func TestAtMostOneLease(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		c.loss = 0.1
		for i := range 2000 {
			c.step()
			holders := 0
			for _, m := range c.members {
				if n := c.nodes[m]; n != nil && n.LeaseUntil(c.now) > c.now {
					holders++
				}
			}
			must.LessEq(t, 1, holders, must.Sprintf("seed %d step %d", seed, i))
			if i%200 == 199 {
				m := c.members[c.rng.IntN(5)]
				c.cut[m] = !c.cut[m]
			}
		}
	}
}

// TestRandomHistories kills, restarts and cuts members at random: what one
// member has applied no other contradicts, and what was committed is never
// lost while at most two disks are.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 5)
		c.loss = 0.05
		proposed := 0
		for i := range 3000 {
			if n := c.leader(); n != nil && c.rng.IntN(3) == 0 {
				proposed++
				n.Propose([]byte(fmt.Sprint(proposed)))
			}
			c.step()
			if i%60 == 59 {
				c.disturb()
			}
		}
		c.loss = 0
		for _, m := range c.members {
			c.cut[m] = false
			if c.nodes[m] == nil {
				c.start(m)
			}
		}
		c.waitLeader()
		for range 100 {
			c.step()
		}
		for _, m := range c.members {
			must.Eq(t, len(c.chosen), len(c.applied[m]), must.Sprintf("seed %d", seed))
		}
		must.Greater(t, 20, len(c.chosen), must.Sprintf("seed %d", seed))
	}
}

func (c *cluster) disturb() {
	m := c.members[c.rng.IntN(len(c.members))]
	switch c.rng.IntN(3) {
	case 0:
		c.cut[m] = !c.cut[m]
	case 1:
		c.nodes[m] = nil
		c.pending[m] = nil
	case 2:
		if c.nodes[m] == nil {
			c.start(m)
		}
	}
}

func TestHostWithNewDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.waitLeader()
	lost := c.members[2]
	c.nodes[lost] = nil
	fresh := contract.LogMember{Addr: lost.Addr, Disk: "new"}
	c.members = append(c.members, fresh)
	c.disks[fresh] = &disk{}
	c.start(fresh)
	leader := c.waitLeader()
	c.nodes[leader.Self()] = nil
	for range 500 {
		c.step()
	}
	must.Nil(t, c.leader(), must.Sprint("one of three voters and a new disk elected a leader"))
}

func TestLearnerCatchesUpFromSnapshotAndVotes(t *testing.T) {
	c := newCluster(t, 4, 3)
	leader := c.waitLeader()
	for i := range 20 {
		leader.Propose([]byte(fmt.Sprint(i)))
		c.step()
	}
	for range 50 {
		c.step()
	}
	at := leader.Commit()
	leader.Compact(Snapshot{Index: at, Term: leader.TermAt(at), Group: leader.GroupAt(at), Data: []byte("state")})
	fresh := contract.LogMember{Addr: "h9", Disk: "d9"}
	c.members = append(c.members, fresh)
	c.disks[fresh] = &disk{}
	c.start(fresh)
	must.True(t, leader.ProposeGroup(WithLearner(leader.Group(), fresh), c.now))
	must.False(t, leader.ProposeGroup(WithVoter(leader.Group(), fresh), c.now), must.Sprint("two changes at once"))
	// The new member's history starts at the snapshot.
	c.applied[fresh] = append([]string(nil), c.chosen[:at]...)
	for range 50 {
		c.step()
	}
	must.True(t, leader.CaughtUp(fresh))
	must.True(t, leader.ProposeGroup(WithVoter(leader.Group(), fresh), c.now))
	for range 50 {
		c.step()
	}
	must.True(t, IsVoter(c.nodes[fresh].Group(), fresh))
	must.Eq(t, []byte("state"), c.disks[fresh].stored.Snapshot.Data)
}

// TestRestartedGroupElectsAtOnce restarts all voters together, with their ticks
// in phase, and two of them without their disks: all of the other three must
// agree. Load pattern: power comes back to all hosts at the same moment. A
// change of leader must be over within twice the election time-out, before the
// authority of the agents has passed.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		c := newCluster(t, seed, 5)
		c.waitLeader()
		for range 30 {
			c.step()
		}
		for i, m := range c.members {
			if i < 2 {
				c.nodes[m] = nil
				continue
			}
			c.start(m)
		}
		c.wire = nil
		began := c.now
		c.waitLeader()
		must.LessEq(t, 2*testTiming.Election, c.now-began, must.Sprintf("seed %d", seed))
	}
}
