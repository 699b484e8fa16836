// Package tables holds the tables of routes and pools that are in force in one
// process. The version in force never decreases.
package tables

import (
	"sync"
	"sync/atomic"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/routing"
)

// View is the tables of one version, with the router compiled from their routes.
// It is immutable.
type View struct {
	contract.Tables
	Router *routing.Router
}

// Store stores the view in force, and notifies watchers when it changes. It is
// safe for concurrent use.
type Store struct {
	cur atomic.Pointer[View]

	mu       sync.Mutex // guards watchers and writes to cur; held while watchers run
	watchers []func(*View)
}

// NewStore returns a holder in which the empty tables, version 0, are in force.
func NewStore() *Store {
	h := &Store{}
	h.cur.Store(newView(contract.Tables{}))
	return h
}

func newView(t contract.Tables) *View {
	return &View{Tables: t, Router: routing.New(t.Routes)}
}

// View returns the view in force.
func (h *Store) View() *View { return h.cur.Load() }

// Version returns the version in force.
func (h *Store) Version() contract.Version { return h.View().Version }

// Watch calls f with the view in force, and after each change with the new view,
// in order of their versions. The holder is locked during the call: f must not
// call Watch, Offer or Merge.
func (h *Store) Watch(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
	f(h.View())
}

// Update puts t in force if its version is higher than the version in force, and
// reports whether it did.
func (h *Store) Update(t contract.Tables) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replaceIfNewer(t)
}

// replaceIfNewer does the work of Offer. The caller holds h.mu.
func (h *Store) replaceIfNewer(t contract.Tables) bool {
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
