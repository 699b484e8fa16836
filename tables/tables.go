// Package tables holds the two tables as they are in force in one process. The
// version in force never goes back.
package tables

import (
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
