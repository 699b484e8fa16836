package schedule

import "time"

// Load pattern: a quarter of the workers takes 2.2 times as long as the others, and
// tasks of 0.9 s meet their objective only on the others. These are kept for such
// tasks as soon as their capacity runs short; tasks of 0.06 s meet theirs anywhere.

const (
	// pressureShare is the share of the fast workers' CPU in use from which on
	// tasks that would be in time on a slow worker go there.
	pressureShare = 0.6
	// chanceTolerance is how much less likely a task may be in time on a slow worker
	// while fast ones are under pressure.
	chanceTolerance = 0.05
	// waitChance is the chance of being in time on a slow worker, relative to that
	// on a fast one, below which a task waits for a fast one.
	waitChance = 0.8
	// minUsefulChance is the chance of being in time below which a task is not worth
	// the capacity of a fast worker.
	minUsefulChance = 0.15
	// maxHeldJobs is the number of jobs that wait for a fast worker after which
	// placeList stops.
	maxHeldJobs = 24
)

// isSlow reports whether the worker is slow beside the fastest of its pool.
func (p *poolSpeed) isSlow(w *Worker) bool {
	return w.slownessSamples >= minUnevenSamples && w.roundedSlowness() >= unevenFactor*p.fastest
}

// chance returns the probability that a task of the queue takes at most the given
// ratio of its expected duration. While no distribution is known, it assumes that
// durations are off by 40%.
func (s *Scheduler) chance(queue string, ratio float64) float64 {
	if tail := s.tailOf(queue); tail.known() {
		return 1 - tail.share(ratio)
	}
	return min(max((ratio-0.6)/0.8, 0), 1)
}

// outlook is what a task can expect on the workers of an uneven pool.
type outlook struct {
	s    *Scheduler
	pool *poolSpeed
	job  *job
	step int
	// usual is the task's expected duration on a worker of usual speed, and budget
	// the time in which it must end for its job to meet the objective.
	usual, budget time.Duration
	// fastChance is the chance of being in time on a fast worker.
	fastChance float64
}

func (s *Scheduler) outlookOf(now time.Duration, j *job, step int, pool *poolSpeed) outlook {
	end := j.arrivedAt + j.objective - networkOverhead
	if step < len(j.stepEnds) {
		end -= j.estimate - j.stepEnds[step]
	}
	o := outlook{s: s, pool: pool, job: j, step: step, usual: max(s.usualDuration(j, step), time.Millisecond), budget: end - now}
	o.fastChance = o.chanceAt(pool.fastest)
	return o
}

// chanceAt returns the chance of being in time on a worker of the given slowness.
func (o *outlook) chanceAt(slowness float64) float64 {
	return o.s.chance(o.job.Queue, float64(o.budget)/(float64(o.usual)*slowness))
}

// choose returns the worker that the task should start on, given the cheapest eligible
// fast and slow workers; each may be nil. It returns nil if the task should rather wait
// for a fast worker.
func (o *outlook) choose(now time.Duration, fast, slow *Worker) *Worker {
	if slow == nil {
		return fast
	}
	slowChance := o.chanceAt(slow.roundedSlowness())
	if fast != nil {
		preferSlow := o.pool.pressed || fast.cold(now) && !slow.cold(now)
		if preferSlow && slowChance >= o.fastChance-chanceTolerance && o.ofUse(now, slow) {
			return slow
		}
		return fast
	}
	if slowChance >= waitChance*o.fastChance || o.fastChance < minUsefulChance || !o.fitsFast() {
		return slow
	}
	return nil
}

// fitsFast reports whether some fast worker could run the task once it has free
// capacity. A limit of tasks per worker may keep them all closed to the task.
func (o *outlook) fitsFast() bool {
	st := &o.job.Steps[o.step]
	if st.PerWorker > 0 {
		return false
	}
	for w := range o.s.availableWorkers(o.job.Pool) {
		if !o.pool.isSlow(w) && stepFits(st, w.cap, w.labels) {
			return true
		}
	}
	return false
}

// ofUse reports whether the result of the task is still of use if it runs on w.
func (o *outlook) ofUse(now time.Duration, w *Worker) bool {
	return !o.job.transient || now+scale(o.usual, w.roundedSlowness()) <= o.job.expiry()
}
