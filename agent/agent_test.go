package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
)

// fakeEntry takes the agent's links and messages.
type fakeEntry struct {
	up  chan *link.Link
	got chan contract.Message
}

func (f *fakeEntry) LinkUp(l *link.Link)        { f.up <- l }
func (f *fakeEntry) LinkDown(*link.Link, error) {}
func (f *fakeEntry) Receive(_ *link.Link, _ uint64, m contract.Message) {
	if _, ok := m.(*contract.Heartbeat); !ok {
		f.got <- m
	}
}

// bench is one agent with a slot, its upstream, and the entry's address.
type bench struct {
	t       *testing.T
	addr    string
	starts  atomic.Int32
	release chan struct{}
	entry   *fakeEntry
	stop    context.CancelFunc
	served  chan error
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, release: make(chan struct{})}
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		b.starts.Add(1)
		select {
		case <-b.release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(up.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	b.addr = ln.Addr().String()
	b.serve(ln, 1)
	httpLn, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := New(Config{
		Identity: host.Identity{Ref: host.Ref{Host: "w", Incarnation: self}},
		Capacity: contract.Capacity{Slots: 1},
		Upstream: up.URL, Entries: []string{b.addr}, HTTPListener: httpLn, Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		close(b.release)
		b.stop()
		cancel()
		must.NoError(t, <-done)
	})
	return b
}

// serve runs one life of the entry.
func (b *bench) serve(ln net.Listener, inc contract.Incarnation) {
	ctx, cancel := context.WithCancel(context.Background())
	b.entry = &fakeEntry{up: make(chan *link.Link, 8), got: make(chan contract.Message, 64)}
	b.stop = cancel
	b.served = make(chan error, 1)
	srv := &link.Server{Local: contract.Hello{Host: "e", Incarnation: inc}, Handler: b.entry}
	go func() { b.served <- srv.Serve(ctx, ln) }()
}

// restart ends the entry and starts its next life on the same address.
func (b *bench) restart(inc contract.Incarnation) *link.Link {
	b.stop()
	must.NoError(b.t, <-b.served)
	ln, err := net.Listen("tcp", b.addr)
	must.NoError(b.t, err)
	b.serve(ln, inc)
	return <-b.entry.up
}

func (b *bench) awaitStarts(n int32) {
	for b.starts.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

// next returns the next message of the type.
func next[M contract.Message](b *bench) M {
	for {
		if m, ok := (<-b.entry.got).(M); ok {
			return m
		}
	}
}

func leased(i uint32, lease time.Duration) *contract.Start {
	s := start(i)
	s.Method, s.Path, s.Lease = "POST", "/", lease
	return s
}

const longLease = time.Minute

func TestResultIsSentAgainUntilAcknowledged(t *testing.T) {
	b := newBench(t)
	l := <-b.entry.up
	must.NoError(t, l.Send(leased(0, longLease)))
	b.awaitStarts(1)
	b.release <- struct{}{}
	must.Eq(t, contract.OutcomeRan, next[*contract.Result](b).Outcome)
	l = b.restart(1)
	must.Eq(t, start(0).Task, next[*contract.Result](b).Task)
	must.NoError(t, l.Send(&contract.ResultAck{Tasks: []contract.TaskID{start(0).Task}}))
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{start(0).Task}, Attempts: []uint32{1}}))
	must.Eq(t, http.StatusGone, next[*contract.Result](b).Status)
	must.Eq(t, contract.TaskDone, next[*contract.TaskStates](b).Reports[0].State)
	must.Eq(t, 1, b.starts.Load())
}

func TestUnstartedWorkOfARestartedEntryIsDropped(t *testing.T) {
	b := newBench(t)
	l := <-b.entry.up
	must.NoError(t, l.Send(leased(0, longLease)))
	must.NoError(t, l.Send(leased(1, longLease)))
	b.awaitStarts(1)
	l = b.restart(2)
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{start(0).Task, start(1).Task}, Attempts: []uint32{1, 1}}))
	reports := next[*contract.TaskStates](b).Reports
	must.Eq(t, contract.TaskRunning, reports[0].State)
	must.Eq(t, contract.TaskFenced, reports[1].State)
	b.release <- struct{}{}
	must.Eq(t, start(0).Task, next[*contract.Result](b).Task)
	must.Eq(t, 1, b.starts.Load())
}

func TestLeaseCountsFromTheArrival(t *testing.T) {
	b := newBench(t)
	l := <-b.entry.up
	must.NoError(t, l.Send(leased(0, 50*time.Millisecond)))
	must.NoError(t, l.Send(leased(1, 10*time.Millisecond)))
	stopped := next[*contract.Result](b)
	must.Eq(t, start(0).Task, stopped.Task)
	must.Eq(t, contract.OutcomeUnknown, stopped.Outcome)
	late := next[*contract.Result](b)
	must.Eq(t, start(1).Task, late.Task)
	must.Eq(t, contract.OutcomeNotRun, late.Outcome)
	must.Eq(t, 1, b.starts.Load())
}

func TestCancelStopsOnlyTheOwnersWork(t *testing.T) {
	b := newBench(t)
	l := <-b.entry.up
	must.NoError(t, l.Send(leased(0, longLease)))
	must.NoError(t, l.Send(leased(1, longLease)))
	b.awaitStarts(1)
	must.NoError(t, l.Send(&contract.Cancel{Job: start(0).Task.Job}))
	must.Eq(t, contract.TaskFenced, next[*contract.TaskStates](b).Reports[0].State)
	must.Eq(t, contract.OutcomeUnknown, next[*contract.Result](b).Outcome)
	must.NoError(t, l.Send(leased(2, longLease)))
	b.awaitStarts(2)
	l = b.restart(2)
	must.NoError(t, l.Send(&contract.Cancel{Job: start(0).Task.Job}))
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{start(2).Task}, Attempts: []uint32{1}}))
	must.Eq(t, contract.TaskRunning, next[*contract.TaskStates](b).Reports[0].State)
}
