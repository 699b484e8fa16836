// Package node wires the roles of one process to its sockets, its disk and its
// peers.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/agent"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/control"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/settings"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Node is one process.
type Node struct {
	set      settings.Settings
	identity host.Identity
	log      logr.Logger

	tables   *tables.Holder
	peers    peers
	versions versions
	linkCtx  context.Context // ends with the node's links
	// rowsTold is the version whose rows the agents were told of; it is used
	// by one change of the tables at a time.
	rowsTold contract.Version
	entry    *entry.Entry
	records  *records
	control  *control.Control
	history  history
	// observer is nil where the process is no entry.
	observer *observer
	// stop begins the drain, as SIGTERM does.
	stop   context.CancelFunc
	ledger ledgerPart
}

// Run runs the process until ctx is done, then drains it.
func Run(ctx context.Context, set settings.Settings, log logr.Logger) error {
	id := host.Identity{
		Ref: host.Ref{Host: set.ID, Incarnation: contract.NewIncarnation()},
		Location: failuredomain.Location{
			Region: failuredomain.Region(set.Region),
			Domain: failuredomain.Name(set.FailureDomain),
			Rack:   failuredomain.Rack(set.Rack),
		},
		Roles: set.Roles,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if set.Has(contract.RoleAgent) {
		return runAgent(ctx, stop, set, id, log)
	}
	n := &Node{set: set, identity: id, log: log, tables: tables.NewHolder(), stop: stop}
	return n.run(ctx)
}

func runAgent(ctx context.Context, stop context.CancelFunc, set settings.Settings, id host.Identity, log logr.Logger) error {
	ln, err := net.Listen("tcp", set.HTTPAddr)
	if err != nil {
		return err
	}
	a := agent.New(agent.Config{
		Identity:     id,
		Pools:        set.Pools,
		Capacity:     set.Capacity,
		Upstream:     set.Upstream,
		Entries:      set.Entries,
		HTTPListener: ln,
		Link:         link.Config{Idle: set.Heartbeat, Silence: set.Silence},
		Stop:         stop,
		Log:          log,
	})
	log.Info("agent started", "upstream", set.Upstream, "http", ln.Addr())
	var g errgroup.Group
	closeAdmin, err := serveAgentAdmin(&g, set.AdminAddr)
	if err != nil {
		ln.Close()
		return err
	}
	g.Go(func() error {
		defer closeAdmin()
		return a.Run(ctx)
	})
	return g.Wait()
}

func (n *Node) linkConfig() link.Config {
	return link.Config{
		Idle:      n.set.Heartbeat,
		Silence:   n.set.Silence,
		Heartbeat: n.heartbeat,
	}
}

func (n *Node) run(ctx context.Context) error {
	linkCtx, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer closeLinks()
	n.linkCtx = linkCtx
	for _, p := range n.set.Peers {
		n.peers.add(p.Host, n.dialer(p.Addr))
	}
	if n.set.Has(contract.RoleControl) {
		defer n.openControl()()
	}
	if err := n.openLedger(); err != nil {
		return err
	}
	defer n.closeLedger()
	n.records = newRecords(n.set.ID, n.set.RecordHolders, n.peers.all(), n.set.DataDir, n.set.RecordRetention, n.log)
	if n.set.Has(contract.RoleEntry) {
		n.observer = newObserver(n.tables)
		n.entry = entry.New(entry.Config{
			Identity: n.identity,
			Tables:   n.tables,
			Records:  n.records.client(n.identity.Ref),
			NewScheduler: func(p contract.Pool) dispatch.Scheduler {
				return dispatch.NewPool(dispatch.ConfigFromRow(p, n.identity.Location))
			},
			Tell:      n.tell,
			Outcomes:  n.outcomes(),
			Observer:  n.observer,
			BodyStall: n.set.BodyStall,
			Log:       n.log,
		})
	}
	n.tables.Watch(n.tablesChanged)
	n.tables.Watch(n.history.changed)
	return n.serve(ctx, closeLinks)
}

// openControl starts the control role; the returned function closes its store.
func (n *Node) openControl() func() {
	store, closeStore := n.openStore()
	n.control = control.New(control.Config{
		Self:    n.set.ID,
		First:   n.set.Control,
		Peer:    n.controlPeer,
		Store:   store,
		Learned: func(t contract.Tables) { n.tables.Offer(t) },
		InForce: func() contract.Tables { return n.tables.View().Tables },
		Log:     n.log,
	})
	return closeStore
}

func (n *Node) controlPeer(id contract.HostID) control.Peer {
	if d := n.peers.get(id); d != nil {
		return d
	}
	return nil
}

// serve opens the listeners and runs until ctx is done. Shutdown goes in
// order: readiness ends, the balancer's delay passes, work in progress ends,
// listeners close, links close.
func (n *Node) serve(ctx context.Context, closeLinks func()) error {
	linkCtx := n.linkCtx
	linkLn, err := net.Listen("tcp", n.set.LinkAddr)
	if err != nil {
		return err
	}
	adminLn, err := net.Listen("tcp", n.set.AdminAddr)
	if err != nil {
		return err
	}
	var g errgroup.Group
	srv := &link.Server{Local: n.identity.Hello(), Config: n.linkConfig(), Handler: n}
	g.Go(func() error { return srv.Serve(linkCtx, linkLn) })
	for _, d := range n.peers.all() {
		g.Go(func() error { return d.Run(linkCtx) })
	}
	if n.control != nil {
		g.Go(func() error { return n.control.Run(linkCtx) })
	}
	admin := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	g.Go(func() error { return ignoreClosed(admin.Serve(adminLn)) })
	callers, err := n.serveCallers(&g)
	if err != nil {
		return err
	}
	g.Go(func() error { n.catchUp(linkCtx); return nil })
	n.runLedger(linkCtx, g.Go)
	g.Go(func() error { n.records.run(linkCtx); return nil })
	n.log.Info("started", "link", linkLn.Addr(), "admin", adminLn.Addr(), "roles", n.set.Roles)
	g.Go(func() error {
		<-ctx.Done()
		n.shutdown(callers, admin)
		closeLinks()
		return nil
	})
	return g.Wait()
}

// readHeaderTimeout bounds how slowly a request's header may arrive.
const readHeaderTimeout = 10 * time.Second

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) serveCallers(g *errgroup.Group) (*http.Server, error) {
	if n.entry == nil {
		return nil, nil
	}
	ln, err := entry.Listen(n.set.HTTPAddr)
	if err != nil {
		return nil, err
	}
	srv := n.entry.NewServer()
	g.Go(func() error { return ignoreClosed(srv.Serve(ln)) })
	return srv, nil
}

func (n *Node) shutdown(callers, admin *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), n.set.DrainLimit)
	defer cancel()
	n.log.Info("draining", "delay", n.set.DrainDelay)
	if n.entry != nil {
		n.entry.EndReadiness()
		time.Sleep(n.set.DrainDelay)
		n.entry.Drain(ctx)
		callers.Shutdown(ctx)
	}
	n.flushLedger()
	admin.Shutdown(ctx)
	n.log.Info("stopped")
}
