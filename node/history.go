package node

import (
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/tables"
)

// maxChanges bounds the changes that a process keeps; the oldest is removed first.
const maxChanges = 500

// Change is one change of the tables in force at a process. Several edits that a
// process received together appear as one change.
type Change struct {
	From    contract.Version `json:"from"`
	Version contract.Version `json:"version"`
	// At is when the version came into force at this process.
	At            time.Time `json:"at"`
	PutRoutes     []string  `json:"put_routes,omitempty"`
	DeletedRoutes []string  `json:"deleted_routes,omitempty"`
	PutPools      []string  `json:"put_pools,omitempty"`
	DeletedPools  []string  `json:"deleted_pools,omitempty"`
}

// history keeps the last changes of the tables in force, oldest first.
type history struct {
	// mu guards the fields below. It is acquired while the lock of tables.Store
	// is held; no other lock is acquired under it.
	mu      sync.Mutex
	current contract.Tables
	changes []Change
}

// tablesChanged records the change that led to the view v. It ignores a view whose
// version is already recorded.
func (h *history) tablesChanged(v *tables.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Version == h.current.Version {
		return
	}
	h.changes = append(h.changes, diffTables(h.current, v.Tables, time.Now()))
	if len(h.changes) > maxChanges {
		h.changes = h.changes[1:]
	}
	h.current = v.Tables
}

func (h *history) list() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Change{}, h.changes...)
}

// diffTables returns the names of the rows that differ between two versions.
func diffTables(from, to contract.Tables, now time.Time) Change {
	c := Change{From: from.Version, Version: to.Version, At: now}
	c.PutRoutes, c.DeletedRoutes = diffRows(from.Routes, to.Routes, func(r contract.Route) string { return r.Name })
	c.PutPools, c.DeletedPools = diffRows(from.Pools, to.Pools, func(p contract.Pool) string { return p.Name })
	return c
}

// diffRows returns the names of the rows that were added or changed, and of those
// that were deleted.
func diffRows[R any](from, to []R, name func(R) string) (put, deleted []string) {
	remaining := make(map[string]R, len(from))
	for _, r := range from {
		remaining[name(r)] = r
	}
	for _, r := range to {
		before, ok := remaining[name(r)]
		if !ok || !reflect.DeepEqual(before, r) {
			put = append(put, name(r))
		}
		delete(remaining, name(r))
	}
	for _, r := range from {
		if _, isDeleted := remaining[name(r)]; isDeleted {
			deleted = append(deleted, name(r))
		}
	}
	return put, deleted
}

func (n *Node) serveHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.history.list())
}
