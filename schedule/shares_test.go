package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBursts checks that a queue which sends its usual rate of independent jobs counts as
// bursting in at most one moment of twenty, however few or uneven its jobs are, and that a
// burst is noticed within two time constants of the recent rate.
func TestBursts(t *testing.T) {
	for _, c := range []struct {
		// rate is in jobs per second, seconds the average work of a job in core-seconds.
		rate, seconds float64
		// uneven says that the work of a job is from 0.2 to 1.8 times the average.
		uneven bool
		// burst is the factor of the burst.
		burst float64
	}{
		{rate: 7, seconds: 20, burst: 3},
		{rate: 7, seconds: 20, uneven: true, burst: 3},
		{rate: 35, seconds: 20, burst: 2.3},
		{rate: 100, seconds: 2.5, uneven: true, burst: 1.8},
		{rate: 600, seconds: 2.5, burst: 1.8},
	} {
		t.Run(fmt.Sprintf("%.0f jobs a second, uneven %v", c.rate, c.uneven), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(c.rate)))
			q, now := queueRate{}, time.Duration(0)
			// advance sends factor times the usual rate until the given time, and
			// returns the share of the jobs at which the queue counted as bursting.
			advance := func(until time.Duration, factor float64) float64 {
				jobs, bursting := 0, 0
				for now < until {
					now += time.Duration(r.ExpFloat64() / c.rate / factor * float64(time.Second))
					work := 1000 * c.seconds
					if c.uneven {
						work *= 0.2 + 1.6*r.Float64()
					}
					q = q.at(now, false)
					if jobs++; q.bursts(1) {
						bursting++
					}
					q.add(work, 1, false)
				}
				return float64(bursting) / float64(jobs)
			}
			advance(30*time.Second, 1)
			must.LessEq(t, 0.05, advance(330*time.Second, 1))
			advance(332*time.Second, c.burst)
			must.True(t, q.bursts(1))
			must.False(t, q.bursts(c.burst), must.Sprint("all queues together have grown as much"))
		})
	}
}
