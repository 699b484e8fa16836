package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// workerIn attaches a worker of a failure domain that stays cold for the given time.
func (h *harness) workerIn(domain, host string, milliCPU int, cold time.Duration, labels ...string) {
	h.sch.WorkerReported(h.now, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: 1,
		Worker: contract.WorkerAnnouncement{
			Pool: "formula", Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1000}, Labels: labels,
			FailureDomain: domain, ColdLeftMillis: cold.Milliseconds(),
		},
	})
}

// transient adds a job that can be shed.
func (h *harness) transient(d contract.DurableJob) {
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
}

// admit returns the decision on a job that arrives now.
func (h *harness) admit(d contract.DurableJob) Admission { return h.sch.Admit(h.now, h.now, &d) }

// Nothing may start in an evacuated domain, also on workers that join it, and its runs
// go on. Once the evacuation is taken back, its workers get work again.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	h := newHarness(t)
	h.workerIn("a", "a1", 10, 0)
	h.workerIn("b", "b1", 10, 0)
	h.submit(testJob("before", step(2, 5, 100)))
	must.Eq(t, map[contract.HostID]int{"a1": 1, "b1": 1}, hosts(h.place()))
	h.sch.SetEvacuated([]string{"a"})
	h.workerIn("a", "a2", 10, 0)
	h.submit(testJob("during", step(4, 5, 100)))
	orders := h.place()
	must.Eq(t, map[contract.HostID]int{"b1": 1}, hosts(orders))
	must.Len(t, 1, orders, must.Sprint("a run in progress was stopped"))
	summary := h.sch.PoolSummaries(h.now)[0]
	must.Eq(t, []int{1, 2, 2, 10}, []int{summary.AvailableWorkers, summary.UnavailableWorkers, summary.EvacuatedWorkers, summary.CapacityMilliCPU})
	h.sch.SetEvacuated(nil)
	must.Eq(t, map[contract.HostID]int{"a1": 1, "a2": 2}, hosts(h.place()))
}

// Admission must count only what is left, and must not call a job impossible whose
// workers are all evacuated.
func TestAdmissionDuringAnEvacuation(t *testing.T) {
	h := newHarness(t)
	h.now += 2 * attachGracePeriod
	h.workerIn("a", "a1", 10, 0, "big")
	h.workerIn("b", "b1", 4, 0)
	full := testJob("full", step(5, 2, 100))
	labelled := testJob("labelled", contract.DurableStep{Count: 1, Label: "big"})
	must.True(t, h.admit(full).OK)
	must.True(t, h.admit(labelled).OK)
	h.sch.SetEvacuated([]string{"a"})
	must.False(t, h.admit(testJob("full", step(5, 2, 100))).OK, must.Sprint("the capacity of the evacuated worker was counted"))
	must.True(t, h.admit(testJob("small", step(2, 2, 100))).OK)
	for _, job := range []contract.DurableJob{labelled, testJob("large", step(1, 10, 100))} {
		must.Eq(t, Admission{RetryAfter: NoWorkerRetryAfter, Reason: EvacuatedReason}, h.admit(job))
	}
	h.sch.SetEvacuated([]string{"a", "b"})
	must.Eq(t, Admission{RetryAfter: NoWorkerRetryAfter, Reason: EvacuatedReason}, h.admit(full), must.Sprint("the last domain of the pool"))
	h.sch.SetEvacuated([]string{"b"})
	must.True(t, h.admit(full).OK)
	h.submit(testJob("long", step(1, 10, 1000)))
	must.Len(t, 1, h.place())
	h.sch.SetEvacuated(nil)
	h.submit(testJob("short", step(2, 2, 50)))
	must.Len(t, 2, h.place())
	must.True(t, h.admit(testJob("next", step(2, 2, 100))).OK)
	h.sch.SetEvacuated([]string{"b"})
	must.False(t, h.admit(testJob("next", step(2, 2, 100))).OK, must.Sprint("what ends on the evacuated worker frees nothing"))
	must.True(t, h.admit(testJob("too large", step(1, 11, 100))).NeverFits)
}

// A new leader must know of an evacuation before any worker has attached: for what it
// admits while it waits for them, and for what it places on the first that attaches.
func TestNewLeaderHasTheEvacuations(t *testing.T) {
	h := newHarness(t)
	h.apply(durable.Batch{Evacuations: []durable.EvacuationOrder{{Domain: "a", Begin: true}}})
	agent := func(host contract.HostID, domain string) durable.AgentRegistration {
		return durable.AgentRegistration{Host: host, Worker: contract.WorkerAnnouncement{
			Pool: "formula", FailureDomain: domain, Capacity: contract.Capacity{MilliCPU: 10, MemoryMB: 1000}}}
	}
	h.apply(durable.Batch{RegisteredAgents: []durable.AgentRegistration{agent("a1", "a")}})
	h.sch = New(2, h.state, h.now)
	must.Eq(t, Admission{RetryAfter: NoWorkerRetryAfter, Reason: EvacuatedReason}, h.admit(testJob("j", step(1, 5, 100))))
	h.apply(durable.Batch{RegisteredAgents: []durable.AgentRegistration{agent("b1", "b")}})
	h.sch = New(3, h.state, h.now)
	must.True(t, h.admit(testJob("j", step(1, 5, 100))).OK)
	must.Eq(t, 10, h.sch.expectedMilliCPU(h.now, "formula"))
	h.workerIn("a", "a1", 10, 0)
	h.submit(testJob("j", step(1, 5, 100)))
	must.SliceEmpty(t, h.place())
	h.workerIn("b", "b1", 10, 0)
	must.Eq(t, map[contract.HostID]int{"b1": 1}, hosts(h.place()))
}

// A job that waits and loses its capacity must be refused at once, not when its
// objective has passed. A job that has begun must not be called not run.
func TestWaitingJobsAreRefusedOnAnEvacuation(t *testing.T) {
	h := newHarness(t)
	h.workerIn("a", "a1", 10, 0)
	h.workerIn("b", "b1", 10, 0, "big")
	h.submit(testJob("long", step(1, 10, 500)))
	must.Eq(t, map[contract.HostID]int{"a1": 1}, hosts(h.place()))
	h.transient(testJob("begun", step(2, 10, 80)))
	must.Eq(t, map[contract.HostID]int{"b1": 1}, hosts(h.place()))
	h.transient(testJob("waits", step(1, 10, 80)))
	h.transient(testJob("labelled", contract.DurableStep{Count: 1, Label: "big", Demand: contract.Demand{MilliCPU: 10, DeclaredMillis: 900}}))
	h.submit(testJob("stored", step(1, 10, 80)))
	must.SliceEmpty(t, h.sch.JobsToShed(h.now))
	h.sch.lastShedCheck = h.now
	h.sch.SetEvacuated([]string{"b"})
	must.Eq(t, []contract.DurableJobID{"waits", "labelled"}, h.sch.JobsToShed(h.now), must.Sprint("0.5 s of work are before a job of no use after 0.56 s"))
	h.sch.JobEnded("waits")
	h.sch.JobEnded("labelled")
	h.now += 100 * ms
	h.transient(testJob("patient", step(1, 10, 900)))
	must.SliceEmpty(t, h.sch.JobsToShed(h.now))
	h.sch.SetEvacuated([]string{"a", "b"})
	must.Eq(t, []contract.DurableJobID{"patient"}, h.sch.JobsToShed(h.now), must.Sprint("the last domain"))
}

// A worker that left the last domain outside the evacuated ones leaves jobs without
// capacity as well, without a change of the evacuations.
func TestLastRemainingWorkerLost(t *testing.T) {
	h := newHarness(t)
	h.now += 2 * attachGracePeriod
	h.workerIn("a", "a1", 10, 0)
	h.workerIn("b", "b1", 5, 0)
	h.sch.SetEvacuated([]string{"a"})
	h.submit(testJob("runs", step(1, 5, 100)))
	must.Len(t, 1, h.place())
	h.transient(testJob("waits", step(1, 5, 900)))
	must.SliceEmpty(t, h.sch.JobsToShed(h.now))
	h.sch.SessionEnded("b1")
	h.now += 2 * shedCheckInterval
	must.Eq(t, []contract.DurableJobID{"waits"}, h.sch.JobsToShed(h.now))
}

// An overdue run is stopped so that its task can start elsewhere. Where the other
// workers are evacuated, it would only be lost.
func TestOverdueRunWithoutOtherWorkersGoesOn(t *testing.T) {
	h := newHarness(t)
	h.now += 2 * attachGracePeriod
	h.workerIn("a", "a1", 10, 0)
	h.submit(testJob("j", step(1, 5, 100)))
	must.Len(t, 1, h.place())
	h.sch.SetEvacuated([]string{"a"})
	h.now += 2 * time.Second
	h.sch.CheckRuns(h.now)
	must.SliceEmpty(t, h.sch.TakeOrders())
	h.workerIn("b", "b1", 10, 0)
	h.sch.CheckRuns(h.now)
	must.Len(t, 1, h.sch.TakeOrders())
}

// Workers that return to service may be cold. They must get tasks after all warm ones,
// but not stay idle while tasks wait, and count as warm once the time has passed.
func TestColdWorkersComeAfterWarmOnes(t *testing.T) {
	h := newHarness(t)
	h.workerIn("a", "cold", 10, 500*ms)
	h.workerIn("b", "warm", 10, 0)
	h.workerIn("c", "slow", 10, 0)
	h.sch.workers["slow"].slowness, h.sch.workers["slow"].slownessSamples = 1.9, minSlownessSamples
	h.submit(testJob("first", step(5, 4, 100)))
	must.Eq(t, map[contract.HostID]int{"warm": 2, "slow": 2, "cold": 1}, hosts(h.place()))
	h.now += 500 * ms
	h.workerIn("d", "used", 10, 0)
	h.submit(testJob("second", step(1, 4, 100)))
	must.Len(t, 1, h.place())
	h.submit(testJob("third", step(1, 4, 100)))
	must.Eq(t, map[contract.HostID]int{"cold": 1}, hosts(h.place()), must.Sprint("still ranked as cold"))
}

// Jobs that wait for evacuated workers may wait for long. They must not count as jobs
// for which the pools are full, which ends the search: the jobs of other pools, and
// those that are late, would not start although workers are idle.
func TestJobsOfAnEvacuatedPoolHoldUpNoOthers(t *testing.T) {
	h := newHarness(t)
	h.workerIn("a", "a1", maxPlacementMisses, 0)
	h.sch.WorkerReported(h.now, &contract.WorkerReport{Attach: true, Host: "b1", Session: 1, Worker: contract.WorkerAnnouncement{
		Pool: "other", FailureDomain: "b", Capacity: contract.Capacity{MilliCPU: 100, MemoryMB: 1000}}})
	for i := range maxPlacementMisses {
		h.submit(testJob(fmt.Sprint("begun", i), step(1, 1, 100), step(1, 1, 100, 0)))
	}
	first := h.place()
	must.Len(t, maxPlacementMisses, first)
	h.sch.SetEvacuated([]string{"a"})
	for _, o := range first {
		h.end(o, contract.EndDone)
	}
	other := testJob("other", step(1, 5, 1000))
	other.Pool = "other"
	h.submit(other)
	must.Eq(t, map[contract.HostID]int{"b1": 1}, hosts(h.place()))
	other.ID = "late"
	h.sch.AddAccepted(durable.NewJob(&other, 0), h.now-2*time.Second)
	must.Eq(t, map[contract.HostID]int{"b1": 1}, hosts(h.place()), must.Sprint("the late job"))
}

// What is left for late jobs is kept for some milliseconds. In the turn in which an
// evacuation takes effect, it must not be what there was before: callers that are
// refused then would be told to come back at once.
func TestEvacuationDropsWhatWasLeft(t *testing.T) {
	h := newHarness(t)
	h.workerIn("a", "a1", 100, 0)
	h.workerIn("b", "b1", 10, 0)
	h.sch.firstOfferAt = h.now
	h.now += time.Minute
	must.True(t, h.sch.ratesKnown(h.now))
	h.submit(testJob("long", step(1, 10, 1500)))
	h.submit(testJob("full", step(1, 10, 1500)))
	h.place()
	h.sch.workers["b1"].used.MilliCPU = 10
	h.transient(testJob("waits", step(2, 10, 80)))
	must.Eq(t, minRetryAfter, h.sch.RetryAfter(h.now, "waits"))
	h.sch.SetEvacuated([]string{"a"})
	must.Greater(t, minRetryAfter, h.sch.RetryAfter(h.now, "waits"))
}

// A stored job whose next task only evacuated workers could run waits until the
// evacuation ends. As work ahead of others in the forecast, it would have all jobs of
// the pool refused until then.
func TestJobThatWaitsForAnEvacuationIsNoWorkAhead(t *testing.T) {
	h := newHarness(t)
	h.now += 2 * attachGracePeriod
	h.workerIn("a", "a1", 10, 0)
	h.workerIn("b", "b1", 20, 0)
	h.submit(testJob("begun", step(1, 20, 100), step(1, 20, 100, 0)))
	first := h.place()
	h.sch.SetEvacuated([]string{"b"})
	h.end(first[0], contract.EndDone)
	h.now += time.Second
	must.SliceEmpty(t, h.place())
	must.True(t, h.admit(testJob("fits", step(2, 5, 100))).OK)
}

// In an uneven pool too, a cold worker must get tasks after warm ones, as far as
// objectives allow: a warm slow worker goes first if the task is in time there.
func TestColdFastWorkerComesAfterWarmSlowOne(t *testing.T) {
	for millis, want := range map[int]contract.HostID{10: "slow", 900: "cold"} {
		h := newHarness(t)
		h.workerIn("a", "cold", 10, 500*ms)
		h.workerIn("b", "slow", 10, 0)
		h.sch.workers["slow"].slowness, h.sch.workers["slow"].slownessSamples = 2.2, minUnevenSamples
		h.sch.CheckRuns(h.now)
		must.True(t, h.sch.poolSpeedOf("formula").uneven)
		h.submit(testJob("j", step(1, 4, millis)))
		must.Eq(t, map[contract.HostID]int{want: 1}, hosts(h.place()), must.Sprint(millis))
	}
}
