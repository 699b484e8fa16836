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

// bed drives a scheduler with a replicated state, as a leader does.
type bed struct {
	t     *testing.T
	state *durable.State
	sch   *Scheduler
	now   time.Duration
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, state: durable.New(), now: time.Second}
	b.sch = New(1, b.state, b.now)
	b.sch.Release()
	return b
}

func (b *bed) worker(host string, milliCPU int, running ...contract.HeldRun) {
	b.sch.Report(b.now, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: 1, Running: running,
		Worker: contract.WorkerAnnouncement{Pool: "formula", Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1000}},
	})
}

func testJob(id string, steps ...contract.DurableStep) contract.DurableJob {
	return contract.DurableJob{ID: contract.DurableJobID(id), Queue: "q", Pool: "formula", MaxAttempts: 2, Slack: 1.6, Target: 60 * ms, Steps: steps}
}

func step(count, milliCPU, millis int, after ...int) contract.DurableStep {
	return contract.DurableStep{Count: count, Need: contract.Demand{MilliCPU: milliCPU, MemoryMB: 1, Millis: millis}, After: after}
}

func (b *bed) apply(batch durable.Batch) {
	c := b.state.Apply(&batch)
	for _, j := range c.Finished {
		b.sch.Finished(j.ID)
	}
	for _, j := range c.Accepted {
		b.sch.Accepted(j, b.now)
	}
	for _, e := range batch.Ends {
		b.sch.TaskStored(e.DurableTask)
	}
}

func (b *bed) submit(j contract.DurableJob) {
	b.apply(durable.Batch{Submits: []contract.DurableJob{j}})
}

func (b *bed) place() []Order {
	b.sch.Place(b.now)
	return b.sch.Orders()
}

func (b *bed) end(o Order, how contract.RunEnd) {
	e := contract.RunEnded{RunRef: o.Start.RunRef, Seq: 1, How: how}
	if c := b.sch.Ended(b.now, o.Host, e); c != nil {
		b.apply(durable.Batch{Ends: []durable.TaskEnd{{DurableTask: c.DurableTask, Done: c.Done}}})
	}
}

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
	b := newBed(t)
	b.worker("a", 10)
	b.worker("b", 10)
	b.submit(testJob("j", step(5, 6, 100)))
	first := b.place()
	must.Eq(t, map[contract.HostID]int{"a": 1, "b": 1}, hosts(first))
	must.SliceEmpty(t, b.place())
	b.end(first[0], contract.EndDone)
	must.Len(t, 1, b.place())
}

func TestStepsWaitForEarlierOnes(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	b.submit(testJob("j", step(2, 1, 100), step(3, 1, 100, 0)))
	first := b.place()
	must.Len(t, 2, first)
	b.end(first[0], contract.EndDone)
	must.SliceEmpty(t, b.place())
	b.end(first[1], contract.EndDone)
	second := b.place()
	must.Len(t, 3, second)
	must.Eq(t, "j.0.1.0", second[0].Start.Name)
	for _, o := range second {
		b.end(o, contract.EndDone)
	}
	must.Eq(t, contract.DurableCompleted, b.state.Jobs["j"].State)
}

func TestFailedTaskGoesElsewhereUntilItsAttemptsAreUsed(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	b.worker("b", 100)
	b.submit(testJob("j", step(1, 1, 100)))
	first := b.place()
	b.end(first[0], contract.EndFailed)
	second := b.place()
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Host, second[0].Host)
	must.Greater(t, first[0].Start.Run, second[0].Start.Run)
	b.end(second[0], contract.EndFailed)
	must.Eq(t, contract.DurableFailed, b.state.Jobs["j"].State)
	must.SliceEmpty(t, b.place())
}

func TestNewLeaderHoldsTasksThatMayRunOutOfReach(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	b.submit(testJob("old", step(2, 1, 100)))
	ran := b.place()[0].Start.HeldRun
	b.sch = New(2, b.state, b.now)
	b.worker("a", 100, ran)
	must.SliceEmpty(t, b.place(), must.Sprint("a task that may run on another worker was started"))
	b.submit(testJob("new", step(1, 1, 100)))
	must.Len(t, 1, b.place(), must.Sprint("a job of the new term waits for no one"))
	b.sch.Release()
	orders := b.place()
	must.Len(t, 1, orders)
	must.NotEq(t, ran.Task, orders[0].Start.Task)
	must.Greater(t, ran.Run, orders[0].Start.Run)
}

func TestNewLeaderTakesEndsOfEarlierRuns(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	b.submit(testJob("old", step(1, 1, 100)))
	ran := b.place()[0].Start.RunRef
	b.sch = New(2, b.state, b.now)
	counted := b.sch.Report(b.now, &contract.WorkerReport{
		Attach: true, Host: "a", Session: 1, Ends: []contract.RunEnded{{RunRef: ran, Seq: 1, How: contract.EndDone}},
	})
	must.Eq(t, []Counted{{contract.DurableTask{Job: "old"}, true}}, counted)
}

func TestUnclaimedRunHoldsItsRoomAndIsStopped(t *testing.T) {
	b := newBed(t)
	stray := contract.HeldRun{RunRef: contract.RunRef{Job: "gone", Task: 0, Run: 1}, Need: contract.Demand{MilliCPU: 95}}
	b.worker("a", 100, stray)
	b.submit(testJob("j", step(1, 10, 100)))
	must.SliceEmpty(t, b.place())
	b.now += strayKept + ms
	b.sch.Check(b.now)
	orders := b.place()
	must.Len(t, 1, orders)
	must.Eq(t, stray.RunRef, *orders[0].Stop)
	b.sch.Ended(b.now, "a", contract.RunEnded{RunRef: stray.RunRef, Seq: 1, How: contract.EndStopped})
	must.Len(t, 1, b.place())
}

// TestJobSubmittedAgainKeepsItsRuns replays a change of leader: the agents
// attach before the gateway submits the job again. Its tasks must not run
// twice at the same time.
func TestJobSubmittedAgainKeepsItsRuns(t *testing.T) {
	b := newBed(t)
	d := testJob("j", step(3, 10, 100))
	alive := contract.HeldRun{RunRef: contract.RunRef{Job: "j", Task: 0, Run: 7}, Need: contract.Demand{MilliCPU: 10}}
	b.worker("a", 100, alive)
	b.sch.Ended(b.now, "a", contract.RunEnded{RunRef: contract.RunRef{Job: "j", Task: 1, Run: 8}, Seq: 1, How: contract.EndDone})
	j := durable.NewJob(&d, 0)
	counted := b.sch.Transient(j, b.now, true)
	must.Eq(t, []Counted{{contract.DurableTask{Job: "j", Task: 1}, true}}, counted)
	orders := b.place()
	must.Len(t, 1, orders, must.Sprint("a task that runs, or has ended, was started again"))
	must.Eq(t, 2, orders[0].Start.Task)
	c := b.sch.Ended(b.now, "a", contract.RunEnded{RunRef: alive.RunRef, Seq: 2, How: contract.EndDone})
	must.NotNil(t, c)
	must.Eq(t, 0, c.Task)
}

// TestAbandonedJobSubmittedAgainWaitsForItsStops replays a caller whose
// connection was reset: the job is given up, and comes back while its runs are
// being stopped.
func TestAbandonedJobSubmittedAgainWaitsForItsStops(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	d := testJob("j", step(1, 10, 100))
	b.sch.Transient(durable.NewJob(&d, 0), b.now, false)
	first := b.place()[0].Start.RunRef
	b.sch.Finished("j")
	must.Eq(t, first, *b.place()[0].Stop)
	b.sch.Transient(durable.NewJob(&d, 0), b.now, false)
	must.SliceEmpty(t, b.place())
	b.sch.Ended(b.now, "a", contract.RunEnded{RunRef: first, Seq: 1, How: contract.EndStopped})
	orders := b.place()
	must.Len(t, 1, orders)
	must.Greater(t, first.Run, orders[0].Start.Run)
}

func TestCancelledJobIsStoppedAndItsRoomFreedByTheEnd(t *testing.T) {
	b := newBed(t)
	b.worker("a", 10)
	b.submit(testJob("j", step(1, 10, 100)))
	started := b.place()[0]
	b.apply(durable.Batch{Cancels: []contract.DurableJobID{"j"}})
	orders := b.place()
	must.Len(t, 1, orders)
	must.Eq(t, started.Start.RunRef, *orders[0].Stop)
	b.submit(testJob("k", step(1, 10, 100)))
	must.SliceEmpty(t, b.place())
	b.end(started, contract.EndStopped)
	must.Len(t, 1, b.place())
}

func TestSessionOverRequeues(t *testing.T) {
	b := newBed(t)
	b.worker("a", 10)
	b.submit(testJob("j", step(1, 10, 100)))
	must.Len(t, 1, b.place())
	b.sch.Away("a")
	b.worker("b", 10)
	must.SliceEmpty(t, b.place())
	b.sch.SessionOver("a")
	must.Eq(t, map[contract.HostID]int{"b": 1}, hosts(b.place()))
}

// TestFailingWorkerDrawsNoWork replays a worker that fails all that it starts,
// at once, beside sound ones.
func TestFailingWorkerDrawsNoWork(t *testing.T) {
	b := newBed(t)
	for _, h := range []string{"a", "b", "c", "d"} {
		b.worker(h, 100)
	}
	toBad := 0
	for i := range 200 {
		b.submit(testJob(fmt.Sprint(i), step(1, 1, 10)))
		for _, o := range b.place() {
			if o.Host == "a" {
				toBad++
				b.end(o, contract.EndFailed)
			} else {
				b.now += 10 * ms
				b.end(o, contract.EndDone)
			}
		}
	}
	must.Less(t, 12, toBad)
}

// TestUrgentBeforePatient replays a backlog: what can still meet its objective
// goes before what can't, the most urgent first.
func TestUrgentBeforePatient(t *testing.T) {
	b := newBed(t)
	b.submit(testJob("hopeless", step(1, 10, 100)))
	b.now += 2 * time.Second
	b.submit(testJob("patient", step(1, 10, 900)))
	b.submit(testJob("urgent", step(1, 10, 60)))
	b.worker("a", 10)
	var got []contract.DurableJobID
	for range 3 {
		o := b.place()
		must.Len(t, 1, o)
		got = append(got, o[0].Start.Job)
		b.end(o[0], contract.EndDone)
	}
	must.Eq(t, []contract.DurableJobID{"urgent", "patient", "hopeless"}, got)
}

// TestAdmissionRefusesWhatWouldEndTooLate replays a burst on one worker.
func TestAdmissionRefusesWhatWouldEndTooLate(t *testing.T) {
	b := newBed(t)
	j := testJob("first", step(1, 10, 100))
	must.True(t, b.sch.Admit(b.now, b.now, &j).OK, must.Sprint("the workers may still attach"))
	b.now += attachTime
	must.False(t, b.sch.Admit(b.now, b.now, &j).OK, must.Sprint("no worker"))
	b.worker("a", 10)
	must.True(t, b.sch.Admit(b.now, b.now, &j).OK)
	refused := false
	for i := range 20 {
		j := testJob(fmt.Sprint(i), step(1, 10, 100))
		a := b.sch.Admit(b.now, b.now, &j)
		if !a.OK {
			refused = true
			must.Positive(t, a.RetryAfter)
			break
		}
		b.submit(j)
		b.place()
	}
	must.True(t, refused)
	large := testJob("large", step(1, 11, 100))
	must.True(t, b.sch.Admit(b.now, b.now, &large).Never)
}

// TestTakenOverRunsSayNothingOfSpeed replays a change of leader: it is not known
// how long the runs that agents report have run, so that a short rest of one
// must not make its siblings on other workers look slow or overdue.
func TestTakenOverRunsSayNothingOfSpeed(t *testing.T) {
	b := newBed(t)
	d := testJob("old", step(6, 10, 200))
	for n, host := range []string{"a", "b", "c"} {
		var running []contract.HeldRun
		for i := range 2 {
			ref := contract.RunRef{Job: "old", Task: uint32(2*n + i), Run: uint64(2*n + i + 1)}
			running = append(running, contract.HeldRun{RunRef: ref, Need: contract.Demand{MilliCPU: 10}})
		}
		b.worker(host, 100, running...)
	}
	b.sch.Transient(durable.NewJob(&d, 0), b.now, true)
	for n, host := range []contract.HostID{"a", "b", "c"} {
		b.now += 80 * ms
		b.sch.Check(b.now)
		for i := range 2 {
			ref := contract.RunRef{Job: "old", Task: uint32(2*n + i), Run: uint64(2*n + i + 1)}
			b.sch.Ended(b.now, host, contract.RunEnded{RunRef: ref, Seq: uint64(i + 1), How: contract.EndDone})
		}
	}
	must.SliceEmpty(t, b.place(), must.Sprint("a run was stopped"))
	for _, w := range b.sch.order {
		must.Zero(t, w.samples, must.Sprint(w.Host))
	}
}

// TestMostOfAPoolIsNotSlow replays a disturbance that all workers feel: where
// more than a third look slow, the comparison is at fault, and the pool would
// stand still. Workers that fail what they start are another matter.
func TestMostOfAPoolIsNotSlow(t *testing.T) {
	b := newBed(t)
	for i := range 6 {
		b.worker(fmt.Sprint("w", i), 100)
	}
	for _, w := range b.sch.order[:5] {
		w.samples, w.slowness = 2*slownessSamples, 3
	}
	b.sch.Check(b.now)
	b.submit(testJob("j", step(40, 10, 100)))
	must.Len(t, 40, b.place())
	for _, w := range b.sch.order {
		w.failures = suspectFailures
	}
	b.sch.Check(b.now)
	must.Eq(t, 6, b.sch.Summaries()[0].Suspects)
}

// TestLateJobWithoutRoomIsGivenUpAtOnce replays the loss of a worker: the job
// that waited for it has missed its objective, and the other worker is full for
// longer than its caller has a use for the answer.
func TestLateJobWithoutRoomIsGivenUpAtOnce(t *testing.T) {
	b := newBed(t)
	b.worker("a", 10)
	long := testJob("long", step(1, 10, 2000))
	b.sch.Transient(durable.NewJob(&long, 0), b.now, false)
	must.Len(t, 1, b.place())
	short := testJob("short", step(1, 10, 100))
	b.sch.Transient(durable.NewJob(&short, 0), b.now, false)
	must.SliceEmpty(t, b.place())
	must.SliceEmpty(t, b.sch.Hopeless(b.now))
	b.now += 120 * ms
	b.place()
	must.Eq(t, []contract.DurableJobID{"short"}, b.sch.Hopeless(b.now))
	b.worker("b", 20)
	b.now += hopelessEvery
	must.SliceEmpty(t, b.sch.Hopeless(b.now), must.Sprint("there is room now"))
}

// TestMuteWorkerDrawsNoWork replays a worker that answers no order: it looks
// idle, and would get the tasks that wait again and again.
func TestMuteWorkerDrawsNoWork(t *testing.T) {
	b := newBed(t)
	b.worker("mute", 100)
	b.worker("sound", 100)
	b.submit(testJob("j", step(8, 10, 5000)))
	orders := b.place()
	must.Len(t, 8, orders)
	toMute := 0
	for _, o := range orders {
		if o.Host == "mute" {
			toMute++
			b.sch.Ended(b.now, o.Host, contract.RunEnded{RunRef: o.Start.RunRef, How: contract.EndNotStarted, Unanswered: true})
		}
	}
	must.GreaterEq(t, suspectUnanswered, toMute)
	for _, o := range b.place() {
		must.Eq(t, "sound", o.Host)
	}
	must.Eq(t, 1, b.sch.Summaries()[0].Suspects)
}

// TestForecastSeesWhatShortTasksFree replays a full pool in which short tasks
// are about to end while longer ones wait: the work ahead is large, and yet all
// can start at once.
func TestForecastSeesWhatShortTasksFree(t *testing.T) {
	b := newBed(t)
	b.worker("a", 180)
	b.submit(testJob("long", step(5, 10, 2000)))
	b.submit(testJob("short", step(12, 10, 60)))
	must.Len(t, 17, b.place())
	b.now += 45 * ms
	b.submit(testJob("waiting", step(8, 10, 400)))
	must.Len(t, 1, b.place())
	j := testJob("new", step(4, 10, 900))
	must.True(t, b.sch.Admit(b.now, b.now, &j).OK)
	wide := testJob("wide", step(13, 10, 60))
	must.False(t, b.sch.Admit(b.now, b.now, &wide).OK, must.Sprint("only twelve tasks are about to end"))
}

// TestFirstPriorityGoesBeforeOthers replays an overload of jobs that must start
// sooner: the first priority neither waits for them nor is refused for them.
func TestFirstPriorityGoesBeforeOthers(t *testing.T) {
	b := newBed(t)
	b.worker("a", 10)
	busy := testJob("busy", step(1, 10, 40))
	busy.Priority = 1
	b.submit(busy)
	must.Len(t, 1, b.place())
	for i := range 4 {
		j := testJob(fmt.Sprint("other", i), step(1, 10, 10))
		j.Priority = 1 + i%2
		b.submit(j)
	}
	b.now += 20 * ms
	first := testJob("first", step(1, 10, 60))
	must.True(t, b.sch.Admit(b.now, b.now, &first).OK)
	b.submit(first)
	b.sch.Ended(b.now, "a", contract.RunEnded{RunRef: contract.RunRef{Job: "busy", Run: 1<<runBits | 1}, Seq: 1, How: contract.EndDone})
	orders := b.place()
	must.Len(t, 1, orders)
	must.Eq(t, "first", orders[0].Start.Job)
}

// TestTasksWithoutProcessorsWaitForNoRoom: they may ask for memory alone.
func TestTasksWithoutProcessorsWaitForNoRoom(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	b.submit(testJob("full", step(11, 10, 5000)))
	must.Len(t, 10, b.place())
	j := testJob("memory", step(2, 0, 100))
	must.True(t, b.sch.Admit(b.now, b.now, &j).OK)
	b.submit(j)
	must.Len(t, 2, b.place())
}

// TestLongTasksAreForecastBehindTheSlots replays a backlog of tasks that take
// far longer than a forecast reaches: what waits is still limited.
func TestLongTasksAreForecastBehindTheSlots(t *testing.T) {
	b := newBed(t)
	b.worker("a", 100)
	taken := 0
	for i := range 40 {
		j := testJob(fmt.Sprint("long", i), step(10, 10, 60_000))
		if a := b.sch.Admit(b.now, b.now, &j); a.OK {
			taken++
			b.submit(j)
			b.place()
		}
	}
	must.Eq(t, 1, taken, must.Sprint("the first fills the worker for 60 s; the next may wait for 36 s"))
}
