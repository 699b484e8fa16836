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

// tellRows sends an agent the row versions of its pools, where it announced
// itself just now.
func (e *Entry) tellRows(l *link.Link, pools []string) {
	v := e.cfg.Tables.View()
	l.Send(rowVersions(v.Tables, 0, pools))
}

// RowsChanged sends each agent the rows of its pools that changed after the
// version from, with the version in force.
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

// rowVersions returns the versions of the rows that changed or went after the
// version from: all routes, since one may have left the agent's pools, and the
// pools that the agent is in.
func rowVersions(t contract.Tables, from contract.Version, pools []string) *contract.RowVersions {
	m := &contract.RowVersions{Tables: t.Version}
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

// staleWait is how long a task that was refused as started under older rows
// waits before it is placed again: the entry is catching up.
const staleWait = 200 * time.Millisecond

// startRefused puts a task back that an agent has refused and fenced.
func (e *Entry) startRefused(ref host.Ref, m *contract.StartRefused) {
	if m.Tables <= e.cfg.Tables.Version() {
		e.unsent(ref, m.Task, m.Attempt)
		return
	}
	time.AfterFunc(staleWait, func() { e.unsent(ref, m.Task, m.Attempt) })
}

// setRows says under which rows a single request is started.
func setRows(h http.Header, r contract.Route, v contract.Version) {
	h.Set(forward.HeaderTables, strconv.FormatUint(uint64(v), 10))
	h.Set(forward.HeaderRoute, r.Name)
	h.Set(forward.HeaderPool, r.Pool)
}
