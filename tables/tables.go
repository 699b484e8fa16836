// Package tables stores the routes and pools tables that are in force in one
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

	// mu guards watchers and writes to cur. It is held while watchers are called.
	mu       sync.Mutex
	watchers []func(*View)
}

// NewStore returns a store in which the empty tables, version 0, are in force.
func NewStore() *Store {
	s := &Store{}
	s.cur.Store(newView(contract.Tables{}))
	return s
}

func newView(t contract.Tables) *View {
	return &View{Tables: t, Router: routing.New(t.Routes)}
}

// View returns the view in force.
func (s *Store) View() *View { return s.cur.Load() }

// Version returns the version in force.
func (s *Store) Version() contract.Version { return s.View().Version }

// Watch calls f with the view in force, and after each change with the new view,
// in order of their versions. The store is locked during the call: f must not call
// Watch, Update or Merge.
func (s *Store) Watch(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
	f(s.View())
}

// Update puts t in force if its version is higher than the version in force, and
// reports whether it did.
func (s *Store) Update(t contract.Tables) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaceIfNewer(t)
}

// replaceIfNewer does the work of Update. The caller holds s.mu.
func (s *Store) replaceIfNewer(t contract.Tables) bool {
	if t.Version <= s.Version() {
		return false
	}
	v := newView(t)
	s.cur.Store(v)
	for _, f := range s.watchers {
		f(v)
	}
	return true
}
