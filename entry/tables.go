package entry

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/tables"
)

// sendRowVersions sends an agent that has just announced itself the versions of
// all routes and of the rows of its pools.
func (e *Entry) sendRowVersions(l *link.Link, pools []string) {
	v := e.cfg.Tables.View()
	l.Send(rowVersions(v.Tables, 0, pools))
}

// RowsChanged sends each agent the versions of the rows that changed after the
// version from, with the version of the tables in force.
func (e *Entry) RowsChanged(v *tables.View, from contract.Version) {
	type target struct {
		link  *link.Link
		pools []string
	}
	var targets []target
	e.workersMu.RLock()
	for _, w := range e.workers {
		if w.link != nil {
			targets = append(targets, target{w.link, w.Pools})
		}
	}
	e.workersMu.RUnlock()
	for _, t := range targets {
		t.link.Send(rowVersions(v.Tables, from, t.pools))
	}
}

// rowVersions returns the versions of the rows that were changed or removed
// after the version from: those of all routes, since a route may have moved to
// another pool, and those of the pools that the agent is in.
func rowVersions(t contract.Tables, from contract.Version, pools []string) *contract.RowVersions {
	m := &contract.RowVersions{TablesVersion: t.Version}
	for _, r := range t.Routes {
		if r.Version > from {
			m.Routes = append(m.Routes, contract.RowVersion{Name: r.Name, Version: r.Version})
		}
	}
	for _, p := range t.Pools {
		if p.Version > from && slices.Contains(pools, p.Name) {
			m.Pools = append(m.Pools, contract.RowVersion{Name: p.Name, Version: p.Version})
		}
	}
	for _, r := range t.Removals {
		row := contract.RowVersion{Name: r.Name, Version: r.Version}
		switch {
		case r.Version <= from:
		case r.Kind == contract.RowRoute:
			m.Routes = append(m.Routes, row)
		case slices.Contains(pools, r.Name):
			m.Pools = append(m.Pools, row)
		}
	}
	return m
}

// staleStartDelay is how long a task waits to be placed again if the agent
// refused it because the entry's tables were older than its own. The entry
// receives the newer tables meanwhile.
const staleStartDelay = 200 * time.Millisecond

// handleStartRefused requeues a task whose start an agent has refused and
// fenced.
func (e *Entry) handleStartRefused(ref host.Ref, m *contract.StartRefused) {
	if m.TablesVersion <= e.cfg.Tables.Version() {
		e.attemptFenced(ref, m.Task, m.Attempt)
		return
	}
	time.AfterFunc(staleStartDelay, func() { e.attemptFenced(ref, m.Task, m.Attempt) })
}

// setTableHeaders sets the header fields for the route, its pool and the
// version of the tables under which a single request is started.
func setTableHeaders(h http.Header, r contract.Route, v contract.Version) {
	h.Set(forward.HeaderTables, strconv.FormatUint(uint64(v), 10))
	h.Set(forward.HeaderRoute, r.Name)
	h.Set(forward.HeaderPool, r.Pool)
}
