package contract

import "slices"

// RowKind says which of the two tables a row is in.
type RowKind uint8

// The kinds of row.
const (
	RowRoute RowKind = iota + 1
	RowPool
)

// String returns the kind's name.
func (k RowKind) String() string {
	if k == RowRoute {
		return "route"
	}
	return "pool"
}

// Removal records that a row was removed by the edit of Version.
type Removal struct {
	Kind    RowKind
	Name    string
	Version Version
}

// maxRemovals bounds the removals kept.
const maxRemovals = 512

// remove takes out the rows that the edit deletes, and records those that
// were there.
func (t *Tables) remove(e Edit) {
	for _, name := range e.DeleteRoutes {
		before := len(t.Routes)
		t.Routes = slices.DeleteFunc(t.Routes, func(r Route) bool { return r.Name == name })
		t.recordRemoval(before > len(t.Routes), Removal{Kind: RowRoute, Name: name, Version: t.Version})
	}
	for _, name := range e.DeletePools {
		before := len(t.Pools)
		t.Pools = slices.DeleteFunc(t.Pools, func(p Pool) bool { return p.Name == name })
		t.recordRemoval(before > len(t.Pools), Removal{Kind: RowPool, Name: name, Version: t.Version})
	}
	t.TrimRemovals()
}

func (t *Tables) recordRemoval(was bool, r Removal) {
	if was {
		t.Removals = append(t.Removals, r)
	}
}

// TrimRemovals drops the oldest removals beyond the bound, by whole versions.
func (t *Tables) TrimRemovals() {
	if n := len(t.Removals) - maxRemovals; n > 0 {
		t.RemovalsFrom = max(t.RemovalsFrom, t.Removals[n-1].Version)
	}
	t.Removals = slices.DeleteFunc(t.Removals, func(r Removal) bool { return r.Version <= t.RemovalsFrom })
}
