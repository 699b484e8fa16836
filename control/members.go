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

// maxMembers is the maximum number of members of a group of control hosts.
const maxMembers = 7

// ChangeMembers adds, removes or replaces one member and returns the group after
// the change. A joining host first receives a copy of the value; then the joint
// group is agreed, and then the group of the new members alone. A request that is
// already fulfilled changes nothing, so it may be sent again after its reply was
// lost.
func (c *Control) ChangeMembers(ctx context.Context, m contract.MemberRequest) (contract.Group, error) {
	v, err := c.readSettled(ctx)
	if err != nil {
		return contract.Group{}, err
	}
	current := v.register.Tables.Group
	next, err := c.planChange(ctx, current, m)
	if err != nil {
		return current, err
	}
	if reflect.DeepEqual(next, current) {
		return current, nil
	}
	if m.Action != contract.MemberRemove {
		joining, _ := next.Find(m.Host)
		if err := c.copyTo(ctx, joining, v); err != nil {
			return current, err
		}
	}
	v, err = c.proposeJointGroup(ctx, current, next, fmt.Sprintf("member %s %s", m.Action, m.Host))
	if err != nil {
		return current, err
	}
	v, err = c.settleGroup(ctx, v.register.Tables.Group)
	return v.register.Tables.Group, err
}

// readSettled reads the register by quorum. If a membership change is
// unfinished, it settles the group and returns the value with the settled group.
func (c *Control) readSettled(ctx context.Context) (chosenValue, error) {
	v, err := c.read(ctx)
	if err != nil || !v.register.Tables.Group.Joint() {
		return v, err
	}
	return c.settleGroup(ctx, v.register.Tables.Group)
}

// planChange returns the joint group that carries out the request, or g itself if
// the request is already fulfilled.
func (c *Control) planChange(ctx context.Context, g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	switch m.Action {
	case contract.MemberRemove:
		return planRemoval(g, m)
	case contract.MemberAdd, contract.MemberReplace:
		return c.planJoin(ctx, g, m)
	}
	return g, contract.ErrBadRequest.With("the action %q is not known: give %s, %s or %s", m.Action, contract.MemberAdd, contract.MemberRemove, contract.MemberReplace)
}

func planRemoval(g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	if _, isMember := g.Find(m.Host); !isMember {
		return g, nil
	}
	if len(g.Members) == 1 {
		return g, contract.ErrMembers.With("host %s is the last member: add another first", m.Host)
	}
	return jointGroup(g, withoutMember(g.Members, m.Host)), nil
}

func (c *Control) planJoin(ctx context.Context, g contract.Group, m contract.MemberRequest) (contract.Group, error) {
	existing, isMember := g.Find(m.Host)
	if m.Action == contract.MemberReplace && !isMember {
		return g, contract.ErrMembers.With("host %s is not a member: add it", m.Host)
	}
	st, err := c.queryVoter(ctx, m.Host)
	if err != nil {
		return g, err
	}
	if isMember && existing.Disk == st.Disk {
		return g, nil
	}
	if isMember && m.Action == contract.MemberAdd {
		return g, contract.ErrMembers.With("host %s is a member with another disk: replace it", m.Host)
	}
	if !isMember && len(g.Members) == maxMembers {
		return g, contract.ErrMembers.With("there are %d members, the most allowed: remove one first", maxMembers)
	}
	joining := contract.Member{Host: m.Host, Disk: st.Disk, Addr: cmp.Or(m.Addr, existing.Addr)}
	members := append(withoutMember(g.Members, m.Host), joining)
	slices.SortFunc(members, func(a, b contract.Member) int { return cmp.Compare(a.Host, b.Host) })
	return jointGroup(g, members), nil
}

// jointGroup returns the joint group in which the members change from those of g to
// the given ones.
func jointGroup(g contract.Group, members []contract.Member) contract.Group {
	return contract.Group{Epoch: g.Epoch + 1, Members: members, Old: slices.Clone(g.Members)}
}

func withoutMember(members []contract.Member, id contract.HostID) []contract.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m contract.Member) bool { return m.Host == id })
}

// queryVoter returns the voter state of a host that is to join. It returns an
// error if the host does not reply or can't vote.
func (c *Control) queryVoter(ctx context.Context, id contract.HostID) (*contract.VoterState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, ok := c.call(ctx, id, &contract.VoterQuery{}).(*contract.VoterState)
	if !ok {
		return nil, contract.ErrMembers.With("host %s does not answer: start it with the role control and an empty data folder, and check its -addr", id)
	}
	if st.Fault != "" {
		return nil, contract.ErrMembers.With("host %s can't vote: %s", id, st.Fault)
	}
	return st, nil
}

// copyTo sends the chosen value to a host that is to join, or to a member that has
// an older value (COPY in the specification).
func (c *Control) copyTo(ctx context.Context, m contract.Member, v chosenValue) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, ok := c.call(ctx, m.Host, &contract.Copy{Ballot: v.ballot, Value: v.value}).(*contract.Copied)
	if !ok || reply.Disk != m.Disk {
		return contract.ErrMembers.With("host %s did not copy the state: check that it runs and that its disk has free space", m.Host)
	}
	return nil
}

// proposeJointGroup replaces the group current by the joint group next (JOIN in the
// specification). It changes nothing if the register already contains that joint
// group. The string change becomes the Change field of the stored EditRecord.
func (c *Control) proposeJointGroup(ctx context.Context, current, next contract.Group, change string) (chosenValue, error) {
	return c.change(ctx, func(r Register) (Register, error) {
		agreed := r.Tables.Group
		if agreed.Epoch == next.Epoch && slices.Equal(agreed.Members, next.Members) {
			return r, nil
		}
		if !reflect.DeepEqual(agreed, current) {
			return r, contract.ErrMembers.With("the members changed in the meantime and epoch %d is in force: read the members and send the request again", agreed.Epoch)
		}
		return r.withGroup(next, change, time.Now()), nil
	})
}

// settleGroup replaces a joint group by the group of its new members alone
// (SETTLE in the specification). The caller must have seen the joint group
// chosen.
func (c *Control) settleGroup(ctx context.Context, joint contract.Group) (chosenValue, error) {
	return c.change(ctx, func(r Register) (Register, error) {
		if !reflect.DeepEqual(r.Tables.Group, joint) {
			return r, nil
		}
		next := joint.Clone()
		next.Epoch++
		next.Old = nil
		return r.withGroup(next, "members settled", time.Now()), nil
	})
}

// HasOriginalDisk reports whether this host still has the disk with which it formed
// the first group, and no member has changed since. If so, a file that is missing
// from the data folder was never written, rather than lost. The result is valid
// only after the first read from a quorum.
func (c *Control) HasOriginalDisk() bool {
	g := c.knownGroup()
	self, ok := g.Find(c.cfg.Self)
	return ok && g.Epoch == firstEpoch && self.Disk == c.voterState().Disk
}

// MemberStatus is the state of one member: whether it can vote, and which version
// of the tables it has.
type MemberStatus struct {
	contract.Member
	// Reachable reports whether the host replied. DiskKept reports whether it still
	// has the disk with which it is a member.
	Reachable bool `json:"answers"`
	DiskKept  bool `json:"disk_kept"`
	// Version is the version of the tables on its disk.
	Version contract.Version `json:"version"`
	// Fault is the reason for which the host refuses to vote; empty if it votes.
	Fault string `json:"fault,omitempty"`
}

// hasVersion reports whether the member can vote and has the version, or a later
// one, on the disk with which it is a member.
func (m MemberStatus) hasVersion(v contract.Version) bool {
	return m.DiskKept && m.Fault == "" && m.Version >= v
}

// GroupStatus is the state of the group of control hosts.
type GroupStatus struct {
	Epoch   uint64           `json:"epoch"`
	Version contract.Version `json:"version"`
	// HasQuorum reports whether a quorum replied. If not, edits are refused, and
	// Epoch, Version and Members are those of the value that this host has accepted.
	HasQuorum bool `json:"agreed"`
	// Joint reports whether a membership change is unfinished.
	Joint   bool           `json:"joint"`
	Members []MemberStatus `json:"members"`
	// UpToDate is the number of members that can vote and have Version, or a later
	// one, on the disk with which they are members.
	UpToDate int `json:"holding"`
	// RepairComplete reports whether a quorum replied, no membership change is
	// unfinished, and all members are counted in UpToDate.
	RepairComplete bool `json:"repair_complete"`
	// LossesSurvived is how many of the up-to-date members may be lost while the
	// remaining ones are still a majority of Members, which has every row. It is zero
	// if no quorum replied.
	LossesSurvived int `json:"losses_survived"`
}

// Status returns the state of the group. If a quorum replies, it first sends the
// chosen value to the members that have an older one.
func (c *Control) Status(ctx context.Context) GroupStatus {
	v, err := c.read(ctx)
	reg := v.register
	if err != nil {
		reg, _ = decodeRegister(c.accepted().value)
	}
	g := reg.Tables.Group
	s := GroupStatus{Epoch: g.Epoch, Version: reg.Tables.Version, HasQuorum: err == nil, Joint: g.Joint()}
	for _, m := range g.Members {
		s.Members = append(s.Members, c.memberStatus(ctx, m, v))
	}
	for _, m := range s.Members {
		if m.hasVersion(s.Version) {
			s.UpToDate++
		}
	}
	n := len(s.Members)
	s.RepairComplete = s.HasQuorum && !s.Joint && s.UpToDate == n
	if s.HasQuorum {
		s.LossesSurvived = max(0, s.UpToDate-quorum.Majority(n))
	}
	return s
}

// memberStatus queries a member. If the member has an older version than v, it
// sends v to it and queries it again.
func (c *Control) memberStatus(ctx context.Context, m contract.Member, v chosenValue) MemberStatus {
	s := c.queryMember(ctx, m)
	chosenVersion := v.register.Tables.Version
	if s.DiskKept && s.Fault == "" && s.Version < chosenVersion && c.copyTo(ctx, m, v) == nil {
		return c.queryMember(ctx, m)
	}
	return s
}

// queryMember asks a member for its state. Reachable is false if it does not reply.
func (c *Control) queryMember(ctx context.Context, m contract.Member) MemberStatus {
	s := MemberStatus{Member: m}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, ok := c.call(ctx, m.Host, &contract.VoterQuery{}).(*contract.VoterState)
	if !ok {
		return s
	}
	s.Reachable = true
	s.DiskKept = st.Disk == m.Disk
	s.Version = st.Version
	s.Fault = st.Fault
	return s
}
