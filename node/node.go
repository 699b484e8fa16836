// Package node runs the roles of one process: entry, control, both, or agent. It
// opens the listeners, the files and the links to peers, and passes each message
// to the role that handles it.
package node

import (
	"context"
	"net"
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
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/settings"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Node is a process that plays the entry role, the control role, or both. An
// agent runs without a Node.
type Node struct {
	cfg      settings.Settings
	identity host.Identity
	log      logr.Logger

	tables       *tables.Store
	peers        peers
	peerVersions peerVersions
	linkCtx      context.Context // done when the node closes its links
	// sentRowsVersion is the version up to which row versions were sent to the
	// agents. Only tablesChanged uses it, and its calls are serialised.
	sentRowsVersion contract.Version
	entry           *entry.Entry
	records         *records
	control         *control.Control
	history         history
	// observer is nil if the process is not an entry.
	observer *observer
	// stop starts the drain, as SIGTERM does.
	stop   context.CancelFunc
	ledger ledgerComponents
}

// Run runs the process until ctx is done or an operator requests a drain, then
// drains it. It returns an error if, for example, a listener or the ledger's store
// can't be opened.
func Run(ctx context.Context, cfg settings.Settings, log logr.Logger) error {
	id := host.Identity{
		Ref: host.Ref{Host: cfg.ID, Incarnation: contract.NewIncarnation()},
		Location: failuredomain.Location{
			Region: failuredomain.Region(cfg.Region),
			Domain: failuredomain.Name(cfg.FailureDomain),
			Rack:   failuredomain.Rack(cfg.Rack),
		},
		Roles: cfg.Roles,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ingress.LimitHeap(memoryBytes(cfg))
	if cfg.HasRole(contract.RoleAgent) {
		return runAgent(ctx, stop, cfg, id, log)
	}
	n := &Node{cfg: cfg, identity: id, log: log, tables: tables.NewStore(), stop: stop}
	return n.run(ctx)
}

// runAgent runs the agent role until ctx is done, then drains it. The agent calls
// stop to start its own drain.
func runAgent(ctx context.Context, stop context.CancelFunc, cfg settings.Settings, id host.Identity, log logr.Logger) error {
	ln, err := net.Listen("tcp", cfg.HTTPAddr)
	if err != nil {
		return err
	}
	a := agent.New(agent.Config{
		Identity:     id,
		Pools:        cfg.Pools,
		Capacity:     cfg.Capacity,
		Upstream:     cfg.Upstream,
		Entries:      cfg.Entries,
		HTTPListener: ln,
		RequestBytes: requestBytes(cfg),
		MaxConns:     maxConns(cfg),
		Link:         link.Config{HeartbeatInterval: cfg.Heartbeat, SilenceTimeout: cfg.Silence},
		Stop:         stop,
		Log:          log,
	})
	log.Info("agent started", "upstream", cfg.Upstream, "http", ln.Addr())
	var g errgroup.Group
	closeAdmin, err := serveAgentAdmin(&g, cfg.AdminAddr, log)
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
		HeartbeatInterval: n.cfg.Heartbeat,
		SilenceTimeout:    n.cfg.Silence,
		Heartbeat:         n.heartbeat,
	}
}

func (n *Node) run(ctx context.Context) error {
	linkCtx, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer closeLinks()
	n.linkCtx = linkCtx
	for _, p := range n.cfg.Peers {
		n.peers.add(p.Host, n.dialer(p.Addr))
	}
	if n.cfg.HasRole(contract.RoleControl) {
		defer n.openControl()()
	}
	if err := n.openLedger(); err != nil {
		return err
	}
	defer n.closeLedger()
	n.records = newRecords(n.cfg.ID, n.cfg.RecordHolders, n.peers.all(), n.cfg.DataDir, n.cfg.RecordRetention, n.log)
	if n.cfg.HasRole(contract.RoleEntry) {
		n.observer = newObserver(n.tables)
		n.entry = entry.New(entry.Config{
			Identity: n.identity,
			Tables:   n.tables,
			Records:  n.records.client(n.identity.Ref),
			NewScheduler: func(p contract.Pool) dispatch.Scheduler {
				return dispatch.NewPool(dispatch.ConfigFromRow(p, n.identity.Location))
			},
			SendToPeer:       n.sendToPeer,
			Outcomes:         n.outcomeSink(),
			Observer:         n.observer,
			BodyStallTimeout: n.cfg.BodyStall,
			ClientLimits: contract.ClientLimits{
				MaxHeaderBytes: n.cfg.MaxHeaderBytes, MaxBodyBytes: n.cfg.MaxBodyBytes,
				HeaderTimeout: n.cfg.HeaderTimeout, IdleTimeout: n.cfg.IdleTimeout,
			},
			RequestBytes:      requestBytes(n.cfg) - operatorBytes(n.cfg),
			MaxConns:          maxConns(n.cfg) - operatorConns(n.cfg),
			CachedAnswerBytes: int(min(entry.DefaultCachedAnswerBytes, memoryBytes(n.cfg)/answerDivisor)),
			Log:               n.log,
		})
	}
	n.tables.Watch(n.tablesChanged)
	n.tables.Watch(n.history.tablesChanged)
	return n.serve(ctx, closeLinks)
}

// openControl opens the control role's store and creates the role; serve runs
// it. The returned function closes the store.
func (n *Node) openControl() func() {
	store, closeStore := n.openStore()
	n.control = control.New(control.Config{
		Self:            n.cfg.ID,
		FirstGroupHosts: n.cfg.Control,
		Peer:            n.controlPeer,
		Store:           store,
		OnTablesChosen:  func(t contract.Tables) { n.tables.Update(t) },
		TablesInForce:   func() contract.Tables { return n.tables.View().Tables },
		Log:             n.log,
	})
	return closeStore
}

// controlPeer returns the connection to another control host, or nil if the host
// is not a known peer.
func (n *Node) controlPeer(id contract.HostID) control.Peer {
	if d := n.peers.get(id); d != nil {
		return d
	}
	return nil
}

// serve opens the listeners, runs until ctx is done, and then shuts down in a fixed
// order: readiness ends, DrainDelay passes so that the load balancer sees it, work
// in progress ends, the listener for callers closes, the ledger is flushed, the admin
// listener closes, the links close.
func (n *Node) serve(ctx context.Context, closeLinks func()) error {
	linkCtx := n.linkCtx
	linkLn, err := net.Listen("tcp", n.cfg.LinkAddr)
	if err != nil {
		return err
	}
	adminLn, err := net.Listen("tcp", n.cfg.AdminAddr)
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
	admin := n.newAdminServer()
	g.Go(func() error { return admin.Serve(adminLn) })
	callers, err := n.serveCallers(&g)
	if err != nil {
		return err
	}
	g.Go(func() error { n.catchUp(linkCtx); return nil })
	n.runLedger(linkCtx, g.Go)
	g.Go(func() error { n.records.run(linkCtx); return nil })
	n.log.Info("started", "link", linkLn.Addr(), "admin", adminLn.Addr(), "roles", n.cfg.Roles)
	g.Go(func() error {
		<-ctx.Done()
		n.shutdown(callers, admin)
		closeLinks()
		return nil
	})
	return g.Wait()
}

// serveCallers opens the listener for callers and serves it. It returns a nil
// server if the process is not an entry.
func (n *Node) serveCallers(g *errgroup.Group) (*ingress.Server, error) {
	if n.entry == nil {
		return nil, nil
	}
	ln, err := entry.Listen(n.cfg.HTTPAddr)
	if err != nil {
		return nil, err
	}
	srv := n.entry.NewServer()
	g.Go(func() error { return srv.Serve(ln) })
	return srv, nil
}

// shutdown drains the process within DrainLimit, except that flushLedger has a
// separate limit.
func (n *Node) shutdown(callers, admin *ingress.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainLimit)
	defer cancel()
	n.log.Info("draining", "delay", n.cfg.DrainDelay)
	if n.entry != nil {
		n.entry.EndReadiness()
		time.Sleep(n.cfg.DrainDelay)
		n.entry.Drain(ctx)
		callers.Shutdown(ctx)
	}
	n.flushLedger()
	admin.Shutdown(ctx)
	n.log.Info("stopped")
}
