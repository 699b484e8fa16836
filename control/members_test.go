package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// replace gives the host an empty disk and makes it a member again.
func replace(t *testing.T, n *network, id, through contract.HostID) {
	t.Helper()
	n.start(id, &fakeDisk{}, "a", "b", "c")
	_, err := n.host(through).ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberReplace, Host: id})
	must.NoError(t, err)
}

func TestLostDiskDoesNotVoteUnderTheOldIdentity(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		n.isolate("c")
		edits(t, n.host("a"), 1)
		// b loses its disk: with it, only a holds version 3. b and c would be
		// a majority that does not know it.
		n.start("b", &fakeDisk{}, "a", "b", "c")
		n.isolate("a")
		_, err := n.host("c").Edit(t.Context(), put("e", 2, "q"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		n.heal()
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(3), got.Version)
	})
}

func TestSecondHostLostRightAfterARepair(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		n.isolate("c")
		edits(t, n.host("a"), 1)
		n.heal()
		replace(t, n, "b", "c")
		s := n.host("c").Status(t.Context())
		must.True(t, s.RepairComplete, must.Sprintf("%+v", s))
		must.Eq(t, 1, s.LossesSurvived)
		n.stop("a")
		got, err := n.host("b").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, "p2", got.Pools[2].Name)
		edits(t, n.host("b"), 1)
	})
}

func TestMemberReplacedTwice(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		first := n.host("b").disk
		replace(t, n, "b", "a")
		second := n.host("b").disk
		replace(t, n, "b", "c")
		// Either old disk comes back: it counts for nothing.
		for _, disk := range []*fakeDisk{first, second} {
			n.start("b", disk, "a", "b", "c")
			n.isolate("a")
			_, err := n.host("c").Read(t.Context())
			must.True(t, contract.ErrNoQuorum.Is(err))
			n.heal()
		}
		edits(t, n.host("a"), 1)
		must.False(t, n.host("a").Status(t.Context()).RepairComplete)
	})
}

func TestMembersAddedAndRemovedOneByOne(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		for _, id := range []contract.HostID{"d", "e", "f"} {
			n.start(id, &fakeDisk{}, "a", "b", "c")
			_, err := n.host("a").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberAdd, Host: id})
			must.NoError(t, err)
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			g, err := n.host("d").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberRemove, Host: id})
			must.NoError(t, err)
			again, err := n.host("d").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberRemove, Host: id})
			must.NoError(t, err)
			must.Eq(t, g, again)
		}
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.stop(id)
		}
		edits(t, n.host("d"), 1)
		must.SliceLen(t, 3, n.host("d").Status(t.Context()).Members)
		must.Eq(t, 1, n.host("d").Status(t.Context()).LossesSurvived)
	})
}

func TestUnfinishedMemberChangeIsSettledByAnotherHost(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		n.start("d", &fakeDisk{}, "a", "b", "c")
		v, err := n.host("a").read(t.Context())
		must.NoError(t, err)
		before := v.register.Tables.Group
		joint, err := n.host("a").plan(t.Context(), before, contract.MemberRequest{Action: contract.MemberAdd, Host: "d"})
		must.NoError(t, err)
		joining, _ := joint.Find("d")
		must.NoError(t, n.host("a").copyTo(t.Context(), joining, v))
		_, err = n.host("a").regroup(t.Context(), before, joint, "add")
		must.NoError(t, err)
		n.stop("a")
		n.host("b").keepUp(t.Context())
		n.host("b").keepUp(t.Context())
		g := n.host("b").tables.View().Group
		must.False(t, g.Joint())
		must.SliceLen(t, 4, g.Members)
	})
}

func TestNewMemberThatDoesNotAnswerIsNotAgreed(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		_, err := n.host("a").ChangeMembers(t.Context(), contract.MemberRequest{Action: contract.MemberAdd, Host: "d"})
		must.True(t, contract.ErrMembers.Is(err))
		must.SliceLen(t, 3, n.host("a").Status(t.Context()).Members)
	})
}
