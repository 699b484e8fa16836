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

// fakeEntry is an entry that passes the agent's links, and its messages apart
// from heartbeats, to the test.
type fakeEntry struct {
	links    chan *link.Link
	messages chan contract.Message
}

func (f *fakeEntry) LinkUp(l *link.Link)        { f.links <- l }
func (f *fakeEntry) LinkDown(*link.Link, error) {}
func (f *fakeEntry) Receive(_ *link.Link, _ uint64, m contract.Message) {
	if _, ok := m.(*contract.Heartbeat); !ok {
		f.messages <- m
	}
}

// harness runs an agent with one slot, its upstream, and an entry.
type harness struct {
	t          *testing.T
	entryAddr  string
	starts     atomic.Int32
	finishTask chan struct{}
	entry      *fakeEntry
	stopEntry  context.CancelFunc
	entryDone  chan error
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, finishTask: make(chan struct{})}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		h.starts.Add(1)
		select {
		case <-h.finishTask:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(upstream.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h.entryAddr = ln.Addr().String()
	h.serveEntry(ln, 1)
	httpLn, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	a := New(Config{
		Identity: host.Identity{Ref: host.Ref{Host: "w", Incarnation: selfIncarnation}},
		Capacity: contract.Capacity{Slots: 1},
		Upstream: upstream.URL, Entries: []string{h.entryAddr}, HTTPListener: httpLn, Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		close(h.finishTask)
		h.stopEntry()
		cancel()
		must.NoError(t, <-done)
	})
	return h
}

// serveEntry starts an incarnation of the entry.
func (h *harness) serveEntry(ln net.Listener, inc contract.Incarnation) {
	ctx, cancel := context.WithCancel(context.Background())
	h.entry = &fakeEntry{links: make(chan *link.Link, 8), messages: make(chan contract.Message, 64)}
	h.stopEntry = cancel
	h.entryDone = make(chan error, 1)
	srv := &link.Server{Local: contract.Hello{Host: "e", Incarnation: inc}, Handler: h.entry}
	go func() { h.entryDone <- srv.Serve(ctx, ln) }()
}

// restartEntry stops the entry, starts another incarnation on the same address,
// and returns the agent's link to it.
func (h *harness) restartEntry(inc contract.Incarnation) *link.Link {
	h.stopEntry()
	must.NoError(h.t, <-h.entryDone)
	ln, err := net.Listen("tcp", h.entryAddr)
	must.NoError(h.t, err)
	h.serveEntry(ln, inc)
	return <-h.entry.links
}

// awaitStarts waits until the upstream has received n requests in total.
func (h *harness) awaitStarts(n int32) {
	for h.starts.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

// awaitMessage returns the next message of type M and discards those before it.
func awaitMessage[M contract.Message](h *harness) M {
	for {
		if m, ok := (<-h.entry.messages).(M); ok {
			return m
		}
	}
}

func startWithLease(i uint32, lease time.Duration) *contract.Start {
	s := firstAttempt(i)
	s.Method, s.Path, s.Lease = "POST", "/", lease
	return s
}

const longLease = time.Minute

// A result that was sent but not acknowledged must not be lost with the link: it
// is sent again on the next link, until the entry acknowledges it.
func TestResultIsSentAgainUntilAcknowledged(t *testing.T) {
	h := newHarness(t)
	l := <-h.entry.links
	must.NoError(t, l.Send(startWithLease(0, longLease)))
	h.awaitStarts(1)
	h.finishTask <- struct{}{}
	must.Eq(t, contract.OutcomeRan, awaitMessage[*contract.Result](h).Outcome)
	l = h.restartEntry(1)
	must.Eq(t, firstAttempt(0).Task, awaitMessage[*contract.Result](h).Task)
	must.NoError(t, l.Send(&contract.ResultAck{Tasks: []contract.TaskID{firstAttempt(0).Task}}))
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{firstAttempt(0).Task}, Attempts: []uint32{1}}))
	must.Eq(t, http.StatusGone, awaitMessage[*contract.Result](h).Status)
	must.Eq(t, contract.TaskDone, awaitMessage[*contract.TaskStates](h).Reports[0].State)
	must.Eq(t, 1, h.starts.Load())
}

// An entry's waiting tasks must not start after the entry has restarted; its
// running task continues, and the new incarnation gets the result.
func TestWaitingTasksOfARestartedEntryAreFenced(t *testing.T) {
	h := newHarness(t)
	l := <-h.entry.links
	must.NoError(t, l.Send(startWithLease(0, longLease)))
	must.NoError(t, l.Send(startWithLease(1, longLease)))
	h.awaitStarts(1)
	l = h.restartEntry(2)
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{firstAttempt(0).Task, firstAttempt(1).Task}, Attempts: []uint32{1, 1}}))
	reports := awaitMessage[*contract.TaskStates](h).Reports
	must.Eq(t, contract.TaskRunning, reports[0].State)
	must.Eq(t, contract.TaskFenced, reports[1].State)
	h.finishTask <- struct{}{}
	must.Eq(t, firstAttempt(0).Task, awaitMessage[*contract.Result](h).Task)
	must.Eq(t, 1, h.starts.Load())
}

// The lease of a task that waits at the agent runs from its arrival, not from its
// start: the second task must not start after its lease has expired. The first lease is
// long enough for its task to start on a loaded machine; with 50 ms it once passed first.
func TestLeaseCountsFromTheArrival(t *testing.T) {
	h := newHarness(t)
	l := <-h.entry.links
	must.NoError(t, l.Send(startWithLease(0, 500*time.Millisecond)))
	must.NoError(t, l.Send(startWithLease(1, 10*time.Millisecond)))
	stopped := awaitMessage[*contract.Result](h)
	must.Eq(t, firstAttempt(0).Task, stopped.Task)
	must.Eq(t, contract.OutcomeUnknown, stopped.Outcome)
	expired := awaitMessage[*contract.Result](h)
	must.Eq(t, firstAttempt(1).Task, expired.Task)
	must.Eq(t, contract.OutcomeNotRun, expired.Outcome)
	must.Eq(t, 1, h.starts.Load())
}

// A cancel stops only the tasks that the sender owns: a cancel from a restarted
// entry must not stop a task of the entry's previous incarnation.
func TestCancelStopsOnlyTheOwnersWork(t *testing.T) {
	h := newHarness(t)
	l := <-h.entry.links
	must.NoError(t, l.Send(startWithLease(0, longLease)))
	must.NoError(t, l.Send(startWithLease(1, longLease)))
	h.awaitStarts(1)
	must.NoError(t, l.Send(&contract.Cancel{Job: firstAttempt(0).Task.Job}))
	must.Eq(t, contract.TaskFenced, awaitMessage[*contract.TaskStates](h).Reports[0].State)
	must.Eq(t, contract.OutcomeUnknown, awaitMessage[*contract.Result](h).Outcome)
	must.NoError(t, l.Send(startWithLease(2, longLease)))
	h.awaitStarts(2)
	l = h.restartEntry(2)
	must.NoError(t, l.Send(&contract.Cancel{Job: firstAttempt(0).Task.Job}))
	must.NoError(t, l.Send(&contract.Fence{Tasks: []contract.TaskID{firstAttempt(2).Task}, Attempts: []uint32{1}}))
	must.Eq(t, contract.TaskRunning, awaitMessage[*contract.TaskStates](h).Reports[0].State)
}
