package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// patience bounds how long a test waits; no test depends on how long it takes.
const patience = 20 * time.Second

// standinHub says that it leads, answers the first submission that it does not,
// and refuses those after it.
type standinHub struct {
	mu  sync.Mutex // guards got
	got []contract.JobSubmit
}

func (h *standinHub) LinkUp(l *link.Link) {
	_ = l.Send(&contract.HubState{Term: 1, Leads: true})
}

func (h *standinHub) LinkDown(*link.Link, error) {}

func (h *standinHub) Receive(l *link.Link, seq uint64, m contract.Message) {
	sub, ok := m.(*contract.JobSubmit)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, *sub)
	verdict := contract.VerdictOverload
	if len(h.got) == 1 {
		verdict = contract.VerdictNotLeader
	}
	_ = l.Reply(seq, &contract.JobReply{Verdict: verdict})
}

func startGateway(t *testing.T, seeds ...string) *Gateway {
	g := New(uplink.Config{
		Hello: contract.Hello{Host: "gw", Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleEntry}},
		Seeds: func() []string { return seeds }, Link: link.Config{}, Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

// TestHubThatDoesNotLeadHasTakenNothing replays a change of leader: a request
// that only reached a hub which does not lead is new to the next one, which may
// refuse it truthfully.
func TestHubThatDoesNotLeadHasTakenNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &standinHub{}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	server := &link.Server{Local: contract.Hello{Host: "hub", Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleControl}}, Handler: h}
	go func() { _ = server.Serve(serving, ln) }()
	g := startGateway(t, ln.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := g.Ask(ctx, &contract.JobSubmit{Host: "h", Path: "/q/a"})
	must.True(t, a.Answered)
	must.Eq(t, contract.VerdictOverload, a.Verdict)
	must.Len(t, 2, h.got)
	must.False(t, h.got[1].Again, must.Sprint("nothing can have been started"))
	must.Positive(t, h.got[1].Age)
}

// TestWithoutALeaderForLongRequestsAreRefusedAtOnce replays the loss of a
// majority: nobody waits until the deadline for an answer that can't come.
func TestWithoutALeaderForLongRequestsAreRefusedAtOnce(t *testing.T) {
	g := startGateway(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a := g.Ask(ctx, &contract.JobSubmit{Host: "h", Path: "/q/a"})
	must.False(t, a.Reached)
	must.NoError(t, ctx.Err())
}
