package node

import (
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/tables"
)

// maxHistory bounds the changes that a process remembers.
const maxHistory = 500

// Change is one step of the tables in force at a process. A process that
// missed several edits makes one step of them.
type Change struct {
	From    contract.Version `json:"from"`
	Version contract.Version `json:"version"`
	// At is when the version came in force here.
	At            time.Time `json:"at"`
	PutRoutes     []string  `json:"put_routes,omitempty"`
	DeletedRoutes []string  `json:"deleted_routes,omitempty"`
	PutPools      []string  `json:"put_pools,omitempty"`
	DeletedPools  []string  `json:"deleted_pools,omitempty"`
}

// history remembers the last changes.
type history struct {
	mu      sync.Mutex // guards all below; taken under the lock of the tables, takes no other
	last    contract.Tables
	changes []Change
}

// changed takes the view that came in force.
func (h *history) changed(v *tables.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Version == h.last.Version {
		return
	}
	h.changes = append(h.changes, changeOf(h.last, v.Tables, time.Now()))
	if len(h.changes) > maxHistory {
		h.changes = h.changes[1:]
	}
	h.last = v.Tables
}

func (h *history) list() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Change{}, h.changes...)
}

func changeOf(from, to contract.Tables, now time.Time) Change {
	c := Change{From: from.Version, Version: to.Version, At: now}
	c.PutRoutes, c.DeletedRoutes = changedRows(from.Routes, to.Routes, func(r contract.Route) string { return r.Name })
	c.PutPools, c.DeletedPools = changedRows(from.Pools, to.Pools, func(p contract.Pool) string { return p.Name })
	return c
}

func changedRows[R any](from, to []R, name func(R) string) (put, deleted []string) {
	old := make(map[string]R, len(from))
	for _, r := range from {
		old[name(r)] = r
	}
	for _, r := range to {
		before, ok := old[name(r)]
		if !ok || !reflect.DeepEqual(before, r) {
			put = append(put, name(r))
		}
		delete(old, name(r))
	}
	for _, r := range from {
		if _, left := old[name(r)]; left {
			deleted = append(deleted, name(r))
		}
	}
	return put, deleted
}

func (n *Node) serveHistory(w http.ResponseWriter, _ *http.Request) {
	answer(w, n.history.list())
}
