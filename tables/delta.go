package tables

import (
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Delta returns the changes of the tables in force since version from, as
// DeltaSince does.
func (s *Store) Delta(from contract.Version) *contract.TablesDelta {
	return DeltaSince(s.View().Tables, from)
}

// DeltaSince returns the rows of t that were changed or removed after version from.
// If t no longer has all removals since that version, it returns the delta from
// version 0, which contains all rows.
func DeltaSince(t contract.Tables, from contract.Version) *contract.TablesDelta {
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

// Merge applies the delta to the tables in force, and reports whether they
// changed. It ignores a delta that begins after the version in force, because the
// changes in between would be missing, and a delta that does not lead to a higher
// version.
func (s *Store) Merge(d *contract.TablesDelta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.View().Tables
	if d.From > cur.Version || d.Tables.Version <= cur.Version {
		return false
	}
	if d.From == 0 {
		return s.replaceIfNewer(d.Tables)
	}
	return s.replaceIfNewer(applyDelta(cur.Clone(), d))
}

// applyDelta returns t with the delta applied. It may modify the rows of t in place.
// The removals are applied first, because a row that was removed and added again is
// also among the changed rows.
func applyDelta(t contract.Tables, d *contract.TablesDelta) contract.Tables {
	t.Version = d.Tables.Version
	t.RemovalsFrom = d.Tables.RemovalsFrom
	for _, r := range d.Tables.Removals {
		if r.Version > d.From {
			t.Removals = appendIfMissing(t.Removals, r)
		}
		switch r.Kind {
		case contract.RowRoute:
			t.Routes = slices.DeleteFunc(t.Routes, func(row contract.Route) bool { return row.Name == r.Name })
		case contract.RowPool:
			t.Pools = slices.DeleteFunc(t.Pools, func(row contract.Pool) bool { return row.Name == r.Name })
		}
	}
	t.TrimRemovals()
	t.Routes = upsertRows(t.Routes, d.Tables.Routes, func(r contract.Route) string { return r.Name })
	t.Pools = upsertRows(t.Pools, d.Tables.Pools, func(p contract.Pool) string { return p.Name })
	if d.Tables.Group.Formed() {
		t.Group = d.Tables.Group
	}
	return t
}

func appendIfMissing(removals []contract.Removal, r contract.Removal) []contract.Removal {
	if slices.Contains(removals, r) {
		return removals
	}
	return append(removals, r)
}

// upsertRows replaces or inserts the changed rows in rows, which are sorted by
// name, and returns the result. It may modify rows in place.
func upsertRows[R any](rows, changed []R, name func(R) string) []R {
	compareName := func(r R, key string) int { return strings.Compare(name(r), key) }
	for _, r := range changed {
		i, found := slices.BinarySearchFunc(rows, name(r), compareName)
		if found {
			rows[i] = r
			continue
		}
		rows = slices.Insert(rows, i, r)
	}
	return rows
}
