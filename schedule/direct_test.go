package schedule

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// TestDirectRunsAreOnlyCounted replays a leader's return: a worker attaches with a
// direct run of a job that its caller has sent again. The run uses capacity, keeps its
// task from starting, and is neither claimed nor stopped; its end counts for nothing.
func TestDirectRunsAreOnlyCounted(t *testing.T) {
	h := newHarness(t)
	ref := contract.RunRef{Job: "a", Task: 0, Run: contract.DirectRunNumber(1, 5)}
	must.True(t, ref.Direct())
	h.worker("w", 40, contract.PlacedRun{RunRef: ref, Demand: contract.Demand{MilliCPU: 20, MemoryMB: 1}, Direct: true})
	must.True(t, h.sch.HasDirectRuns("a"))
	h.now += 2 * unclaimedRunTTL
	h.sch.CheckRuns(h.now)
	must.SliceEmpty(t, h.sch.TakeOrders(), must.Sprint("a direct run is never stopped"))
	d := testJob("a", step(2, 10, 100))
	must.SliceEmpty(t, h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false))
	orders := h.place()
	must.Len(t, 1, orders)
	must.Eq(t, 1, orders[0].Start.Task, must.Sprint("the task of the direct run must wait"))
	must.False(t, orders[0].Start.RunRef.Direct())
	must.Eq(t, 30, h.sch.PoolSummaries(h.now)[0].UsedMilliCPU)

	must.Nil(t, h.sch.RunEnded(h.now, "w", contract.RunEnded{RunRef: ref, Seq: 1, Kind: contract.EndDone}))
	must.False(t, h.sch.HasDirectRuns("a"))
	must.Nil(t, h.sch.RunEnded(h.now, "w", contract.RunEnded{RunRef: contract.RunRef{Job: "b", Run: ref.Run}, Seq: 2, Kind: contract.EndDone}))
	later := testJob("b", step(1, 10, 100))
	must.SliceEmpty(t, h.sch.AddTransient(durable.NewJob(&later, 0), h.now, false), must.Sprint("a direct run's end counted for a job"))
	h.sch.JobEnded("b")
	orders = h.place()
	must.Len(t, 1, orders)
	must.Eq(t, 0, orders[0].Start.Task)
}

// TestDirectRunsEndWithTheirSession lets the session with a direct run expire: the task
// may start elsewhere then, and only then.
func TestDirectRunsEndWithTheirSession(t *testing.T) {
	h := newHarness(t)
	ref := contract.RunRef{Job: "a", Run: contract.DirectRunNumber(1, 5)}
	h.worker("w", 40, contract.PlacedRun{RunRef: ref, Demand: contract.Demand{MilliCPU: 20}, Direct: true})
	h.worker("other", 40)
	d := testJob("a", step(1, 10, 100))
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	h.sch.WorkerUnreachable("w")
	must.SliceEmpty(t, h.place())
	h.sch.SessionEnded("w")
	must.Len(t, 1, h.place())
}

// TestUnclaimedRunsOfBoundJobsEndSoon covers a change of leader after the loss of an
// entry: nobody submits its jobs again, and their callers ask elsewhere after 1,300 ms.
func TestUnclaimedRunsOfBoundJobsEndSoon(t *testing.T) {
	h := newHarness(t)
	need := contract.Demand{MilliCPU: 1}
	bound := contract.RunRef{Job: "a", Run: 1}
	h.worker("w", 40, contract.PlacedRun{RunRef: bound, Demand: need, Bound: true}, contract.PlacedRun{RunRef: contract.RunRef{Job: "b", Run: 2}, Demand: need})
	h.now += boundUnclaimedTTL + ms
	h.sch.CheckRuns(h.now)
	orders := h.sch.TakeOrders()
	must.Len(t, 1, orders)
	must.Eq(t, bound, *orders[0].Stop)
	limit, limited := h.sch.AuthorityLimit("w")
	must.True(t, limited, must.Sprint("a worker that does not carry out the stop keeps its lease"))
	must.LessEq(t, h.now, limit)
}

// TestStaleRefusalAvoidsTheWorker covers a worker on which a direct run of the task with
// a higher number has ended: it refuses each start of this leader, so the next one must
// go elsewhere.
func TestStaleRefusalAvoidsTheWorker(t *testing.T) {
	h := newHarness(t)
	h.worker("w1", 40)
	h.worker("w2", 40)
	d := testJob("a", step(1, 10, 100))
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	first := h.place()[0]
	h.sch.RunEnded(h.now, first.Host, contract.RunEnded{RunRef: first.Start.RunRef, Kind: contract.EndNotStarted, Stale: true})
	must.NotEq(t, first.Host, h.place()[0].Host)
}

// TestDirectRunsDelayForecasts covers a full worker at the return of a leader: a job is
// not admitted into room that direct runs still use.
func TestDirectRunsDelayForecasts(t *testing.T) {
	h := newHarness(t)
	ref := contract.RunRef{Job: "a", Run: contract.DirectRunNumber(1, 5)}
	h.worker("w", 10, contract.PlacedRun{RunRef: ref, Demand: contract.Demand{MilliCPU: 10, DeclaredMillis: 900}, Direct: true})
	d := testJob("b", step(1, 10, 60))
	must.False(t, h.sch.Admit(h.now, h.now, &d).OK)
}

// TestStopLostWithTheLinkIsOrderedAgain covers a stop that is lost with the link to an agent, which
// attaches again within its authority. Without another stop the run of a dropped job
// would go on, while its caller asks an entry beyond a cut.
func TestStopLostWithTheLinkIsOrderedAgain(t *testing.T) {
	h := newHarness(t)
	h.worker("w", 40)
	d := testJob("a", step(1, 10, 100))
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	start := h.place()[0].Start
	h.sch.JobEnded("a")
	must.Len(t, 1, h.sch.TakeOrders())
	h.worker("w", 40, start.Placed())
	orders := h.sch.TakeOrders()
	must.Len(t, 1, orders)
	must.Eq(t, start.RunRef, *orders[0].Stop)
}

// TestRunsOfASilentEntryGetNoMoreAuthority covers an entry that is silent for a while,
// and one that is lost together with the order to stop its run. No run of its job may be
// alive when its caller asks elsewhere.
func TestRunsOfASilentEntryGetNoMoreAuthority(t *testing.T) {
	h := newHarness(t)
	h.worker("w", 10)
	d := testJob("a", step(3, 10, 100))
	job := durable.NewJob(&d, 0)
	h.sch.AddTransient(job, h.now, false)
	alive := h.now
	h.sch.BindToEntry("a", alive)
	_, limited := h.sch.AuthorityLimit("w")
	must.False(t, limited)
	run := h.place()[0]
	limit, limited := h.sch.AuthorityLimit("w")
	must.True(t, limited)
	must.Eq(t, alive+contract.BoundSilence, limit)

	h.now = limit + ms
	h.worker("w2", 20)
	must.SliceEmpty(t, h.place(), must.Sprint("a task of a silent entry was started"))
	h.sch.BindToEntry("a", h.now-ms)
	must.Len(t, 2, h.place(), must.Sprint("the entry is back"))

	job.State = contract.DurableCancelled
	h.sch.JobEnded("a")
	limit, limited = h.sch.AuthorityLimit("w")
	must.True(t, limited, must.Sprint("the order to stop may be lost"))
	must.Eq(t, alive+contract.BoundSilence+contract.BoundSilence, limit)
	h.end(run, contract.EndStopped)
	_, limited = h.sch.AuthorityLimit("w")
	must.False(t, limited)
}
