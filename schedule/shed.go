package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// expiryFactor says how long a result is of use to the caller: until
	// expiryFactor times the job's objective after its arrival.
	expiryFactor = 3
	// shedCheckInterval is how often late jobs are examined: a fifth of the
	// duration of the shortest tasks.
	shedCheckInterval = 10 * time.Millisecond
)

// wouldExpire reports whether the job, if it began at the given time, would end
// too late to be of use to its caller.
func (j *job) wouldExpire(begin time.Duration) bool {
	return begin+j.estimate > j.expiry()
}

// expiry returns the time from which on the job's result is of no use to its caller.
func (j *job) expiry() time.Duration {
	return j.arrivedAt + time.Duration(expiryFactor*float64(j.objective))
}

// JobsToShed returns the transient jobs to shed: those that have not begun and
// would end too late to be of use. This happens when a worker is lost, or when
// urgent jobs arrive and delay jobs that were admitted before. A late job only
// gets capacity that the others leave free; if the forecast shows that none will
// be free in time, its caller should get a refusal at once rather than wait in
// vain. The same holds for jobs whose workers are evacuated or have shrunk, and for those that crashes
// have left without hope, also if they have begun. JobsToShed returns nil if
// called again within shedCheckInterval, unless the evacuated domains have changed.
func (s *Scheduler) JobsToShed(now time.Duration) []contract.DurableJobID {
	late := len(s.lateJobs)+len(s.deferredJobs) > 0
	idle := !late && len(s.evacuated) == 0 && s.ledger.Empty() && len(s.viableJobs) == 0
	if !s.recheckViable && (idle || now-s.lastShedCheck < shedCheckInterval) {
		return nil
	}
	s.lastShedCheck = now
	shed := s.jobsToRefuse(now)
	if !s.ledger.Empty() {
		shed = append(shed, s.hopelessJobs(now)...)
	}
	shed = append(shed, s.blockedJobs(now)...)
	refused := make(map[contract.DurableJobID]bool, len(shed))
	for _, id := range shed {
		refused[id] = true
	}
	pools := map[string]*forecast{}
	for _, j := range slices.Concat(s.lateJobs, s.deferredJobs) {
		if !j.transient || j.begun || refused[j.ID] || s.confined(j) {
			continue
		}
		f := pools[j.Pool]
		if f == nil {
			f = s.forecastForLateJobs(now, j)
			pools[j.Pool] = f
		}
		before := *f
		if wait := s.simulateJob(now, f, j); j.wouldExpire(now + wait) {
			shed = append(shed, j.ID)
			*f = before
		}
	}
	return shed
}

// forecastForLateJobs returns a forecast of the job's pool in which all viable
// jobs have started and the reserve for jobs to come counts as used.
func (s *Scheduler) forecastForLateJobs(now time.Duration, j *job) *forecast {
	f := s.forecast(now, j)
	f.freeMilliCPU -= reserveShare * f.poolMilliCPU
	for _, o := range s.viableJobs {
		if o.Pool == j.Pool {
			s.simulateJob(now, &f, o)
		}
	}
	return &f
}
