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

// ProcessStatus is what this process knows of one process of the system.
type ProcessStatus struct {
	Host contract.HostID `json:"host"`
	// Linked is false while the process does not answer; Version is then zero.
	Linked  bool             `json:"linked"`
	Version contract.Version `json:"version"`
}

// Bounds on asking other processes.
const (
	statusLimit   = 2 * time.Second
	statusAskers  = 64
	drainAskLimit = 5 * time.Second
	// drainReplyDelay lets the reply leave before the links close.
	drainReplyDelay = 100 * time.Millisecond
)

// errNoHost says that a named host is not linked.
var errNoHost = contract.Kind{
	Name:    "no-host",
	Status:  http.StatusNotFound,
	Outcome: contract.OutcomeNotRun,
	Remedy:  "name a linked host of carawayctl status, or send SIGTERM to its process",
}

// serveProcesses tells the version in force at this process and at each
// process that it knows.
func (n *Node) serveProcesses(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusLimit)
	defer cancel()
	answer(w, n.processes(ctx))
}

func (n *Node) processes(ctx context.Context) []ProcessStatus {
	var mu sync.Mutex // guards out
	out := []ProcessStatus{{Host: n.set.ID, Linked: true, Version: n.tables.Version()}}
	var g errgroup.Group
	g.SetLimit(statusAskers)
	for id, l := range n.links() {
		g.Go(func() error {
			st := askStatus(ctx, id, l)
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

// links returns the link to each peer and each agent; nil where it is down.
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

func askStatus(ctx context.Context, id contract.HostID, l *link.Link) ProcessStatus {
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
		st.Version = m.Tables
	}
	return st
}

// DrainAnswer is the body of an accepted drain's answer.
type DrainAnswer struct {
	Host contract.HostID `json:"host"`
}

// serveDrain drains this process, or the process that the query names.
func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	id := contract.HostID(r.URL.Query().Get("host"))
	if id == "" || id == n.set.ID {
		n.log.Info("drain asked", "by", "operator")
		answer(w, DrainAnswer{Host: n.set.ID})
		n.stop()
		return
	}
	if err := n.askDrain(r.Context(), id); err != nil {
		entry.WriteError(w, err)
		return
	}
	answer(w, DrainAnswer{Host: id})
}

func (n *Node) askDrain(ctx context.Context, id contract.HostID) error {
	l := n.links()[id]
	if l == nil {
		return errNoHost.With("host %q is not linked to %s", id, n.set.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, drainAskLimit)
	defer cancel()
	if _, err := l.Call(ctx, &contract.DrainRequest{}); err != nil {
		return errNoHost.With("host %q did not answer: %v", id, err)
	}
	return nil
}

// receiveAdmin answers an operator's request that another process passes on.
func (n *Node) receiveAdmin(l *link.Link, seq uint64, m contract.Message) {
	switch m.(type) {
	case *contract.StatusRequest:
		l.Reply(seq, &contract.StatusReply{Tables: n.tables.Version()})
	case *contract.DrainRequest:
		n.log.Info("drain asked", "by", l.Remote().Host)
		l.Reply(seq, &contract.DrainReply{})
		time.AfterFunc(drainReplyDelay, n.stop)
	}
}
