package consensus

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// A member that starts grants no vote for an election timeout: its process before may
// have answered a leader, whose lease relies on that. The wait is needless after a stop of
// all members, since a leader that was restarted holds no lease.
//
// Invariant: the wait ends early only once each other member of the group has said, since
// this member started, that it leads nobody and follows nobody. A lease that relies on a
// forgotten answer belongs to a leader that was there before this member stopped and has
// led ever since, and that leader is one of these members: whoever the group in a log does
// not name can lead only by an entry that a majority of that group has, and each member
// says that its log names the same group. The disks that may be lost at once are fewer than
// a majority, so one of the members that are left would name the other group.

// PeerState is what a process says of itself as a member of the replicated log.
type PeerState struct {
	// Self is the address of the process, and the disk that it has now.
	Self contract.LogMember
	// Leaderless is set if the process neither leads nor follows a leader.
	Leaderless bool
	// GroupID identifies the newest group in its log; see GroupID.
	GroupID uint64
}

// restartWait is the state of a member from its start until it may vote.
type restartWait struct {
	startedAt time.Duration
	// peers holds what the other members have said since startedAt, by address.
	peers map[string]PeerState
	// preVotes holds the last request for a pre-vote of each member that was refused
	// because of the wait.
	preVotes map[contract.LogMember]contract.LogMessage
}

func newRestartWait(now time.Duration) *restartWait {
	return &restartWait{startedAt: now, peers: map[string]PeerState{}, preVotes: map[contract.LogMember]contract.LogMessage{}}
}

// GroupID returns a hash of the members of the group, or zero if it has none.
func GroupID(g contract.LogGroup) uint64 {
	if len(g.Voters)+len(g.Learners) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, list := range [][]contract.LogMember{g.Voters, g.Learners} {
		for _, m := range slices.SortedFunc(slices.Values(list), CompareMembers) {
			h.Write([]byte(m.Addr + "\x00" + string(m.Disk) + "\x00"))
		}
		h.Write([]byte{1})
	}
	return h.Sum64()
}

// PeerReported handles what another process says of itself. It must have been said after
// this member started, as is all that arrives on a connection that this process opened.
func (n *Node) PeerReported(now time.Duration, s PeerState) {
	if n.restart == nil {
		return
	}
	if n.role == Leader || n.role == Candidate || now-n.restart.startedAt >= n.timing.ElectionTimeout {
		n.restart = nil
		return
	}
	n.restart.peers[s.Self.Addr] = s
	if n.noLeaseLeft() {
		n.endRestartWait(now)
	}
}

// noLeaseLeft reports whether no leader can be left to which this member has answered
// before it was restarted.
func (n *Node) noLeaseLeft() bool {
	if !IsVoter(n.group, n.self) {
		return false
	}
	id := GroupID(n.group)
	for _, list := range [][]contract.LogMember{n.group.Voters, n.group.Learners} {
		for _, m := range list {
			if m.Addr != n.self.Addr && !n.restart.peers[m.Addr].provesNoLease(m, id) {
				return false
			}
		}
	}
	return true
}

// provesNoLease reports whether the state of the process at the address of m shows that m
// does not lead. A process with another disk and no group shows that the process of m has
// ended.
func (s PeerState) provesNoLease(m contract.LogMember, groupID uint64) bool {
	return s.Leaderless && (s.GroupID == groupID || s.GroupID == 0 && s.Self.Disk != "" && s.Self.Disk != m.Disk)
}

// endRestartWait allows this member to vote at once. The voters that are present start
// elections in the order of their addresses, as after an election timeout.
func (n *Node) endRestartWait(now time.Duration) {
	w := n.restart
	n.restart = nil
	n.lastLeaderContact = now - n.timing.ElectionTimeout
	before := 0
	for _, v := range n.group.Voters {
		if w.peers[v.Addr].Self == v && CompareMembers(v, n.self) < 0 {
			before++
		}
	}
	if len(w.preVotes) > 0 {
		// An election is under way, which this member's own would disturb.
		before++
	}
	n.electionDeadline = min(n.electionDeadline, now+time.Duration(before)*n.timing.ElectionStagger)
	for _, m := range w.preVotes {
		n.stepVoteRequest(now, &m)
	}
	if now >= n.electionDeadline {
		n.startPreVote(now)
	}
}
