package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// Late admission addresses short gaps in a pool that is nearly full: a job that comes
// while the line is a little too long would be refused, although there is room for it
// soon after its objective has passed. A late result is of some use to the caller, a
// refusal of none. A job that is admitted and refused later is worse than one refused
// at once, so that admission is only for jobs whose room is certain.

const (
	// lateDurationFactor is how much longer than expected a late job may take:
	// declared durations are off by 40%, and the slowest task of a job by 15%.
	lateDurationFactor = 1.6
	// lateWaitShare is the share of the time until the latest useful start that the
	// predicted wait of a late job may use.
	lateWaitShare = 0.6
	// maxDeferredJobs bounds the work of one forecast.
	maxDeferredJobs = 256
)

// lateRooms is what a pool has left for late jobs.
type lateRooms struct {
	// free is the room beside the jobs that are in time; unclaimed is what the
	// waiting late jobs leave of it, from the start of the last one on.
	free, unclaimed room
	// lastStart is the bucket in which the last waiting late job is expected to
	// start.
	lastStart int
}

// AdmitLate decides on a transient job that Admit has refused as refused. It is
// admitted if it can't be in time but is certain to end while its result is of use,
// without room that jobs in time need. The caller adds it and then calls Arrange.
func (s *Scheduler) AdmitLate(now, arrived time.Duration, d *contract.DurableJob, refused Admission) Admission {
	if !refused.mayBeLate || !s.ratesKnown(now) || len(s.deferredJobs) >= maxDeferredJobs {
		return refused
	}
	j := &job{Job: &durable.Job{DurableJob: *d}, arrivedAt: arrived}
	s.estimateJob(j)
	r := s.lateRoomsOf(now, j)
	milliCPU, buckets := j.peakMilliCPU(), j.lateBuckets()
	at, ok := r.unclaimed.find(r.lastStart, milliCPU, buckets)
	wait := time.Duration(at) * bucketWidth
	if !ok || float64(wait) > lateWaitShare*float64(j.latestUsefulStart()-now) {
		return refused
	}
	r.unclaimed.take(at, milliCPU, buckets)
	r.lastStart = at
	return Admission{OK: true, Late: true, PredictedWait: wait}
}

// lateBuckets returns for how many buckets a late job is assumed to run.
func (j *job) lateBuckets() int {
	return bucketCount(time.Duration(lateDurationFactor * float64(j.estimate)))
}

// latestUsefulStart returns the latest start at which the job certainly ends while its
// result is of use.
func (j *job) latestUsefulStart() time.Duration {
	return j.arrivedAt + time.Duration(expiryFactor*float64(j.objective)-lateDurationFactor*float64(j.estimate)) - networkOverhead
}

// lateRoomsOf returns what the pool of job j has left for late jobs.
func (s *Scheduler) lateRoomsOf(now time.Duration, j *job) *lateRooms {
	r := s.lateRooms[j.Pool]
	if r == nil {
		r = &lateRooms{}
		s.lateRooms[j.Pool] = r
	} else if now-r.free.computedAt < roomTTL {
		return r
	}
	s.fillRoom(&r.free, now, j, s.viableJobs, s.likelyArrivals(now, j.Pool))
	r.free.take(0, reserveShare*float64(s.poolMilliCPU(j.Pool)), forecastBuckets)
	r.unclaimed, r.lastStart = r.free, 0
	for _, late := range [][]*job{s.lateJobs, s.deferredJobs} {
		for _, o := range late {
			if o.Pool != j.Pool {
				continue
			}
			if at, ok := r.unclaimed.find(r.lastStart, o.peakMilliCPU(), o.lateBuckets()); ok {
				r.unclaimed.take(at, o.peakMilliCPU(), o.lateBuckets())
				r.lastStart = at
			}
		}
	}
	return r
}

// Arrange gives a job that was admitted its place: one that was admitted late goes
// behind all others, and one that was promoted goes with those of class 0.
func (s *Scheduler) Arrange(id contract.DurableJobID, a Admission) {
	j := s.jobs[id]
	if j == nil || j.begun || j.waitingTasks == 0 {
		return
	}
	s.viableJobs.remove(j)
	if a.Late {
		s.deferredJobs = append(s.deferredJobs, j)
		return
	}
	if a.Promoted {
		j.priorityClass = 0
	}
	s.viableJobs.add(j)
}

// removeDeferred removes a job that has ended from the deferred jobs.
func (s *Scheduler) removeDeferred(j *job) {
	if i := slices.Index(s.deferredJobs, j); i >= 0 {
		s.deferredJobs = slices.Delete(s.deferredJobs, i, i+1)
	}
}

// placeDeferred starts deferred jobs in order, beside the reserve. Once a job does not
// fit, those behind it in its pool wait too, so that small jobs do not keep a large one
// from starting.
func (s *Scheduler) placeDeferred(now time.Duration) {
	blocked := map[string]bool{}
	for _, j := range s.deferredJobs {
		if blocked[j.Pool] || j.entrySilent(now) {
			continue
		}
		r := s.lateRoomsOf(now, j)
		if milliCPU := j.peakMilliCPU(); !j.begun && r.free.freeMilliCPU[0] < milliCPU || s.placeJob(now, j) != placedAll {
			blocked[j.Pool] = true
		} else {
			r.free.take(0, milliCPU, j.lateBuckets())
		}
	}
	s.deferredJobs = slices.DeleteFunc(s.deferredJobs, func(j *job) bool { return j.waitingTasks == 0 })
}
