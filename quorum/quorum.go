// Package quorum implements a compare-and-set register that is replicated among
// a small group of hosts with persistent storage. It follows CASPaxos (Rystsov,
// 2018): there is no leader and no log. The group of members is part of the
// value. The package does no I/O: the driver transports the messages and syncs the
// acceptor's state before it sends a reply that depends on it.
//
// Invariant: once a value is chosen under a ballot, every later ballot that
// gets a quorum of promises starts from that value or from one derived from it.
//
// A member is a host with one particular disk: a reply from the same host with
// another disk is ignored. A membership change has two steps: first a joint group
// of the new and the old members is chosen (JOIN in the specification), then the
// group of the new members alone (SETTLE). A proposer takes the second step only
// after it has seen the joint group chosen. The formal specification is
// spec/agreement.pml; comments in this package refer to its actions by name.
package quorum

import "github.com/carawaylanding/carawaylanding/contract"

// AcceptorState is the persistent state of an acceptor. It must be synced before
// a reply that depends on it is sent.
type AcceptorState struct {
	// Disk is a random ID, generated when the disk is first used.
	Disk contract.DiskID
	// Voter is set once the disk has taken part in forming the first group or
	// has received a copy of the value. Until then the acceptor refuses every
	// Accept and every Prepare that does not form the first group.
	Voter bool
	// Promised is the highest ballot that the acceptor has promised.
	Promised contract.Ballot
	// Accepted is the ballot of Value; zero if no value was accepted or copied.
	Accepted contract.Ballot
	Value    []byte
}

// Acceptor is one host's replica of the register. It is not safe for concurrent
// use.
type Acceptor struct {
	state AcceptorState
}

// NewAcceptor returns an acceptor that resumes from the last synced state.
func NewAcceptor(s AcceptorState) *Acceptor { return &Acceptor{state: s} }

// State returns the current state, for the driver to sync.
func (a *Acceptor) State() AcceptorState { return a.state }

// Prepare promises the ballot unless the same or a higher one was promised before
// (PREPARE in the specification). An acceptor that is not a voter yet promises only
// to form the first group. The promise omits the value if the sender already has
// it. The driver must sync State before it sends a promise with OK set.
func (a *Acceptor) Prepare(m *contract.Prepare) *contract.Promise {
	refusal := &contract.Promise{Disk: a.state.Disk, Promised: a.state.Promised}
	if !a.state.Voter && !m.Forming {
		return refusal
	}
	if !a.state.Promised.Less(m.Ballot) {
		return refusal
	}
	a.state.Voter = true
	a.state.Promised = m.Ballot
	p := &contract.Promise{OK: true, Disk: a.state.Disk, Promised: m.Ballot, Accepted: a.state.Accepted}
	if a.state.Accepted != m.Have {
		p.Value = a.state.Value
	}
	return p
}

// Accept accepts the value unless a higher ballot was promised or the acceptor is
// not a voter yet (ACCEPT in the specification). The driver must sync State before
// it sends a reply with OK set.
func (a *Acceptor) Accept(m *contract.Accept) *contract.Accepted {
	if !a.state.Voter || m.Ballot.Less(a.state.Promised) {
		return &contract.Accepted{Disk: a.state.Disk, Promised: a.state.Promised}
	}
	a.state.Promised = m.Ballot
	a.state.Accepted = m.Ballot
	a.state.Value = m.Value
	return &contract.Accepted{OK: true, Disk: a.state.Disk, Promised: m.Ballot}
}

// Copy stores a value that was chosen under the ballot and makes the acceptor a
// voter (COPY in the specification). An acceptor that has accepted a value under
// the same or a higher ballot keeps it. The driver must sync State before it
// sends the reply.
func (a *Acceptor) Copy(m *contract.Copy) *contract.Copied {
	a.state.Voter = true
	if a.state.Accepted.Less(m.Ballot) {
		a.state.Accepted = m.Ballot
		a.state.Value = m.Value
	}
	if a.state.Promised.Less(m.Ballot) {
		a.state.Promised = m.Ballot
	}
	return &contract.Copied{Disk: a.state.Disk}
}
