package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: an operator evacuates a failure domain with a third of the workers, or
// the last one that has any, under full load, and takes that back later. The jobs that
// lose their capacity by it are known at once, and refusing them at once lets their
// callers come back in time; workers that return may be cold.

// EvacuatedReason is the reason of a refusal for lack of workers outside the evacuated
// domains.
const EvacuatedReason = "all workers that could run a task are evacuated"

// SetEvacuated sets the evacuated failure domains. Their workers get no new work and
// no longer count as capacity; their runs go on.
func (s *Scheduler) SetEvacuated(domains []string) {
	s.evacuated = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.evacuated[d] = true
	}
	for _, w := range s.workerList {
		w.evacuated = s.evacuated[w.domain]
	}
	clear(s.runningForecasts)
	clear(s.lateRooms)
	clear(s.queueLimits)
	s.recheckViable = len(domains) > 0
}

// takesWork reports whether the worker takes new work, if only as a probe: it is
// usable, reachable, and not in an evacuated domain.
func (w *Worker) takesWork() bool { return w.usable && !w.unreachable && !w.evacuated }

// cold reports whether the worker is slower than usual since it has been idle or has
// just returned to service.
func (w *Worker) cold(now time.Duration) bool { return now < w.coldUntil }

// BlockedByEvacuation reports whether the job has a step for which the pool has large
// enough workers, but only in evacuated domains.
func (s *Scheduler) BlockedByEvacuation(now time.Duration, d *contract.DurableJob) bool {
	for i := range d.Steps {
		if s.stepBlocked(now, d.Pool, &d.Steps[i]) {
			return true
		}
	}
	return false
}

// stepBlocked reports whether the pool has large enough workers for the step, but only
// in evacuated domains.
func (s *Scheduler) stepBlocked(now time.Duration, pool string, st *contract.DurableStep) bool {
	if len(s.evacuated) == 0 {
		return false
	}
	remaining, evacuated := s.idleWorkersFor(now, pool, st)
	return evacuated && !remaining
}

// jobsToRefuse returns the transient jobs that have not begun and that an evacuation
// has deprived of their capacity: those that only evacuated workers could run and,
// after a change of the evacuated domains, those that would end too late to be of use
// with what is left.
func (s *Scheduler) jobsToRefuse(now time.Duration) []contract.DurableJobID {
	if len(s.evacuated) == 0 {
		return nil
	}
	var refused []contract.DurableJobID
	pools := map[string]*forecast{}
	for _, list := range [][]*job{s.viableJobs, s.lateJobs, s.deferredJobs} {
		for _, j := range list {
			if s.BlockedByEvacuation(now, &j.DurableJob) {
				if j.transient && !j.begun {
					refused = append(refused, j.ID)
				}
				continue
			}
			if s.recheckViable && s.wouldBeUseless(now, j, pools) {
				refused = append(refused, j.ID)
			}
		}
	}
	s.recheckViable = false
	return refused
}

// wouldBeUseless simulates the start of the job in its pool's forecast, after the jobs
// before it. It reports whether the job is a transient one that has not begun and
// would end too late to be of use; such a job leaves the forecast as it was.
func (s *Scheduler) wouldBeUseless(now time.Duration, j *job, pools map[string]*forecast) bool {
	f := pools[j.Pool]
	if f == nil {
		first := s.forecast(now, j)
		f = &first
		pools[j.Pool] = f
	}
	before := *f
	wait := s.simulateJob(now, f, j)
	if !j.transient || j.begun || !j.wouldExpire(now+wait) {
		return false
	}
	*f = before
	return true
}
