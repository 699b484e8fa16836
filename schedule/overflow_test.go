package schedule

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestDemandWhoseSumOverflows guards against a task that fits on each worker that runs
// something, since the sum with what is in use is negative.
func TestDemandWhoseSumOverflows(t *testing.T) {
	for _, d := range []contract.Demand{
		{MilliCPU: math.MaxInt, MemoryMB: 1}, {MilliCPU: 1, MemoryMB: math.MaxInt}, {MilliCPU: 1, MemoryMB: 1, Accelerators: math.MaxInt},
	} {
		h := newHarness(t)
		h.sch.WorkerReported(h.now, &contract.WorkerReport{
			Attach: true, Host: "a", Session: 1,
			Worker: contract.WorkerAnnouncement{Pool: "formula", Capacity: contract.Capacity{MilliCPU: 10, MemoryMB: 10, Accelerators: 10}},
		})
		h.submit(testJob("small", contract.DurableStep{Count: 1, Demand: contract.Demand{MilliCPU: 1, MemoryMB: 1, Accelerators: 1, DeclaredMillis: 10}}))
		must.Len(t, 1, h.place())
		h.submit(testJob("huge", contract.DurableStep{Count: 1, Demand: d}))
		must.SliceEmpty(t, h.place())
	}
}

// TestLongestChainOfStepsHasAnObjective guards against an estimate whose sum over many
// steps overflows.
func TestLongestChainOfStepsHasAnObjective(t *testing.T) {
	h := newHarness(t)
	steps := []contract.DurableStep{step(1, 1, 30*24*3_600_000)}
	for i := range 9_999 {
		steps = append(steps, step(1, 1, 30*24*3_600_000, i))
	}
	j := testJob("j", steps...)
	j.Slack = 100
	h.submit(j)
	must.Greater(t, h.now, h.sch.jobs["j"].latestStart)
	must.Greater(t, h.sch.jobs["j"].latestStart, h.sch.jobs["j"].expiry())
}
