// Package quorum agrees on one register among a few hosts with disks: a
// compare-and-set register in the manner of CASPaxos (Rystsov, 2018). It has
// no leader and no log. The group of members is part of the value. The package
// is pure: the driver carries the messages and syncs the acceptor's state
// before each answer leaves.
//
// Invariant: once a value is chosen under a ballot, each later ballot that
// gathers a quorum of promises starts from that value or one made from it.
//
// A member is a host with one disk: an answer from the same host with another
// disk counts for nothing. A change of members is agreed in two steps, joint
// and settled, and a proposer settles only a joint group that it has seen
// chosen. spec/agreement.pml is the specification; comments here name its
// actions.
package quorum

import "github.com/carawaylanding/carawaylanding/contract"

// State is what an acceptor must have synced before it answers.
type State struct {
	// Disk is drawn when the disk is first used.
	Disk contract.DiskID
	// Voter says that the disk took part in forming the group or holds a copy
	// of the value; until then it promises and accepts nothing.
	Voter    bool
	Promised contract.Ballot
	Accepted contract.Ballot
	Value    []byte
}

// Acceptor holds one host's part of the register. It is not safe for
// concurrent use.
type Acceptor struct {
	state State
}

// NewAcceptor returns an acceptor with the state that was last synced.
func NewAcceptor(s State) *Acceptor { return &Acceptor{state: s} }

// State returns the present state.
func (a *Acceptor) State() State { return a.state }

// Prepare promises the ballot unless a higher one was promised (the
// specification's PREPARE). The driver syncs State before it sends a promise
// that is OK.
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

// Accept accepts the value unless a higher ballot was promised (the
// specification's ACCEPT). The driver syncs State before it sends an answer
// that is OK.
func (a *Acceptor) Accept(m *contract.Accept) *contract.Accepted {
	if !a.state.Voter || m.Ballot.Less(a.state.Promised) {
		return &contract.Accepted{Disk: a.state.Disk, Promised: a.state.Promised}
	}
	a.state.Promised = m.Ballot
	a.state.Accepted = m.Ballot
	a.state.Value = m.Value
	return &contract.Accepted{OK: true, Disk: a.state.Disk, Promised: m.Ballot}
}

// Copy takes a value that was chosen under the ballot (the specification's
// COPY). It makes the acceptor a voter. An acceptor that has accepted under a
// higher ballot keeps its value. The driver syncs State before it answers.
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
