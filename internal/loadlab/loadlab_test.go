package loadlab

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func testConfig(p Policy, load float64, f Fault) Config {
	return Config{Site: Bagmati, Policy: p, Load: load, Fault: f, Span: 20 * time.Second, Warmup: 2 * time.Second, Deadline: 10 * time.Second}
}

var seeds = []uint64{1}

// The response times of the production policies must be within their targets, relative
// to the floor, at 70% and 90% load.
func TestCreditsAgainstTheFloor(t *testing.T) {
	cases := []struct{ load, mean, p99 float64 }{
		{0.7, 0.10, 0.25},
		{0.9, 0.25, 0.50},
	}
	for _, p := range []Policy{Credits, CreditsMessages} {
		for _, c := range cases {
			r := Run(testConfig(p, c.load, FaultNone), seeds)
			must.LessEq(t, c.mean, r.MeanOverhead())
			must.LessEq(t, c.p99, r.P99Overhead())
			must.Eq(t, 0, r.Counts.QueuedStarts, must.Sprint("starts that found no free slot"))
		}
	}
}

func TestRunsAreReproducible(t *testing.T) {
	cfg := testConfig(Credits, 0.9, FaultFailing)
	must.Eq(t, Run(cfg, seeds).Counts, Run(cfg, seeds).Counts)
}

// Checks the floor against a schedule computed by hand. With one slot and a job in
// progress, a long job arrives and then a short one, which must be served first.
func TestFloorServesTheShortestJobFirst(t *testing.T) {
	job := func(id string, at time.Duration, work ...time.Duration) *simJob {
		j := &simJob{id: contract.JobID(id), at: at, work: work}
		for _, w := range work {
			j.total += w
		}
		return j
	}
	first := job("1", 0, 4*time.Second)
	long := job("2", time.Second, 2*time.Second, time.Second)
	short := job("3", 2*time.Second, time.Second)
	done := floor(Site{Workers: 1, Slots: 1}, []*simJob{first, long, short})
	must.Eq(t, 4*time.Second, done[first])
	must.Eq(t, 3*time.Second, done[short])
	must.Eq(t, 7*time.Second, done[long])
}
