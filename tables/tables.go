// Package tables holds the two tables as they are in force in one process. The
// version in force never goes back.
package tables

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/routing"
)

// View is the tables of one version with their compiled router. It is
// immutable.
type View struct {
	contract.Tables
	Router *routing.Router
}

// Holder holds the view in force. It is safe for concurrent use.
type Holder struct {
	cur atomic.Pointer[View]

	mu       sync.Mutex // guards changes of cur, and watchers
	watchers []func(*View)
}

// NewHolder returns a holder of the empty tables.
func NewHolder() *Holder {
	h := &Holder{}
	h.cur.Store(newView(contract.Tables{}))
	return h
}

func newView(t contract.Tables) *View {
	return &View{Tables: t, Router: routing.New(t.Routes)}
}

// View returns the view in force.
func (h *Holder) View() *View { return h.cur.Load() }

// Version returns the version in force.
func (h *Holder) Version() contract.Version { return h.View().Version }

// Watch calls f with the view in force now and after each change, in order.
func (h *Holder) Watch(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
	f(h.View())
}

// Offer puts t in force if it is newer, and reports whether it was.
func (h *Holder) Offer(t contract.Tables) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offer(t)
}

func (h *Holder) offer(t contract.Tables) bool {
	if t.Version <= h.Version() {
		return false
	}
	v := newView(t)
	h.cur.Store(v)
	for _, f := range h.watchers {
		f(v)
	}
	return true
}

// Delta returns the rows changed after version from.
func (h *Holder) Delta(from contract.Version) *contract.TablesDelta {
	return Since(h.View().Tables, from)
}

// Full returns the delta from the empty tables to t.
func Full(t contract.Tables) *contract.TablesDelta { return Since(t, 0) }

// Since returns the rows of t changed after version from.
func Since(t contract.Tables, from contract.Version) *contract.TablesDelta {
	d := &contract.TablesDelta{From: from, Tables: contract.Tables{Version: t.Version}}
	for _, r := range t.Routes {
		d.RouteNames = append(d.RouteNames, r.Name)
		if r.Version > from {
			d.Tables.Routes = append(d.Tables.Routes, r)
		}
	}
	for _, p := range t.Pools {
		d.PoolNames = append(d.PoolNames, p.Name)
		if p.Version > from {
			d.Tables.Pools = append(d.Tables.Pools, p)
		}
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
	next := cur.Clone()
	next.Version = d.Tables.Version
	next.Routes = mergeRows(next.Routes, d.Tables.Routes, d.RouteNames, func(r contract.Route) string { return r.Name })
	next.Pools = mergeRows(next.Pools, d.Tables.Pools, d.PoolNames, func(p contract.Pool) string { return p.Name })
	return h.offer(next)
}

// mergeRows returns the rows named by names, changed rows first choice, sorted
// by name.
func mergeRows[R any](have, changed []R, names []string, name func(R) string) []R {
	byName := make(map[string]R, len(names))
	for _, r := range have {
		byName[name(r)] = r
	}
	for _, r := range changed {
		byName[name(r)] = r
	}
	out := make([]R, 0, len(names))
	for _, n := range names {
		if r, ok := byName[n]; ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b R) int { return strings.Compare(name(a), name(b)) })
	return out
}
