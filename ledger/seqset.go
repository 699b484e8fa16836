package ledger

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// SeqSet is a set of sequence numbers. It consists of ordered ranges that neither
// overlap nor are adjacent. Its zero value is the empty set.
type SeqSet []contract.SeqRange

// Has reports whether n is in the set.
func (s SeqSet) Has(n uint64) bool {
	return slices.ContainsFunc(s, func(r contract.SeqRange) bool { return r.First <= n && n <= r.Last })
}

// Add returns the set with n added. It does not modify s.
func (s SeqSet) Add(n uint64) SeqSet {
	if s.Has(n) {
		return s
	}
	at := 0
	for at < len(s) && s[at].First < n {
		at++
	}
	out := slices.Insert(slices.Clone(s), at, contract.SeqRange{First: n, Last: n})
	return out.mergeAdjacent()
}

// mergeAdjacent merges overlapping and adjacent ranges in place. s must be ordered
// and not empty.
func (s SeqSet) mergeAdjacent() SeqSet {
	out := s[:1]
	for _, r := range s[1:] {
		if last := &out[len(out)-1]; last.Last+1 >= r.First {
			last.Last = max(last.Last, r.Last)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Remove returns a new set without n.
func (s SeqSet) Remove(n uint64) SeqSet {
	var out SeqSet
	for _, r := range s {
		if n < r.First || n > r.Last {
			out = append(out, r)
			continue
		}
		if r.First < n {
			out = append(out, contract.SeqRange{First: r.First, Last: n - 1})
		}
		if n < r.Last {
			out = append(out, contract.SeqRange{First: n + 1, Last: r.Last})
		}
	}
	return out
}

// Minus returns the numbers in s that are not in other, at most limit of them.
func (s SeqSet) Minus(other SeqSet, limit int) []uint64 {
	var out []uint64
	for _, r := range s {
		for n := r.First; n <= r.Last && len(out) < limit; n++ {
			if last := other.endOfRange(n); last != 0 {
				n = last
				continue
			}
			out = append(out, n)
		}
	}
	return out
}

// endOfRange returns the last number of the range that contains n, or zero if no
// range contains it.
func (s SeqSet) endOfRange(n uint64) uint64 {
	for _, r := range s {
		if r.First <= n && n <= r.Last {
			return r.Last
		}
	}
	return 0
}
