package tables

import (
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Delta returns what changed after version from.
func (h *Holder) Delta(from contract.Version) *contract.TablesDelta {
	return Since(h.View().Tables, from)
}

// Full returns the delta from the empty tables to t.
func Full(t contract.Tables) *contract.TablesDelta { return Since(t, 0) }

// Since returns the rows of t changed and removed after version from, or all
// rows where the removals since then are no longer known.
func Since(t contract.Tables, from contract.Version) *contract.TablesDelta {
	if from < t.RemovalsFrom {
		from = 0
	}
	if from == 0 {
		return &contract.TablesDelta{Tables: t}
	}
	d := &contract.TablesDelta{From: from, Tables: contract.Tables{Version: t.Version, RemovalsFrom: t.RemovalsFrom}}
	for _, r := range t.Routes {
		if r.Version > from {
			d.Tables.Routes = append(d.Tables.Routes, r)
		}
	}
	for _, p := range t.Pools {
		if p.Version > from {
			d.Tables.Pools = append(d.Tables.Pools, p)
		}
	}
	for _, r := range t.Removals {
		if r.Version > from {
			d.Tables.Removals = append(d.Tables.Removals, r)
		}
	}
	if t.Group.Version > from {
		d.Tables.Group = t.Group
	}
	return d
}

// Merge puts the delta in force and reports whether the view changed. A delta
// that begins after the version in force is not taken: the rows between would
// be missing.
func (h *Holder) Merge(d *contract.TablesDelta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.View().Tables
	if d.From > cur.Version || d.Tables.Version <= cur.Version {
		return false
	}
	if d.From == 0 {
		return h.offer(d.Tables)
	}
	return h.offer(merged(cur.Clone(), d))
}

// merged returns the tables after the delta: removals first, since a row that
// was put back after its removal is among the changed ones.
func merged(t contract.Tables, d *contract.TablesDelta) contract.Tables {
	t.Version = d.Tables.Version
	t.RemovalsFrom = d.Tables.RemovalsFrom
	for _, r := range d.Tables.Removals {
		if r.Version > d.From {
			t.Removals = appendNew(t.Removals, r)
		}
		switch r.Kind {
		case contract.RowRoute:
			t.Routes = slices.DeleteFunc(t.Routes, func(row contract.Route) bool { return row.Name == r.Name })
		case contract.RowPool:
			t.Pools = slices.DeleteFunc(t.Pools, func(row contract.Pool) bool { return row.Name == r.Name })
		}
	}
	t.TrimRemovals()
	t.Routes = putRows(t.Routes, d.Tables.Routes, func(r contract.Route) string { return r.Name })
	t.Pools = putRows(t.Pools, d.Tables.Pools, func(p contract.Pool) string { return p.Name })
	if d.Tables.Group.Formed() {
		t.Group = d.Tables.Group
	}
	return t
}

func appendNew(have []contract.Removal, r contract.Removal) []contract.Removal {
	if slices.Contains(have, r) {
		return have
	}
	return append(have, r)
}

// putRows returns the rows with the changed ones in place, sorted by name.
func putRows[R any](have, changed []R, name func(R) string) []R {
	byName := func(r R, key string) int { return strings.Compare(name(r), key) }
	for _, r := range changed {
		i, found := slices.BinarySearchFunc(have, name(r), byName)
		if found {
			have[i] = r
			continue
		}
		have = slices.Insert(have, i, r)
	}
	return have
}
