package ledger

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// SeqSet is a set of sequence numbers, as ordered ranges that neither overlap
// nor touch. Its zero value is empty.
type SeqSet []contract.SeqRange

// Has reports whether n is in the set.
func (s SeqSet) Has(n uint64) bool {
	return slices.ContainsFunc(s, func(r contract.SeqRange) bool { return r.First <= n && n <= r.Last })
}

// Add returns the set with n.
func (s SeqSet) Add(n uint64) SeqSet {
	if s.Has(n) {
		return s
	}
	at := 0
	for at < len(s) && s[at].First < n {
		at++
	}
	out := slices.Insert(slices.Clone(s), at, contract.SeqRange{First: n, Last: n})
	return out.join()
}

// join unites ranges that touch.
func (s SeqSet) join() SeqSet {
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

// Remove returns the set without n.
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

// Minus returns the numbers of s that are not in other, at most limit of them.
func (s SeqSet) Minus(other SeqSet, limit int) []uint64 {
	var out []uint64
	for _, r := range s {
		for n := r.First; n <= r.Last && len(out) < limit; n++ {
			if skip := other.endOfRange(n); skip != 0 {
				n = skip
				continue
			}
			out = append(out, n)
		}
	}
	return out
}

// endOfRange returns the last number of the range that holds n, or zero.
func (s SeqSet) endOfRange(n uint64) uint64 {
	for _, r := range s {
		if r.First <= n && n <= r.Last {
			return r.Last
		}
	}
	return 0
}
