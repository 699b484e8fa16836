package consensus

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// replicationState says how a leader sends entries to a member.
type replicationState uint8

const (
	// probing: it is not known where the logs match. One append is in flight at
	// a time.
	probing replicationState = iota
	// replicating: the logs match up to next-1 unless messages were lost. Appends
	// are pipelined: entries are sent before earlier ones are answered.
	replicating
	// installing: a snapshot has been sent. The member gets only heartbeats until
	// it has synced the snapshot.
	installing
)

const (
	// maxInFlightEntries and maxInFlightBytes limit the unacknowledged entries of
	// one member. Once either is reached, the leader sends the member only
	// heartbeats.
	maxInFlightEntries = 8192
	maxInFlightBytes   = 4 * MaxAppendBytes
	// snapshotResendTimeouts is the number of election timeouts after which an
	// unanswered snapshot is sent again. It covers the transfer and the sync of a
	// large snapshot.
	snapshotResendTimeouts = 4
)

// inFlightAppend is an append that has not been acknowledged.
type inFlightAppend struct {
	lastIndex uint64
	entries   int
	bytes     int
}

// progress is a leader's view of the replication to one member.
//
// Invariants: match < next. A refusal takes effect only if the refused append was
// sent after the last change of state, so that one gap in the log causes one
// resend, however many appends were in flight behind it.
type progress struct {
	state replicationState
	// stateSince is when the state began or, in probing, when next was last set.
	stateSince time.Duration
	// match is the last index that the member is known to have synced; next is
	// the index of the next entry to send to it.
	match, next uint64
	// probeOutstanding says that entries have been sent since probing began at
	// next. probeSentAt is when, and probeEnd is the index of the last of them.
	probeOutstanding bool
	probeSentAt      time.Duration
	probeEnd         uint64
	// snapshotIndex is the index of the snapshot that is being installed.
	snapshotIndex uint64
	// inFlight lists the unacknowledged appends in replicating, oldest first;
	// inFlightEntries and inFlightBytes are their totals.
	inFlight                       []inFlightAppend
	inFlightEntries, inFlightBytes int
	// lastReplyTime is when the member last replied in this term. Until it has,
	// it is the time when this leader began to track the member.
	lastReplyTime time.Duration
	// ackedSendTime is the send time of the latest append or snapshot that the
	// member has answered.
	ackedSendTime time.Duration
	// lastSendTime is when an append or a snapshot was last sent to the member.
	lastSendTime time.Duration
}

func newProgress(now time.Duration, next uint64) *progress {
	return &progress{next: next, lastReplyTime: now, stateSince: now}
}

// canSend reports whether entries may be sent now.
func (p *progress) canSend() bool {
	switch p.state {
	case probing:
		return !p.probeOutstanding
	case replicating:
		return p.inFlightEntries < maxInFlightEntries && p.inFlightBytes < maxInFlightBytes
	}
	return false
}

// probe returns to probing, with the entry at next as the first one to send.
func (p *progress) probe(now time.Duration, next uint64) {
	p.setState(now, probing)
	p.next = max(p.match+1, next)
	p.probeOutstanding = false
}

func (p *progress) setState(now time.Duration, s replicationState) {
	p.state, p.stateSince = s, now
	p.inFlight, p.inFlightEntries, p.inFlightBytes = nil, 0, 0
}

// sent records that the entries es were sent at the time now, from next on.
func (p *progress) sent(now time.Duration, es []contract.LogEntry) {
	switch p.state {
	case probing:
		if len(es) > 0 {
			p.probeOutstanding, p.probeSentAt = true, now
			p.probeEnd = p.next + uint64(len(es)) - 1
		}
	case replicating:
		if len(es) == 0 {
			return
		}
		p.next += uint64(len(es))
		a := inFlightAppend{lastIndex: p.next - 1, entries: len(es)}
		for i := range es {
			a.bytes += len(es[i].Data)
		}
		p.inFlight = append(p.inFlight, a)
		p.inFlightEntries += a.entries
		p.inFlightBytes += a.bytes
	}
}

// acknowledged records that the member has synced its log up to index, in a reply
// to the message that was sent at sentAt.
func (p *progress) acknowledged(now time.Duration, index uint64, sentAt time.Duration) {
	p.match = max(p.match, index)
	switch p.state {
	case probing:
		if sentAt < p.stateSince {
			break
		}
		if p.probeOutstanding && sentAt == p.probeSentAt {
			p.next = p.probeEnd + 1
		}
		p.setState(now, replicating)
	case installing:
		if p.match >= p.snapshotIndex {
			p.setState(now, replicating)
			p.next = p.match + 1
		}
	case replicating:
		n := 0
		for n < len(p.inFlight) && p.inFlight[n].lastIndex <= p.match {
			p.inFlightEntries -= p.inFlight[n].entries
			p.inFlightBytes -= p.inFlight[n].bytes
			n++
		}
		p.inFlight = p.inFlight[n:]
	}
	p.next = max(p.next, p.match+1)
}

// refused records that the member refused the append that was sent at sentAt, and
// that the logs may match up to hint. It reports whether the leader has to send
// from an earlier index.
func (p *progress) refused(now time.Duration, hint uint64, sentAt time.Duration) bool {
	if p.state == installing || sentAt < p.stateSince {
		return false
	}
	p.probe(now, min(p.next-1, hint+1))
	return true
}

func (n *Node) stepAppendReply(now time.Duration, m *contract.LogMessage) {
	p := n.peers[m.From]
	if p == nil {
		return
	}
	sentAt := time.Duration(m.SentAt)
	p.lastReplyTime = now
	p.ackedSendTime = max(p.ackedSendTime, sentAt)
	if m.Refused {
		if p.refused(now, m.Hint, sentAt) {
			n.sendEntries(now, m.From, p)
		}
		return
	}
	before := p.match
	p.acknowledged(now, m.Index, sentAt)
	if p.match > before {
		n.advanceCommit()
	}
}

// sendEntries sends the entries from next on, or the snapshot if the next entry has
// been compacted.
func (n *Node) sendEntries(now time.Duration, to contract.LogMember, p *progress) {
	if p.next <= n.log.snapshot.Index {
		n.sendSnapshot(now, to, p)
		return
	}
	n.sendAppend(now, to, p, n.nextBatch(p.next))
}

// sendHeartbeat sends an append without entries, which confirms the leadership and
// detects lost appends. It sends a snapshot again that has not been answered for
// too long.
func (n *Node) sendHeartbeat(now time.Duration, to contract.LogMember, p *progress) {
	switch {
	case p.state == installing && now-p.stateSince >= snapshotResendTimeouts*n.timing.ElectionTimeout:
		n.sendSnapshot(now, to, p)
	case p.state == installing:
		// A member can't refuse an append at index 0, whatever its log holds.
		p.lastSendTime = now
		n.send(contract.LogMessage{Type: contract.LogAppend, To: to, SentAt: int64(now)})
	case p.next <= n.log.snapshot.Index:
		n.sendSnapshot(now, to, p)
	default:
		n.sendAppend(now, to, p, nil)
	}
}

func (n *Node) sendAppend(now time.Duration, to contract.LogMember, p *progress, es []contract.LogEntry) {
	m := contract.LogMessage{Type: contract.LogAppend, To: to, Commit: n.commit, SentAt: int64(now), Index: p.next - 1, Entries: es}
	m.LogTerm, _ = n.log.term(m.Index)
	p.lastSendTime = now
	p.sent(now, es)
	n.send(m)
}

func (n *Node) sendSnapshot(now time.Duration, to contract.LogMember, p *progress) {
	s := n.log.snapshot
	p.setState(now, installing)
	p.snapshotIndex = s.Index
	p.next = s.Index + 1
	p.lastSendTime = now
	n.send(contract.LogMessage{Type: contract.LogSnapshot, To: to, SentAt: int64(now), Index: s.Index, LogTerm: s.Term, Group: s.Group, Data: s.Data})
}

// nextBatch returns the entries that fit into one append, beginning at index from.
func (n *Node) nextBatch(from uint64) []contract.LogEntry {
	if from > n.log.lastIndex() {
		return nil
	}
	all := n.log.slice(from, n.log.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > MaxAppendBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}
