package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// JobRematched updates a job whose queue, pool or priority has changed: its waiting tasks
// start on workers of the new pool, and its runs go on where they are. It refuses
// the job if no worker of the new pool could run it.
func (s *Scheduler) JobRematched(now time.Duration, id contract.DurableJobID) Admission {
	j := s.jobs[id]
	if j == nil {
		return Admission{OK: true}
	}
	// The lists are ordered by what estimateJob sets.
	s.viableJobs.remove(j)
	s.lateJobs.remove(j)
	j.estimate = 0
	s.estimateJob(j)
	s.enqueue(j)
	return s.missingWorkers(now, &j.DurableJob)
}

// missingWorkers refuses a job that no worker of the pool could run, whatever the load.
func (s *Scheduler) missingWorkers(now time.Duration, d *contract.DurableJob) Admission {
	switch {
	case s.fitsIdleWorkers(now, d) || s.expectsWorkers(now):
		return Admission{OK: true}
	case s.poolMilliCPU(d.Pool) == 0:
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: noWorkerReason}
	}
	return Admission{NeverFits: true, Reason: neverFitsReason}
}
