package consensus

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// MaxAppendBytes bounds the data of one append.
const MaxAppendBytes = 1 << 20

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now >= n.deadline && IsVoter(n.group, n.self) {
		n.stand(now)
	}
}

func (n *Node) tickLeader(now time.Duration) {
	// A leader that no majority answers steps down, so that its callers go
	// to another.
	if now > max(n.LeaseUntil(now), n.leadSince)+2*n.timing.Election {
		n.follow(now, n.hard.Term, contract.LogMember{})
		return
	}
	n.eachPeer(func(m contract.LogMember, p *progress) {
		if now-p.sent >= n.timing.Heartbeat {
			n.sendAppend(now, m, p)
		}
	})
}

// Flush sends the entries that were proposed since the last call.
func (n *Node) Flush(now time.Duration) {
	if n.role != Leader {
		return
	}
	n.eachPeer(func(m contract.LogMember, p *progress) {
		if p.next <= n.log.last() && p.next-p.match <= maxOutstanding {
			n.sendAppend(now, m, p)
		}
	})
	n.advance()
}

// eachPeer calls f for the members that a leader follows, in the order of the
// group, so that the same events always give the same messages.
func (n *Node) eachPeer(f func(contract.LogMember, *progress)) {
	for _, list := range [][]contract.LogMember{n.group.Voters, n.group.Learners} {
		for _, m := range list {
			if p := n.peers[m]; p != nil {
				f(m, p)
			}
		}
	}
}

// stand asks for votes before a candidacy: a member that can't win does not
// disturb a leader.
func (n *Node) stand(now time.Duration) {
	n.role = PreCandidate
	n.leader = contract.LogMember{}
	// Asking again disturbs no one: members that have just started, or heard
	// from a leader, may grant their vote soon.
	n.deadline = now + n.timing.Heartbeat + n.jitter(2*n.timing.Heartbeat)
	n.votes = map[contract.LogMember]bool{n.self: true}
	n.askVotes(contract.LogPreVote, n.hard.Term+1)
	n.countVotes(now)
}

func (n *Node) askVotes(t contract.LogMessageType, term uint64) {
	for _, v := range n.group.Voters {
		if v == n.self {
			continue
		}
		m := contract.LogMessage{Type: t, To: v, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()}
		if t == contract.LogVote {
			n.sendAfterSync(m)
		} else {
			n.send(m)
		}
	}
}

func (n *Node) countVotes(now time.Duration) {
	yes := 0
	for _, v := range n.group.Voters {
		if n.votes[v] {
			yes++
		}
	}
	if yes < Majority(len(n.group.Voters)) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.role = Candidate
		n.resetDeadline(now)
		n.setHard(HardState{Term: n.hard.Term + 1, Vote: n.self})
		n.votes = map[contract.LogMember]bool{n.self: true}
		n.askVotes(contract.LogVote, n.hard.Term)
		n.countVotes(now)
	case Candidate:
		n.lead(now)
	}
}

func (n *Node) lead(now time.Duration) {
	n.role = Leader
	n.leader = n.self
	n.leadSince = now
	n.peers = map[contract.LogMember]*progress{}
	n.termStart = n.appendOwn(contract.LogEntry{Term: n.hard.Term})
	n.trackPeers(now)
	n.Flush(now)
}

// trackPeers follows the members of the group.
func (n *Node) trackPeers(now time.Duration) {
	for _, list := range [][]contract.LogMember{n.group.Voters, n.group.Learners} {
		for _, m := range list {
			if m != n.self && n.peers[m] == nil {
				n.peers[m] = &progress{next: n.log.last(), heard: now}
			}
		}
	}
	for m := range n.peers {
		if !IsMember(n.group, m) {
			delete(n.peers, m)
		}
	}
}

func (n *Node) follow(now time.Duration, term uint64, leader contract.LogMember) {
	if term > n.hard.Term {
		n.setHard(HardState{Term: term})
	}
	if n.role != Follower || n.leader != leader {
		n.resetDeadline(now)
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.votes = nil
}

// Step takes a message. It must be addressed to this member.
func (n *Node) Step(now time.Duration, m *contract.LogMessage) {
	if m.To != n.self {
		return
	}
	switch m.Type {
	case contract.LogPreVote, contract.LogVote:
		n.stepAsk(now, m)
		return
	case contract.LogPreVoteReply:
		if n.role == PreCandidate && m.Term == n.hard.Term+1 && !m.Refused {
			n.votes[m.From] = true
			n.countVotes(now)
		} else if m.Refused && m.Term > n.hard.Term {
			n.follow(now, m.Term, contract.LogMember{})
		}
		return
	}
	if m.Term > n.hard.Term {
		n.follow(now, m.Term, contract.LogMember{})
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
		n.hearLeader(now, m.From)
		n.stepAppend(m)
	case contract.LogSnapshot:
		n.hearLeader(now, m.From)
		n.stepSnapshot(m)
	case contract.LogAppendReply:
		if n.role == Leader {
			n.stepAppendReply(now, m)
		}
	}
}

func (n *Node) hearLeader(now time.Duration, from contract.LogMember) {
	if n.role != Follower || n.leader != from {
		n.follow(now, n.hard.Term, from)
	}
	n.heard = now
	n.resetDeadline(now)
}

// stepAsk answers a request for a vote. A member that has heard from a leader
// within the election time-out grants none: leases rest on that.
func (n *Node) stepAsk(now time.Duration, m *contract.LogMessage) {
	reply := contract.LogMessage{Type: contract.LogVoteReply, To: m.From, Refused: true}
	if m.Type == contract.LogPreVote {
		reply.Type = contract.LogPreVoteReply
	}
	settled := n.role == Leader || now-n.heard < n.timing.Election
	fresh := m.LogTerm > n.log.lastTerm() || m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last()
	if m.Type == contract.LogPreVote {
		if !settled && fresh && m.Term > n.hard.Term {
			reply.Refused = false
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	if settled && m.Term > n.hard.Term {
		return
	}
	if m.Term > n.hard.Term {
		n.follow(now, m.Term, contract.LogMember{})
	}
	if m.Term < n.hard.Term || !fresh || (n.hard.Vote != contract.LogMember{} && n.hard.Vote != m.From) {
		n.send(reply)
		return
	}
	if n.hard.Vote != m.From {
		n.setHard(HardState{Term: n.hard.Term, Vote: m.From})
	}
	n.resetDeadline(now)
	reply.Refused = false
	n.sendAfterSync(reply)
}

func (n *Node) stepAppend(m *contract.LogMessage) {
	reply := contract.LogMessage{Type: contract.LogAppendReply, To: m.From, SentAt: m.SentAt}
	if got, ok := n.log.term(m.Index); !ok || got != m.LogTerm {
		if m.Index < n.log.base.Index {
			// The entries are covered by the snapshot: all of it is committed.
			reply.Index = n.log.base.Index
			n.send(reply)
			return
		}
		reply.Refused = true
		reply.Hint = min(n.log.last(), m.Index-1)
		n.send(reply)
		return
	}
	n.takeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, match))
	reply.Index = match
	if len(n.ready.Entries) == 0 && match <= n.log.synced {
		n.send(reply)
		return
	}
	// A heartbeat is answered at once, with what is synced: the leader's lease
	// must not wait for a slow disk.
	early := reply
	early.Index = min(match, n.log.synced)
	n.send(early)
	n.sendAfterSync(reply)
}

// takeEntries appends what is new: entries that are already there stay.
func (n *Node) takeEntries(es []contract.LogEntry) {
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
		if n.log.synced >= n.commit {
			n.send(reply)
		}
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

func (n *Node) stepAppendReply(now time.Duration, m *contract.LogMessage) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	p.heard = now
	p.acked = max(p.acked, time.Duration(m.SentAt))
	if m.Refused {
		p.next = max(p.match+1, min(p.next-1, m.Hint+1))
		n.sendAppend(now, m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.advance()
	}
	p.next = max(p.next, p.match+1)
}

// maxOutstanding bounds the entries under way to one member.
const maxOutstanding = 8192

// sendAppend sends what the member lacks, or a heartbeat. Entries go out
// without waiting for the answer to earlier ones; a member that misses some
// refuses the next message, and the leader goes back.
func (n *Node) sendAppend(now time.Duration, to contract.LogMember, p *progress) {
	p.sent = now
	if p.next <= n.log.base.Index {
		n.sendSnapshot(now, to, p)
		return
	}
	m := contract.LogMessage{Type: contract.LogAppend, To: to, Commit: n.commit, SentAt: int64(now)}
	m.Index = p.next - 1
	m.LogTerm, _ = n.log.term(m.Index)
	if p.next-p.match <= maxOutstanding {
		m.Entries = n.batch(p.next)
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

func (n *Node) sendSnapshot(now time.Duration, to contract.LogMember, p *progress) {
	s := n.log.base
	p.next = s.Index + 1
	n.send(contract.LogMessage{Type: contract.LogSnapshot, To: to, SentAt: int64(now), Index: s.Index, LogTerm: s.Term, Group: s.Group, Data: s.Data})
}

func (n *Node) batch(from uint64) []contract.LogEntry {
	if from > n.log.last() {
		return nil
	}
	all := n.log.slice(from, n.log.last())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > MaxAppendBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// advance commits what a majority of the voters has synced.
func (n *Node) advance() {
	for index := n.log.last(); index > n.commit; index-- {
		if t, _ := n.log.term(index); t != n.hard.Term {
			return
		}
		if n.syncedBy(index) >= Majority(len(n.group.Voters)) {
			n.commit = index
			return
		}
	}
}

func (n *Node) syncedBy(index uint64) int {
	count := 0
	for _, v := range n.group.Voters {
		if v == n.self && n.log.synced >= index {
			count++
		} else if p := n.peers[v]; p != nil && p.match >= index {
			count++
		}
	}
	return count
}
