package node

import (
	"encoding/json"
	"expvar"
	"io"
	"net/http"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/host"
)

// EditAnswer is the response body of POST /admin/edits for an accepted edit.
type EditAnswer struct {
	// Version is the version of the tables that the edit made.
	Version contract.Version `json:"version"`
}

// StatusAnswer is the response body of GET /admin/status.
type StatusAnswer struct {
	Host  contract.HostID `json:"host"`
	Roles []contract.Role `json:"roles"`
	// Version is the version of the tables in force at this process.
	Version contract.Version `json:"version"`
	// Ready is the entry's readiness; always true for a process that is not an
	// entry.
	Ready bool `json:"ready"`
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /admin/status", n.serveStatus)
	mux.HandleFunc("GET /admin/tables", n.serveTables)
	mux.HandleFunc("POST /admin/edits", n.serveEdit)
	mux.HandleFunc("GET /admin/upstreams", n.serveUpstreams)
	n.registerMemberRoutes(mux)
	mux.HandleFunc("GET /admin/processes", n.serveProcesses)
	mux.HandleFunc("GET /admin/history", n.serveHistory)
	mux.HandleFunc("POST /admin/drain", n.serveDrain)
	mux.HandleFunc("GET /admin/burn", n.serveBurn)
	mux.HandleFunc("GET /admin/outcomes/{job}", n.serveOutcomes)
	mux.HandleFunc("GET /admin/records", n.records.serveRecords)
	return mux
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, StatusAnswer{
		Host:    n.cfg.ID,
		Roles:   n.cfg.Roles,
		Version: n.tables.Version(),
		Ready:   n.entry == nil || n.entry.Ready(),
	})
}

func (n *Node) serveTables(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.tables.View().Tables)
}

// maxEditBytes bounds the request body of an edit or a membership change.
const maxEditBytes = 8 << 20

func (n *Node) serveEdit(w http.ResponseWriter, r *http.Request) {
	var e contract.Edit
	if !decodeOrder(w, r, func(body io.Reader) error {
		dec := json.NewDecoder(body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			return contract.ErrBadRequest.With("the body is not an edit: %v", err)
		}
		return nil
	}) {
		return
	}
	v, err := n.edit(r.Context(), e)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	writeJSON(w, EditAnswer{Version: v})
}

// serveUpstreams returns the workers whose agents are connected to this entry; the
// list is empty if the process is not an entry.
func (n *Node) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	workers := []host.Worker{}
	if n.entry != nil {
		workers = n.entry.Workers()
	}
	writeJSON(w, workers)
}

// writeJSON writes body as a JSON response.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
