// Package quorum agrees on one register among a few hosts with disks: a
// compare-and-set register in the manner of CASPaxos (Rystsov, 2018). It has
// no leader and no log. It is pure: the driver carries the messages and syncs
// the acceptor's state before each answer leaves.
//
// Invariant: once a majority has accepted a value under a ballot, each later
// ballot that gathers a majority of promises starts from that value or one
// made from it.
package quorum

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// State is what an acceptor must have synced before it answers.
type State struct {
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

// Prepare promises the ballot unless a higher one was promised. The driver
// syncs State before it sends a promise that is OK.
func (a *Acceptor) Prepare(m *contract.Prepare) *contract.Promise {
	if !a.state.Promised.Less(m.Ballot) {
		return &contract.Promise{Promised: a.state.Promised}
	}
	a.state.Promised = m.Ballot
	return &contract.Promise{OK: true, Promised: m.Ballot, Accepted: a.state.Accepted, Value: a.state.Value}
}

// Accept accepts the value unless a higher ballot was promised. The driver
// syncs State before it sends an answer that is OK.
func (a *Acceptor) Accept(m *contract.Accept) *contract.Accepted {
	if m.Ballot.Less(a.state.Promised) {
		return &contract.Accepted{Promised: a.state.Promised}
	}
	a.state.Promised = m.Ballot
	a.state.Accepted = m.Ballot
	a.state.Value = m.Value
	return &contract.Accepted{OK: true, Promised: m.Ballot}
}

// Phase is how far a round has come.
type Phase uint8

// The phases of a round.
const (
	PhasePrepare Phase = iota + 1
	PhaseAccept
	PhaseChosen
	// PhaseLost means that a higher ballot was seen: the round may have had
	// an effect once it has reached PhaseAccept.
	PhaseLost
)

// Round is one attempt to read and change the register. It is not safe for
// concurrent use.
type Round struct {
	ballot   contract.Ballot
	members  []contract.HostID
	phase    Phase
	promised []contract.HostID
	accepted []contract.HostID
	best     contract.Ballot
	value    []byte
	higher   contract.Ballot
}

// NewRound starts a round among the members.
func NewRound(b contract.Ballot, members []contract.HostID) *Round {
	return &Round{ballot: b, members: members, phase: PhasePrepare}
}

// Ballot returns the round's ballot.
func (r *Round) Ballot() contract.Ballot { return r.ballot }

// Phase returns how far the round has come.
func (r *Round) Phase() Phase { return r.phase }

// Higher returns the highest ballot seen in an answer that was not OK.
func (r *Round) Higher() contract.Ballot { return r.higher }

// Promise takes an answer to Prepare. It reports true once, when a majority
// has promised: Value is then the register's value to change.
func (r *Round) Promise(from contract.HostID, p *contract.Promise) bool {
	if r.phase != PhasePrepare || !r.member(from) || slices.Contains(r.promised, from) {
		return false
	}
	if !p.OK {
		r.lose(p.Promised)
		return false
	}
	r.promised = append(r.promised, from)
	if r.best.Less(p.Accepted) {
		r.best = p.Accepted
		r.value = p.Value
	}
	return len(r.promised) == r.Majority()
}

// Value returns the value that the promises carried; nil where none was ever
// accepted.
func (r *Round) Value() []byte { return r.value }

// Propose goes on to the accept phase.
func (r *Round) Propose() { r.phase = PhaseAccept }

// Accepted takes an answer to Accept. It reports true once, when a majority
// has accepted.
func (r *Round) Accepted(from contract.HostID, m *contract.Accepted) bool {
	if r.phase != PhaseAccept || !r.member(from) || slices.Contains(r.accepted, from) {
		return false
	}
	if !m.OK {
		r.lose(m.Promised)
		return false
	}
	r.accepted = append(r.accepted, from)
	if len(r.accepted) != r.Majority() {
		return false
	}
	r.phase = PhaseChosen
	return true
}

// Majority returns the number of members that make a quorum.
func (r *Round) Majority() int { return len(r.members)/2 + 1 }

func (r *Round) member(id contract.HostID) bool { return slices.Contains(r.members, id) }

func (r *Round) lose(higher contract.Ballot) {
	r.phase = PhaseLost
	if r.higher.Less(higher) {
		r.higher = higher
	}
}
