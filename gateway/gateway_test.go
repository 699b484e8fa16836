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

// testTimeout limits how long a test waits for its result. No result depends on
// how long that takes.
const testTimeout = 20 * time.Second

// fakeHub reports that it is the leader. It answers the first submission with
// VerdictNotLeader and later ones with VerdictOverload.
type fakeHub struct {
	mu      sync.Mutex // guards the fields below
	submits []contract.JobSubmit
	// closeNext makes the hub close the link instead of its next answer.
	closeNext bool
}

func (h *fakeHub) LinkUp(l *link.Link) {
	_ = l.Send(&contract.HubState{Term: 1, Leads: true})
}

func (h *fakeHub) LinkDown(*link.Link, error) {}

func (h *fakeHub) Receive(l *link.Link, seq uint64, m contract.Message) {
	sub, ok := m.(*contract.JobSubmit)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submits = append(h.submits, *sub)
	if h.closeNext {
		h.closeNext = false
		l.Close()
		return
	}
	verdict := contract.VerdictOverload
	if len(h.submits) == 1 {
		verdict = contract.VerdictNotLeader
	}
	_ = l.Reply(seq, &contract.JobReply{Verdict: verdict})
}

func startGateway(t *testing.T, seeds ...string) *Gateway {
	g := New(uplink.Config{
		Hello: contract.Hello{Host: "gw", Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleEntry}},
		Seeds: func() []string { return seeds }, Link: link.Config{}, Log: logr.Discard(),
	}, false)
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

// TestHubThatDoesNotLeadHasTakenNothing covers a change of leader. A request
// that has only reached a hub that is not the leader must be sent to the next
// leader as new, with Resubmitted unset, since only then may that leader report
// that it never ran.
func TestHubThatDoesNotLeadHasTakenNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &fakeHub{}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	server := &link.Server{Local: contract.Hello{Host: "hub", Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleControl}}, Handler: h}
	go func() { _ = server.Serve(serving, ln) }()
	g := startGateway(t, ln.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := g.Ask(ctx, &contract.JobSubmit{Host: "h", Path: "/q/a"})
	must.True(t, a.Answered)
	must.Eq(t, contract.VerdictOverload, a.Verdict)
	must.Len(t, 2, h.submits)
	must.False(t, h.submits[1].Resubmitted, must.Sprint("nothing can have been started"))
	must.Positive(t, h.submits[1].Age)
	must.Eq(t, 1, h.submits[1].Term)
	must.Zero(t, h.submits[1].LastTerm)

	h.mu.Lock()
	h.closeNext = true
	h.mu.Unlock()
	must.True(t, g.Ask(ctx, &contract.JobSubmit{Host: "h", Path: "/q/b"}).PossiblyAccepted)
	must.Len(t, 4, h.submits)
	must.True(t, h.submits[3].Resubmitted)
	must.Eq(t, 1, h.submits[3].LastTerm, must.Sprint("the first message may have been taken"))
	l, _ := g.uplink.Leader()
	l.Close()
	_, sent := g.askHub(context.Background(), l, &contract.JobSubmit{}, nil)
	must.False(t, sent, must.Sprint("nothing was sent on a link that is down"))
}

// TestWithoutALeaderForLongRequestsAreRefusedAtOnce covers the loss of a
// majority of the hubs. Requests must not wait until their deadlines for a
// leader.
func TestWithoutALeaderForLongRequestsAreRefusedAtOnce(t *testing.T) {
	g := startGateway(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := g.Ask(ctx, &contract.JobSubmit{Host: "h", Path: "/q/a"})
	must.False(t, a.PossiblyAccepted)
	must.NoError(t, ctx.Err())
}
