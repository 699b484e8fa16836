// Package consensus keeps a log replicated among a few hosts with disks, in
// the manner of Raft (Ongaro and Ousterhout, 2014), with the check of votes
// before a candidacy and a leader's lease. It is a pure state machine: the
// driver steps messages and the time in, and takes from Ready what to sync, to
// send and to apply. It has no socket, clock, goroutine or disk.
//
// Invariants: an entry that a majority of the voters has synced is in the log
// of each later leader; a leader counts only entries of its own term; a member
// is a host with one disk, so a host that lost its disk is in no majority; the
// group changes by one voter at a time, and only after the leader has
// committed an entry of its term.
package consensus

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Role is a member's part in the present term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing holds the time-outs of a member.
type Timing struct {
	// Heartbeat is how often a leader sends to each member.
	Heartbeat time.Duration
	// Election is how long a follower waits for its leader at least before it
	// stands, and how long it grants no vote after it has heard from one.
	Election time.Duration
	// Stagger is how much later than the one before it each voter stands. It
	// should cover a tick, a sync and two round trips: then the first has all
	// votes before the second asks for any.
	Stagger time.Duration
}

// HardState is what must be synced before a message that rests on it leaves.
type HardState struct {
	Term uint64
	Vote contract.LogMember
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group contract.LogGroup
	Data  []byte
}

// Stored is what a member finds on its disk when it starts.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []contract.LogEntry
}

// Ready is what the driver has to do, in this order: send Send, sync Hard,
// Snapshot and Entries, then send AfterSync and call Synced.
type Ready struct {
	Send []contract.LogMessage
	// Hard is nil when it has not changed.
	Hard *HardState
	// Snapshot replaces the whole log before Entries are written.
	Snapshot *Snapshot
	// Entries are to be written; an entry with an index that was written
	// before replaces it and all after it.
	Entries   []contract.LogEntry
	AfterSync []contract.LogMessage
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Send) == 0 && r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.AfterSync) == 0
}

// NeedsSync reports whether the driver has to write.
func (r *Ready) NeedsSync() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// progress is what a leader knows of one member.
type progress struct {
	match, next uint64
	// heard is when the member last answered in this term.
	heard time.Duration
	// acked is the send time of the latest append that the member answered.
	acked time.Duration
	sent  time.Duration
}

// Node is one member. It is not safe for concurrent use.
type Node struct {
	self   contract.LogMember
	timing Timing
	jitter func(time.Duration) time.Duration

	hard    HardState
	role    Role
	leader  contract.LogMember
	log     entryLog
	group   contract.LogGroup
	groupAt uint64
	commit  uint64
	applied uint64

	// heard is when a leader of this term was last heard; it starts at the
	// time of the start, since a vote may have been promised before.
	heard    time.Duration
	deadline time.Duration
	votes    map[contract.LogMember]bool
	peers    map[contract.LogMember]*progress
	// termStart is the index of the leader's first entry.
	termStart uint64
	leadSince time.Duration

	ready Ready
}

// New returns a member that continues from what is stored. jitter returns a
// random duration below its argument.
func New(self contract.LogMember, t Timing, s Stored, now time.Duration, jitter func(time.Duration) time.Duration) *Node {
	n := &Node{self: self, timing: t, jitter: jitter, hard: s.Hard}
	n.log.reset(s.Snapshot)
	n.log.append(s.Entries)
	n.log.synced = n.log.last()
	n.commit, n.applied = s.Snapshot.Index, s.Snapshot.Index
	n.refreshGroup()
	n.heard = now
	n.resetDeadline(now)
	return n
}

// Form makes this member the first of a new group. Only a member with an empty
// disk may be formed.
func (n *Node) Form(now time.Duration, g contract.LogGroup) {
	n.hard.Term = 1
	n.ready.Hard = &HardState{Term: 1}
	n.appendOwn(contract.LogEntry{Term: 1, Group: &g})
	n.refreshGroup()
	n.heard = now - n.timing.Election
	n.deadline = now
}

// Self returns this member.
func (n *Node) Self() contract.LogMember { return n.self }

// Role returns the present role.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.hard.Term }

// LeaderMember returns the leader of the present term, where it is known.
func (n *Node) LeaderMember() contract.LogMember { return n.leader }

// Group returns the group of the newest entry that changes it.
func (n *Node) Group() contract.LogGroup { return n.group }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// Commit returns the index up to which entries are committed.
func (n *Node) Commit() uint64 { return n.commit }

// Established reports whether this member leads and has committed an entry of
// its term, so that it knows all that was committed before.
func (n *Node) Established() bool { return n.role == Leader && n.commit >= n.termStart }

// GroupSettled reports whether the newest group is committed.
func (n *Node) GroupSettled() bool { return n.groupAt <= n.commit }

// LeaseUntil returns the time until which no other member can have become the
// leader; zero when this one does not lead.
func (n *Node) LeaseUntil(now time.Duration) time.Duration {
	if n.role != Leader {
		return 0
	}
	acked := make([]time.Duration, 0, len(n.group.Voters))
	for _, v := range n.group.Voters {
		if v == n.self {
			acked = append(acked, now)
		} else if p := n.peers[v]; p != nil {
			acked = append(acked, p.acked)
		}
	}
	need := Majority(len(n.group.Voters))
	if len(acked) < need {
		return 0
	}
	slices.Sort(acked)
	oldest := acked[len(acked)-need]
	if oldest == 0 {
		return 0
	}
	return oldest + n.timing.Election - n.timing.Election/leaseMargin
}

// leaseMargin is the part of the election time-out by which the lease is
// shorter: clocks may differ in rate by 2%.
const leaseMargin = 20

// Silence returns how long the member has not answered this leader.
func (n *Node) Silence(now time.Duration, m contract.LogMember) time.Duration {
	if p := n.peers[m]; p != nil {
		return now - p.heard
	}
	return 0
}

// CaughtUp reports whether the member has all committed entries.
func (n *Node) CaughtUp(m contract.LogMember) bool {
	p := n.peers[m]
	return p != nil && p.match >= n.commit
}

// Ready returns what is to be done, and forgets it.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	return r
}

// Committed returns the committed entries that were not returned before.
func (n *Node) Committed() []contract.LogEntry {
	if n.applied >= n.commit {
		return nil
	}
	out := n.log.slice(n.applied+1, n.commit)
	n.applied = n.commit
	return out
}

// Synced tells that the disk holds the log up to the entry.
func (n *Node) Synced(index, term uint64) {
	if got, ok := n.log.term(index); !ok || got != term {
		return
	}
	n.log.synced = max(n.log.synced, index)
	if n.role == Leader {
		n.advance()
	}
}

// Compact drops entries up to index; snap stands for them.
func (n *Node) Compact(snap Snapshot) { n.log.compact(snap) }

// GroupAt returns the group in force at the index, which is applied.
func (n *Node) GroupAt(index uint64) contract.LogGroup { return n.log.group(index) }

// TermAt returns the term of the entry at the index.
func (n *Node) TermAt(index uint64) uint64 { t, _ := n.log.term(index); return t }

// Propose appends an entry with the data and returns its index; false when
// this member does not lead.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.appendOwn(contract.LogEntry{Term: n.hard.Term, Data: data}), true
}

// ProposeGroup changes the group by one member. It returns false when this
// member does not lead, is not established, or an earlier change is open.
func (n *Node) ProposeGroup(g contract.LogGroup, now time.Duration) bool {
	if !n.Established() || !n.GroupSettled() {
		return false
	}
	n.appendOwn(contract.LogEntry{Term: n.hard.Term, Group: &g})
	n.refreshGroup()
	n.trackPeers(now)
	return true
}

func (n *Node) appendOwn(e contract.LogEntry) uint64 {
	e.Index = n.log.last() + 1
	n.log.append([]contract.LogEntry{e})
	n.ready.Entries = append(n.ready.Entries, e)
	return e.Index
}

// refreshGroup takes the newest group of the log: a member acts on a group
// as soon as it has the entry.
func (n *Node) refreshGroup() {
	n.group, n.groupAt = n.log.newestGroup()
}

// resetDeadline lets the voters stand one after another, in the order of their
// addresses: hosts that start at the same moment have their ticks in phase, and
// random waits would often split the votes.
func (n *Node) resetDeadline(now time.Duration) {
	n.deadline = now + n.timing.Election + time.Duration(n.rank())*n.timing.Stagger + n.jitter(n.timing.Stagger/2)
}

// rank returns how many voters stand before this one; the leader that they miss
// does not count.
func (n *Node) rank() int {
	before := 0
	for _, v := range n.group.Voters {
		if v != n.leader && CompareMembers(v, n.self) < 0 {
			before++
		}
	}
	return before
}

func (n *Node) send(m contract.LogMessage) {
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.ready.Send = append(n.ready.Send, m)
}

func (n *Node) sendAfterSync(m contract.LogMessage) {
	m.From = n.self
	m.Term = n.hard.Term
	n.ready.AfterSync = append(n.ready.AfterSync, m)
}

func (n *Node) setHard(h HardState) {
	n.hard = h
	n.ready.Hard = &h
}

// Hard returns the present hard state.
func (n *Node) Hard() HardState { return n.hard }

// Applied returns the index up to which Committed has returned entries.
func (n *Node) Applied() uint64 { return n.applied }

// Tail returns the entries since the last snapshot.
func (n *Node) Tail() []contract.LogEntry { return slices.Clone(n.log.entries) }

// HeardAt returns when a leader of the present term was last heard.
func (n *Node) HeardAt() time.Duration { return n.heard }
