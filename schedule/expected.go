package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: all processes restart, or all hubs, and the callers of that time come back
// to a leader to which no agent has attached yet. Admission that counted only the attached
// workers would refuse nearly all their jobs, although the pool is about to be idle.
//
// Workers of a pool are expected from the takeover on until they attach, if the replicated
// state lists them. An attached worker is available if its agent can be reached and the
// worker is usable, not evacuated and not suspected.

const (
	// connectedAttachTime is how long an agent that is connected to the leader takes to
	// attach: a poll of its worker and two round trips.
	connectedAttachTime = 60 * time.Millisecond
	// expectedAttachTime is how long after a takeover the last agents attach: those that
	// wait out a lease that their predecessor may have left behind.
	expectedAttachTime = 550 * time.Millisecond
	// minExpectedDelay is the least time until an expected worker is assumed to
	// take work.
	minExpectedDelay = 50 * time.Millisecond
)

// AgentConnected records that the agent of an expected worker is connected to this hub.
func (s *Scheduler) AgentConnected(now time.Duration, h contract.HostID) {
	if _, ok := s.expected[h]; ok {
		s.connectedAt[h] = now
	}
}

// expectsWorkers reports whether workers that have not attached may still do so.
func (s *Scheduler) expectsWorkers(now time.Duration) bool {
	return now-s.createdAt < attachGracePeriod
}

// eachExpected calls f for each expected worker of the pool.
func (s *Scheduler) eachExpected(now time.Duration, pool string, f func(h contract.HostID, milliCPU int)) {
	if !s.expectsWorkers(now) {
		return
	}
	for h, w := range s.expected {
		if w.Pool == pool && !w.Draining && !s.evacuated[w.FailureDomain] {
			f(h, w.Capacity.MilliCPU)
		}
	}
}

// expectedMilliCPU returns the CPU of the pool's expected workers, in thousandths of
// a core.
func (s *Scheduler) expectedMilliCPU(now time.Duration, pool string) int {
	total := 0
	s.eachExpected(now, pool, func(_ contract.HostID, milliCPU int) { total += milliCPU })
	return total
}

// addExpected adds the CPU of the pool's expected workers to a forecast, as free from
// the times on at which they should have attached.
func (s *Scheduler) addExpected(now time.Duration, pool string, f *forecast) {
	s.eachExpected(now, pool, func(h contract.HostID, milliCPU int) {
		f.poolMilliCPU += float64(milliCPU)
		f.freedMilliCPU[bucketCount(s.expectedDelay(now, h))] += float64(milliCPU)
	})
}

// expectedDelay returns how long from now the expected worker should have attached. An
// agent that is connected and has not attached in the usual time waits out a lease.
func (s *Scheduler) expectedDelay(now time.Duration, h contract.HostID) time.Duration {
	attaches := s.createdAt + expectedAttachTime
	if at, ok := s.connectedAt[h]; ok && now < at+connectedAttachTime {
		attaches = at + connectedAttachTime
	}
	return max(attaches-now, minExpectedDelay)
}

// firstExpected returns how long from now the first of the pool's expected workers should
// have attached, and whether there is one.
func (s *Scheduler) firstExpected(now time.Duration, pool string) (time.Duration, bool) {
	first, found := time.Duration(0), false
	s.eachExpected(now, pool, func(h contract.HostID, milliCPU int) {
		if d := s.expectedDelay(now, h); milliCPU > 0 && (!found || d < first) {
			first, found = d, true
		}
	})
	return first, found
}
