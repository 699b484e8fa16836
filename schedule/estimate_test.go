package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// TestDurationRatioIsSteady guards against a duration ratio that swings between its
// bounds, and makes all estimates and objectives useless, while hundreds of tasks
// that were started under an earlier ratio are still running.
func TestDurationRatioIsSteady(t *testing.T) {
	h := newHarness(t)
	h.sch.WorkerReported(h.now, &contract.WorkerReport{Attach: true, Host: "a", Session: 1, Worker: contract.WorkerAnnouncement{Pool: "formula", Capacity: contract.Capacity{MilliCPU: 1_000_000, MemoryMB: 1_000_000}}})
	running := map[time.Duration][]Order{}
	for i := range 5000 {
		h.now += ms
		for _, o := range running[h.now] {
			e := h.sch.RunEnded(h.now, o.Host, contract.RunEnded{RunRef: o.Start.RunRef, Kind: contract.EndDone})
			must.NotNil(t, e)
			h.sch.JobEnded(e.Job)
		}
		d := testJob(fmt.Sprint("j", i), step(1, 10, 200))
		h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
		running[h.now+160*ms] = append(running[h.now+160*ms], h.place()...)
		if i > 1000 {
			must.Between(t, 0.75, h.sch.statsOf("q").durationRatio, 0.85)
		}
	}
}
