package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/relay"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// fakeAgent offers a large worker all the time, and completes each run at once.
type fakeAgent struct{ starts atomic.Int64 }

func (a *fakeAgent) LinkUp(l *link.Link) {
	go func() {
		for l.Err() == nil {
			room := contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}
			_ = l.Send(&contract.DirectOffer{Open: true, Pool: "p", Capacity: room, Free: room, Stamp: 1})
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (a *fakeAgent) LinkDown(*link.Link, error) {}

func (a *fakeAgent) Receive(l *link.Link, _ uint64, m contract.Message) {
	if s, ok := m.(*contract.DirectStart); ok {
		a.starts.Add(1)
		_ = l.Send(&contract.DirectEnd{RunRef: s.Start.RunRef, Kind: contract.EndDone})
	}
}

// silentLeader leads and takes jobs, but answers none.
type silentLeader struct {
	mu      sync.Mutex // guards submits
	submits []contract.JobSubmit
}

func (h *silentLeader) LinkUp(l *link.Link) {
	_ = l.Send(&contract.HubState{Term: 1, Leads: true, Stamp: 7})
}

func (h *silentLeader) LinkDown(*link.Link, error) {}

func (h *silentLeader) Receive(_ *link.Link, _ uint64, m contract.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := m.(*contract.JobSubmit); ok {
		h.submits = append(h.submits, *s)
	}
}

func (h *silentLeader) taken() []contract.JobSubmit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.submits
}

// listen serves connections on a loopback address until the test ends.
func listen(t *testing.T, serve func(context.Context, net.Listener) error) (string, context.CancelFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = serve(ctx, ln) }()
	return ln.Addr().String(), cancel
}

// runGateway runs a gateway with direct starts and a list of queues until the test ends.
func runGateway(t *testing.T, seeds ...string) *Gateway {
	g := New(uplink.Config{
		Hello: contract.Hello{Host: "gw", Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleEntry}},
		Seeds: func() []string { return seeds }, Link: link.Config{}, Log: logr.Discard(),
	}, true)
	g.direct.setQueues(&contract.QueueList{Version: 3, Queues: []contract.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 1, Slack: 2, Target: time.Second}}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	return g
}

// newDirectGateway returns a gateway as runGateway does, and the link of a fake agent.
func newDirectGateway(t *testing.T, seeds ...string) (*Gateway, *fakeAgent) {
	g := runGateway(t, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := &relay.Server{Allowed: func(string) bool { return false }, Links: g.ServeAgent, IdleTimeout: time.Second, Log: logr.Discard()}
	addr, _ := listen(t, server.Serve)
	agent := &fakeAgent{}
	d := &link.Dialer{Addr: addr, Local: contract.Hello{Host: "w", Roles: []contract.Role{contract.RoleAgent}}, Config: uplink.DirectLinkConfig, Handler: agent}
	go func() { _ = d.Run(ctx) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(g.direct.offersAny), wait.Timeout(testTimeout), wait.Gap(5*time.Millisecond)))
	return g, agent
}

func directJob(id string) *contract.JobSubmit {
	return &contract.JobSubmit{Host: "h", Path: "/q/" + id, Transient: true, Steps: []contract.DurableStep{{Count: 1, Demand: contract.Demand{MilliCPU: 100, DeclaredMillis: 10}}}}
}

// TestJobsThatAreStartedDirectly lists what an entry without a leader runs at agents.
// All else is refused as without direct starts.
func TestJobsThatAreStartedDirectly(t *testing.T) {
	cases := []struct {
		name   string
		change func(*contract.JobSubmit, *Gateway)
		direct bool
	}{
		{"one step", func(*contract.JobSubmit, *Gateway) {}, true},
		{"stored", func(m *contract.JobSubmit, _ *Gateway) { m.Transient = false }, false},
		{"label", func(m *contract.JobSubmit, _ *Gateway) { m.Steps[0].Label = "x" }, false},
		{"rack", func(m *contract.JobSubmit, _ *Gateway) { m.Steps[0].Rack = "x" }, false},
		{"limit per worker", func(m *contract.JobSubmit, _ *Gateway) { m.Steps[0].PerWorker = 1 }, false},
		{"two steps", func(m *contract.JobSubmit, _ *Gateway) { m.Steps = append(m.Steps, m.Steps[0]) }, false},
		{"not built", func(m *contract.JobSubmit, _ *Gateway) { m.Unsupported = "x" }, false},
		{"no queue", func(m *contract.JobSubmit, _ *Gateway) { m.Path = "/other/x" }, false},
		{"newer tables seen", func(_ *contract.JobSubmit, g *Gateway) { g.direct.sawVersion(4) }, false},
		{"newer list", func(_ *contract.JobSubmit, g *Gateway) {
			g.direct.sawVersion(4)
			g.direct.setQueues(&contract.QueueList{Version: 4, Queues: g.direct.queues.Queues})
		}, true},
		{"older list", func(_ *contract.JobSubmit, g *Gateway) { g.direct.setQueues(&contract.QueueList{Version: 2}) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g, agent := newDirectGateway(t)
			m := directJob("a")
			c.change(m, g)
			a := g.Ask(t.Context(), m)
			must.Eq(t, c.direct, a.Direct)
			must.Eq(t, c.direct, a.Answered)
			must.Eq(t, c.direct, agent.starts.Load() == 1)
			must.False(t, a.PossiblyAccepted)
		})
	}
}

// TestJobThatAHubMayHaveIsNeverStartedDirectly covers the loss of a leader that was
// sent a job: its runs may be alive on workers that this entry does not see.
func TestJobThatAHubMayHaveIsNeverStartedDirectly(t *testing.T) {
	hub := &silentLeader{}
	server := &link.Server{Local: contract.Hello{Host: "hub", Roles: []contract.Role{contract.RoleControl}}, Handler: hub}
	addr, stopHub := listen(t, server.Serve)
	g, agent := newDirectGateway(t, addr)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { l, _ := g.uplink.Leader(); return l != nil }), wait.Timeout(testTimeout), wait.Gap(5*time.Millisecond)))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	time.AfterFunc(300*time.Millisecond, stopHub)
	a := g.Ask(ctx, directJob("a"))
	must.True(t, a.PossiblyAccepted)
	must.False(t, a.Answered)
	must.Eq(t, 0, agent.starts.Load())
	must.True(t, hub.taken()[0].Bound, must.Sprint("the leader must drop the job when this entry is lost"))
	must.True(t, g.Ask(t.Context(), directJob("b")).Direct, must.Sprint("the next job"))
}

// pausingLeader leads, announces itself unless it is quiet, and refuses all jobs.
type pausingLeader struct {
	silentLeader
	quiet atomic.Bool
}

func (h *pausingLeader) LinkUp(l *link.Link) {
	go func() {
		for l.Err() == nil {
			if !h.quiet.Load() {
				_ = l.Send(&contract.HubState{Term: 1, Leads: true, Stamp: 7})
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

func (h *pausingLeader) Receive(l *link.Link, seq uint64, m contract.Message) {
	h.silentLeader.Receive(l, seq, m)
	if _, ok := m.(*contract.JobSubmit); ok {
		_ = l.Reply(seq, &contract.JobReply{Verdict: contract.VerdictOverload})
	}
}

// TestJobIsHeldWhileTheLeaderIsSilent guards against jobs that are sent to a leader that
// is gone, which would then be of unknown outcome, and against jobs that stay held once
// the leader is heard again. A job that can't be started directly is not held.
func TestJobIsHeldWhileTheLeaderIsSilent(t *testing.T) {
	hub := &pausingLeader{}
	server := &link.Server{Local: contract.Hello{Host: "hub", Roles: []contract.Role{contract.RoleControl}}, Handler: hub}
	addr, _ := listen(t, server.Serve)
	g := runGateway(t, addr)
	waitFor := func(f func() bool) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(testTimeout), wait.Gap(5*time.Millisecond)))
	}
	ask := func(m *contract.JobSubmit) chan Answer {
		ch := make(chan Answer, 1)
		go func() { ch <- g.Ask(t.Context(), m) }()
		return ch
	}
	waitFor(func() bool { l, _ := g.uplink.Leader(); return l != nil && !g.leaderSilent() })
	must.Eq(t, contract.VerdictOverload, (<-ask(directJob("before"))).Verdict)

	hub.quiet.Store(true)
	waitFor(g.leaderSilent)
	stored := directJob("stored")
	stored.Transient = false
	must.Eq(t, contract.VerdictOverload, (<-ask(stored)).Verdict)
	held := ask(directJob("held"))
	time.Sleep(150 * time.Millisecond)
	must.Len(t, 2, hub.taken(), must.Sprint("the job was sent to a silent leader"))

	hub.quiet.Store(false)
	must.Eq(t, contract.VerdictOverload, (<-held).Verdict)
	must.Eq(t, "/q/held", hub.taken()[2].Path)
	must.False(t, hub.taken()[2].Resubmitted)
}
