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

// startedClient starts every run.
type startedClient struct{ WorkerClient }

func (startedClient) Start(context.Context, StartCall) (Refusal, error) { return NotRefused, nil }

// newDirectAgent returns an agent in a direct session with a worker of two cores, and an
// entry that is alive.
func newDirectAgent(t *testing.T) (*Agent, *workerInstance, *entryLink) {
	a := New(Config{
		Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()}, DirectStarts: true,
		Lease: time.Second, MaxLease: time.Second, AuthorityTTL: 850 * time.Millisecond,
		Connect: func(contract.WorkerAnnouncement) WorkerClient { return startedClient{} },
	})
	a.ctx, a.group, a.term = t.Context(), new(errgroup.Group), 5
	a.leaderLostAt = boottime.Now() - directAfter
	w := newWorkerInstance(a, contract.WorkerAnnouncement{ID: "w", Capacity: contract.Capacity{MilliCPU: 2000, MemoryMB: 100}})
	a.instance, a.session, w.inSession = w, 7, true
	w.setClock(1000)
	w.confirmedLeaseEndMS = 1400
	w.tryDirect(boottime.Now())
	must.True(t, w.direct)
	l, _ := newLeaderLink(t)
	e := &entryLink{link: l, aliveAt: boottime.Now()}
	return a, w, e
}

func directStart(name string) *contract.DirectStart {
	return &contract.DirectStart{Start: contract.RunStart{RunRef: contract.RunRef{Job: contract.DurableJobID(name), Run: 9}, Name: name, Demand: contract.Demand{MilliCPU: 800}}}
}

// TestDirectStartConditions checks each condition for a direct start. A start in spite
// of one would let a task run twice or overload the worker.
func TestDirectStartConditions(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*Agent, *workerInstance, *entryLink)
		starts  bool
	}{
		{"all hold", func(*Agent, *workerInstance, *entryLink) {}, true},
		{"a leader is known", func(a *Agent, _ *workerInstance, e *entryLink) { a.LeaderChanged(e.link, 6) }, false},
		{"a leader was known in the session", func(a *Agent, _ *workerInstance, e *entryLink) {
			a.LeaderChanged(e.link, 6)
			a.LeaderChanged(nil, 6)
		}, false},
		{"the session is no direct one", func(_ *Agent, w *workerInstance, _ *entryLink) { w.direct = false }, false},
		{"the session is ending", func(_ *Agent, w *workerInstance, _ *entryLink) { w.sessionEnding = true }, false},
		{"draining", func(_ *Agent, w *workerInstance, _ *entryLink) { w.worker.Draining = true }, false},
		{"evacuated", func(a *Agent, _ *workerInstance, _ *entryLink) { a.cfg.Evacuated = func(string) bool { return true } }, false},
		{"without a leader for long, where domains may be evacuated", func(a *Agent, _ *workerInstance, _ *entryLink) {
			a.cfg.MaxLeaderless, a.leaderLostAt = time.Second, boottime.Now()-1001*time.Millisecond
		}, false},
		{"no confirmed lease", func(_ *Agent, w *workerInstance, _ *entryLink) { w.confirmedLeaseEndMS = 1100 }, false},
		{"entry silent", func(_ *Agent, _ *workerInstance, e *entryLink) { e.aliveAt -= directSilence }, false},
		{"entry down", func(_ *Agent, _ *workerInstance, e *entryLink) { e.downAt = boottime.Now() }, false},
		{"task is there", func(_ *Agent, w *workerInstance, _ *entryLink) {
			w.runs[NamedRun{Name: "a", Run: 1}] = &run{stopping: true}
		}, false},
		{"no capacity beside a run that is being stopped", func(_ *Agent, w *workerInstance, _ *entryLink) {
			w.runs[NamedRun{Name: "b", Run: 1}] = &run{stopping: true, need: contract.Demand{MilliCPU: 1201}}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, w, e := newDirectAgent(t)
			c.prepare(a, w, e)
			before := len(w.runs)
			a.mu.Lock()
			a.handleDirectStart(boottime.Now(), e, directStart("a"))
			after := len(w.runs)
			a.mu.Unlock()
			must.Eq(t, c.starts, after > before)
		})
	}
}

// TestSessionOfALeaderNeverBecomesDirect checks that a session that was reported to a
// leader is ended first, and that nothing begins while runs or a leader are there.
func TestSessionOfALeaderNeverBecomesDirect(t *testing.T) {
	cases := []struct {
		name           string
		prepare        func(*Agent, *workerInstance)
		direct, ending bool
	}{
		{"fresh", func(*Agent, *workerInstance) {}, true, false},
		{"reported", func(a *Agent, _ *workerInstance) { a.sessionReported = true }, false, true},
		{"runs left", func(_ *Agent, w *workerInstance) { w.runs[NamedRun{Name: "a"}] = &run{} }, false, false},
		{"never had a leader", func(a *Agent, _ *workerInstance) { a.term = 0 }, false, false},
		{"leader lost just now", func(a *Agent, _ *workerInstance) { a.leaderLostAt = boottime.Now() }, false, false},
		{"switched off", func(a *Agent, _ *workerInstance) { a.cfg.DirectStarts = false }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, w, _ := newDirectAgent(t)
			w.direct = false
			c.prepare(a, w)
			w.tryDirect(boottime.Now())
			must.Eq(t, c.direct, w.direct)
			must.Eq(t, c.ending, w.sessionEnding)
		})
	}
}

// TestLeaseAloneEndsBeforeALeaderExpiresTheSession checks invariant 3: after the first
// report of a direct session the agent's own authority ends one authority TTL after it,
// whatever leaders come and go.
func TestLeaseAloneEndsBeforeALeaderExpiresTheSession(t *testing.T) {
	a, w, e := newDirectAgent(t)
	far := boottime.Now() + time.Hour
	must.Eq(t, far+directLease, w.leaseAuthorityEnd(far), must.Sprint("without a leader"))
	a.LeaderChanged(e.link, 6)
	reported := boottime.Now()
	a.LeaderChanged(nil, 6)
	a.LeaderChanged(e.link, 6)
	must.LessEq(t, reported+a.cfg.AuthorityTTL, w.leaseAuthorityEnd(far))
}

// TestStoppingAgentReportsNoEndOfLiveRuns lets the process end while a run is alive on
// the worker, whose lease goes on for a while. Neither a new session nor the end of the
// run may be reported: its task would start elsewhere at the same time.
func TestStoppingAgentReportsNoEndOfLiveRuns(t *testing.T) {
	a, w, e := newDirectAgent(t)
	var ends chan contract.Message
	e.link, ends = newLeaderLink(t)
	a.handleDirectStart(boottime.Now(), e, directStart("a"))
	must.MapLen(t, 1, w.runs)
	w.cancel()
	w.awaitLeaseExpiry()
	must.Eq(t, contract.WorkerSession(7), a.session)
	must.NoError(t, e.link.Send(&contract.DirectBeat{Stamp: 1}))
	_, first := (<-ends).(*contract.DirectBeat)
	must.True(t, first, must.Sprint("the end of a run was reported before its lease had ended"))
}
