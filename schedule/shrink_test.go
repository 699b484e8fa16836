package schedule

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// resize reports that a worker announces another capacity.
func (h *harness) resize(host string, milliCPU int) {
	w := announcement(host, 1)
	w.Capacity.MilliCPU = milliCPU
	h.sch.WorkerReported(h.now, &contract.WorkerReport{Host: contract.HostID(host), Session: 2, Worker: w})
}

func TestShrunkWorkerTakesNothingUntilItsRunsFit(t *testing.T) {
	h := crashHarness(t, 1)
	h.submit(queued("a", "q", 10))
	orders := h.place()
	must.Len(t, 10, orders)
	h.resize("w0", 500)
	h.submit(queued("b", "q", 3))
	h.sch.stopRun(h.sch.workers["w0"], orders[9].Start.RunRef, "test")
	h.sch.TakeOrders()
	must.SliceEmpty(t, h.place())
	for _, o := range orders[:5] {
		h.end(o, contract.EndDone)
	}
	must.SliceEmpty(t, h.place(), must.Sprint("five are left, and what is being stopped counts"))
	h.end(orders[5], contract.EndDone)
	must.Len(t, 1, h.place())
	h.resize("w0", 1000)
	must.Len(t, 2, h.place())
}

func TestCapacityThatTheNextLeaderLearnsIsTheLatest(t *testing.T) {
	h := crashHarness(t, 1)
	h.apply(durable.Batch{RegisteredAgents: []durable.AgentRegistration{{Host: "w0", Worker: announcement("w0", 1)}}})
	shrunk := announcement("w0", 1)
	shrunk.Capacity.MilliCPU = 300
	h.nextLeader(2, &contract.WorkerReport{Attach: true, Host: "w0", Session: 2, Worker: shrunk, Running: []contract.PlacedRun{
		{RunRef: contract.RunRef{Job: "x", Run: 1}, Demand: contract.Demand{MilliCPU: 100}},
		{RunRef: contract.RunRef{Job: "y", Run: 1}, Demand: contract.Demand{MilliCPU: 100}, Direct: true},
	}})
	h.submit(queued("a", "q", 3))
	must.Len(t, 1, h.place(), must.Sprint("runs of an earlier leader and of entries count"))
}

func TestJobThatOnlyLostCapacityCouldRun(t *testing.T) {
	h := crashHarness(t, 2)
	large := testJob("large", step(1, 900, 100))
	must.True(t, h.sch.Admit(h.now, h.now, &large).OK)
	h.sch.workers["w0"].unreachable, h.sch.workers["w1"].unreachable = true, true
	h.sch.AddTransient(durable.NewJob(&large, 0), h.now, false)
	h.sch.workers["w0"].unreachable, h.sch.workers["w1"].unreachable = false, false
	h.resize("w0", 800)
	h.resize("w1", 800)
	h.sch.createdAt -= attachGracePeriod
	h.now += 200 * ms
	must.Eq(t, []contract.DurableJobID{"large"}, h.sch.JobsToShed(h.now), must.Sprint("its caller is told at once"))
	h.sch.JobEnded("large")
	next := testJob("next", step(1, 900, 100))
	a := h.sch.Admit(h.now, h.now, &next)
	must.False(t, a.OK)
	must.False(t, a.NeverFits)
	must.Eq(t, ShrunkReason, a.Reason)
	must.Positive(t, a.RetryAfter)
	h.resize("w1", 1000)
	must.True(t, h.sch.Admit(h.now, h.now, &next).OK)
	never := testJob("never", step(1, 1001, 100))
	must.True(t, h.sch.Admit(h.now, h.now, &never).NeverFits)
}

// TestOvercommittedWorkerFreesNothingAtFirst: what its runs free covers their excess, so
// admission must not count on it.
func TestOvercommittedWorkerFreesNothingAtFirst(t *testing.T) {
	h := crashHarness(t, 2)
	h.submit(queued("a", "q", 20))
	must.Len(t, 20, h.place())
	h.resize("w0", 100)
	free, total := h.sch.freeMilliCPU("formula")
	must.Eq(t, 0, free)
	must.Eq(t, 1100, total)
	freed := 0.0
	for _, f := range h.sch.runningForecastOf(h.now, "formula").freedMilliCPU {
		freed += f
	}
	must.Eq(t, 1100, freed)
}
