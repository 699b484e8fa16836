package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// uselessFactor times the objective is when an answer is of no use any more.
	uselessFactor = 3
	// hopelessEvery is how often late jobs are looked at: a fifth of what the
	// shortest tasks take.
	hopelessEvery = 10 * time.Millisecond
)

// useless reports whether the job, if it began then, would end too late to be
// of use.
func (j *job) useless(begin time.Duration) bool {
	return begin+j.estimate > j.arrived+time.Duration(uselessFactor*float64(j.objective))
}

// Hopeless returns the transient jobs that have not begun and would end too
// late to be of use. Load pattern: a worker is lost, or urgent jobs come, after
// jobs were taken that have to wait. A job that missed its objective fills what
// the others leave; where the forecast shows that nothing will be left in time,
// its caller is told at once.
func (s *Scheduler) Hopeless(now time.Duration) []contract.DurableJobID {
	if len(s.late) == 0 || now-s.hopelessAt < hopelessEvery {
		return nil
	}
	s.hopelessAt = now
	var out []contract.DurableJobID
	pools := map[string]*forecast{}
	for _, j := range s.late {
		if !j.transient || j.begun {
			continue
		}
		f := pools[j.Pool]
		if f == nil {
			f = s.forecastLate(now, j)
			pools[j.Pool] = f
		}
		before := *f
		if wait := s.startJob(f, j); j.useless(now + wait) {
			out = append(out, j.ID)
			*f = before
		}
	}
	return out
}

// forecastLate returns the forecast behind all jobs that can meet their
// objective, less the reserve for those that come next.
func (s *Scheduler) forecastLate(now time.Duration, j *job) *forecast {
	f := s.forecast(now, j)
	f.free -= spareShare * f.room
	for _, o := range s.viable {
		if o.Pool == j.Pool {
			s.startJob(&f, o)
		}
	}
	return &f
}
