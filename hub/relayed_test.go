package hub

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/gateway"
	"github.com/carawaylanding/carawaylanding/internal/leasedworker"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/relay"
	"github.com/carawaylanding/carawaylanding/workeragent"
)

// TestRunsGoOnThroughARelay cuts the agent of the only worker off from the hub for
// longer than a session lasts, while an entry reaches both. The runs must go on in
// their session, and the worker must get new work.
func TestRunsGoOnThroughARelay(t *testing.T) {
	c := &cluster{
		t: t, hubInstances: map[int]*Hub{}, workerAgents: map[string]*workeragent.Agent{}, agentProcesses: map[string]*process{},
		runChecker: leasedworker.NewRunChecker(), workers: map[string]*leasedworker.Worker{}, hubProcesses: []*process{nil}, dirs: []string{t.TempDir()},
	}
	hubListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	hubAddr := hubListener.Addr().String()
	// The hub is known by the address of a proxy, and the entry also knows its own.
	direct, err := testbed.NewRelay(hubAddr)
	must.NoError(t, err)
	t.Cleanup(direct.Close)
	c.addrs = []string{direct.Addr()}
	c.runHub(0, hubListener, true)

	relayListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	entryConfig := c.uplinkConfig("gw", contract.RoleEntry)
	entryConfig.Seeds = func() []string { return []string{hubAddr} }
	entryConfig.Hello.RelayAddr = relayListener.Addr().String()
	c.gateway = gateway.New(entryConfig, false)
	entry := c.startProcess(c.gateway.Run)
	relayServer := &relay.Server{
		Allowed: func(addr string) bool { return addr == direct.Addr() },
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", hubAddr)
		},
		IdleTimeout: LinkConfig.SilenceTimeout, Log: testLog("gw"),
	}
	relayProcess := c.startProcess(func(ctx context.Context) error { return relayServer.Serve(ctx, relayListener) })
	c.workers["w1"] = leasedworker.New("w1", c.runChecker)
	c.startAgent("w1")
	t.Cleanup(func() {
		c.agentProcesses["w1"].stop()
		relayProcess.stop()
		entry.stop()
		c.hubProcesses[0].stop()
	})

	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 1, 4000))
	c.waitFor("the task runs", func() bool { return c.workers["w1"].Running() == 1 })
	// The relays are announced at most every relayAnnounceInterval.
	time.Sleep(relayAnnounceInterval + 200*time.Millisecond)

	direct.Cut(testbed.Forward, testbed.Backward)
	time.Sleep(2 * sessionTTL)
	must.Eq(t, 1, c.runChecker.Starts(), must.Sprint("the run was lost with its session"))
	c.submitUntilAccepted(testJob("b", 1, 20))
	c.waitCompleted("b")
	c.waitCompleted("a")
	must.Eq(t, 2, c.runChecker.Starts())
	must.Eq(t, nil, c.runChecker.Violations())
}
