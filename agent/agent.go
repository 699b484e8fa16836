// Package agent is the role beside each upstream. It announces the upstream to
// the entries, gates every start so that a task starts at most once in this
// incarnation, and keeps each result until the entry has acknowledged it.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
)

// Config holds an agent's settings.
type Config struct {
	Identity host.Identity
	Pools    []string
	Capacity contract.Capacity
	// Upstream is the upstream's base URL.
	Upstream string
	// Entries are the link addresses of the entries.
	Entries []string
	// HTTPListener takes single requests from the entries.
	HTTPListener net.Listener
	Link         link.Config
	// Stop begins the drain when an operator asks for it.
	Stop func()
	Log  logr.Logger
}

// Agent runs the role.
type Agent struct {
	cfg    Config
	client *http.Client

	active sync.WaitGroup

	mu      sync.Mutex // guards all below
	gate    *Gate
	tasks   map[contract.TaskID]*task
	kept    []contract.TaskID // acknowledged results that are kept, oldest first
	bytes   int               // size of the results that are kept
	links   map[contract.HostID]*link.Link
	tables  contract.Version
	rows    rowVersions
	credits creditBook
	// linkNumber counts the links that came up.
	linkNumber uint64
}

// task is what the agent holds of a task beside its state at the gate.
type task struct {
	// owner takes the result, and only its cancel counts; earlier owners get
	// the result too.
	owner   host.Ref
	earlier []host.Ref
	// expires is when the task is stopped, or not started any more.
	expires time.Time
	keep    bool
	acked   bool
	kept    bool // listed in Agent.kept
	// reported says that the ledger has the outcome although no owner
	// acknowledged it.
	reported bool
	cancel   context.CancelFunc
	// wait is told, for a single request, whether it may run.
	wait   chan bool
	result *contract.Result
}

// New returns an agent that is not yet running.
func New(cfg Config) *Agent {
	return &Agent{
		cfg:     cfg,
		client:  newUpstreamClient(),
		gate:    NewGate(cfg.Identity.Incarnation, cfg.Capacity),
		tasks:   make(map[contract.TaskID]*task),
		links:   make(map[contract.HostID]*link.Link),
		credits: newCreditBook(cfg.Identity.Host, cfg.Pools, cfg.Capacity.Slots),
	}
}

// maxUpstreamConns bounds the connections to the upstream.
const maxUpstreamConns = 64

// idleUpstreamConn is how long a connection to the upstream is kept idle. It
// is below the usual idle timeouts of servers: a request that meets a
// connection as its server closes it may or may not have run.
const idleUpstreamConn = 4 * time.Second

func newUpstreamClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxUpstreamConns,
			MaxConnsPerHost:     maxUpstreamConns,
			IdleConnTimeout:     idleUpstreamConn,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run serves until ctx is done, then drains: nothing in progress is cut off.
func (a *Agent) Run(ctx context.Context) error {
	linkCtx, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer closeLinks()
	var g errgroup.Group
	for _, addr := range a.cfg.Entries {
		d := &link.Dialer{Addr: addr, Local: a.cfg.Identity.Hello(), Config: a.linkConfig(), Handler: a}
		g.Go(func() error { return d.Run(linkCtx) })
	}
	srv := &http.Server{Handler: http.HandlerFunc(a.serveSingle), ReadHeaderTimeout: 10 * time.Second}
	g.Go(func() error { return ignoreClosed(srv.Serve(a.cfg.HTTPListener)) })
	g.Go(func() error { a.sweepLoop(linkCtx); return nil })
	g.Go(func() error { a.orphanLoop(linkCtx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		a.drain()
		srv.Shutdown(context.WithoutCancel(ctx))
		closeLinks()
		return nil
	})
	return g.Wait()
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (a *Agent) linkConfig() link.Config {
	cfg := a.cfg.Link
	cfg.Heartbeat = func() *contract.Heartbeat {
		a.mu.Lock()
		defer a.mu.Unlock()
		return &contract.Heartbeat{Tables: a.tables}
	}
	return cfg
}

// drainHandover is how long an agent that drains takes starts: an entry that
// has no other worker sends what is left of the jobs that it has admitted.
const drainHandover = 500 * time.Millisecond

// drain tells the entries, refuses new starts after the handover, and waits
// for what is in progress and for its results to be acknowledged.
func (a *Agent) drain() {
	a.mu.Lock()
	links := a.openLinks()
	a.mu.Unlock()
	for _, l := range links {
		l.Send(&contract.Drain{})
	}
	time.Sleep(drainHandover)
	a.mu.Lock()
	a.gate.Drain()
	a.mu.Unlock()
	a.active.Wait()
	a.awaitAcks(drainAckWait)
}

// drainAckWait bounds how long a drained agent waits for acknowledgements.
const drainAckWait = 5 * time.Second

func (a *Agent) awaitAcks(limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		a.mu.Lock()
		done := a.gate.Idle() && !a.owesResults()
		a.mu.Unlock()
		if done {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// owesResults reports whether an owner that is linked has results to
// acknowledge; the caller holds a.mu.
func (a *Agent) owesResults() bool {
	for _, t := range a.tasks {
		if t.result != nil && !t.acked && a.linkTo(t.owner) != nil {
			return true
		}
	}
	return false
}

// linkTo returns the link to one incarnation of an entry, or nil; the caller
// holds a.mu.
func (a *Agent) linkTo(ref host.Ref) *link.Link {
	l := a.links[ref.Host]
	if l == nil || host.FromHello(l.Remote()).Ref != ref {
		return nil
	}
	return l
}

func (a *Agent) openLinks() []*link.Link {
	out := make([]*link.Link, 0, len(a.links))
	for _, l := range a.links {
		out = append(out, l)
	}
	return out
}
