package consensus

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// MaxAppendBytes bounds the total entry data of one append message. A larger entry
// is sent on its own.
const MaxAppendBytes = 1 << 20

// Tick advances the time. A leader sends the heartbeats that are due, or steps
// down if it has not heard from a majority for too long. A voter whose election
// deadline has passed starts a pre-vote.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.electionDeadline && IsVoter(n.group, n.self) {
		n.startPreVote(now)
	}
}

func (n *Node) tickLeader(now time.Duration) {
	// A leader that no longer hears from a majority steps down, so that clients
	// look for another leader.
	if now > max(n.LeaseUntil(now), n.leaderSince)+2*n.timing.ElectionTimeout {
		n.becomeFollower(now, n.hard.Term, contract.LogMember{})
		return
	}
	n.eachPeer(func(m contract.LogMember, p *progress) {
		if now-p.lastSendTime >= n.timing.HeartbeatInterval {
			n.sendHeartbeat(now, m, p)
		}
	})
}

// Flush sends the entries that were not sent yet, and commits what a majority has
// synced. It does nothing if this member is not the leader.
func (n *Node) Flush(now time.Duration) {
	if n.role != Leader {
		return
	}
	n.eachPeer(func(m contract.LogMember, p *progress) {
		if p.next <= n.log.lastIndex() && p.canSend() {
			n.sendEntries(now, m, p)
		}
	})
	n.advanceCommit()
}

// eachPeer calls f for each member that the leader replicates to. The order is
// that of the group, so that the same events always produce the same messages.
func (n *Node) eachPeer(f func(contract.LogMember, *progress)) {
	for _, list := range [][]contract.LogMember{n.group.Voters, n.group.Learners} {
		for _, m := range list {
			if p := n.peers[m]; p != nil {
				f(m, p)
			}
		}
	}
}

// startPreVote asks the voters whether they would vote for this member. The term
// is not increased yet, so a member that cannot win an election does not disturb
// the leader.
func (n *Node) startPreVote(now time.Duration) {
	n.role = PreCandidate
	n.leader = contract.LogMember{}
	// If the pre-vote fails, it is repeated after one to three heartbeat intervals:
	// it does not disturb a leader, and voters that refused because they had just
	// started or heard from a leader may soon grant it.
	n.electionDeadline = now + n.timing.HeartbeatInterval + n.jitter(2*n.timing.HeartbeatInterval)
	n.votes = map[contract.LogMember]bool{n.self: true}
	n.requestVotes(contract.LogPreVote, n.hard.Term+1)
	n.countVotes(now)
}

func (n *Node) requestVotes(t contract.LogMessageType, term uint64) {
	for _, v := range n.group.Voters {
		if v == n.self {
			continue
		}
		m := contract.LogMessage{Type: t, To: v, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()}
		if t == contract.LogVote {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

// countVotes starts the election once a majority has granted the pre-vote, and
// makes this member the leader once a majority has granted its vote.
func (n *Node) countVotes(now time.Duration) {
	granted := 0
	for _, v := range n.group.Voters {
		if n.votes[v] {
			granted++
		}
	}
	if granted < Majority(len(n.group.Voters)) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.role = Candidate
		n.resetElectionDeadline(now)
		n.setHardState(HardState{Term: n.hard.Term + 1, Vote: n.self})
		n.votes = map[contract.LogMember]bool{n.self: true}
		n.requestVotes(contract.LogVote, n.hard.Term)
		n.countVotes(now)
	case Candidate:
		n.becomeLeader(now)
	}
}

// becomeLeader takes over the leadership and appends an empty entry: a leader can
// commit earlier entries only along with one of its own term.
func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leader = n.self
	n.leaderSince = now
	n.peers = map[contract.LogMember]*progress{}
	n.termStartIndex = n.appendEntry(contract.LogEntry{Term: n.hard.Term})
	n.trackPeers(now)
	n.Flush(now)
}

// trackPeers starts tracking the progress of members that joined the group and
// stops tracking those that left it.
func (n *Node) trackPeers(now time.Duration) {
	for _, list := range [][]contract.LogMember{n.group.Voters, n.group.Learners} {
		for _, m := range list {
			if m != n.self && n.peers[m] == nil {
				n.peers[m] = newProgress(now, n.log.lastIndex())
			}
		}
	}
	for m := range n.peers {
		if !IsMember(n.group, m) {
			delete(n.peers, m)
		}
	}
}

// becomeFollower makes this member a follower in the given term. leader is the
// zero value if the leader is not known.
func (n *Node) becomeFollower(now time.Duration, term uint64, leader contract.LogMember) {
	if term > n.hard.Term {
		n.setHardState(HardState{Term: term})
	}
	if n.role != Follower || n.leader != leader {
		n.resetElectionDeadline(now)
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.votes = nil
}

// Step handles a message from another member. It ignores a message that is not
// addressed to this member, such as one to this host with a disk that it has lost.
func (n *Node) Step(now time.Duration, m *contract.LogMessage) {
	if m.To != n.self {
		return
	}
	switch m.Type {
	case contract.LogPreVote, contract.LogVote:
		n.stepVoteRequest(now, m)
		return
	case contract.LogPreVoteReply:
		if n.role == PreCandidate && m.Term == n.hard.Term+1 && !m.Refused {
			n.votes[m.From] = true
			n.countVotes(now)
		} else if m.Refused && m.Term > n.hard.Term {
			n.becomeFollower(now, m.Term, contract.LogMember{})
		}
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, contract.LogMember{})
	}
	if m.Term < n.hard.Term {
		if m.Type == contract.LogAppend || m.Type == contract.LogSnapshot {
			n.send(contract.LogMessage{Type: contract.LogAppendReply, To: m.From, Refused: true})
		}
		return
	}
	switch m.Type {
	case contract.LogVoteReply:
		if n.role == Candidate && !m.Refused {
			n.votes[m.From] = true
			n.countVotes(now)
		}
	case contract.LogAppend:
		n.recordLeaderContact(now, m.From)
		n.stepAppend(m)
	case contract.LogSnapshot:
		n.recordLeaderContact(now, m.From)
		n.stepSnapshot(m)
	case contract.LogAppendReply:
		if n.role == Leader {
			n.stepAppendReply(now, m)
		}
	}
}

func (n *Node) recordLeaderContact(now time.Duration, from contract.LogMember) {
	if n.role != Follower || n.leader != from {
		n.becomeFollower(now, n.hard.Term, from)
	}
	n.lastLeaderContact = now
	n.restart = nil
	n.resetElectionDeadline(now)
}

// stepVoteRequest handles a request for a vote or a pre-vote. A member that has
// heard from a leader within the election timeout refuses a pre-vote and ignores a
// request for a vote in a later term: the leader lease relies on that.
func (n *Node) stepVoteRequest(now time.Duration, m *contract.LogMessage) {
	reply := contract.LogMessage{Type: contract.LogVoteReply, To: m.From, Refused: true}
	if m.Type == contract.LogPreVote {
		reply.Type = contract.LogPreVoteReply
	}
	hasLeader := n.role == Leader || now-n.lastLeaderContact < n.timing.ElectionTimeout
	upToDate := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex()
	if m.Type == contract.LogPreVote {
		if !hasLeader && upToDate && m.Term > n.hard.Term {
			reply.Refused = false
			reply.Term = m.Term
		} else if n.restart != nil {
			n.restart.preVotes[m.From] = *m
		}
		n.send(reply)
		return
	}
	if hasLeader && m.Term > n.hard.Term {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, contract.LogMember{})
	}
	if m.Term < n.hard.Term || !upToDate || (n.hard.Vote != contract.LogMember{} && n.hard.Vote != m.From) {
		n.send(reply)
		return
	}
	if n.hard.Vote != m.From {
		n.setHardState(HardState{Term: n.hard.Term, Vote: m.From})
	}
	n.resetElectionDeadline(now)
	reply.Refused = false
	n.sendAfterSync(reply)
}

func (n *Node) stepAppend(m *contract.LogMessage) {
	reply := contract.LogMessage{Type: contract.LogAppendReply, To: m.From, SentAt: m.SentAt}
	if got, ok := n.log.term(m.Index); !ok || got != m.LogTerm {
		if m.Index < n.log.snapshot.Index {
			// The snapshot covers the entry at m.Index, and everything that a
			// snapshot covers is committed.
			reply.Index = min(n.log.snapshot.Index, n.log.syncedIndex)
			n.send(reply)
			return
		}
		reply.Refused = true
		reply.Hint = min(n.log.lastIndex(), m.Index-1)
		n.send(reply)
		return
	}
	n.appendMissing(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, match))
	reply.Index = match
	if len(n.ready.Entries) == 0 && match <= n.log.syncedIndex {
		n.send(reply)
		return
	}
	// Answer at once with what is already synced, and again after the sync: the
	// leader's lease must not wait for a slow disk.
	immediate := reply
	immediate.Index = min(match, n.log.syncedIndex)
	n.send(immediate)
	n.sendAfterSync(reply)
}

// appendMissing appends the entries that the log does not have yet. An entry that
// the log has with another term is replaced together with all later ones. If there
// is none, the log keeps its entries after the last of es.
func (n *Node) appendMissing(es []contract.LogEntry) {
	for i, e := range es {
		if got, ok := n.log.term(e.Index); ok && got == e.Term {
			continue
		}
		n.log.append(es[i:])
		n.ready.Entries = append(n.ready.Entries, es[i:]...)
		n.refreshGroup()
		return
	}
}

func (n *Node) stepSnapshot(m *contract.LogMessage) {
	reply := contract.LogMessage{Type: contract.LogAppendReply, To: m.From, SentAt: m.SentAt, Index: m.Index}
	if m.Index <= n.commit {
		reply.Index = n.commit
		if n.log.syncedIndex >= n.commit {
			n.send(reply)
		}
		return
	}
	if got, ok := n.log.term(m.Index); ok && got == m.LogTerm {
		// The log already has what the snapshot covers. Replacing it would drop
		// later entries that the leader may have counted as synced.
		n.commit = m.Index
		reply.Index = min(m.Index, n.log.syncedIndex)
		n.send(reply)
		return
	}
	s := Snapshot{Index: m.Index, Term: m.LogTerm, Group: m.Group, Data: m.Data}
	n.log.reset(s)
	n.commit, n.applied = s.Index, s.Index
	n.ready.Snapshot = &s
	n.ready.Entries = nil
	n.refreshGroup()
	n.sendAfterSync(reply)
}

// advanceCommit raises the commit index to the last entry of the current term
// that a majority of the voters has synced.
func (n *Node) advanceCommit() {
	for index := n.log.lastIndex(); index > n.commit; index-- {
		if t, _ := n.log.term(index); t != n.hard.Term {
			return
		}
		if n.countSyncedVoters(index) >= Majority(len(n.group.Voters)) {
			n.commit = index
			return
		}
	}
}

// countSyncedVoters returns how many voters have synced the entry at the index.
func (n *Node) countSyncedVoters(index uint64) int {
	count := 0
	for _, v := range n.group.Voters {
		if v == n.self && n.log.syncedIndex >= index {
			count++
		} else if p := n.peers[v]; p != nil && p.match >= index {
			count++
		}
	}
	return count
}
