package schedule

import "time"

const (
	// bucketWidth is the time resolution of a forecast: a tenth of the duration
	// of a short task.
	bucketWidth = 5 * time.Millisecond
	// forecastBuckets is the length of a forecast in buckets. The result of a job
	// of sub-second tasks is of no use later than that. Work beyond the last
	// bucket is only added up, and assumed to keep all CPU of the pool in use
	// until it is done.
	forecastBuckets = 400
	// runningForecastTTL is how long a runningForecast is reused before it is
	// computed again.
	runningForecastTTL = 5 * time.Millisecond
	// minRemainingShare is the least remaining time that is assumed for a running
	// task, as a share of its expected duration. It applies to tasks that have run
	// for most of their expected duration, or longer.
	minRemainingShare = 0.25
)

// forecastHorizon is the time that a forecast covers.
const forecastHorizon = forecastBuckets * bucketWidth

// forecast simulates how much CPU of a pool is free, in thousandths of a core,
// in each bucket of time from now on. It is needed when more work waits than
// fits: whether a job can still start in time depends on when the running tasks
// end and on the jobs that go before it. The amount of work alone is a poor
// predictor, since a few long tasks make up as much work as many short ones.
type forecast struct {
	// freeMilliCPU is the CPU that is free in the current bucket.
	freeMilliCPU float64
	// freedMilliCPU is the CPU that tasks free at the start of each bucket.
	freedMilliCPU [forecastBuckets]float64
	// higherPriorityMilliCPU is the CPU that newly arriving jobs of higher
	// priority classes are expected to request in each bucket, and
	// higherPriorityBuckets is the number of buckets for which their tasks run.
	higherPriorityMilliCPU float64
	higherPriorityBuckets  int
	// bucket is the index of the current bucket.
	bucket int
	// poolMilliCPU is the total CPU of the pool's available workers.
	// workBeyondHorizon is the work that is left after the last bucket and runs
	// before the next simulated job, in thousandths of a core-second.
	poolMilliCPU, workBeyondHorizon float64
}

// runningForecast holds the CPU that the running tasks of a pool are expected to
// free. freedMilliCPU and workBeyondHorizon are as in forecast.
type runningForecast struct {
	computedAt        time.Duration
	freedMilliCPU     [forecastBuckets]float64
	workBeyondHorizon float64
}

// forecast returns a forecast of the job's pool that counts running tasks and
// expected jobs of higher priority classes, but none of the waiting jobs.
func (s *Scheduler) forecast(now time.Duration, j *job) forecast {
	r := s.runningForecastOf(now, j.Pool)
	f := forecast{freedMilliCPU: r.freedMilliCPU, workBeyondHorizon: r.workBeyondHorizon, poolMilliCPU: float64(s.poolMilliCPU(j.Pool))}
	need := j.maxTaskMilliCPU()
	s.addExpected(now, j.Pool, &f)
	for w := range s.availableWorkers(j.Pool) {
		f.freeMilliCPU += float64(w.freeMilliCPU() - unusableMilliCPU(w.cap.MilliCPU, need))
	}
	milliCPU, cpuWork := s.higherPriorityDemand(now, j.Pool, j.priorityClass)
	if milliCPU > 0 {
		f.higherPriorityMilliCPU = milliCPU * bucketWidth.Seconds()
		f.higherPriorityBuckets = bucketCount(time.Duration(cpuWork / milliCPU * float64(time.Second)))
	}
	return f
}

// maxTaskMilliCPU returns the largest CPU request of the job's tasks, in
// thousandths of a core.
func (j *job) maxTaskMilliCPU() int {
	need := 0
	for _, st := range j.Steps {
		need = max(need, st.Demand.MilliCPU)
	}
	return need
}

// unusableMilliCPU returns how much CPU of a fully loaded worker is expected to
// stay unused because it is less than need, the CPU of one task. The result is at
// most half of need, which is the average where tasks differ in size.
func unusableMilliCPU(capacity, need int) int {
	if need == 0 {
		return 0
	}
	return min(capacity%need, need/2)
}

// runningForecastOf returns the cached forecast of the pool's running tasks,
// computing it again once it is as old as runningForecastTTL.
func (s *Scheduler) runningForecastOf(now time.Duration, pool string) *runningForecast {
	r := s.runningForecasts[pool]
	if r == nil {
		r = &runningForecast{computedAt: now - 2*runningForecastTTL}
		s.runningForecasts[pool] = r
	}
	if now-r.computedAt < runningForecastTTL {
		return r
	}
	*r = runningForecast{computedAt: now}
	for w := range s.availableWorkers(pool) {
		overcommitted := w.overcommittedMilliCPU()
		for _, rn := range w.runs {
			remaining := s.remaining(now, w, rn)
			freed := max(0, rn.need.MilliCPU-overcommitted)
			overcommitted -= rn.need.MilliCPU - freed
			if end := bucketCount(remaining); end < forecastBuckets {
				r.freedMilliCPU[end] += float64(freed)
			} else {
				r.workBeyondHorizon += float64(rn.need.MilliCPU) * (remaining - forecastHorizon).Seconds()
			}
		}
	}
	return r
}

// remaining returns how much longer a run is expected to take, from the speed of its
// worker. A run that has taken longer than expected is taken for a straggler if its
// queue is known to have some.
func (s *Scheduler) remaining(now time.Duration, w *Worker, r *run) time.Duration {
	expected, elapsed := scale(r.usualDuration, w.roundedSlowness()), now-r.placedAt
	if elapsed > scale(expected, usualFactor) && expected > 0 {
		if tail := s.tailOf(r.queue); tail.lateShare() > 0 {
			ratio := float64(elapsed) / float64(expected)
			return scale(expected, tail.expectedTotal(ratio)-ratio)
		}
	}
	return max(expected-elapsed, scale(expected, minRemainingShare))
}

// bucketCount converts a duration to whole buckets, rounded down but at least
// one.
func bucketCount(d time.Duration) int { return max(1, int(d/bucketWidth)) }

// advance moves to the next bucket, in which some tasks end and new tasks of
// higher priority classes start. It returns false at the end of the forecast.
func (f *forecast) advance() bool {
	if f.bucket++; f.bucket >= forecastBuckets {
		return false
	}
	f.freeMilliCPU += f.freedMilliCPU[f.bucket]
	if f.higherPriorityMilliCPU > 0 {
		f.occupy(f.higherPriorityMilliCPU, f.higherPriorityBuckets)
	}
	return true
}

// occupy marks CPU as used for the given number of buckets from the current one
// on.
func (f *forecast) occupy(milliCPU float64, buckets int) {
	f.freeMilliCPU -= milliCPU
	if end := f.bucket + buckets; end < forecastBuckets {
		f.freedMilliCPU[end] += milliCPU
	}
}

// startTasks simulates the start of count equal tasks, each as soon as enough
// CPU is free. need is the CPU of one task and buckets its duration. It returns
// how many tasks have not started at the end of the forecast. Tasks that
// request no CPU start at once.
func (f *forecast) startTasks(count int, need float64, buckets int) int {
	for count > 0 && need > 0 {
		if n := min(count, int(f.freeMilliCPU/need)); n > 0 {
			f.occupy(float64(n)*need, buckets)
			count -= n
			continue
		}
		if !f.advance() {
			return count
		}
	}
	return 0
}

// simulateJob simulates the start of the job's waiting tasks in the forecast.
// It returns how long from now the last of them starts. For a job that is still
// to be admitted, and so has no task states, it counts the tasks of all steps
// that depend on no other step. Tasks that only evacuated workers could run are left
// out, since they wait until the evacuation ends, and so are confined jobs, which use
// workers of their own.
func (s *Scheduler) simulateJob(now time.Duration, f *forecast, j *job) time.Duration {
	if len(j.tasks) > 0 && s.confined(j) {
		return time.Duration(f.bucket) * bucketWidth
	}
	t := 0
	beyondHorizon, workAhead := false, 0.0
	for step := range j.Steps {
		st := &j.Steps[step]
		count := 0
		for range st.Count {
			if len(j.tasks) == 0 && len(st.After) == 0 || len(j.tasks) > 0 && j.tasks[t].phase == phaseWaiting {
				count++
			}
			t++
		}
		if count > 0 && s.stepBlocked(now, j.Pool, st) {
			continue
		}
		need, duration := float64(st.Demand.MilliCPU), s.expectedDuration(j, step)
		if left := f.startTasks(count, need, bucketCount(duration)); left > 0 {
			// The job's own tasks delay its last start only by the work that
			// exceeds what the pool can run at the same time.
			beyondHorizon, workAhead = true, f.workBeyondHorizon+max(0, float64(left)*need-f.poolMilliCPU)*duration.Seconds()
			f.workBeyondHorizon += float64(left) * need * duration.Seconds()
		}
	}
	if beyondHorizon {
		return forecastHorizon + time.Duration(workAhead/max(f.poolMilliCPU, 1)*float64(time.Second))
	}
	return time.Duration(f.bucket) * bucketWidth
}
