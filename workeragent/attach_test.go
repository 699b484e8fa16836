package workeragent

import (
	"context"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// messages passes on the links that come up and the messages that arrive.
type messages struct {
	up       chan *link.Link
	received chan contract.Message
}

func newMessages() messages {
	return messages{up: make(chan *link.Link, 1), received: make(chan contract.Message, 16)}
}

func (m messages) LinkUp(l *link.Link)                                { m.up <- l }
func (m messages) Receive(_ *link.Link, _ uint64, c contract.Message) { m.received <- c }
func (m messages) LinkDown(*link.Link, error)                         {}

// newLeaderLink returns the agent's end of a link, and what arrives at the other end.
func newLeaderLink(t *testing.T) (*link.Link, chan contract.Message) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	hub, agent := newMessages(), newMessages()
	go (&link.Server{Local: contract.Hello{Host: "hub"}, Handler: hub}).Serve(ctx, ln)
	go (&link.Dialer{Addr: ln.Addr().String(), Local: contract.Hello{Host: "w"}, Handler: agent}).Run(ctx)
	return <-agent.up, hub.received
}

// TestOrdersOfAnEarlierAttachmentAreIgnored lets an agent change from one link to
// another and back. Orders that were sent before the change may arrive after it; the
// leader has counted them as lost. Nor do orders of an earlier leader count.
func TestOrdersOfAnEarlierAttachmentAreIgnored(t *testing.T) {
	a := New(Config{Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()}})
	a.session = 7
	first, received := newLeaderLink(t)
	second, _ := newLeaderLink(t)
	report := func() *contract.WorkerReport { return (<-received).(*contract.WorkerReport) }
	a.LeaderChanged(first, 3)
	before := report().AttachID
	a.LeaderChanged(second, 3)
	a.LeaderChanged(first, 3)
	now := report().AttachID
	must.Greater(t, before, now)

	order := func(attachID int64) *contract.WorkerOrders {
		return &contract.WorkerOrders{Number: 1, Term: 3, Session: 7, AttachID: attachID, Starts: []contract.RunStart{{Name: "t"}}}
	}
	a.Received(first, order(before))
	a.Received(first, order(now))
	taken, ok := (<-received).(*contract.OrdersTaken)
	must.True(t, ok)
	must.Eq(t, now, taken.AttachID, must.Sprint("orders of the earlier attachment were taken"))

	// Without a worker, the agent answers each order that counts with WorkerEnds.
	must.Eq(t, contract.KindWorkerEnds, (<-received).MessageKind())
	earlier := order(now)
	earlier.Term = 2
	a.Received(first, earlier)
	a.Received(first, order(now))
	must.Eq(t, contract.KindOrdersTaken, (<-received).MessageKind())
	must.Eq(t, contract.KindOrdersTaken, (<-received).MessageKind(), must.Sprint("the order of an earlier leader was carried out"))
}
