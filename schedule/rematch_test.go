package schedule

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// route stores tables whose only queue is served by the pool.
func (h *harness) route(version uint64, pool string, priority int) {
	h.apply(durable.Batch{Tables: &contract.QueueTables{Version: version, Queues: []contract.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool, Priority: priority}}}})
}

// poolWorker attaches an idle worker of a pool.
func (h *harness) poolWorker(host, pool string, milliCPU int) {
	h.sch.WorkerReported(h.now, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: 1,
		Worker: contract.WorkerAnnouncement{Pool: pool, Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1000}},
	})
}

// TestWaitingTasksFollowTheRoute guards against tasks that wait for a pool that their
// route has left, while runs that are alive go on where they are.
func TestWaitingTasksFollowTheRoute(t *testing.T) {
	h := newHarness(t)
	h.route(1, "formula", 0)
	h.worker("a", 1)
	h.poolWorker("b", "recipe", 10)
	h.submit(testJob("j", step(3, 1, 100), step(1, 1, 100, 0)))
	first := h.place()
	must.Eq(t, map[contract.HostID]int{"a": 1}, hosts(first))
	h.route(2, "recipe", 0)
	second := h.place()
	must.Eq(t, map[contract.HostID]int{"b": 2}, hosts(second), must.Sprint("the tasks that wait go to the new pool"))
	h.end(first[0], contract.EndDone)
	for _, o := range second {
		h.end(o, contract.EndDone)
	}
	last := h.place()
	must.Eq(t, map[contract.HostID]int{"b": 1}, hosts(last), must.Sprint("so does a later step"))
	h.end(last[0], contract.EndDone)
	must.Eq(t, contract.DurableCompleted, h.state.Jobs["j"].State)
}

// TestNewLeaderKnowsTheRoute guards against a leader that takes the pool from the
// acceptance of a job.
func TestNewLeaderKnowsTheRoute(t *testing.T) {
	h := newHarness(t)
	h.route(1, "formula", 0)
	h.submit(testJob("j", step(1, 1, 100)))
	h.route(2, "recipe", 0)
	h.sch = New(2, h.state, h.now)
	h.worker("a", 10)
	h.poolWorker("b", "recipe", 10)
	h.sch.Release()
	must.Eq(t, map[contract.HostID]int{"b": 1}, hosts(h.place()))
}

// TestWaitingJobsTakeTheNewPriority checks that a changed priority reorders jobs that wait,
// and that their list stays in order: a job that ends is removed from it.
func TestWaitingJobsTakeTheNewPriority(t *testing.T) {
	h := newHarness(t)
	h.route(1, "formula", 2)
	low := testJob("low", step(1, 1, 100))
	low.Priority = 2
	h.submit(low)
	urgent := testJob("urgent", step(1, 1, 100))
	urgent.Queue = "other"
	h.now += 10 * ms
	h.submit(urgent)
	must.Eq(t, "urgent", h.sch.viableJobs[0].ID)
	h.route(2, "formula", 0)
	must.Eq(t, "low", h.sch.viableJobs[0].ID)
	h.apply(durable.Batch{Cancels: []contract.DurableJobID{"low", "urgent"}})
	must.SliceEmpty(t, h.sch.viableJobs)
}

// TestRematchedJobWithoutWorkers checks what the hub is told of a job that no worker of its
// new pool could run.
func TestRematchedJobWithoutWorkers(t *testing.T) {
	h := newHarness(t)
	h.now += attachGracePeriod
	h.worker("a", 10)
	h.route(1, "formula", 0)
	h.submit(testJob("j", step(1, 5, 100)))
	must.True(t, h.sch.JobRematched(h.now, "j").OK)
	h.route(2, "recipe", 0)
	must.Eq(t, Admission{RetryAfter: NoWorkerRetryAfter, Reason: noWorkerReason}, h.sch.JobRematched(h.now, "j"))
	h.poolWorker("b", "recipe", 4)
	must.True(t, h.sch.JobRematched(h.now, "j").NeverFits)
	h.poolWorker("c", "recipe", 5)
	must.True(t, h.sch.JobRematched(h.now, "j").OK)
	must.True(t, h.sch.JobRematched(h.now, "unknown").OK)
}
