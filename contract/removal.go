package contract

import "slices"

// RowKind identifies the table that a row is in.
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

// Removal is the tombstone of a row that was removed in Version.
type Removal struct {
	Kind    RowKind
	Name    string
	Version Version
}

// maxRemovals is the maximum number of removals that the tables retain.
const maxRemovals = 512

// deleteRows removes the rows that the edit deletes, and records a removal for
// each row that existed.
func (t *Tables) deleteRows(e Edit) {
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

func (t *Tables) recordRemoval(existed bool, r Removal) {
	if existed {
		t.Removals = append(t.Removals, r)
	}
}

// TrimRemovals discards the oldest removals in excess of maxRemovals and raises
// RemovalsFrom accordingly. It discards either all removals of a version or none,
// so that all removals after RemovalsFrom are present.
func (t *Tables) TrimRemovals() {
	if n := len(t.Removals) - maxRemovals; n > 0 {
		t.RemovalsFrom = max(t.RemovalsFrom, t.Removals[n-1].Version)
	}
	t.Removals = slices.DeleteFunc(t.Removals, func(r Removal) bool { return r.Version <= t.RemovalsFrom })
}
