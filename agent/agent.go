// Package agent is the role beside each upstream. It announces the upstream to
// the entries, gates every start so that a task starts at most once in this
// incarnation, and keeps each result until the entry has acknowledged it.
package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
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

	mu      sync.Mutex // guards all below
	gate    *Gate
	owners  map[contract.TaskID]contract.HostID
	results map[contract.TaskID]*contract.Result
	cancels map[contract.TaskID]context.CancelFunc
	waits   map[contract.TaskID]chan bool
	links   map[contract.HostID]*link.Link
	tables  contract.Version
	credits creditBook
	active  sync.WaitGroup
}

// New returns an agent that is not yet running.
func New(cfg Config) *Agent {
	return &Agent{
		cfg:     cfg,
		client:  newUpstreamClient(),
		gate:    NewGate(cfg.Identity.Incarnation, cfg.Capacity),
		owners:  make(map[contract.TaskID]contract.HostID),
		results: make(map[contract.TaskID]*contract.Result),
		cancels: make(map[contract.TaskID]context.CancelFunc),
		waits:   make(map[contract.TaskID]chan bool),
		links:   make(map[contract.HostID]*link.Link),
		credits: newCreditBook(cfg.Identity.Host, cfg.Pools, cfg.Capacity.Slots),
	}
}

// maxUpstreamConns bounds the connections to the upstream.
const maxUpstreamConns = 64

func newUpstreamClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxUpstreamConns,
			MaxConnsPerHost:     maxUpstreamConns,
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

// drain refuses new starts, tells the entries, and waits for what is in
// progress and for its results to be acknowledged.
func (a *Agent) drain() {
	a.mu.Lock()
	a.gate.Drain()
	links := a.openLinks()
	a.mu.Unlock()
	for _, l := range links {
		l.Send(&contract.Drain{})
	}
	a.active.Wait()
	a.awaitAcks(drainAckWait)
}

// drainAckWait bounds how long a drained agent waits for acknowledgements.
const drainAckWait = 5 * time.Second

func (a *Agent) awaitAcks(limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		a.mu.Lock()
		open := len(a.results)
		idle := a.gate.Idle()
		a.mu.Unlock()
		if open == 0 && idle {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (a *Agent) openLinks() []*link.Link {
	out := make([]*link.Link, 0, len(a.links))
	for _, l := range a.links {
		out = append(out, l)
	}
	return out
}

// LinkUp implements link.Handler: it announces the upstream and sends again
// the results that the entry has not acknowledged.
func (a *Agent) LinkUp(l *link.Link) {
	a.mu.Lock()
	a.links[l.Remote().Host] = l
	draining := a.gate.draining
	grants := a.credits.entryUp(l.Remote().Host)
	var unacked []*contract.Result
	for id, r := range a.results {
		if a.owners[id] == l.Remote().Host {
			unacked = append(unacked, r)
		}
	}
	a.mu.Unlock()
	l.Send(&contract.Announce{
		Pools:    a.cfg.Pools,
		Capacity: a.cfg.Capacity,
		HTTPAddr: a.cfg.HTTPListener.Addr().String(),
		Draining: draining,
	})
	for _, r := range unacked {
		l.Send(r)
	}
	a.sendCredits(grants)
	a.cfg.Log.Info("link up", "entry", l.Remote().Host)
}

// LinkDown implements link.Handler.
func (a *Agent) LinkDown(l *link.Link, err error) {
	a.mu.Lock()
	var grants []creditMail
	if a.links[l.Remote().Host] == l {
		delete(a.links, l.Remote().Host)
		grants = a.credits.entryDown(l.Remote().Host)
	}
	a.mu.Unlock()
	a.sendCredits(grants)
	a.cfg.Log.Info("link down", "entry", l.Remote().Host, "err", err)
}

// Receive implements link.Handler.
func (a *Agent) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		a.sawTables(m.Tables)
	case *contract.Start:
		a.takeStart(l, m)
	case *contract.ResultAck:
		a.acked(m.Tasks)
	case *contract.Fence:
		a.fence(l, seq, m)
	case *contract.CreditReset:
		a.resetCredits(m.Pool)
	case *contract.Cancel:
		a.cancelJob(l, m.Job)
	case *contract.StatusRequest, *contract.DrainRequest:
		a.receiveAdmin(l, seq, m)
	}
}

func (a *Agent) sawTables(v contract.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tables = max(a.tables, v)
}

func (a *Agent) takeStart(l *link.Link, s *contract.Start) {
	a.mu.Lock()
	verdict, reason := a.gate.Offer(s)
	if verdict == VerdictRun || verdict == VerdictWait {
		a.owners[s.Task] = l.Remote().Host
		a.credits.begin(s, l.Remote().Host)
	}
	if verdict == VerdictWait {
		metrics.StartsQueued.Add(1)
	}
	if verdict == VerdictRun {
		a.launch(s)
	}
	a.mu.Unlock()
	if verdict == VerdictRefuse {
		l.Send(&contract.StartRefused{Task: s.Task, Reason: reason})
	}
}

// launch runs a start in its own goroutine; the caller holds a.mu.
func (a *Agent) launch(s *contract.Start) {
	if ch, ok := a.waits[s.Task]; ok {
		delete(a.waits, s.Task)
		ch <- true
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Lease)
	a.cancels[s.Task] = cancel
	a.active.Add(1)
	go func() {
		defer a.active.Done()
		defer cancel()
		r := a.callUpstream(ctx, s)
		a.finish(r)
	}()
}

// finish stores the result, sends it to the owner and launches what fits now.
func (a *Agent) finish(r *contract.Result) {
	a.mu.Lock()
	a.results[r.Task] = r
	delete(a.cancels, r.Task)
	l := a.links[a.owners[r.Task]]
	a.release(r.Task)
	grants := a.credits.end(r.Task)
	a.mu.Unlock()
	if l != nil {
		l.Send(r)
	}
	a.sendCredits(grants)
}

// release frees the task's slots and launches what now fits; the caller holds
// a.mu.
func (a *Agent) release(id contract.TaskID) {
	for _, s := range a.gate.Finish(id) {
		a.launch(s)
	}
}

func (a *Agent) acked(ids []contract.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.results, id)
		delete(a.owners, id)
	}
}

func (a *Agent) fence(l *link.Link, seq uint64, m *contract.Fence) {
	a.mu.Lock()
	reports := a.gate.Fence(m.Tasks)
	var done []*contract.Result
	for _, rep := range reports {
		if r, ok := a.results[rep.Task]; ok && rep.State == contract.TaskDone {
			done = append(done, r)
		}
	}
	a.mu.Unlock()
	for _, r := range done {
		l.Send(r)
	}
	reply := &contract.TaskStates{Reports: reports}
	if seq != 0 {
		l.Reply(seq, reply)
		return
	}
	l.Send(reply)
}

func (a *Agent) cancelJob(l *link.Link, job contract.JobID) {
	a.mu.Lock()
	fenced, running := a.gate.FenceJob(job)
	for _, id := range running {
		if cancel := a.cancels[id]; cancel != nil {
			cancel()
		}
	}
	a.mu.Unlock()
	reports := make([]contract.TaskReport, 0, len(fenced))
	for _, id := range fenced {
		reports = append(reports, contract.TaskReport{Task: id, State: contract.TaskFenced})
	}
	if len(reports) > 0 {
		l.Send(&contract.TaskStates{Reports: reports})
	}
}

// callUpstream makes the one HTTP request of a started task.
func (a *Agent) callUpstream(ctx context.Context, s *contract.Start) *contract.Result {
	began := time.Now()
	res := &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeUnknown}
	defer func() { res.Elapsed = time.Since(began) }()
	req, err := http.NewRequestWithContext(ctx, s.Method, a.cfg.Upstream+s.Path, bytes.NewReader(s.Payload))
	if err != nil {
		res.Outcome = contract.OutcomeNotRun
		res.Reason = err.Error()
		return res
	}
	req.Header.Set("Content-Type", "application/json")
	setTaskHeader(req.Header, s.Task, s.Attempt)
	answer, err := a.client.Do(req)
	if err != nil {
		res.Outcome = outcomeOfDialError(err)
		res.Reason = err.Error()
		return res
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxResultBytes))
	if err != nil {
		res.Reason = err.Error()
		return res
	}
	res.Outcome = contract.OutcomeRan
	res.Status = answer.StatusCode
	res.Body = body
	return res
}

// maxResultBytes bounds one task's answer.
const maxResultBytes = 8 << 20

// setTaskHeader names the start to the upstream, so that it can count starts.
func setTaskHeader(h http.Header, id contract.TaskID, attempt uint32) {
	h.Set(forward.HeaderJobID, string(id.Job))
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}
