package schedule

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Retry delays address the callers that were refused in a shortage: if all come back
// after the same second, they make the next shortage. Callers come back in the order of
// their refusals, from the time on when the forecast has room, and no faster than the
// capacity that the usual load leaves can take them. Beyond the longest delay, a hash of
// the job's ID spreads them over all of it.

const (
	// minRetryAfter is the shortest retry delay. Answers carry whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest retry delay: as long as callers wait for an
	// answer.
	maxRetryAfter = 8 * time.Second
	// minSpareShare is the least share of a pool that is counted on for callers that
	// come back. It bounds the spread where the usual load exceeds the pool.
	minSpareShare = 0.05
)

// retryAfter returns when the caller of a job that is refused should submit it again, in
// whole seconds, which is what answers carry.
// Once it has been called for a job, the job's work counts as coming back. Until the
// rates are known, the delay is predicted, the predicted wait.
func (s *Scheduler) retryAfter(now time.Duration, j *job, predicted time.Duration) time.Duration {
	if !s.ratesKnown(now) {
		return predicted
	}
	first := forecastHorizon
	if at, ok := s.lateRoomsOf(now, j).free.find(0, j.peakMilliCPU(), bucketCount(j.estimate)); ok {
		first = time.Duration(at) * bucketWidth
	}
	capacity := s.usableMilliCPU(j)
	spare := capacity
	for _, q := range s.ratesOf(now, j.Pool) {
		spare -= q.usualRate()
	}
	_, work := s.workOf(j)
	needed := time.Duration(work / max(spare, minSpareShare*capacity, 1) * float64(time.Second))
	delay := max(s.returnsUntil[j.Pool]-now, first) + needed
	if delay > maxRetryAfter {
		delay = first + time.Duration(unitHash(j.ID)*float64(maxRetryAfter-first))
	} else {
		s.returnsUntil[j.Pool] = now + delay
	}
	return max(wholeSeconds(delay, first), minRetryAfter)
}

// wholeSeconds rounds a delay to the nearest second that is not before first.
func wholeSeconds(delay, first time.Duration) time.Duration {
	if d := delay.Round(time.Second); d >= first {
		return d
	}
	return delay.Truncate(time.Second) + time.Second
}

// RetryAfter returns when the caller of a waiting job that is shed should submit it
// again.
func (s *Scheduler) RetryAfter(now time.Duration, id contract.DurableJobID) time.Duration {
	if j := s.jobs[id]; j != nil {
		return s.retryAfter(now, j, minRetryAfter)
	}
	return minRetryAfter
}

// unitHash maps a job's ID to a number from 0 to 1, the same on each call.
func unitHash(id contract.DurableJobID) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	// FNV changes the upper bits little where IDs differ in their last byte only.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / math.Exp2(53)
}
