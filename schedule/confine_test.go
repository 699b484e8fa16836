package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// confinedHarness returns a harness with n workers, w0 to wn, of which w0 has crashed
// under the queue "bad", which is confined.
func confinedHarness(t *testing.T, n int) *harness {
	h := crashHarness(t, n)
	h.sch.confinement.Crashed(h.now, quarantine.Queue{Pool: "formula", Queue: "bad"})
	h.crashed("w0", &contract.WorkerReport{Attach: true, Host: "w0", Session: 3, NoWorker: true, Crashes: []contract.WorkerCrash{{
		Instance: announcement("w0", 1).Instance(), Pool: "formula",
		Runs: []contract.CrashedRun{{Ref: contract.RunRef{Job: "d", Run: 1}, Queue: "bad"}, {Ref: contract.RunRef{Job: "i", Run: 1}, Queue: "x"}},
	}}})
	return h
}

// admitOne admits a transient job of two tasks in the queue, adds it if it is admitted, and
// returns the decision.
func (h *harness) admitOne(id, queue string) Admission {
	j := queued(id, queue, 2)
	a := h.sch.Admit(h.now, h.now, &j)
	if a.OK {
		h.sch.AddTransient(durable.NewJob(&j, 0), h.now, false)
	}
	return a
}

func TestConfinedQueueLeavesTheOthersTheirWorkers(t *testing.T) {
	h := confinedHarness(t, 10)
	for i := range 12 {
		must.True(t, h.admitOne(fmt.Sprint("x", i), "x").OK)
	}
	admitted := 0
	for i := range 40 {
		if h.admitOne(fmt.Sprint("b", i), "bad").OK {
			admitted++
		}
	}
	jobsOf := map[contract.HostID]map[contract.DurableJobID]bool{}
	for _, o := range h.place() {
		if jobsOf[o.Host] == nil {
			jobsOf[o.Host] = map[contract.DurableJobID]bool{}
		}
		jobsOf[o.Host][o.Start.Job] = true
	}
	cells := 0
	for _, jobs := range jobsOf {
		confined := 0
		for id := range jobs {
			if h.sch.jobs[id].Queue == "bad" {
				confined++
			}
		}
		if confined > 0 {
			cells++
			must.MapLen(t, 1, jobs, must.Sprint("a confined job runs alone"))
		}
	}
	must.Positive(t, cells)
	must.LessEq(t, 10/2-1, cells, must.Sprint("half of the pool, less the worker that has crashed"))
	must.Less(t, 40, admitted, must.Sprint("what does not fit into the cells is refused"))
	must.GreaterEq(t, cells, admitted)
}

func TestConfinedJobIsRefusedAtOnceWithoutACell(t *testing.T) {
	h := confinedHarness(t, 2)
	must.True(t, h.admitOne("x", "x").OK)
	a := h.admitOne("b", "bad")
	must.False(t, a.OK, must.Sprint("the only worker that is left belongs to the other queue"))
	must.Eq(t, ConfinedReason, a.Reason)
	must.Between(t, minRetryAfter, a.RetryAfter, maxRetryAfter)
	h.now += h.sch.confinement.Backoff(quarantine.Queue{Pool: "formula", Queue: "bad"}) + time.Second
	must.True(t, h.admitOne("later", "bad").OK, must.Sprint("its turn comes"))
}

func TestJobsThatWaitForACellHoldUpNoOthers(t *testing.T) {
	h := confinedHarness(t, 3)
	must.True(t, h.admitOne("x0", "x").OK)
	h.place()
	for i := range maxPlacementMisses + 3 {
		j := queued(fmt.Sprint("b", i), "bad", 30)
		h.sch.AddTransient(durable.NewJob(&j, 0), h.now, false)
	}
	h.now += ms
	must.True(t, h.admitOne("x1", "x").OK)
	must.NotEq(t, "", hostOf(h.place(), "x1"))
}

func TestCrashIsPutDownToTheConfinedQueue(t *testing.T) {
	h := confinedHarness(t, 6)
	h.crashed("w1", &contract.WorkerReport{Attach: true, Host: "w1", Session: 3, NoWorker: true, Crashes: []contract.WorkerCrash{{
		Instance: announcement("w1", 1).Instance(), Pool: "formula",
		Runs: []contract.CrashedRun{{Ref: contract.RunRef{Job: "i", Run: 2}, Queue: "x"}, {Ref: contract.RunRef{Job: "e", Run: 1}, Queue: "bad"}},
	}}})
	must.Eq(t, 2, h.sch.ledger.Crashes(contract.DurableTask{Job: "i"}))
	must.False(t, h.sch.confinement.Confined(quarantine.Queue{Pool: "formula", Queue: "x"}))
}

func TestJobThatCrashesHaveLeftWithoutHopeIsAnswered(t *testing.T) {
	h := crashHarness(t, 1)
	must.True(t, h.admitOne("a", "q").OK)
	h.place()
	h.crash("w0", 1)
	must.SliceEmpty(t, h.sch.JobsToShed(h.now), must.Sprint("another worker may come"))
	h.now = h.sch.jobs["a"].expiry()
	must.Eq(t, []contract.DurableJobID{"a"}, h.sch.JobsToShed(h.now))
	must.True(t, h.sch.Begun("a"), must.Sprint("so the answer is not that it has not run"))
}

func TestJobThatCrashedAWorkerAloneWaitsBehindOthers(t *testing.T) {
	h := confinedHarness(t, 4)
	must.True(t, h.admitOne("d1", "bad").OK)
	h.crash(hostOf(h.place(), "d1"), 1)
	must.True(t, h.sch.jobs["d1"].ranAlone)
	h.instance("w0", 2)
	h.now += ms
	must.True(t, h.admitOne("b1", "bad").OK)
	orders := h.place()
	must.NotEq(t, "", hostOf(orders, "b1"))
	must.Eq(t, "", hostOf(orders, "d1"))
	for _, o := range orders {
		h.end(o, contract.EndDone)
	}
	h.sch.JobEnded("b1")
	h.sch.cellsOf("formula").refusedAt = h.now
	must.Eq(t, "", hostOf(h.place(), "d1"), must.Sprint("a sound job could have had the cell"))
	h.now += refusalMemory
	must.NotEq(t, "", hostOf(h.place(), "d1"), must.Sprint("no other job waits for the cell"))
}

// TestQueueStaysConfinedUnderTheNextLeader: else each change of leader costs the workers
// that it takes to learn it again.
func TestQueueStaysConfinedUnderTheNextLeader(t *testing.T) {
	h := crashHarness(t, 6)
	h.submit(queued("bad", "bad", 1))
	h.submit(queued("x", "x", 4))
	h.crash(hostOf(h.place(), "bad"), 1)
	h.crash(hostOf(h.place(), "bad"), 1)
	q := quarantine.Queue{Pool: "formula", Queue: "bad"}
	must.True(t, h.sch.confinement.Confined(q))
	h.now += time.Second
	h.state.LogTime = h.now.Milliseconds()
	h.nextLeader(2)
	must.True(t, h.sch.confinement.Confined(q))
	h.state.LogTime += quarantine.ConfinementMemory.Milliseconds()
	h.nextLeader(3)
	must.False(t, h.sch.confinement.Confined(q))
}

// TestStoredJobGetsItsTurn: a stored job is not left waiting while workers are idle, although
// those that its queue has crashed do not come back.
func TestStoredJobGetsItsTurn(t *testing.T) {
	h := confinedHarness(t, 4)
	for _, host := range []string{"w1", "w2"} {
		h.sch.cellsOf("formula").lost[contract.HostID(host)] = h.now
	}
	h.submit(queued("s", "bad", 2))
	must.SliceEmpty(t, h.place())
	h.now += repeatWait + ms
	must.Len(t, 2, h.place())
}

// TestJobOfACrashInASmallPoolGoesOnAtOnce: the only crash under a job that ran alone may be
// the worker's own, so the job does not wait although the last worker has other work.
func TestJobOfACrashInASmallPoolGoesOnAtOnce(t *testing.T) {
	h := crashHarness(t, 2)
	must.True(t, h.admitOne("x", "x").OK)
	for _, o := range h.place() {
		h.end(o, contract.EndDone)
	}
	h.sch.JobEnded("x")
	must.True(t, h.admitOne("a", "q").OK)
	host := hostOf(h.place(), "a")
	for _, w := range h.sch.workerList {
		for ref := range w.runs {
			if string(w.Host) != host {
				h.end(Order{Host: w.Host, Start: &contract.RunStart{RunRef: ref}}, contract.EndDone)
			}
		}
	}
	h.crash(host, 1)
	must.Eq(t, quarantine.Isolate, h.sch.jobs["a"].verdict)
	must.NotEq(t, "", hostOf(h.place(), "a"))
}
