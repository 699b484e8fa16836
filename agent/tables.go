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

// rowVersions are the edits that last changed or removed the rows of this
// agent's pools, as far as any entry has told. They never go back. It is not
// safe for concurrent use.
type rowVersions struct {
	routes map[string]contract.Version
	pools  map[string]contract.Version
}

// learn takes what an entry tells.
func (r *rowVersions) learn(m *contract.RowVersions) {
	if r.routes == nil {
		r.routes = make(map[string]contract.Version)
		r.pools = make(map[string]contract.Version)
	}
	raise(r.routes, m.Routes)
	raise(r.pools, m.Pools)
}

func raise(have map[string]contract.Version, rows []contract.RowVersion) {
	for _, row := range rows {
		have[row.Name] = max(have[row.Name], row.Version)
	}
}

// stale returns why a start was made under older rows than these; empty where
// it was not.
func (r *rowVersions) stale(s *contract.Start) string {
	if v := r.routes[s.Route]; v > s.Tables {
		return fmt.Sprintf("the start was made under version %d; route %q changed in version %d", s.Tables, s.Route, v)
	}
	if v := r.pools[s.Pool]; v > s.Tables {
		return fmt.Sprintf("the start was made under version %d; pool %q changed in version %d", s.Tables, s.Pool, v)
	}
	return ""
}

// tookRows takes the row versions of an entry and tells the version known now.
func (a *Agent) tookRows(l *link.Link, m *contract.RowVersions) {
	a.mu.Lock()
	a.rows.learn(m)
	a.tables = max(a.tables, m.Tables)
	v := a.tables
	a.mu.Unlock()
	metrics.TablesVersion.Set(int64(v))
	l.Send(&contract.Heartbeat{Tables: v})
}

// offer passes a start to the gate, or fences it there where it was made under
// older rows than the agent knows; the caller holds a.mu.
func (a *Agent) offer(s *contract.Start) (Verdict, string) {
	reason := a.rows.stale(s)
	if reason == "" {
		return a.gate.Offer(s)
	}
	metrics.StartsRefusedStale.Add(1)
	return a.gate.Refuse(s, reason)
}

// readRows reads under which rows a single request was started.
func readRows(h http.Header, s *contract.Start) error {
	v, err := strconv.ParseUint(h.Get(forward.HeaderTables), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", forward.HeaderTables, err)
	}
	s.Tables = contract.Version(v)
	s.Route = h.Get(forward.HeaderRoute)
	s.Pool = h.Get(forward.HeaderPool)
	return nil
}
