// Package consensus replicates a log among a small group of hosts with
// persistent storage. It implements Raft (Ongaro and Ousterhout, 2014) with
// pre-votes and a leader lease. Node is a pure state machine: the driver passes
// in messages and the current time, takes from Ready what to send and to sync,
// and from Committed what to apply. The package uses no sockets, clocks,
// goroutines or files.
//
// Invariants:
//   - A committed entry is synced by a majority of the voters and is in the log
//     of every later leader.
//   - A leader counts the copies of an entry only if the entry is of its own
//     term; earlier entries are committed along with it.
//   - A member is a host with one particular disk, so a host that lost its disk
//     counts in no majority.
//   - The group changes by one voter at a time, and only after the leader has
//     committed an entry of its term.
package consensus

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Role is a member's role in the current term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role as it appears in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing holds the timeouts of a member.
type Timing struct {
	// HeartbeatInterval is the time after which a leader sends a heartbeat to a
	// member that it has sent nothing else to.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact from the leader after
	// which a follower starts an election. For the same time after it started or
	// heard from a leader, a member grants no vote in a later term.
	ElectionTimeout time.Duration
	// ElectionStagger is the delay between the election timeouts of successive
	// voters. It should cover a tick, a sync and two round trips, so that the
	// first candidate has all votes before the second one requests any.
	ElectionStagger time.Duration
}

// HardState holds the current term and the member that this member voted for in
// it, or the zero value if none. It must be synced before any message that depends
// on it is sent.
type HardState struct {
	Term uint64
	Vote contract.LogMember
}

// Snapshot replaces all entries up to and including Index. Term and Group are
// those in effect at Index, and Data is the driver's encoded state at Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group contract.LogGroup
	Data  []byte
}

// StoredState is the persistent state that a member loads when it starts.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []contract.LogEntry
}

// Ready is the pending work of the driver, to be done in this order: send the
// messages in Send; write and sync Hard, Snapshot and Entries; send the messages in
// AfterSync, and call Node.Synced with Snapshot and with the last of Entries, if
// there are any.
type Ready struct {
	Send []contract.LogMessage
	// Hard is nil if it has not changed.
	Hard *HardState
	// Snapshot, if set, replaces the whole stored log before Entries are written.
	Snapshot *Snapshot
	// Entries are to be written in order. An entry whose index is already in
	// the stored log replaces the stored entry and all later ones.
	Entries   []contract.LogEntry
	AfterSync []contract.LogMessage
}

// Empty reports whether there is no pending work.
func (r *Ready) Empty() bool {
	return len(r.Send) == 0 && r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.AfterSync) == 0
}

// NeedsSync reports whether there is anything to write and sync.
func (r *Ready) NeedsSync() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Node is the state machine of one member. It is not safe for concurrent use.
type Node struct {
	self   contract.LogMember
	timing Timing
	jitter func(time.Duration) time.Duration

	hard       HardState
	role       Role
	leader     contract.LogMember
	log        entryLog
	group      contract.LogGroup // the newest group in the log
	groupIndex uint64            // the index of the entry or snapshot that holds group
	commit     uint64            // the index of the last entry known to be committed
	applied    uint64            // the index up to which Committed has returned entries

	// lastLeaderContact is when this member last heard from a leader. Its initial
	// value is the time of the member's start: before a restart the member may
	// have answered a leader, whose lease relies on the member granting no vote.
	// endRestartWait sets it back once no such leader can be left.
	lastLeaderContact time.Duration
	// electionDeadline is when this member, if it is a voter, starts a pre-vote.
	// It is moved later whenever the member hears from a leader or grants a vote.
	electionDeadline time.Duration
	// votes holds the members that granted this member the vote or pre-vote that
	// it last requested.
	votes map[contract.LogMember]bool
	// peers holds the other members' progress while this member is the leader.
	peers map[contract.LogMember]*progress
	// termStartIndex is the index of the first entry that this leader appended
	// in its term.
	termStartIndex uint64
	leaderSince    time.Duration
	// restart is set until this member may vote or has heard from a leader; see restart.go.
	restart *restartWait

	ready Ready
}

// New returns a member that resumes from its stored state. jitter returns a
// random duration below its argument.
func New(self contract.LogMember, t Timing, s StoredState, now time.Duration, jitter func(time.Duration) time.Duration) *Node {
	n := &Node{self: self, timing: t, jitter: jitter, hard: s.Hard}
	n.log.reset(s.Snapshot)
	n.log.append(s.Entries)
	n.log.syncedIndex = n.log.lastIndex()
	n.commit, n.applied = s.Snapshot.Index, s.Snapshot.Index
	n.refreshGroup()
	n.lastLeaderContact = now
	n.restart = newRestartWait(now)
	n.resetElectionDeadline(now)
	return n
}

// FormGroup creates a new group: it appends g as the first log entry and lets this
// member start an election at once. It must only be called on a member with an
// empty disk.
func (n *Node) FormGroup(now time.Duration, g contract.LogGroup) {
	n.hard.Term = 1
	n.ready.Hard = &HardState{Term: 1}
	n.appendEntry(contract.LogEntry{Term: 1, Group: &g})
	n.refreshGroup()
	n.lastLeaderContact = now - n.timing.ElectionTimeout
	n.restart = nil
	n.electionDeadline = now
}

// Self returns the address and disk that identify this member.
func (n *Node) Self() contract.LogMember { return n.self }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// LeaderMember returns the leader of the current term, or the zero value if it
// is not known.
func (n *Node) LeaderMember() contract.LogMember { return n.leader }

// Group returns the newest group in the log, which may not be committed yet.
func (n *Node) Group() contract.LogGroup { return n.group }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Commit returns the index of the last entry that this member knows to be
// committed.
func (n *Node) Commit() uint64 { return n.commit }

// IsEstablishedLeader reports whether this member is the leader and has committed
// an entry of its term. Its commit index then covers every entry that was committed
// in earlier terms.
func (n *Node) IsEstablishedLeader() bool { return n.role == Leader && n.commit >= n.termStartIndex }

// GroupCommitted reports whether the newest group in the log is committed.
func (n *Node) GroupCommitted() bool { return n.groupIndex <= n.commit }

// LeaseUntil returns the time until which no other member can become the leader. It
// is zero if this member is not the leader or if no majority has answered it yet.
//
// A member grants no vote in a later term for an election timeout after it hears
// from a leader. The lease therefore starts at the latest time t such that a
// majority of the voters, including this one, has answered a message that was sent
// at t or later.
func (n *Node) LeaseUntil(now time.Duration) time.Duration {
	if n.role != Leader {
		return 0
	}
	acked := make([]time.Duration, 0, len(n.group.Voters))
	for _, v := range n.group.Voters {
		if v == n.self {
			acked = append(acked, now)
		} else if p := n.peers[v]; p != nil {
			acked = append(acked, p.ackedSendTime)
		}
	}
	need := Majority(len(n.group.Voters))
	if len(acked) < need {
		return 0
	}
	slices.Sort(acked)
	leaseStart := acked[len(acked)-need]
	if leaseStart == 0 {
		return 0
	}
	return leaseStart + n.timing.ElectionTimeout - n.timing.ElectionTimeout/leaseMarginDivisor
}

// leaseMarginDivisor makes the lease shorter than the election timeout by one
// part in 20, because the clock rates of two hosts may differ by 2%.
const leaseMarginDivisor = 20

// SinceLastReply returns the time since m last replied to this leader or, if it has
// not replied yet, since this leader began to replicate to it. It is zero if this
// member is not the leader or does not replicate to m.
func (n *Node) SinceLastReply(now time.Duration, m contract.LogMember) time.Duration {
	if p := n.peers[m]; p != nil {
		return now - p.lastReplyTime
	}
	return 0
}

// CaughtUp reports whether m has synced all entries that this leader has
// committed. It is false if this member is not the leader or does not replicate to
// m.
func (n *Node) CaughtUp(m contract.LogMember) bool {
	p := n.peers[m]
	return p != nil && p.match >= n.commit
}

// Ready returns the pending work of the driver and clears it.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	return r
}

// Committed returns the entries that were committed since the last call.
func (n *Node) Committed() []contract.LogEntry {
	if n.applied >= n.commit {
		return nil
	}
	out := n.log.slice(n.applied+1, n.commit)
	n.applied = n.commit
	return out
}

// Synced records that the log is on disk up to the given entry, or up to a snapshot
// of that index and term. It does nothing if that entry has been replaced or
// compacted since.
func (n *Node) Synced(index, term uint64) {
	if got, ok := n.log.term(index); !ok || got != term {
		return
	}
	n.log.syncedIndex = max(n.log.syncedIndex, index)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact drops the entries that snap replaces. They must have been applied. The
// driver calls Synced with snap once it has replaced the stored log.
func (n *Node) Compact(snap Snapshot) { n.log.compact(snap) }

// GroupAt returns the group in effect at the index, which must be applied and
// not older than the last snapshot.
func (n *Node) GroupAt(index uint64) contract.LogGroup { return n.log.groupAt(index) }

// TermAt returns the term of the entry at the index, or zero if the log does not
// have it.
func (n *Node) TermAt(index uint64) uint64 { t, _ := n.log.term(index); return t }

// Propose appends an entry with the data and returns its index. It returns false
// if this member is not the leader.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != Leader {
		return 0, false
	}
	return n.appendEntry(contract.LogEntry{Term: n.hard.Term, Data: data}), true
}

// ProposeGroup appends a change of the group to the log. The new group g must
// differ from the current one by one member only. ProposeGroup returns false if
// this member is not the leader, has not committed an entry of its term, or has an
// earlier group change that is not committed.
func (n *Node) ProposeGroup(g contract.LogGroup, now time.Duration) bool {
	if !n.IsEstablishedLeader() || !n.GroupCommitted() {
		return false
	}
	n.appendEntry(contract.LogEntry{Term: n.hard.Term, Group: &g})
	n.refreshGroup()
	n.trackPeers(now)
	return true
}

func (n *Node) appendEntry(e contract.LogEntry) uint64 {
	e.Index = n.log.lastIndex() + 1
	n.log.append([]contract.LogEntry{e})
	n.ready.Entries = append(n.ready.Entries, e)
	return e.Index
}

// refreshGroup adopts the newest group in the log: a group is in effect on a
// member as soon as its entry is appended there, before it is committed.
func (n *Node) refreshGroup() {
	n.group, n.groupIndex = n.log.newestGroup()
}

// resetElectionDeadline sets the next election deadline. The timeouts of the voters
// are staggered in the order of their addresses: hosts that start at the same
// moment tick in phase, so purely random timeouts would often split the votes.
func (n *Node) resetElectionDeadline(now time.Duration) {
	n.electionDeadline = now + n.timing.ElectionTimeout + time.Duration(n.electionRank())*n.timing.ElectionStagger + n.jitter(n.timing.ElectionStagger/2)
}

// electionRank returns how many voters time out before this one. The leader is
// not counted, because the others start an election only if it has failed.
func (n *Node) electionRank() int {
	before := 0
	for _, v := range n.group.Voters {
		if v != n.leader && CompareMembers(v, n.self) < 0 {
			before++
		}
	}
	return before
}

// send queues m for Ready.Send, in the current term unless m has a term.
func (n *Node) send(m contract.LogMessage) {
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.ready.Send = append(n.ready.Send, m)
}

// sendAfterSync queues m for Ready.AfterSync, in the current term.
func (n *Node) sendAfterSync(m contract.LogMessage) {
	m.From = n.self
	m.Term = n.hard.Term
	n.ready.AfterSync = append(n.ready.AfterSync, m)
}

func (n *Node) setHardState(h HardState) {
	n.hard = h
	n.ready.Hard = &h
}

// HardState returns the current hard state.
func (n *Node) HardState() HardState { return n.hard }

// Applied returns the index of the last entry that Committed has returned or that
// a snapshot covers.
func (n *Node) Applied() uint64 { return n.applied }

// EntriesSinceSnapshot returns a copy of the entries after the last snapshot.
func (n *Node) EntriesSinceSnapshot() []contract.LogEntry { return slices.Clone(n.log.entries) }

// LastLeaderContact returns when this member last heard from a leader, or when it
// started if it has not heard from one since.
func (n *Node) LastLeaderContact() time.Duration { return n.lastLeaderContact }
