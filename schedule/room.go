package schedule

import (
	"time"
)

// room is the CPU of a pool that is expected to stay free, in thousandths of a core
// for each bucket of a forecast: after the running tasks, the jobs that wait, and the
// jobs that are expected to arrive. A forecast says when a job could start next to
// the work that is known; room says whether its whole run takes nothing from others.
//
// It addresses a pool that is short of capacity for seconds, in which short gaps open
// between the jobs that are in time.
type room struct {
	computedAt   time.Duration
	freeMilliCPU [forecastBuckets]float64
}

// roomTTL is how long a room is reused before it is computed again.
const roomTTL = runningForecastTTL

// expectArrivals replaces the arrivals that the forecast counts in each bucket.
func (f *forecast) expectArrivals(a arrivals) {
	f.higherPriorityMilliCPU, f.higherPriorityBuckets = 0, 0
	if a.milliCPU > 0 {
		f.higherPriorityMilliCPU = a.milliCPU * bucketWidth.Seconds()
		f.higherPriorityBuckets = bucketCount(time.Duration(a.cpuWork / a.milliCPU * float64(time.Second)))
	}
}

// fillRoom computes what is left of the pool of job j after the jobs that go before it
// and the expected arrivals. No room is left before the last of these jobs has started.
func (s *Scheduler) fillRoom(r *room, now time.Duration, j *job, before []*job, a arrivals) {
	f := s.forecast(now, j)
	f.expectArrivals(a)
	for _, o := range before {
		if o.Pool == j.Pool && f.bucket < forecastBuckets {
			s.simulateJob(now, &f, o)
		}
	}
	*r = room{computedAt: now}
	for f.bucket < forecastBuckets {
		r.freeMilliCPU[f.bucket] = f.freeMilliCPU
		f.advance()
	}
}

// find returns the first bucket, from the given one on, at which milliCPU is free and
// stays so for the given number of buckets. Time beyond the forecast is not checked.
// It returns false if there is none.
func (r *room) find(from int, milliCPU float64, buckets int) (int, bool) {
	for b := from; b < forecastBuckets && b-from < buckets; b++ {
		if r.freeMilliCPU[b] < milliCPU {
			from = b + 1
		}
	}
	return from, from < forecastBuckets
}

// take marks CPU as used for the given number of buckets.
func (r *room) take(from int, milliCPU float64, buckets int) {
	for b := from; b < min(from+buckets, forecastBuckets); b++ {
		r.freeMilliCPU[b] -= milliCPU
	}
}

// peakMilliCPU returns the CPU of the largest step of the job, in thousandths of a
// core.
func (j *job) peakMilliCPU() float64 {
	peak := 0
	for _, st := range j.Steps {
		peak = max(peak, st.Count*st.Demand.MilliCPU)
	}
	return float64(peak)
}
