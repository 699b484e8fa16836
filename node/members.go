package node

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/control"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/membership"
)

// EditsAnswer is the response body of GET /admin/edits: the last accepted edits,
// oldest first.
type EditsAnswer struct {
	Edits []contract.EditRecord `json:"edits"`
}

// registerMemberRoutes registers the handlers for the members, the worker counts, the
// edits and the backup.
func (n *Node) registerMemberRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/members", n.serveMembers)
	mux.HandleFunc("POST /admin/members", n.serveMemberChange)
	mux.HandleFunc("GET /admin/upstreams/views", n.serveWorkerCounts)
	mux.HandleFunc("GET /admin/edits", n.serveEdits)
	mux.HandleFunc("GET /admin/backup", n.serveBackup)
}

func (n *Node) serveMembers(w http.ResponseWriter, r *http.Request) {
	if n.control == nil {
		entry.WriteError(w, contract.ErrBadRequest.With("host %s is no control host: ask one of %v", n.cfg.ID, n.controlHosts()))
		return
	}
	writeJSON(w, n.control.Status(r.Context()))
}

func (n *Node) serveMemberChange(w http.ResponseWriter, r *http.Request) {
	var m contract.MemberRequest
	if !decodeOrder(w, r, func(body io.Reader) error {
		if err := json.NewDecoder(body).Decode(&m); err != nil {
			return contract.ErrBadRequest.With("the body is not a membership change: %v", err)
		}
		return nil
	}) {
		return
	}
	g, err := n.changeMembers(r, m)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	writeJSON(w, g)
}

// changeMembers changes the control group, through the local control role or by
// forwarding the request to a control host. A new member with an address is dialed
// first, so that the control role can reach it.
func (n *Node) changeMembers(r *http.Request, m contract.MemberRequest) (contract.Group, error) {
	if n.control == nil {
		reply, err := requestControl[*contract.MemberReply](r.Context(), n, &m)
		if err != nil {
			return contract.Group{}, err
		}
		return reply.Group, nil
	}
	if m.Addr != "" {
		n.dialNewMember(m.Host, m.Addr)
	}
	return n.control.ChangeMembers(r.Context(), m)
}

func (n *Node) serveEdits(w http.ResponseWriter, r *http.Request) {
	edits, err := n.acceptedEdits(r)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	writeJSON(w, EditsAnswer{Edits: edits})
}

// acceptedEdits returns the last accepted edits, oldest first.
func (n *Node) acceptedEdits(r *http.Request) ([]contract.EditRecord, error) {
	if n.control != nil {
		return n.control.History(r.Context())
	}
	h, err := requestControl[*contract.History](r.Context(), n, &contract.HistoryRead{})
	if err != nil {
		return nil, err
	}
	return h.Edits, nil
}

// serveWorkerCounts returns the numbers of workers by pool and failure domain; the
// list is empty if the process is not an entry.
func (n *Node) serveWorkerCounts(w http.ResponseWriter, _ *http.Request) {
	counts := []membership.WorkerCounts{}
	if n.entry != nil {
		counts = n.entry.WorkerCounts()
	}
	writeJSON(w, counts)
}

// serveBackup reads the tables from a quorum, puts them in force at this process if
// they are newer, and returns them.
func (n *Node) serveBackup(w http.ResponseWriter, r *http.Request) {
	d, err := n.readTables(r.Context())
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	n.tables.Merge(d)
	writeJSON(w, n.tables.View().Tables)
}

// openStore opens the control role's store and returns a function that closes it.
// If the file can't be opened, the host runs without a vote.
func (n *Node) openStore() (control.Store, func()) {
	s, err := control.OpenStore(n.cfg.DataDir)
	if err != nil {
		return control.FailedStore{Err: err}, func() {}
	}
	return s, func() { s.Close() }
}
