package uplink

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/relay"
)

const (
	testRelayAfter = 300 * time.Millisecond
	testAnnounce   = 100 * time.Millisecond
	waitTimeout    = 20 * time.Second
)

// fakeHub announces on each link that it leads, under the address hubAddr, and that
// there is a relay at relayAddr. It records the heartbeats that arrive.
type fakeHub struct {
	hubAddr, relayAddr string

	mu       sync.Mutex // guards received
	received int
}

func (h *fakeHub) LinkUp(l *link.Link) {
	_ = l.Send(&contract.RelayList{Addrs: []string{h.relayAddr}})
	go func() {
		for l.Err() == nil {
			_ = l.Send(&contract.HubState{Term: 3, Leads: true, Hubs: []string{h.hubAddr}, Leader: h.hubAddr})
			time.Sleep(testAnnounce)
		}
	}()
}

func (h *fakeHub) Receive(_ *link.Link, _ uint64, m contract.Message) {
	if _, ok := m.(*contract.AgentBeat); ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.received++
	}
}

func (h *fakeHub) LinkDown(*link.Link, error) {}

func (h *fakeHub) beats() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received
}

// leaderRecorder counts the changes of the link to the leader.
type leaderRecorder struct {
	mu      sync.Mutex // guards changes
	changes int
}

func (r *leaderRecorder) LeaderChanged(l *link.Link, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
}

func (r *leaderRecorder) Received(*link.Link, contract.Message) {}

func serve(t *testing.T, run func(context.Context, net.Listener) error) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	start(t, func(ctx context.Context) error { return run(ctx, ln) })
	return ln.Addr().String()
}

func start(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// TestLeaderIsReachedThroughARelay cuts the direct path to a hub that leads. The
// process must reach it through a relay within the time for which an agent's
// authority lasts, and return to the direct path once that is steady.
func TestLeaderIsReachedThroughARelay(t *testing.T) {
	hub := &fakeHub{}
	server := &link.Server{Local: contract.Hello{Host: "hub"}, Handler: hub}
	hubAddr := serve(t, server.Serve)
	direct, err := testbed.NewRelay(hubAddr)
	must.NoError(t, err)
	t.Cleanup(direct.Close)
	relayServer := &relay.Server{
		Allowed: func(addr string) bool { return addr == direct.Addr() },
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", hubAddr)
		},
		IdleTimeout: 2 * time.Second, Log: logr.Discard(),
	}
	hub.hubAddr, hub.relayAddr = direct.Addr(), serve(t, relayServer.Serve)

	u := New(Config{
		Hello: contract.Hello{Host: "agent"}, Seeds: func() []string { return []string{direct.Addr()} },
		RelayAfter: testRelayAfter, Log: logr.Discard(),
	}, &leaderRecorder{})
	start(t, u.Run)
	onPath := func(relayed bool) bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.leader != nil && u.leader.relayed == relayed && len(u.relays) > 0
	}
	waitFor(t, "direct path", func() bool { return onPath(false) })

	direct.Cut(testbed.Forward, testbed.Backward)
	waitFor(t, "relayed path", func() bool { return onPath(true) })
	before := hub.beats()
	waitFor(t, "messages through the relay", func() bool {
		if l, _ := u.Leader(); l != nil {
			_ = l.Send(&contract.AgentBeat{})
		}
		return hub.beats() > before
	})

	direct.Heal()
	waitFor(t, "direct path again", func() bool { return onPath(false) })
	waitFor(t, "relayed path closed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.relayed) == 0
	})
}

// TestRelayRefusesOtherAddresses asks a relay for an address that is no hub: it must
// not become an open proxy.
func TestRelayRefusesOtherAddresses(t *testing.T) {
	hub := &fakeHub{}
	server := &link.Server{Local: contract.Hello{Host: "other"}, Handler: hub}
	otherAddr := serve(t, server.Serve)
	relayServer := &relay.Server{Allowed: func(string) bool { return false }, IdleTimeout: time.Second, Log: logr.Discard()}
	relayAddr := serve(t, relayServer.Serve)
	conn, err := net.Dial("tcp", relayAddr)
	must.NoError(t, err)
	defer conn.Close()
	open, err := link.AppendFrame(nil, link.Frame{Message: &contract.RelayOpen{Hub: otherAddr}})
	must.NoError(t, err)
	_, err = conn.Write(open)
	must.NoError(t, err)
	_, err = link.ReadFrame(conn)
	must.Error(t, err, must.Sprint("the relay connected to a host that is no hub"))
}

func TestBetterPath(t *testing.T) {
	const now = time.Minute
	steady := path{isUp: true, leads: true, term: 2, stateAt: now, heardAt: now, steadySince: now - time.Hour}
	change := func(f func(*path)) path {
		p := steady
		f(&p)
		return p
	}
	relayed := change(func(p *path) { p.relayed = true })
	silent := change(func(p *path) { p.heardAt = now - testRelayAfter - 1 })
	fresh := change(func(p *path) { p.steadySince = now - directSteadyTime/2 })
	cases := []struct {
		name          string
		better, worse path
	}{
		{"a direct path goes before a relayed one", steady, relayed},
		{"a relayed path replaces a silent direct one", relayed, silent},
		{"a relayed path stays until the direct one is steady", relayed, fresh},
		{"the higher term goes first, also through a relay", change(func(p *path) { p.relayed, p.term = true, 3 }), steady},
		{"a relayed path must have settled", fresh, change(func(p *path) { p.relayed, p.steadySince = true, now })},
	}
	for _, c := range cases {
		must.True(t, c.better.betterThan(&c.worse, now, testRelayAfter), must.Sprint(c.name))
		must.False(t, c.worse.betterThan(&c.better, now, testRelayAfter), must.Sprint(c.name))
	}
	settling := change(func(p *path) { p.relayed, p.steadySince = true, now })
	must.False(t, settling.betterThan(&silent, now, testRelayAfter))
}

// TestBrokenPath checks after which silence a direct path is replaced: a hub that
// does not lead sends a heartbeat only now and then.
func TestBrokenPath(t *testing.T) {
	const now = time.Minute
	cases := []struct {
		name string
		p    path
		want bool
	}{
		{"leader heard", path{isUp: true, leads: true, heardAt: now - testAnnounce}, false},
		{"leader silent", path{isUp: true, leads: true, heardAt: now - testRelayAfter - 1}, true},
		{"follower between heartbeats", path{isUp: true, heardAt: now - 700*time.Millisecond}, false},
		{"follower silent", path{isUp: true, heardAt: now - hubSilence - 1}, true},
		{"just lost", path{heardAt: now - 50*time.Millisecond}, false},
		{"lost", path{heardAt: now - testRelayAfter - 1}, true},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.p.broken(now, testRelayAfter), must.Sprint(c.name))
		must.False(t, c.p.broken(now, 0) && c.p.leads, must.Sprint("without relays no leader's path is broken"))
	}
}
