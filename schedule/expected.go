package schedule

import "time"

// When all processes restart, the leader is elected before most agents have attached:
// an agent waits out the lease that its predecessor may have left behind. Admission
// that counted only the attached workers would refuse nearly all jobs of that time,
// although the pool is about to be idle.

const (
	// expectedAttachTime is how long after a takeover the last agents attach that
	// wait out a lease.
	expectedAttachTime = 550 * time.Millisecond
	// minExpectedDelay is the least time until an expected worker is assumed to
	// take work.
	minExpectedDelay = 50 * time.Millisecond
)

// expectsWorkers reports whether workers that have not attached may still do so.
func (s *Scheduler) expectsWorkers(now time.Duration) bool {
	return now-s.createdAt < attachGracePeriod
}

// expectedMilliCPU returns the CPU of the pool's expected workers, in thousandths of
// a core.
func (s *Scheduler) expectedMilliCPU(now time.Duration, pool string) int {
	if !s.expectsWorkers(now) {
		return 0
	}
	total := 0
	for _, w := range s.expected {
		if w.Pool == pool && !w.Draining && !s.evacuated[w.FailureDomain] {
			total += w.Capacity.MilliCPU
		}
	}
	return total
}

// addExpected adds the CPU of the pool's expected workers to a forecast, as free from
// the time on at which they should have attached.
func (s *Scheduler) addExpected(now time.Duration, pool string, f *forecast) {
	milliCPU := float64(s.expectedMilliCPU(now, pool))
	if milliCPU == 0 {
		return
	}
	f.poolMilliCPU += milliCPU
	f.freedMilliCPU[bucketCount(s.expectedDelay(now))] += milliCPU
}

// expectedDelay returns how long from now the expected workers should have attached.
func (s *Scheduler) expectedDelay(now time.Duration) time.Duration {
	return max(s.createdAt+expectedAttachTime-now, minExpectedDelay)
}
