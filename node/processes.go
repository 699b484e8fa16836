package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/link"
)

// ProcessStatus is the status of one process, as seen by the process that reports
// it.
type ProcessStatus struct {
	Host contract.HostID `json:"host"`
	// Linked is false if the process did not reply; Version is then zero.
	Linked  bool             `json:"linked"`
	Version contract.Version `json:"version"`
}

// Limits of requests to other processes.
const (
	statusTimeout       = 2 * time.Second
	maxStatusCalls      = 64
	drainRequestTimeout = 5 * time.Second
	// drainReplyDelay delays the drain so that the reply is sent before the links
	// close.
	drainReplyDelay = 100 * time.Millisecond
)

// errNoHost means that the host named in the request is not linked, or did not
// reply.
var errNoHost = contract.ErrorKind{
	Name:    "no-host",
	Status:  http.StatusNotFound,
	Outcome: contract.OutcomeNotRun,
	Remedy:  "name a linked host of carawayctl status, or send SIGTERM to its process",
}

// serveProcesses returns the version in force at this process and at each of its
// peers and agents.
func (n *Node) serveProcesses(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	writeJSON(w, n.processes(ctx))
}

// processes requests the status of all peers and agents concurrently, and returns
// it sorted by host.
func (n *Node) processes(ctx context.Context) []ProcessStatus {
	var mu sync.Mutex // guards out
	out := []ProcessStatus{{Host: n.cfg.ID, Linked: true, Version: n.tables.Version()}}
	var g errgroup.Group
	g.SetLimit(maxStatusCalls)
	for id, l := range n.links() {
		g.Go(func() error {
			st := requestStatus(ctx, id, l)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, st)
			return nil
		})
	}
	g.Wait()
	slices.SortFunc(out, func(a, b ProcessStatus) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// links returns the link to each peer and each agent; nil for a peer whose link is
// down.
func (n *Node) links() map[contract.HostID]*link.Link {
	out := make(map[contract.HostID]*link.Link)
	if n.entry != nil {
		out = n.entry.AgentLinks()
	}
	for id, p := range n.peers.all() {
		out[id] = p.Link()
	}
	return out
}

// requestStatus requests the status of one process. A nil link or a failed call
// yields a status with Linked false.
func requestStatus(ctx context.Context, id contract.HostID, l *link.Link) ProcessStatus {
	st := ProcessStatus{Host: id}
	if l == nil {
		return st
	}
	reply, err := l.Call(ctx, &contract.StatusRequest{})
	if err != nil {
		return st
	}
	if m, ok := reply.(*contract.StatusReply); ok {
		st.Linked = true
		st.Version = m.TablesVersion
	}
	return st
}

// DrainAnswer is the response body of POST /admin/drain for an accepted drain.
type DrainAnswer struct {
	Host contract.HostID `json:"host"`
}

// serveDrain starts the drain of this process, or of the host named in the query.
func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	id := contract.HostID(r.URL.Query().Get("host"))
	if id == "" || id == n.cfg.ID {
		n.log.Info("drain requested", "by", "operator")
		writeJSON(w, DrainAnswer{Host: n.cfg.ID})
		n.stop()
		return
	}
	if err := n.requestDrain(r.Context(), id); err != nil {
		entry.WriteError(w, err)
		return
	}
	writeJSON(w, DrainAnswer{Host: id})
}

// requestDrain sends a drain request to a linked host and waits for the reply.
func (n *Node) requestDrain(ctx context.Context, id contract.HostID) error {
	l := n.links()[id]
	if l == nil {
		return errNoHost.With("host %q is not linked to %s", id, n.cfg.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, drainRequestTimeout)
	defer cancel()
	if _, err := l.Call(ctx, &contract.DrainRequest{}); err != nil {
		return errNoHost.With("host %q did not answer: %v", id, err)
	}
	return nil
}

// handleAdmin replies to an operator's request that another process forwarded.
func (n *Node) handleAdmin(l *link.Link, seq uint64, m contract.Message) {
	switch m.(type) {
	case *contract.StatusRequest:
		l.Reply(seq, &contract.StatusReply{TablesVersion: n.tables.Version()})
	case *contract.DrainRequest:
		n.log.Info("drain requested", "by", l.Remote().Host)
		l.Reply(seq, &contract.DrainReply{})
		time.AfterFunc(drainReplyDelay, n.stop)
	}
}
