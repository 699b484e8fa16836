package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

var testTiming = Timing{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, ElectionStagger: 60 * time.Millisecond}

// simulatedDisk holds what a simulated host has synced.
type simulatedDisk struct {
	stored StoredState
}

func (d *simulatedDisk) sync(r Ready) {
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

// cluster runs members on a simulated clock and network. Messages to and from a
// partitioned member are lost; other messages are lost with probability lossRate.
// nodes has no node, or a nil one, for a member that is down. unsynced holds the
// work that a member's disk has not synced yet. applied holds the entries that each
// member has applied since it last started, and committed the longest of these
// sequences.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	members  []contract.LogMember
	nodes    map[contract.LogMember]*Node
	disks    map[contract.LogMember]*simulatedDisk
	unsynced map[contract.LogMember][]Ready
	inFlight []contract.LogMessage
	// latency holds the additional steps that messages to a member take, and
	// delayed the messages that are under way for longer than a step, by the step
	// in which they arrive.
	latency     map[contract.LogMember]int
	delayed     map[int][]contract.LogMessage
	stepCount   int
	partitioned map[contract.LogMember]bool
	lossRate    float64
	applied     map[contract.LogMember][]string
	committed   []string
	// statements are what processes say of themselves, on their way to others. talkative
	// processes say it in each step.
	statements []statement
	talkative  bool
}

// statement is a PeerState on its way to a process.
type statement struct {
	to      *Node
	state   PeerState
	arrives int
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[contract.LogMember]*Node{}, now: time.Second,
		disks: map[contract.LogMember]*simulatedDisk{}, partitioned: map[contract.LogMember]bool{},
		unsynced: map[contract.LogMember][]Ready{}, applied: map[contract.LogMember][]string{},
		latency: map[contract.LogMember]int{}, delayed: map[int][]contract.LogMessage{},
	}
	for i := range n {
		m := contract.LogMember{Addr: fmt.Sprintf("h%d", i), Disk: contract.DiskID(fmt.Sprintf("d%d", i))}
		c.members = append(c.members, m)
		c.disks[m] = &simulatedDisk{}
		c.start(m)
	}
	c.nodes[c.members[0]].FormGroup(c.now, contract.LogGroup{Voters: c.members})
	return c
}

// start starts or restarts a member from what its disk has synced.
func (c *cluster) start(m contract.LogMember) {
	c.unsynced[m] = nil
	c.applied[m] = decodeApplied(c.disks[m].stored.Snapshot.Data)
	c.nodes[m] = New(m, testTiming, c.disks[m].stored, c.now, func(d time.Duration) time.Duration {
		return time.Duration(c.rng.Int64N(max(int64(d), 1)))
	})
}

// step advances the clock by 10 ms. Messages from the previous step arrive in order
// unless they are lost, and each disk syncs its pending writes with probability 1/2.
func (c *cluster) step() {
	c.now += 10 * time.Millisecond
	c.stepCount++
	arriving := append(c.inFlight, c.delayed[c.stepCount]...)
	c.inFlight = nil
	delete(c.delayed, c.stepCount)
	for _, m := range arriving {
		if c.partitioned[m.From] || c.partitioned[m.To] || c.rng.Float64() < c.lossRate {
			continue
		}
		if n := c.nodes[m.To]; n != nil {
			n.Step(c.now, &m)
		}
	}
	c.exchangeStates()
	for _, m := range c.members {
		n := c.nodes[m]
		if n == nil {
			continue
		}
		n.Tick(c.now)
		n.Flush(c.now)
		c.handleReady(m, n)
	}
	c.checkLeases()
}

// checkLeases fails the test if two members hold the leader lease.
func (c *cluster) checkLeases() {
	holders := 0
	for _, n := range c.nodes {
		if n != nil && n.LeaseUntil(c.now) > c.now {
			holders++
		}
	}
	must.LessEq(c.t, 1, holders, must.Sprintf("step %d", c.stepCount))
}

// exchangeStates delivers what processes have said of themselves, and lets each say it
// again to some others. A statement reaches only the process it was made to, as on a
// connection, but maybe after its sender has ended.
func (c *cluster) exchangeStates() {
	for i, s := range c.statements {
		if s.to != nil && s.arrives <= c.stepCount {
			c.statements[i].to = nil
			if to := c.nodes[s.to.Self()]; to == s.to && !c.partitioned[to.Self()] {
				to.PeerReported(c.now, s.state)
			}
		}
	}
	c.statements = slices.DeleteFunc(c.statements, func(s statement) bool { return s.to == nil })
	for _, from := range c.members {
		n := c.nodes[from]
		if n == nil || c.partitioned[from] {
			continue
		}
		state := PeerState{Self: from, Leaderless: n.LeaderMember() == contract.LogMember{}, GroupID: GroupID(n.Group())}
		for _, to := range c.members {
			if c.nodes[to] != nil && to != from && !c.partitioned[to] && (c.talkative || c.rng.IntN(3) == 0) {
				c.statements = append(c.statements, statement{c.nodes[to], state, c.stepCount + 1 + c.rng.IntN(4)})
			}
		}
	}
}

// handleReady does the work of the driver of m for one step.
func (c *cluster) handleReady(m contract.LogMember, n *Node) {
	if r := n.Ready(); !r.Empty() {
		c.send(r.Send)
		if r.Snapshot != nil {
			c.applied[m] = decodeApplied(r.Snapshot.Data)
		}
		c.unsynced[m] = append(c.unsynced[m], r)
	}
	if c.rng.IntN(2) == 0 {
		for _, r := range c.unsynced[m] {
			c.disks[m].sync(r)
			c.send(r.AfterSync)
			if r.Snapshot != nil {
				n.Synced(r.Snapshot.Index, r.Snapshot.Term)
			}
			if k := len(r.Entries); k > 0 {
				n.Synced(r.Entries[k-1].Index, r.Entries[k-1].Term)
			}
		}
		c.unsynced[m] = nil
	}
	for _, e := range n.Committed() {
		c.apply(m, e)
	}
}

// send puts messages on the network.
func (c *cluster) send(ms []contract.LogMessage) {
	for _, m := range ms {
		if d := c.latency[m.To]; d > 0 {
			c.delayed[c.stepCount+1+d] = append(c.delayed[c.stepCount+1+d], m)
			continue
		}
		c.inFlight = append(c.inFlight, m)
	}
}

// appliedSeparator separates the applied entries in the data of a snapshot.
const appliedSeparator = "\n"

// compact replaces the applied entries of m by a snapshot, which holds them as its
// data. As in the hub, the stored log is replaced later than the log in memory.
func (c *cluster) compact(m contract.LogMember) {
	n := c.nodes[m]
	index := n.Applied()
	s := Snapshot{Index: index, Term: n.TermAt(index), Group: n.GroupAt(index), Data: []byte(strings.Join(c.applied[m], appliedSeparator))}
	n.Compact(s)
	c.unsynced[m] = append(c.unsynced[m], Ready{Snapshot: &s, Entries: n.EntriesSinceSnapshot()})
}

func decodeApplied(data []byte) []string {
	if len(data) == 0 {
		return nil
	}
	return strings.Split(string(data), appliedSeparator)
}

// apply records that m has applied e. It fails the test if another member has
// applied a different entry at the same position.
func (c *cluster) apply(m contract.LogMember, e contract.LogEntry) {
	entry := fmt.Sprintf("%d/%s", e.Term, e.Data)
	c.applied[m] = append(c.applied[m], entry)
	i := len(c.applied[m]) - 1
	if i < len(c.committed) {
		must.Eq(c.t, c.committed[i], entry, must.Sprintf("member %s applied a different entry at position %d", m.Addr, i+1))
		return
	}
	c.committed = append(c.committed, entry)
}

// establishedLeader returns a member that is not partitioned, has committed an
// entry as the leader and holds the lease, or nil if there is none.
func (c *cluster) establishedLeader() *Node {
	for _, m := range c.members {
		if n := c.nodes[m]; n != nil && !c.partitioned[m] && n.IsEstablishedLeader() && n.LeaseUntil(c.now) > c.now {
			return n
		}
	}
	return nil
}

func (c *cluster) waitForLeader() *Node {
	for range 1000 {
		if n := c.establishedLeader(); n != nil {
			return n
		}
		c.step()
	}
	c.t.Fatal("no established leader within 10 s of simulated time")
	return nil
}

func TestElectsAndCommits(t *testing.T) {
	c := newCluster(t, 1, 5)
	leader := c.waitForLeader()
	index, ok := leader.Propose([]byte("a"))
	must.True(t, ok)
	for range 50 {
		c.step()
	}
	must.GreaterEq(t, index, leader.Commit())
	for _, m := range c.members {
		must.Eq(t, c.committed, c.applied[m])
	}
}

func TestAtMostOneLease(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		c.lossRate = 0.1
		for i := range 2000 {
			c.step()
			leaseHolders := 0
			for _, m := range c.members {
				if n := c.nodes[m]; n != nil && n.LeaseUntil(c.now) > c.now {
					leaseHolders++
				}
			}
			must.LessEq(t, 1, leaseHolders, must.Sprintf("seed %d step %d", seed, i))
			if i%200 == 199 {
				m := c.members[c.rng.IntN(5)]
				c.partitioned[m] = !c.partitioned[m]
			}
		}
	}
}

// TestRandomHistories kills, restarts and partitions members at random. No two
// members may apply different entries at the same position, and once the faults
// are over every member must have applied every committed entry. A killed member
// loses what its disk has not synced.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 5)
		c.lossRate = 0.05
		proposed := 0
		for i := range 3000 {
			if n := c.establishedLeader(); n != nil && c.rng.IntN(3) == 0 {
				proposed++
				n.Propose([]byte(fmt.Sprint(proposed)))
			}
			c.step()
			if i%60 == 59 {
				c.injectFault()
			}
		}
		c.lossRate = 0
		for _, m := range c.members {
			c.partitioned[m] = false
			if c.nodes[m] == nil {
				c.start(m)
			}
		}
		c.waitForLeader()
		for range 100 {
			c.step()
		}
		for _, m := range c.members {
			must.Eq(t, len(c.committed), len(c.applied[m]), must.Sprintf("seed %d", seed))
		}
		must.Greater(t, 20, len(c.committed), must.Sprintf("seed %d", seed))
	}
}

// injectFault partitions or reconnects, kills, or restarts a random member.
func (c *cluster) injectFault() {
	m := c.members[c.rng.IntN(len(c.members))]
	switch c.rng.IntN(3) {
	case 0:
		c.partitioned[m] = !c.partitioned[m]
	case 1:
		c.nodes[m] = nil
		c.unsynced[m] = nil
	case 2:
		if c.nodes[m] == nil {
			c.start(m)
		}
	}
}

func TestHostWithNewDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.waitForLeader()
	replaced := c.members[2]
	c.nodes[replaced] = nil
	newMember := contract.LogMember{Addr: replaced.Addr, Disk: "new"}
	c.members = append(c.members, newMember)
	c.disks[newMember] = &simulatedDisk{}
	c.start(newMember)
	leader := c.waitForLeader()
	c.nodes[leader.Self()] = nil
	for range 500 {
		c.step()
	}
	must.Nil(t, c.establishedLeader(), must.Sprint("one of three voters and a host with a new disk elected a leader"))
}

func TestLearnerCatchesUpFromSnapshotAndVotes(t *testing.T) {
	c := newCluster(t, 4, 3)
	leader := c.waitForLeader()
	for i := range 20 {
		leader.Propose([]byte(fmt.Sprint(i)))
		c.step()
	}
	for range 50 {
		c.step()
	}
	c.compact(leader.Self())
	newMember := contract.LogMember{Addr: "h9", Disk: "d9"}
	c.members = append(c.members, newMember)
	c.disks[newMember] = &simulatedDisk{}
	c.start(newMember)
	must.True(t, leader.ProposeGroup(WithLearner(leader.Group(), newMember), c.now))
	must.False(t, leader.ProposeGroup(WithVoter(leader.Group(), newMember), c.now), must.Sprint("second group change accepted before the first was committed"))
	for range 50 {
		c.step()
	}
	must.True(t, leader.CaughtUp(newMember))
	must.True(t, leader.ProposeGroup(WithVoter(leader.Group(), newMember), c.now))
	for range 50 {
		c.step()
	}
	must.True(t, IsVoter(c.nodes[newMember].Group(), newMember))
	must.Eq(t, c.committed, c.applied[newMember])
	must.Greater(t, 0, len(c.disks[newMember].stored.Snapshot.Data))
}

// TestRestartedGroupElectsAtOnce guards against split votes when power returns to
// all hosts at the same moment and their ticks are in phase. Three of five voters
// restart together; the other two stay down, as if their disks were lost, so all
// three must vote for the same candidate. A change of leader must be complete
// within twice the election timeout, before the agents' authority to run work
// expires.
func TestRestartedGroupElectsAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		c := newCluster(t, seed, 5)
		c.waitForLeader()
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
		c.inFlight = nil
		restartedAt := c.now
		c.waitForLeader()
		must.LessEq(t, 2*testTiming.ElectionTimeout, c.now-restartedAt, must.Sprintf("seed %d", seed))
	}
}
