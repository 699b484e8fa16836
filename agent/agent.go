// Package agent implements the role that runs beside each upstream. It announces
// the upstream to the entries, gates every start so that a task starts at most
// once in this incarnation, and keeps each result until the entry has
// acknowledged it.
package agent

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/link"
)

// Config holds the settings of an agent.
type Config struct {
	Identity host.Identity
	Pools    []string
	Capacity contract.Capacity
	// Upstream is the upstream's base URL.
	Upstream string
	// Entries are the link addresses of the entries.
	Entries []string
	// HTTPListener accepts single requests from the entries.
	HTTPListener net.Listener
	// RequestBytes limits the memory of the single requests, and MaxConns the connections of
	// entries; zeros mean the defaults of ingress.
	RequestBytes int64
	MaxConns     int
	Link         link.Config
	// Stop is called when an operator asks for a drain; it must cancel the
	// context of Run.
	Stop func()
	Log  logr.Logger
}

// Agent starts tasks on one upstream on behalf of the entries.
type Agent struct {
	cfg    Config
	client *http.Client

	active sync.WaitGroup // tasks and single requests that are running

	mu                 sync.Mutex // guards the fields below
	gate               *Gate
	tasks              map[contract.TaskID]*task
	retained           []contract.TaskID // acknowledged tasks kept for resubmissions, oldest first
	retainedBytes      int               // total body size of the results of retained
	links              map[contract.HostID]*link.Link
	knownTablesVersion contract.Version // highest tables version known
	rows               rowVersions
	credits            creditShares
	// linkNumber counts the links established so far.
	linkNumber uint64
}

// task is the agent's record of a task, apart from its state at the gate.
type task struct {
	// owner is the entry that acknowledges the result and may cancel the task.
	// Previous owners are sent the result too.
	owner          host.Ref
	previousOwners []host.Ref
	// expires is the end of the lease: the task is not started after it, and is
	// stopped at it.
	expires    time.Time
	retain     bool // keep the result after its acknowledgement, for a resubmission
	acked      bool
	inRetained bool // the task is in Agent.retained
	// inLedger says that the outcome was reported to the ledger because no owner
	// had acknowledged it.
	inLedger bool
	cancel   context.CancelFunc
	// admission receives, for a single request that waits for slots, whether it
	// may run; it is nil for a task of a job.
	admission chan bool
	result    *contract.Result
}

// New returns an agent that does nothing until Run is called.
func New(cfg Config) *Agent {
	return &Agent{
		cfg:     cfg,
		client:  newUpstreamClient(),
		gate:    NewGate(cfg.Identity.Incarnation, cfg.Capacity),
		tasks:   make(map[contract.TaskID]*task),
		links:   make(map[contract.HostID]*link.Link),
		credits: newCreditShares(cfg.Identity.Host, cfg.Pools, cfg.Capacity.Slots),
	}
}

// maxUpstreamConns limits the number of connections to the upstream.
const maxUpstreamConns = 64

// upstreamIdleTimeout is how long an idle connection to the upstream is kept. It
// is below the usual idle timeouts of servers, since a request sent on a
// connection that the server is closing may or may not have run.
const upstreamIdleTimeout = 4 * time.Second

func newUpstreamClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxUpstreamConns,
			MaxConnsPerHost:     maxUpstreamConns,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run serves until ctx is done, then drains: tasks in progress run to their end.
func (a *Agent) Run(ctx context.Context) error {
	linkCtx, closeLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer closeLinks()
	var g errgroup.Group
	for _, addr := range a.cfg.Entries {
		d := &link.Dialer{Addr: addr, Local: a.cfg.Identity.Hello(), Config: a.linkConfig(), Handler: a}
		g.Go(func() error { return d.Run(linkCtx) })
	}
	srv := ingress.New(ingress.Config{
		Listener: "singles", Handler: http.HandlerFunc(a.serveSingle), Limits: func() contract.ClientLimits { return singleLimits },
		MemoryBytes: a.cfg.RequestBytes, MaxConns: a.cfg.MaxConns, Log: a.cfg.Log,
	})
	g.Go(func() error { return srv.Serve(a.cfg.HTTPListener) })
	g.Go(func() error { a.sweepLoop(linkCtx); return nil })
	g.Go(func() error { a.ledgerReportLoop(linkCtx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		a.drain()
		srv.Shutdown(context.WithoutCancel(ctx))
		closeLinks()
		return nil
	})
	return g.Wait()
}

// singleLimits are the limits on a single request from an entry, which has applied its own:
// the head has fields of the entry besides, and the body is streamed.
var singleLimits = contract.ClientLimits{MaxHeaderBytes: 256 << 10, MaxBodyBytes: math.MaxInt64}

// linkConfig returns the link settings, with heartbeats that carry the tables
// version known here.
func (a *Agent) linkConfig() link.Config {
	cfg := a.cfg.Link
	cfg.Heartbeat = func() *contract.Heartbeat {
		a.mu.Lock()
		defer a.mu.Unlock()
		return &contract.Heartbeat{TablesVersion: a.knownTablesVersion}
	}
	return cfg
}

// drainStartWindow is how long a draining agent still accepts starts. An entry that
// has no other worker uses this time to send the remaining tasks of the jobs that
// it has admitted.
const drainStartWindow = 500 * time.Millisecond

// drain notifies the entries, refuses new starts after drainStartWindow, and
// waits for the tasks in progress to end and for their results to be
// acknowledged.
func (a *Agent) drain() {
	a.mu.Lock()
	links := a.connectedLinks()
	a.mu.Unlock()
	for _, l := range links {
		l.Send(&contract.Drain{})
	}
	time.Sleep(drainStartWindow)
	a.mu.Lock()
	a.gate.Drain()
	a.mu.Unlock()
	a.active.Wait()
	a.awaitAcks(drainAckWait)
}

// drainAckWait limits how long a drained agent waits for acknowledgements.
const drainAckWait = 5 * time.Second

// awaitAcks waits until the gate is idle and every linked owner has acknowledged
// its results, or until the limit has passed.
func (a *Agent) awaitAcks(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		a.mu.Lock()
		done := a.gate.Idle() && !a.hasUnackedResults()
		a.mu.Unlock()
		if done {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// hasUnackedResults reports whether a linked owner has results to acknowledge.
// The caller holds a.mu.
func (a *Agent) hasUnackedResults() bool {
	for _, t := range a.tasks {
		if t.result != nil && !t.acked && a.linkTo(t.owner) != nil {
			return true
		}
	}
	return false
}

// linkTo returns the link to one incarnation of an entry, or nil. The caller
// holds a.mu.
func (a *Agent) linkTo(ref host.Ref) *link.Link {
	l := a.links[ref.Host]
	if l == nil || host.FromHello(l.Remote()).Ref != ref {
		return nil
	}
	return l
}

// connectedLinks returns the links to all entries. The caller holds a.mu.
func (a *Agent) connectedLinks() []*link.Link {
	out := make([]*link.Link, 0, len(a.links))
	for _, l := range a.links {
		out = append(out, l)
	}
	return out
}
