package control

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// maxMembers bounds the control hosts.
const maxMembers = 7

// ChangeMembers changes the members by one: the host that joins first copies
// the state, then the joint group is agreed, then the new group alone. A
// change that is in force already changes nothing, so it may be asked for
// again after its answer was lost.
func (c *Control) ChangeMembers(ctx context.Context, m contract.MemberRequest) (contract.Group, error) {
	v, err := c.settled(ctx)
	if err != nil {
		return contract.Group{}, err
	}
	before := v.register.Tables.Group
	next, err := c.plan(ctx, before, m)
	if err != nil {
		return before, err
	}
	if reflect.DeepEqual(next, before) {
		return before, nil
	}
	if m.Action != contract.MemberRemove {
		joining, _ := next.Find(m.Host)
		if err := c.copyTo(ctx, joining, v); err != nil {
			return before, err
		}
	}
	v, err = c.regroup(ctx, before, next, fmt.Sprintf("member %s %s", m.Action, m.Host))
	if err != nil {
		return before, err
	}
	v, err = c.settle(ctx, v.register.Tables.Group)
	return v.register.Tables.Group, err
}

// settled returns the register in force once no change of members is open.
func (c *Control) settled(ctx context.Context) (chosen, error) {
	v, err := c.read(ctx)
	if err != nil || !v.register.Tables.Group.Joint() {
		return v, err
	}
	return c.settle(ctx, v.register.Tables.Group)
}

// plan returns the joint group that the request asks for, or the present one
// where it is in force already.
func (c *Control) plan(ctx context.Context, g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	switch m.Action {
	case contract.MemberRemove:
		return planRemove(g, m)
	case contract.MemberAdd, contract.MemberReplace:
		return c.planJoin(ctx, g, m)
	}
	return g, contract.ErrBadRequest.With("the action %q is not known: give %s, %s or %s", m.Action, contract.MemberAdd, contract.MemberRemove, contract.MemberReplace)
}

func planRemove(g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	if _, isMember := g.Find(m.Host); !isMember {
		return g, nil
	}
	if len(g.Members) == 1 {
		return g, contract.ErrMembers.With("host %s is the last member: add another first", m.Host)
	}
	return joint(g, without(g.Members, m.Host)), nil
}

func (c *Control) planJoin(ctx context.Context, g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	present, isMember := g.Find(m.Host)
	if m.Action == contract.MemberReplace && !isMember {
		return g, contract.ErrMembers.With("host %s is no member: add it", m.Host)
	}
	st, err := c.askVoter(ctx, m.Host)
	if err != nil {
		return g, err
	}
	if isMember && present.Disk == st.Disk {
		return g, nil
	}
	if isMember && m.Action == contract.MemberAdd {
		return g, contract.ErrMembers.With("host %s is a member with another disk: replace it", m.Host)
	}
	if !isMember && len(g.Members) == maxMembers {
		return g, contract.ErrMembers.With("there are %d members, the most allowed: remove one first", maxMembers)
	}
	joining := contract.Member{Host: m.Host, Disk: st.Disk, Addr: cmp.Or(m.Addr, present.Addr)}
	members := append(without(g.Members, m.Host), joining)
	slices.SortFunc(members, func(a, b contract.Member) int { return cmp.Compare(a.Host, b.Host) })
	return joint(g, members), nil
}

// joint returns the group that goes from g to the members.
func joint(g contract.Group, members []contract.Member) contract.Group {
	return contract.Group{Epoch: g.Epoch + 1, Members: members, Old: slices.Clone(g.Members)}
}

func without(members []contract.Member, id contract.HostID) []contract.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m contract.Member) bool { return m.Host == id })
}

// askVoter returns the state of a host's vote, which must be able to join.
func (c *Control) askVoter(ctx context.Context, id contract.HostID) (*contract.VoterState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, ok := c.ask(ctx, id, &contract.VoterQuery{}).(*contract.VoterState)
	if !ok {
		return nil, contract.ErrMembers.With("host %s does not answer: start it with the role control and an empty data folder, and check its -addr", id)
	}
	if st.Fault != "" {
		return nil, contract.ErrMembers.With("host %s can't vote: %s", id, st.Fault)
	}
	return st, nil
}

// copyTo gives a host that is to join the value (the specification's COPY).
func (c *Control) copyTo(ctx context.Context, m contract.Member, v chosen) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, ok := c.ask(ctx, m.Host, &contract.Copy{Ballot: v.ballot, Value: v.value}).(*contract.Copied)
	if !ok || reply.Disk != m.Disk {
		return contract.ErrMembers.With("host %s did not copy the state: check that it runs and that its disk has room", m.Host)
	}
	return nil
}

// regroup agrees on the joint group (the specification's JOIN).
func (c *Control) regroup(ctx context.Context, before, next contract.Group, change string) (chosen, error) {
	return c.change(ctx, func(r Register) (Register, error) {
		have := r.Tables.Group
		if have.Epoch == next.Epoch && slices.Equal(have.Members, next.Members) {
			return r, nil
		}
		if !reflect.DeepEqual(have, before) {
			return r, contract.ErrMembers.With("the members changed meanwhile: epoch %d is in force", have.Epoch)
		}
		return r.regroup(next, change, time.Now()), nil
	})
}

// settle agrees on the new members alone (the specification's SETTLE). The
// caller has seen the joint group chosen.
func (c *Control) settle(ctx context.Context, open contract.Group) (chosen, error) {
	return c.change(ctx, func(r Register) (Register, error) {
		if !reflect.DeepEqual(r.Tables.Group, open) {
			return r, nil
		}
		next := open.Clone()
		next.Epoch++
		next.Old = nil
		return r.regroup(next, "members settled", time.Now()), nil
	})
}

// OriginalDisk reports whether this host still has the disk with which it
// formed the first group, and no member has changed since. What the data
// folder lacks was then never there. It counts once a quorum was read.
func (c *Control) OriginalDisk() bool {
	g := c.knownGroup()
	me, ok := g.Find(c.cfg.Self)
	return ok && g.Epoch == firstEpoch && me.Disk == c.voterState().Disk
}

// MemberStatus is what one member's vote is worth.
type MemberStatus struct {
	contract.Member
	// Answers says that the host answered, DiskKept that it still has the
	// disk that it is a member with.
	Answers  bool `json:"answers"`
	DiskKept bool `json:"disk_kept"`
	// Version is the version that its disk holds.
	Version contract.Version `json:"version"`
	Fault   string           `json:"fault,omitempty"`
}

// holds reports whether the member's disk holds the version.
func (m MemberStatus) holds(v contract.Version) bool {
	return m.DiskKept && m.Fault == "" && m.Version >= v
}

// GroupStatus is the state of the control hosts.
type GroupStatus struct {
	Epoch   uint64           `json:"epoch"`
	Version contract.Version `json:"version"`
	// Agreed says that a quorum answered; without it edits are refused.
	Agreed  bool           `json:"agreed"`
	Joint   bool           `json:"joint"`
	Members []MemberStatus `json:"members"`
	// Holding counts the members whose agreed disk holds the version.
	Holding int `json:"holding"`
	// RepairComplete says that no change is open and each member's agreed
	// disk holds the version.
	RepairComplete bool `json:"repair_complete"`
	// LossesSurvived is how many more members may be lost with a majority
	// left that holds every row.
	LossesSurvived int `json:"losses_survived"`
}

// Status reports on the control hosts. It brings members that lag up to date
// first where a quorum answers.
func (c *Control) Status(ctx context.Context) GroupStatus {
	v, err := c.read(ctx)
	reg := v.register
	if err != nil {
		reg, _ = decodeRegister(c.accepted().value)
	}
	g := reg.Tables.Group
	s := GroupStatus{Epoch: g.Epoch, Version: reg.Tables.Version, Agreed: err == nil, Joint: g.Joint()}
	for _, m := range g.Members {
		s.Members = append(s.Members, c.memberStatus(ctx, m, v))
	}
	for _, m := range s.Members {
		if m.holds(s.Version) {
			s.Holding++
		}
	}
	n := len(s.Members)
	s.RepairComplete = s.Agreed && !s.Joint && s.Holding == n
	if s.Agreed {
		s.LossesSurvived = max(0, s.Holding-quorum.Majority(n))
	}
	return s
}

// memberStatus asks one member, and gives it the chosen value where its disk
// holds an older one.
func (c *Control) memberStatus(ctx context.Context, m contract.Member, v chosen) MemberStatus {
	s := c.queryMember(ctx, m)
	want := v.register.Tables.Version
	if s.DiskKept && s.Fault == "" && s.Version < want && c.copyTo(ctx, m, v) == nil {
		return c.queryMember(ctx, m)
	}
	return s
}

func (c *Control) queryMember(ctx context.Context, m contract.Member) MemberStatus {
	s := MemberStatus{Member: m}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, ok := c.ask(ctx, m.Host, &contract.VoterQuery{}).(*contract.VoterState)
	if !ok {
		return s
	}
	s.Answers = true
	s.DiskKept = st.Disk == m.Disk
	s.Version = st.Version
	s.Fault = st.Fault
	return s
}
