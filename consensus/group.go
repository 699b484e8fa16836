package consensus

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Majority returns the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// IsVoter reports whether m is a voter of g.
func IsVoter(g contract.LogGroup, m contract.LogMember) bool { return slices.Contains(g.Voters, m) }

// IsMember reports whether m is a voter or a learner of g.
func IsMember(g contract.LogGroup, m contract.LogMember) bool {
	return IsVoter(g, m) || slices.Contains(g.Learners, m)
}

// CompareMembers orders members by address, then by disk ID.
func CompareMembers(a, b contract.LogMember) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Disk, b.Disk))
}

// WithoutMember returns a copy of g with m removed.
func WithoutMember(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	isRemoved := func(other contract.LogMember) bool { return other == m }
	return contract.LogGroup{
		Voters:   slices.DeleteFunc(slices.Clone(g.Voters), isRemoved),
		Learners: slices.DeleteFunc(slices.Clone(g.Learners), isRemoved),
	}
}

// WithLearner returns a copy of g with m as a learner.
func WithLearner(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	next := WithoutMember(g, m)
	next.Learners = append(next.Learners, m)
	return next
}

// WithVoter returns a copy of g with m as a voter.
func WithVoter(g contract.LogGroup, m contract.LogMember) contract.LogGroup {
	next := WithoutMember(g, m)
	next.Voters = append(next.Voters, m)
	return next
}
