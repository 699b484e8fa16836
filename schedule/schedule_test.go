package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

const ms = time.Millisecond

// harness drives a scheduler together with a replicated state, as the leading
// hub does.
type harness struct {
	t     testing.TB
	state *durable.State
	sch   *Scheduler
	now   time.Duration
}

// newHarness returns a harness whose scheduler has been released.
func newHarness(t testing.TB) *harness {
	h := &harness{t: t, state: durable.New(), now: time.Second}
	h.sch = New(1, h.state, h.now)
	h.sch.Release()
	return h
}

// worker attaches a worker whose agent reports the given runs as running.
func (h *harness) worker(host string, milliCPU int, running ...contract.PlacedRun) {
	h.sch.WorkerReported(h.now, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: 1, Running: running,
		Worker: contract.WorkerAnnouncement{Pool: "formula", Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1000}},
	})
}

func testJob(id string, steps ...contract.DurableStep) contract.DurableJob {
	return contract.DurableJob{ID: contract.DurableJobID(id), Queue: "q", Pool: "formula", MaxAttempts: 2, Slack: 1.6, Target: 60 * ms, Steps: steps}
}

// step returns a step of count tasks that runs after the steps in after.
func step(count, milliCPU, millis int, after ...int) contract.DurableStep {
	return contract.DurableStep{Count: count, Demand: contract.Demand{MilliCPU: milliCPU, MemoryMB: 1, DeclaredMillis: millis}, After: after}
}

// apply applies a batch to the state and passes the changes to the scheduler.
func (h *harness) apply(batch durable.Batch) {
	c := h.state.Apply(&batch)
	for _, j := range c.Ended {
		h.sch.JobEnded(j.ID)
	}
	for _, j := range c.Accepted {
		h.sch.AddAccepted(j, h.now)
	}
	for _, j := range c.Rematched {
		h.sch.JobRematched(h.now, j.ID)
	}
	for _, e := range batch.Ends {
		h.sch.TaskEndApplied(e.DurableTask)
	}
}

func (h *harness) submit(j contract.DurableJob) {
	h.apply(durable.Batch{Submits: []contract.DurableJob{j}})
}

// place places waiting tasks and returns all pending orders.
func (h *harness) place() []Order {
	h.sch.Place(h.now)
	return h.sch.TakeOrders()
}

// end reports the end of a run that o started, and stores it if it counts.
func (h *harness) end(o Order, how contract.RunEndKind) {
	e := contract.RunEnded{RunRef: o.Start.RunRef, Seq: 1, Kind: how}
	if c := h.sch.RunEnded(h.now, o.Host, e); c != nil {
		h.apply(durable.Batch{Ends: []durable.TaskEnd{{DurableTask: c.DurableTask, Done: c.Done}}})
	}
}

// hosts counts the started runs by host.
func hosts(orders []Order) map[contract.HostID]int {
	m := map[contract.HostID]int{}
	for _, o := range orders {
		if o.Start != nil {
			m[o.Host]++
		}
	}
	return m
}

func TestNeverOverCapacity(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	h.worker("b", 10)
	h.submit(testJob("j", step(5, 6, 100)))
	first := h.place()
	must.Eq(t, map[contract.HostID]int{"a": 1, "b": 1}, hosts(first))
	must.SliceEmpty(t, h.place())
	h.end(first[0], contract.EndDone)
	must.Len(t, 1, h.place())
}

func TestStepsWaitForEarlierOnes(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	h.submit(testJob("j", step(2, 1, 100), step(3, 1, 100, 0)))
	first := h.place()
	must.Len(t, 2, first)
	h.end(first[0], contract.EndDone)
	must.SliceEmpty(t, h.place())
	h.end(first[1], contract.EndDone)
	second := h.place()
	must.Len(t, 3, second)
	must.Eq(t, "j.0.1.0", second[0].Start.Name)
	for _, o := range second {
		h.end(o, contract.EndDone)
	}
	must.Eq(t, contract.DurableCompleted, h.state.Jobs["j"].State)
}

func TestFailedTaskGoesElsewhereUntilItsAttemptsAreUsed(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	h.worker("b", 100)
	h.submit(testJob("j", step(1, 1, 100)))
	first := h.place()
	h.end(first[0], contract.EndFailed)
	second := h.place()
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Host, second[0].Host)
	must.Greater(t, first[0].Start.Run, second[0].Start.Run)
	h.end(second[0], contract.EndFailed)
	must.Eq(t, contract.DurableFailed, h.state.Jobs["j"].State)
	must.SliceEmpty(t, h.place())
}

// TestNewLeaderHoldsTasksThatMayRunOutOfReach checks that a new leader waits for
// Release before it starts a task that may still run on an unreachable worker.
func TestNewLeaderHoldsTasksThatMayRunOutOfReach(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	h.submit(testJob("old", step(2, 1, 100)))
	ran := h.place()[0].Start.Placed()
	h.sch = New(2, h.state, h.now)
	h.worker("a", 100, ran)
	must.SliceEmpty(t, h.place(), must.Sprint("a task that may run on another worker was started"))
	h.submit(testJob("new", step(1, 1, 100)))
	must.Len(t, 1, h.place(), must.Sprint("a job of the new term did not start at once"))
	h.sch.Release()
	orders := h.place()
	must.Len(t, 1, orders)
	must.NotEq(t, ran.Task, orders[0].Start.Task)
	must.Greater(t, ran.Run, orders[0].Start.Run)
}

func TestNewLeaderCountsEndsOfEarlierRuns(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	h.submit(testJob("old", step(1, 1, 100)))
	ran := h.place()[0].Start.RunRef
	h.sch = New(2, h.state, h.now)
	counted := h.sch.WorkerReported(h.now, &contract.WorkerReport{
		Attach: true, Host: "a", Session: 1, Ends: []contract.RunEnded{{RunRef: ran, Seq: 1, Kind: contract.EndDone}},
	})
	must.Eq(t, []TaskEnd{{contract.DurableTask{Job: "old"}, true}}, counted)
}

func TestUnclaimedRunUsesCapacityUntilStopped(t *testing.T) {
	h := newHarness(t)
	unclaimed := contract.PlacedRun{RunRef: contract.RunRef{Job: "gone", Task: 0, Run: 1}, Demand: contract.Demand{MilliCPU: 95}}
	h.worker("a", 100, unclaimed)
	h.submit(testJob("j", step(1, 10, 100)))
	must.SliceEmpty(t, h.place())
	h.now += unclaimedRunTTL + ms
	h.sch.CheckRuns(h.now)
	orders := h.place()
	must.Len(t, 1, orders)
	must.Eq(t, unclaimed.RunRef, *orders[0].Stop)
	h.sch.RunEnded(h.now, "a", contract.RunEnded{RunRef: unclaimed.RunRef, Seq: 1, Kind: contract.EndStopped})
	must.Len(t, 1, h.place())
}

// TestJobSubmittedAgainKeepsItsRuns guards against tasks that run twice at the
// same time after a change of leader, when agents attach before the gateway
// submits the job again.
func TestJobSubmittedAgainKeepsItsRuns(t *testing.T) {
	h := newHarness(t)
	d := testJob("j", step(3, 10, 100))
	alive := contract.PlacedRun{RunRef: contract.RunRef{Job: "j", Task: 0, Run: 7}, Demand: contract.Demand{MilliCPU: 10}}
	h.worker("a", 100, alive)
	h.sch.RunEnded(h.now, "a", contract.RunEnded{RunRef: contract.RunRef{Job: "j", Task: 1, Run: 8}, Seq: 1, Kind: contract.EndDone})
	j := durable.NewJob(&d, 0)
	counted := h.sch.AddTransient(j, h.now, true)
	must.Eq(t, []TaskEnd{{contract.DurableTask{Job: "j", Task: 1}, true}}, counted)
	orders := h.place()
	must.Len(t, 1, orders, must.Sprint("a task that runs, or has ended, was started again"))
	must.Eq(t, 2, orders[0].Start.Task)
	c := h.sch.RunEnded(h.now, "a", contract.RunEnded{RunRef: alive.RunRef, Seq: 2, Kind: contract.EndDone})
	must.NotNil(t, c)
	must.Eq(t, 0, c.Task)
}

// TestAbandonedJobSubmittedAgainWaitsForItsStops guards against a second run of
// a task whose first one is still being stopped. This happens when a caller's
// connection is reset, its job is abandoned, and the caller submits the job
// again.
func TestAbandonedJobSubmittedAgainWaitsForItsStops(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	d := testJob("j", step(1, 10, 100))
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	first := h.place()[0].Start.RunRef
	h.sch.JobEnded("j")
	must.Eq(t, first, *h.place()[0].Stop)
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	must.SliceEmpty(t, h.place())
	h.sch.RunEnded(h.now, "a", contract.RunEnded{RunRef: first, Seq: 1, Kind: contract.EndStopped})
	orders := h.place()
	must.Len(t, 1, orders)
	must.Greater(t, first.Run, orders[0].Start.Run)
}

// TestCancelledJobIsStoppedAndItsRoomFreedByTheEnd checks that the resources of a
// cancelled job are free for others only once its run has ended.
func TestCancelledJobIsStoppedAndItsRoomFreedByTheEnd(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	h.submit(testJob("j", step(1, 10, 100)))
	started := h.place()[0]
	h.apply(durable.Batch{Cancels: []contract.DurableJobID{"j"}})
	orders := h.place()
	must.Len(t, 1, orders)
	must.Eq(t, started.Start.RunRef, *orders[0].Stop)
	h.submit(testJob("k", step(1, 10, 100)))
	must.SliceEmpty(t, h.place())
	h.end(started, contract.EndStopped)
	must.Len(t, 1, h.place())
}

// TestLostStopIsOrderedAgain guards against a run that goes on although its job has
// ended, since the order to stop it was lost with the agent's link.
func TestLostStopIsOrderedAgain(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	h.submit(testJob("j", step(1, 10, 100)))
	started := h.place()[0].Start.Placed()
	h.apply(durable.Batch{Cancels: []contract.DurableJobID{"j"}})
	must.Len(t, 1, h.place())
	h.worker("a", 10, started)
	orders := h.place()
	must.Len(t, 1, orders)
	must.Eq(t, started.RunRef, *orders[0].Stop)
	h.worker("a", 10)
	must.SliceEmpty(t, h.place())
	must.Zero(t, h.sch.PoolSummaries(h.now)[0].UsedMilliCPU)
}

func TestSessionEndRequeuesTasks(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	h.submit(testJob("j", step(1, 10, 100)))
	must.Len(t, 1, h.place())
	h.sch.WorkerUnreachable("a")
	h.worker("b", 10)
	must.SliceEmpty(t, h.place())
	h.sch.SessionEnded("a")
	must.Eq(t, map[contract.HostID]int{"b": 1}, hosts(h.place()))
}

// TestFailingWorkerDrawsNoWork guards against a worker that fails every task at
// once, and so looks idle and attracts most of the work.
func TestFailingWorkerDrawsNoWork(t *testing.T) {
	h := newHarness(t)
	for _, host := range []string{"a", "b", "c", "d"} {
		h.worker(host, 100)
	}
	startsOnFailing := 0
	for i := range 200 {
		h.submit(testJob(fmt.Sprint(i), step(1, 1, 10)))
		for _, o := range h.place() {
			if o.Host == "a" {
				startsOnFailing++
				h.end(o, contract.EndFailed)
			} else {
				h.now += 10 * ms
				h.end(o, contract.EndDone)
			}
		}
	}
	must.Less(t, 12, startsOnFailing)
}

// TestUrgentBeforePatient checks the order of a backlog: jobs that can still meet
// their objective go before those that can't, ordered by latest start.
func TestUrgentBeforePatient(t *testing.T) {
	h := newHarness(t)
	h.submit(testJob("late", step(1, 10, 100)))
	h.now += 2 * time.Second
	h.submit(testJob("patient", step(1, 10, 900)))
	h.submit(testJob("urgent", step(1, 10, 60)))
	h.worker("a", 10)
	var got []contract.DurableJobID
	for range 3 {
		o := h.place()
		must.Len(t, 1, o)
		got = append(got, o[0].Start.Job)
		h.end(o[0], contract.EndDone)
	}
	must.Eq(t, []contract.DurableJobID{"urgent", "patient", "late"}, got)
}

// TestAdmissionRefusesWhatWouldEndTooLate submits a burst of jobs to one worker:
// a job that would miss its objective must be refused, with a retry delay.
func TestAdmissionRefusesWhatWouldEndTooLate(t *testing.T) {
	h := newHarness(t)
	j := testJob("first", step(1, 10, 100))
	must.True(t, h.sch.Admit(h.now, h.now, &j).OK, must.Sprint("refused although workers may still attach to the new leader"))
	h.now += attachGracePeriod
	must.False(t, h.sch.Admit(h.now, h.now, &j).OK, must.Sprint("admitted although the pool has no worker"))
	h.worker("a", 10)
	must.True(t, h.sch.Admit(h.now, h.now, &j).OK)
	refused := false
	for i := range 20 {
		j := testJob(fmt.Sprint(i), step(1, 10, 100))
		adm := h.sch.Admit(h.now, h.now, &j)
		if !adm.OK {
			refused = true
			must.Positive(t, adm.RetryAfter)
			break
		}
		h.submit(j)
		h.place()
	}
	must.True(t, refused)
	large := testJob("large", step(1, 11, 100))
	must.True(t, h.sch.Admit(h.now, h.now, &large).NeverFits)
}

// TestTakenOverRunsSayNothingOfSpeed guards against workers that look slow or
// overdue after a change of leader. The new leader doesn't know when the runs that
// agents report were started: their durations, counted from the report, must not
// be compared with each other.
func TestTakenOverRunsSayNothingOfSpeed(t *testing.T) {
	h := newHarness(t)
	d := testJob("old", step(6, 10, 200))
	for n, host := range []string{"a", "b", "c"} {
		var running []contract.PlacedRun
		for i := range 2 {
			ref := contract.RunRef{Job: "old", Task: uint32(2*n + i), Run: uint64(2*n + i + 1)}
			running = append(running, contract.PlacedRun{RunRef: ref, Demand: contract.Demand{MilliCPU: 10}})
		}
		h.worker(host, 100, running...)
	}
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, true)
	for n, host := range []contract.HostID{"a", "b", "c"} {
		h.now += 80 * ms
		h.sch.CheckRuns(h.now)
		for i := range 2 {
			ref := contract.RunRef{Job: "old", Task: uint32(2*n + i), Run: uint64(2*n + i + 1)}
			h.sch.RunEnded(h.now, host, contract.RunEnded{RunRef: ref, Seq: uint64(i + 1), Kind: contract.EndDone})
		}
	}
	must.SliceEmpty(t, h.place(), must.Sprint("a run was stopped"))
	for _, w := range h.sch.workerList {
		must.Zero(t, w.slownessSamples, must.Sprint(w.Host))
	}
}

// TestMostOfAPoolIsNotSlow guards against a pool that comes to a halt because a
// disturbance that affects all workers makes most of them suspect: at most a
// third of the workers may be suspected for being slow. Failing workers are
// always suspected.
func TestMostOfAPoolIsNotSlow(t *testing.T) {
	// Slowness 3 is below suspectSlowness, 5 is above: two of the six workers are
	// suspected, and the other four have room for 40 tasks. No worker is fast in that
	// case, since tasks wait for those that are.
	for slowness, slowWorkers := range map[float64]int{3: 5, 5: 6} {
		h := newHarness(t)
		for i := range 6 {
			h.worker(fmt.Sprint("w", i), 100)
		}
		for _, w := range h.sch.workerList[:slowWorkers] {
			w.slownessSamples, w.slowness = 2*minSlownessSamples, slowness
		}
		h.sch.CheckRuns(h.now)
		if slowness > suspectSlowness {
			must.Eq(t, 2, h.sch.PoolSummaries(h.now)[0].SuspectedWorkers)
		}
		h.submit(testJob("j", step(40, 10, 100)))
		must.Len(t, 40, h.place(), must.Sprint(slowness))
		for _, w := range h.sch.workerList {
			w.failures = suspectFailures
		}
		h.sch.CheckRuns(h.now)
		must.Eq(t, 6, h.sch.PoolSummaries(h.now)[0].SuspectedWorkers)
	}
}

// TestLateJobWithoutRoomIsGivenUpAtOnce guards against a caller that waits in
// vain after the loss of a worker: its job can no longer meet its objective, and
// the remaining worker is full for longer than the result is of use.
func TestLateJobWithoutRoomIsGivenUpAtOnce(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	long := testJob("long", step(1, 10, 2000))
	h.sch.AddTransient(durable.NewJob(&long, 0), h.now, false)
	must.Len(t, 1, h.place())
	short := testJob("short", step(1, 10, 100))
	h.sch.AddTransient(durable.NewJob(&short, 0), h.now, false)
	must.SliceEmpty(t, h.place())
	must.SliceEmpty(t, h.sch.JobsToShed(h.now))
	h.now += 120 * ms
	h.place()
	must.Eq(t, []contract.DurableJobID{"short"}, h.sch.JobsToShed(h.now))
	h.worker("b", 20)
	h.now += shedCheckInterval
	must.SliceEmpty(t, h.sch.JobsToShed(h.now), must.Sprint("the job was shed although a worker is free"))
}

// TestMuteWorkerDrawsNoWork guards against a worker that does not answer starts,
// and so looks idle and gets the waiting tasks again and again.
func TestMuteWorkerDrawsNoWork(t *testing.T) {
	h := newHarness(t)
	h.worker("unresponsive", 100)
	h.worker("healthy", 100)
	h.submit(testJob("j", step(8, 10, 5000)))
	orders := h.place()
	must.Len(t, 8, orders)
	startsOnUnresponsive := 0
	for _, o := range orders {
		if o.Host == "unresponsive" {
			startsOnUnresponsive++
			h.sch.RunEnded(h.now, o.Host, contract.RunEnded{RunRef: o.Start.RunRef, Kind: contract.EndNotStarted, Unanswered: true})
		}
	}
	must.GreaterEq(t, suspectUnanswered, startsOnUnresponsive)
	for _, o := range h.place() {
		must.Eq(t, "healthy", o.Host)
	}
	must.Eq(t, 1, h.sch.PoolSummaries(h.now)[0].SuspectedWorkers)
}

// TestForecastSeesWhatShortTasksFree checks admission to a full pool in which
// short tasks are about to end while longer ones wait. The amount of work ahead
// is large, but all of it can start as soon as the short tasks end.
func TestForecastSeesWhatShortTasksFree(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 180)
	h.submit(testJob("long", step(5, 10, 2000)))
	h.submit(testJob("short", step(12, 10, 60)))
	must.Len(t, 17, h.place())
	h.now += 45 * ms
	h.submit(testJob("waiting", step(8, 10, 400)))
	must.Len(t, 1, h.place())
	j := testJob("new", step(4, 10, 900))
	must.True(t, h.sch.Admit(h.now, h.now, &j).OK)
	wide := testJob("wide", step(13, 10, 60))
	must.False(t, h.sch.Admit(h.now, h.now, &wide).OK, must.Sprint("admitted 13 tasks although only 12 are about to end"))
}

// TestFirstPriorityGoesBeforeOthers overloads a pool with jobs of lower
// priorities that must start sooner: a job of the first priority must neither
// wait for them nor be refused because of them.
func TestFirstPriorityGoesBeforeOthers(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 10)
	busy := testJob("busy", step(1, 10, 40))
	busy.Priority = 1
	h.submit(busy)
	must.Len(t, 1, h.place())
	for i := range 4 {
		j := testJob(fmt.Sprint("other", i), step(1, 10, 10))
		j.Priority = 1 + i%2
		h.submit(j)
	}
	h.now += 20 * ms
	first := testJob("first", step(1, 10, 60))
	must.True(t, h.sch.Admit(h.now, h.now, &first).OK)
	h.submit(first)
	h.sch.RunEnded(h.now, "a", contract.RunEnded{RunRef: contract.RunRef{Job: "busy", Run: 1<<contract.RunCountBits | 1}, Seq: 1, Kind: contract.EndDone})
	orders := h.place()
	must.Len(t, 1, orders)
	must.Eq(t, "first", orders[0].Start.Job)
}

// TestTasksWithoutProcessorsWaitForNoRoom checks that tasks that request only
// memory, and no CPU, are admitted and started while all CPU is in use.
func TestTasksWithoutProcessorsWaitForNoRoom(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	h.submit(testJob("full", step(11, 10, 5000)))
	must.Len(t, 10, h.place())
	j := testJob("memory", step(2, 0, 100))
	must.True(t, h.sch.Admit(h.now, h.now, &j).OK)
	h.submit(j)
	must.Len(t, 2, h.place())
}

// TestForecastCountsWorkBeyondItsHorizon checks that admission limits the
// backlog of tasks that take far longer than a forecast covers.
func TestForecastCountsWorkBeyondItsHorizon(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 100)
	admitted := 0
	for i := range 40 {
		j := testJob(fmt.Sprint("long", i), step(10, 10, 60_000))
		if adm := h.sch.Admit(h.now, h.now, &j); adm.OK {
			admitted++
			h.submit(j)
			h.place()
		}
	}
	must.Eq(t, 1, admitted, must.Sprint("the first job fills the worker for 60 s, and the next one may wait for at most 36 s"))
}

// TestWorkersAboutToAttachCountAsCapacity replays a restart of all processes: one of
// ten workers has attached when the jobs of the last half second are handed in again.
// Those whose result would still be of use wait for the others. Jobs are refused again
// once no further worker is expected.
func TestWorkersAboutToAttachCountAsCapacity(t *testing.T) {
	state := durable.New()
	var batch durable.Batch
	for i := range 10 {
		host := contract.HostID(fmt.Sprint("w", i))
		batch.RegisteredAgents = append(batch.RegisteredAgents, durable.AgentRegistration{
			Host: host, Worker: contract.WorkerAnnouncement{ID: host, Pool: "formula", Capacity: contract.Capacity{MilliCPU: 10, MemoryMB: 1000}},
		})
	}
	state.Apply(&batch)
	h := &harness{t: t, state: state, now: time.Second}
	h.sch = New(2, state, h.now)
	h.worker("w0", 10)
	admitted := func(count, millis int) int {
		n := 0
		for i := range count {
			d := testJob(fmt.Sprintf("%d-%d-%d", millis, i, h.now), step(1, 10, millis))
			if h.sch.Admit(h.now, h.now, &d).OK {
				n++
				h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
				h.place()
			}
		}
		return n
	}
	must.Eq(t, 10, admitted(10, 400), must.Sprint("jobs that can wait for the other workers"))
	old := testJob("old", step(1, 10, 400))
	must.True(t, h.sch.Admit(h.now, h.now-500*ms, &old).OK, must.Sprint("a job that has missed its objective while there was no leader, and is still of use"))
	must.Eq(t, 0, admitted(5, 20), must.Sprint("their result would be of no use when a worker is there"))
	h.now += attachGracePeriod
	must.Eq(t, 0, admitted(5, 400), must.Sprint("no other worker has come"))
}

// TestDurationRatioIsStableAtHighRates guards against a duration ratio that swings
// between its bounds: at 1,200 tasks of 200 ms per second, 240 ends that were started
// under an earlier ratio arrive before a change of it shows.
func TestDurationRatioIsStableAtHighRates(t *testing.T) {
	h := newHarness(t)
	h.worker("a", 1000)
	var running []Order
	for i := range 2000 {
		h.submit(testJob(fmt.Sprint(i), step(1, 1, 200)))
		running = append(running, h.place()...)
		if len(running) > 240 {
			h.end(running[0], contract.EndDone)
			running = running[1:]
			must.Between(t, 0.9, h.sch.statsOf("q").durationRatio, 1.6)
		}
		h.now += time.Second / 1200
		if i == 1000 {
			h.now += 100 * ms // the tasks that run now take 300 ms
		}
	}
}
