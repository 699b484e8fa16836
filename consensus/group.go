package consensus

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Majority returns the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// IsVoter reports whether m votes in g.
func IsVoter(g contract.LogGroup, m contract.LogMember) bool { return slices.Contains(g.Voters, m) }

// IsMember reports whether m votes or learns in g.
func IsMember(g contract.LogGroup, m contract.LogMember) bool {
	return IsVoter(g, m) || slices.Contains(g.Learners, m)
}

// CompareMembers orders members by address, then by disk.
func CompareMembers(a, b contract.LogMember) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Disk, b.Disk))
}

// Without returns the group less one member.
func Without(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	drop := func(x contract.LogMember) bool { return x == m }
	return contract.LogGroup{
		Voters:   slices.DeleteFunc(slices.Clone(g.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(g.Learners), drop),
	}
}

// WithLearner returns the group with one learner more.
func WithLearner(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	next := Without(g, m)
	next.Learners = append(next.Learners, m)
	return next
}

// WithVoter returns the group with m as a voter.
func WithVoter(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	next := Without(g, m)
	next.Voters = append(next.Voters, m)
	return next
}
