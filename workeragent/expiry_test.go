package workeragent

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// startingClient is a client of a worker that carries out each start.
type startingClient struct {
	WorkerClient
	started chan StartCall
}

func (c startingClient) Start(_ context.Context, call StartCall) (Refusal, error) {
	c.started <- call
	return NotRefused, nil
}

// absentClient is a client of a worker that answers no poll.
type absentClient struct{ WorkerClient }

func (absentClient) Poll(context.Context, PollCall) (PollReply, error) {
	return PollReply{}, ErrNotListening
}

func (absentClient) Close() {}

// newInstanceInSession returns an agent and its worker, which is in session 7 and
// reads 1000 on its clock.
func newInstanceInSession(t *testing.T, c WorkerClient) (*Agent, *workerInstance) {
	a := New(Config{
		Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()},
		Lease:  time.Second, MaxLease: time.Second, AuthorityTTL: time.Second,
		Connect: func(contract.WorkerAnnouncement) WorkerClient { return c },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	a.group, a.ctx = errgroup.WithContext(ctx)
	a.session, a.term = 7, 3
	a.authorityEnd = boottime.Now() + time.Minute
	a.instance = newWorkerInstance(a, contract.WorkerAnnouncement{ID: "w", Pool: "p"})
	a.instance.inSession = true
	a.instance.setClock(1000)
	return a, a.instance
}

// TestReportWhileLeaseRunsOut changes the link to the leader while the lease of a
// worker that stopped answering runs out. A report without the runs, which may be
// alive until then, makes the leader start their tasks elsewhere at once.
func TestReportWhileLeaseRunsOut(t *testing.T) {
	a, w := newInstanceInSession(t, noClient{})
	ref := contract.RunRef{Job: "j", Task: 2, Run: 9}
	w.runs[NamedRun{Name: "j.0.0.2", Run: 9}] = &run{ref: ref, phase: phaseRunning}
	w.latestLeaseEndMS = 1400
	ended := make(chan struct{})
	go func() { w.awaitLeaseExpiry(); close(ended) }()
	must.True(t, eventually(func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return !w.inSession
	}))
	l, received := newLeaderLink(t)
	a.LeaderChanged(l, 3)
	r := (<-received).(*contract.WorkerReport)
	must.Eq(t, 7, r.Session)
	must.False(t, r.NoWorker, must.Sprint("the report says that no run is left"))
	must.Eq(t, []contract.PlacedRun{{RunRef: ref}}, r.Running)
	must.True(t, r.Worker.Draining, must.Sprint("the worker would get new runs"))

	<-ended
	r = (<-received).(*contract.WorkerReport)
	must.NotEq(t, 7, r.Session)
	must.SliceEmpty(t, r.Running)
	must.True(t, r.NoWorker)
}

func eventually(f func() bool) bool {
	for range 1000 {
		if f() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// TestPendingStartsWaitForAConfirmedLease answers a poll that renewed nothing, as the
// one after an unanswered poll does. A run started then ends the session: its lease was
// never confirmed, so it may have expired.
func TestPendingStartsWaitForAConfirmedLease(t *testing.T) {
	c := startingClient{started: make(chan StartCall, 1)}
	_, w := newInstanceInSession(t, c)
	w.pendingStarts = []contract.RunStart{{Name: "j.0.0.0"}}
	w.handlePollReply(PollReply{ClockMS: 1010}, PollCall{}, 1)
	must.MapEmpty(t, w.runs)
	must.Len(t, 1, w.pendingStarts)
	w.handlePollReply(PollReply{ClockMS: 1020}, PollCall{DeadlineMS: 1500}, 2)
	must.Eq(t, "j.0.0.0", (<-c.started).Name)
	must.SliceEmpty(t, w.pendingStarts)
}

// TestReportAfterTheWorkerWasReplaced changes the link to the leader just after a new
// instance of the worker has announced itself. The earlier one may be alive until its
// lease has expired; a report without its runs makes the leader start their tasks
// elsewhere at once. The second replacement follows before the first instance's lease has
// expired.
func TestReportAfterTheWorkerWasReplaced(t *testing.T) {
	a, w := newInstanceInSession(t, absentClient{})
	ref := contract.RunRef{Job: "j", Task: 2, Run: 9}
	w.runs[NamedRun{Name: "j.0.0.2", Run: 9}] = &run{ref: ref, phase: phaseRunning}
	w.latestLeaseEndMS = 1200
	for started := range 3 {
		a.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w", Pool: "p", StartedMillis: int64(started)})
	}
	attach := func() *contract.WorkerReport {
		l, received := newLeaderLink(t)
		a.LeaderChanged(l, 3)
		return (<-received).(*contract.WorkerReport)
	}
	r := attach()
	must.Eq(t, 7, r.Session)
	must.False(t, r.NoWorker, must.Sprint("the report says that no run is left"))
	must.Eq(t, []contract.PlacedRun{{RunRef: ref}}, r.Running)
	must.True(t, r.Worker.Draining, must.Sprint("the worker would get new runs"))

	time.Sleep(200*time.Millisecond + 200*time.Millisecond/contract.WorkerClockDriftDivisor + expirySlack)
	r = attach()
	must.True(t, r.NoWorker, must.Sprint("the lease has expired"))
	must.SliceEmpty(t, r.Running)
}

// TestNewInstanceIsUsedAtOnce: a worker that comes back after a crash need not wait for a
// lease that nobody can have granted. Under the ID of the crashed instance, or if this
// process did not see that one exit, it may have got calls that were meant for it.
func TestNewInstanceIsUsedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Agent, *workerInstance)
		id      contract.HostID
		atOnce  bool
	}{
		"another ID":               {func(_ *Agent, w *workerInstance) { w.workerExited("test") }, "w2", true},
		"the same ID":              {func(_ *Agent, w *workerInstance) { w.workerExited("test") }, "w", false},
		"the exit was not seen":    {func(a *Agent, _ *workerInstance) {}, "w2", false},
		"the agent has just begun": {func(a *Agent, _ *workerInstance) { a.instance = nil }, "w2", false},
	} {
		t.Run(name, func(t *testing.T) {
			a, w := newInstanceInSession(t, absentClient{})
			c.prepare(a, w)
			a.HandleAnnouncement(contract.WorkerAnnouncement{ID: c.id, StartedMillis: 5, Pool: "p"})
			next := a.instance
			next.latestLeaseEndMS = 500
			must.Eq(t, c.atOnce, next.leftovers().over(PollReply{ClockMS: 10}))
			must.False(t, next.leftovers().over(PollReply{ClockMS: 10, Ended: []EndedRun{{Seq: 1}}}))
		})
	}
}
