package quorum

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Phase is the progress of a round.
type Phase uint8

// The phases of a round.
const (
	// PhasePrepare means that the round is collecting promises.
	PhasePrepare Phase = iota + 1
	// PhaseAccept means that the round has proposed a value.
	PhaseAccept
	// PhaseChosen means that a quorum has accepted the value.
	PhaseChosen
	// PhaseLost means that an acceptor refused because it had promised the same
	// or a higher ballot. If the round had reached PhaseAccept, some acceptors
	// may have accepted its value, and a later round may still choose it.
	PhaseLost
)

// acceptorID identifies an acceptor by its host and its disk.
type acceptorID struct {
	host contract.HostID
	disk contract.DiskID
}

// promise records which acceptor has promised and the ballot of the value that it
// had accepted.
type promise struct {
	acceptorID
	accepted contract.Ballot
}

// Round is the proposer's state for one ballot: one attempt to read and change
// the register. It is not safe for concurrent use.
type Round struct {
	ballot contract.Ballot
	hosts  []contract.HostID
	// memberSets are sets of members. A quorum needs a majority of each set. There
	// are several if the group is joint or the proposed value changes it.
	memberSets [][]contract.Member
	// forming is set on the round that forms the first group: all hosts must
	// promise, each with any disk.
	forming bool

	phase      Phase
	promises   []promise
	acceptedBy []acceptorID
	// highestAccepted is the highest accepted ballot among the promises, and
	// value is the value of that ballot.
	highestAccepted contract.Ballot
	value           []byte
	// higherBallot is the promised ballot because of which the round was lost.
	higherBallot contract.Ballot
}

// NewRound returns a round among the members of the group. While the group is
// joint, a quorum is a majority of the new members and one of the old ones.
func NewRound(b contract.Ballot, g contract.Group) *Round {
	return &Round{ballot: b, hosts: g.Hosts(), memberSets: memberSets(g), phase: PhasePrepare}
}

// NewFormingRound returns the round that forms the first group. All hosts must
// promise.
func NewFormingRound(b contract.Ballot, hosts []contract.HostID) *Round {
	return &Round{ballot: b, hosts: hosts, forming: true, phase: PhasePrepare}
}

// memberSets returns the sets of members of g. A quorum needs a majority of each.
func memberSets(g contract.Group) [][]contract.Member {
	if g.Joint() {
		return [][]contract.Member{g.Members, g.Old}
	}
	return [][]contract.Member{g.Members}
}

// Ballot returns the round's ballot.
func (r *Round) Ballot() contract.Ballot { return r.ballot }

// Hosts returns the hosts to send to in the current phase.
func (r *Round) Hosts() []contract.HostID { return r.hosts }

// Phase returns the current phase.
func (r *Round) Phase() Phase { return r.phase }

// Forming reports whether the round forms the first group.
func (r *Round) Forming() bool { return r.forming }

// HigherBallot returns the promised ballot because of which the round was lost, or
// zero if it was not lost. It is at least the round's own ballot.
func (r *Round) HigherBallot() contract.Ballot { return r.higherBallot }

// HandlePromise handles a reply to Prepare. It returns true once, when a quorum
// has promised; Value then returns the value of the register to start from.
func (r *Round) HandlePromise(from contract.HostID, p *contract.Promise) bool {
	a := acceptorID{from, p.Disk}
	if r.phase != PhasePrepare || !r.isMember(a) || slices.ContainsFunc(r.promises, func(earlier promise) bool { return earlier.host == from }) {
		return false
	}
	if !p.OK {
		r.handleRefusal(p.Promised)
		return false
	}
	hadQuorum := r.hasPromiseQuorum()
	r.promises = append(r.promises, promise{a, p.Accepted})
	if r.highestAccepted.Less(p.Accepted) {
		r.highestAccepted = p.Accepted
		r.value = p.Value
	}
	return !hadQuorum && r.hasPromiseQuorum()
}

// isMember reports whether a is a member, so that its replies count. Both its host
// and its disk must be those of the member. While the first group is being formed,
// any disk of the group's hosts counts.
func (r *Round) isMember(a acceptorID) bool {
	if r.forming {
		return slices.Contains(r.hosts, a.host)
	}
	for _, set := range r.memberSets {
		if contains(set, a) {
			return true
		}
	}
	return false
}

// contains reports whether the set has a member with the host and the disk of a.
func contains(set []contract.Member, a acceptorID) bool {
	return slices.ContainsFunc(set, func(m contract.Member) bool { return m.Host == a.host && m.Disk == a.disk })
}

func (r *Round) hasPromiseQuorum() bool {
	acceptors := make([]acceptorID, len(r.promises))
	for i, p := range r.promises {
		acceptors[i] = p.acceptorID
	}
	if r.forming {
		return len(acceptors) == len(r.hosts)
	}
	return hasQuorum(r.memberSets, acceptors)
}

// hasQuorum reports whether the acceptors include a majority of each set.
func hasQuorum(sets [][]contract.Member, acceptors []acceptorID) bool {
	for _, set := range sets {
		n := 0
		for _, a := range acceptors {
			if contains(set, a) {
				n++
			}
		}
		if n < Majority(len(set)) {
			return false
		}
	}
	return true
}

// Majority returns the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// Value returns the highest accepted ballot among the promises, and its value.
// The ballot is zero if no promise carried an accepted ballot. The value is nil if
// the promise omitted it because the proposer already has the value of that ballot.
func (r *Round) Value() (contract.Ballot, []byte) { return r.highestAccepted, r.value }

// Unanimous reports whether all promises carried the same accepted ballot. If a
// quorum has promised, the value of that ballot is then chosen already and need not
// be proposed again.
func (r *Round) Unanimous() bool {
	if r.forming || r.highestAccepted == (contract.Ballot{}) {
		return false
	}
	return !slices.ContainsFunc(r.promises, func(p promise) bool { return p.accepted != r.highestAccepted })
}

// FirstGroup returns the first group: the hosts that promised, with their disks. It
// must be called only on a round that forms the group, once all hosts have promised.
func (r *Round) FirstGroup() contract.Group {
	g := contract.Group{Epoch: 1}
	for _, p := range r.promises {
		g.Members = append(g.Members, contract.Member{Host: p.host, Disk: p.disk})
	}
	slices.SortFunc(g.Members, func(a, b contract.Member) int { return cmp.Compare(a.Host, b.Host) })
	return g
}

// Propose starts the accept phase with a value whose group is next. A value that
// changes the group needs a quorum of the current group and one of the next. The
// value of a forming round needs only a quorum of the first group, although all
// hosts had to promise.
func (r *Round) Propose(next contract.Group) {
	r.phase = PhaseAccept
	for _, set := range memberSets(next) {
		if !slices.ContainsFunc(r.memberSets, func(s []contract.Member) bool { return slices.Equal(s, set) }) {
			r.memberSets = append(r.memberSets, set)
		}
	}
	r.forming = false
	for _, id := range next.Hosts() {
		if !slices.Contains(r.hosts, id) {
			r.hosts = append(slices.Clone(r.hosts), id)
		}
	}
}

// HandleAccepted handles a reply to Accept. It returns true once, when a quorum
// has accepted and the value is chosen.
func (r *Round) HandleAccepted(from contract.HostID, m *contract.Accepted) bool {
	a := acceptorID{from, m.Disk}
	if r.phase != PhaseAccept || !r.isMember(a) || slices.Contains(r.acceptedBy, a) {
		return false
	}
	if !m.OK {
		r.handleRefusal(m.Promised)
		return false
	}
	r.acceptedBy = append(r.acceptedBy, a)
	if !hasQuorum(r.memberSets, r.acceptedBy) {
		return false
	}
	r.phase = PhaseChosen
	return true
}

// handleRefusal ends the round if the refusing acceptor has promised the same or
// a higher ballot. An acceptor that is not a voter yet refuses with the zero
// ballot; the round then continues with the others.
func (r *Round) handleRefusal(promised contract.Ballot) {
	if promised.Less(r.ballot) {
		return
	}
	r.phase = PhaseLost
	if r.higherBallot.Less(promised) {
		r.higherBallot = promised
	}
}
