package agent

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// rowVersions holds the tables versions in which the rows of this agent's pools
// last changed or were removed, as reported by the entries. A version never
// decreases. It is not safe for concurrent use.
type rowVersions struct {
	// routes and pools are keyed by name.
	routes map[string]contract.Version
	pools  map[string]contract.Version
}

// merge raises the versions to those that an entry reports.
func (r *rowVersions) merge(m *contract.RowVersions) {
	if r.routes == nil {
		r.routes = make(map[string]contract.Version)
		r.pools = make(map[string]contract.Version)
	}
	raiseVersions(r.routes, m.Routes)
	raiseVersions(r.pools, m.Pools)
}

// raiseVersions raises each version to that of the row, if the row's is higher.
func raiseVersions(versions map[string]contract.Version, rows []contract.RowVersion) {
	for _, row := range rows {
		versions[row.Name] = max(versions[row.Name], row.Version)
	}
}

// staleReason returns why a start is stale, or "" if it is not. A start is stale if
// its route or pool has changed since the tables version that it was made under.
func (r *rowVersions) staleReason(s *contract.Start) string {
	if v := r.routes[s.Route]; v > s.TablesVersion {
		return fmt.Sprintf("the start was made under version %d; route %q changed in version %d", s.TablesVersion, s.Route, v)
	}
	if v := r.pools[s.Pool]; v > s.TablesVersion {
		return fmt.Sprintf("the start was made under version %d; pool %q changed in version %d", s.TablesVersion, s.Pool, v)
	}
	return ""
}

// handleRowVersions merges the row versions of an entry and replies with the
// tables version now known.
func (a *Agent) handleRowVersions(l *link.Link, m *contract.RowVersions) {
	a.mu.Lock()
	a.rows.merge(m)
	a.knownTablesVersion = max(a.knownTablesVersion, m.TablesVersion)
	v := a.knownTablesVersion
	a.mu.Unlock()
	metrics.TablesVersion.Set(int64(v))
	l.Send(&contract.Heartbeat{TablesVersion: v})
}

// offer offers a start to the gate, or fences it there if it is stale. The caller
// holds a.mu.
func (a *Agent) offer(s *contract.Start) (Verdict, string) {
	reason := a.rows.staleReason(s)
	if reason == "" {
		return a.gate.Offer(s)
	}
	metrics.StartsRefusedStale.Add(1)
	return a.gate.Refuse(s, reason)
}

// readRoutingHeaders reads the route, the pool and the tables version of a single
// request from its headers into its start.
func readRoutingHeaders(h http.Header, s *contract.Start) error {
	v, err := strconv.ParseUint(h.Get(forward.HeaderTables), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", forward.HeaderTables, err)
	}
	s.TablesVersion = contract.Version(v)
	s.Route = h.Get(forward.HeaderRoute)
	s.Pool = h.Get(forward.HeaderPool)
	return nil
}
