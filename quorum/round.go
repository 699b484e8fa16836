package quorum

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

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

// voter is a host with the disk that it votes with.
type voter struct {
	host contract.HostID
	disk contract.DiskID
}

// promise is one voter's promise.
type promise struct {
	voter
	accepted contract.Ballot
}

// Round is one attempt to read and change the register. It is not safe for
// concurrent use.
type Round struct {
	ballot contract.Ballot
	hosts  []contract.HostID
	// sets are the sets of members each of which must give a majority.
	sets [][]contract.Member
	// forming says that each host must promise, whatever its disk.
	forming bool

	phase    Phase
	promised []promise
	accepted []voter
	best     contract.Ballot
	value    []byte
	higher   contract.Ballot
}

// NewRound starts a round among the members of the group.
func NewRound(b contract.Ballot, g contract.Group) *Round {
	return &Round{ballot: b, hosts: g.Hosts(), sets: sets(g), phase: PhasePrepare}
}

// NewForming starts the round that forms the first group: each host must
// promise.
func NewForming(b contract.Ballot, hosts []contract.HostID) *Round {
	return &Round{ballot: b, hosts: hosts, forming: true, phase: PhasePrepare}
}

func sets(g contract.Group) [][]contract.Member {
	if g.Joint() {
		return [][]contract.Member{g.Members, g.Old}
	}
	return [][]contract.Member{g.Members}
}

// Ballot returns the round's ballot.
func (r *Round) Ballot() contract.Ballot { return r.ballot }

// Hosts returns the hosts to ask in the present phase.
func (r *Round) Hosts() []contract.HostID { return r.hosts }

// Phase returns how far the round has come.
func (r *Round) Phase() Phase { return r.phase }

// Forming reports whether the round forms the first group.
func (r *Round) Forming() bool { return r.forming }

// Higher returns the highest ballot seen in an answer that was not OK.
func (r *Round) Higher() contract.Ballot { return r.higher }

// Promise takes an answer to Prepare. It reports true once, when a quorum has
// promised: Value is then the register's value to change.
func (r *Round) Promise(from contract.HostID, p *contract.Promise) bool {
	v := voter{from, p.Disk}
	if r.phase != PhasePrepare || !r.counts(v) || slices.ContainsFunc(r.promised, func(x promise) bool { return x.host == from }) {
		return false
	}
	if !p.OK {
		r.refused(p.Promised)
		return false
	}
	had := r.promiseQuorum()
	r.promised = append(r.promised, promise{v, p.Accepted})
	if r.best.Less(p.Accepted) {
		r.best = p.Accepted
		r.value = p.Value
	}
	return !had && r.promiseQuorum()
}

// counts reports whether the voter's answers matter: an answer from a host
// with another disk than its member's does not.
func (r *Round) counts(v voter) bool {
	if r.forming {
		return slices.Contains(r.hosts, v.host)
	}
	for _, set := range r.sets {
		if inSet(set, v) {
			return true
		}
	}
	return false
}

func inSet(set []contract.Member, v voter) bool {
	return slices.ContainsFunc(set, func(m contract.Member) bool { return m.Host == v.host && m.Disk == v.disk })
}

func (r *Round) promiseQuorum() bool {
	voters := make([]voter, len(r.promised))
	for i, p := range r.promised {
		voters[i] = p.voter
	}
	if r.forming {
		return len(voters) == len(r.hosts)
	}
	return quorum(r.sets, voters)
}

// quorum reports whether the voters are a majority of each set.
func quorum(sets [][]contract.Member, voters []voter) bool {
	for _, set := range sets {
		n := 0
		for _, v := range voters {
			if inSet(set, v) {
				n++
			}
		}
		if n < Majority(len(set)) {
			return false
		}
	}
	return true
}

// Majority returns the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// Value returns the ballot and value that the promises carried. The ballot is
// zero where none was ever accepted; the value is nil where the round's owner
// holds that of the ballot.
func (r *Round) Value() (contract.Ballot, []byte) { return r.best, r.value }

// Unanimous reports whether all promises carried the value of one ballot: it
// is chosen then, and need not be written back.
func (r *Round) Unanimous() bool {
	if r.forming || r.best == (contract.Ballot{}) {
		return false
	}
	return !slices.ContainsFunc(r.promised, func(p promise) bool { return p.accepted != r.best })
}

// First returns the first group of a forming round that has its promises.
func (r *Round) First() contract.Group {
	g := contract.Group{Epoch: 1}
	for _, p := range r.promised {
		g.Members = append(g.Members, contract.Member{Host: p.host, Disk: p.disk})
	}
	slices.SortFunc(g.Members, func(a, b contract.Member) int { return cmp.Compare(a.Host, b.Host) })
	return g
}

// Propose goes on to the accept phase with a value whose group is next. A
// value that changes the group needs a quorum of both.
func (r *Round) Propose(next contract.Group) {
	r.phase = PhaseAccept
	for _, set := range sets(next) {
		if !slices.ContainsFunc(r.sets, func(s []contract.Member) bool { return slices.Equal(s, set) }) {
			r.sets = append(r.sets, set)
		}
	}
	r.forming = false
	for _, id := range next.Hosts() {
		if !slices.Contains(r.hosts, id) {
			r.hosts = append(slices.Clone(r.hosts), id)
		}
	}
}

// Accepted takes an answer to Accept. It reports true once, when a quorum has
// accepted.
func (r *Round) Accepted(from contract.HostID, m *contract.Accepted) bool {
	v := voter{from, m.Disk}
	if r.phase != PhaseAccept || !r.counts(v) || slices.Contains(r.accepted, v) {
		return false
	}
	if !m.OK {
		r.refused(m.Promised)
		return false
	}
	r.accepted = append(r.accepted, v)
	if !quorum(r.sets, r.accepted) {
		return false
	}
	r.phase = PhaseChosen
	return true
}

// refused takes the ballot that stands against the round. A host without a
// vote refuses without one: the round goes on among the others.
func (r *Round) refused(promised contract.Ballot) {
	if promised.Less(r.ballot) {
		return
	}
	r.phase = PhaseLost
	if r.higher.Less(promised) {
		r.higher = promised
	}
}
