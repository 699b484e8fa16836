package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// replaceDisk restarts a host with an empty disk and makes it a member again, by a
// MemberReplace request to the host via.
func replaceDisk(t *testing.T, n *network, id, via contract.HostID) {
	t.Helper()
	n.start(id, &fakeDisk{}, "a", "b", "c")
	_, err := n.host(via).ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberReplace, Host: id})
	must.NoError(t, err)
}

// A host that lost its disk must not vote in place of the member with the old disk.
func TestLostDiskDoesNotVoteUnderTheOldIdentity(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		n.isolate("c")
		makeEdits(t, n.host("a"), 1)
		// Host b loses its disk, after which only a has version 3. If b still
		// voted, b and c would be a majority without version 3.
		n.start("b", &fakeDisk{}, "a", "b", "c")
		n.isolate("a")
		_, err := n.host("c").Edit(t.Context(), putPool("e", 2, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		n.heal()
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(3), got.Version)
	})
}

// Once a host with a new disk is repaired, another host may be lost without
// losing a row.
func TestSecondHostLostRightAfterARepair(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		n.isolate("c")
		makeEdits(t, n.host("a"), 1)
		n.heal()
		replaceDisk(t, n, "b", "c")
		s := n.host("c").Status(t.Context())
		must.True(t, s.RepairComplete, must.Sprintf("%+v", s))
		must.Eq(t, 1, s.LossesSurvived)
		n.stop("a")
		got, err := n.host("b").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, "p2", got.Pools[2].Name)
		makeEdits(t, n.host("b"), 1)
	})
}

// A disk that was replaced must not vote when it comes back.
func TestMemberReplacedTwice(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		first := n.host("b").disk
		replaceDisk(t, n, "b", "a")
		second := n.host("b").disk
		replaceDisk(t, n, "b", "c")
		// Neither of the two earlier disks counts as a member any more.
		for _, disk := range []*fakeDisk{first, second} {
			n.start("b", disk, "a", "b", "c")
			n.isolate("a")
			_, err := n.host("c").Read(t.Context())
			must.True(t, contract.ErrNoQuorum.Is(err))
			n.heal()
		}
		makeEdits(t, n.host("a"), 1)
		must.False(t, n.host("a").Status(t.Context()).RepairComplete)
	})
}

// All members are exchanged one at a time. A removal requested twice changes
// nothing the second time, and the group works without any of its first members.
func TestMembersAddedAndRemovedOneByOne(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		for _, id := range []contract.HostID{"d", "e", "f"} {
			n.start(id, &fakeDisk{}, "a", "b", "c")
			_, err := n.host("a").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberAdd, Host: id})
			must.NoError(t, err)
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			g, err := n.host("d").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberRemove, Host: id})
			must.NoError(t, err)
			repeated, err := n.host("d").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberRemove, Host: id})
			must.NoError(t, err)
			must.Eq(t, g, repeated)
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.stop(id)
		}
		makeEdits(t, n.host("d"), 1)
		must.SliceLen(t, 3, n.host("d").Status(t.Context()).Members)
		must.Eq(t, 1, n.host("d").Status(t.Context()).LossesSurvived)
	})
}

// The host that runs a membership change stops after the joint group was chosen.
// Another host settles the group.
func TestUnfinishedMemberChangeIsSettledByAnotherHost(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		n.start("d", &fakeDisk{}, "a", "b", "c")
		v, err := n.host("a").read(t.Context())
		must.NoError(t, err)
		current := v.register.Tables.Group
		joint, err := n.host("a").planChange(t.Context(), current, contract.MemberRequest{Action: contract.MemberAdd, Host: "d"})
		must.NoError(t, err)
		joining, _ := joint.Find("d")
		must.NoError(t, n.host("a").copyTo(t.Context(), joining, v))
		_, err = n.host("a").proposeJointGroup(t.Context(), current, joint, "add")
		must.NoError(t, err)
		n.stop("a")
		n.host("b").catchUp(t.Context())
		n.host("b").catchUp(t.Context())
		g := n.host("b").tables.View().Group
		must.False(t, g.Joint())
		must.SliceLen(t, 4, g.Members)
	})
}

// A host that does not reply is not added as a member.
func TestNewMemberThatDoesNotAnswerIsNotAgreed(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		_, err := n.host("a").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberAdd, Host: "d"})
		must.True(t, contract.ErrMembers.Is(err))
		must.SliceLen(t, 3, n.host("a").Status(t.Context()).Members)
	})
}
