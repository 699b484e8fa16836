package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// health describes a worker's health, as derived from the results of its runs.
// A worker that fails fast looks idle and attracts work; one that is slow or
// hangs delays the tasks that it has. A task's duration is compared with those of
// the other tasks of its job rather than with its declared duration, since all
// tasks of a job share the error of one estimate.
type health struct {
	// slowness is the moving average of the worker's task durations, each
	// divided by the duration of the job's fastest task; 1 is normal. See
	// compareDuration for the tasks that count.
	slowness float64
	// slownessSamples is the number of durations that went into slowness.
	slownessSamples int
	// failures counts the failed runs since the last one that succeeded. If the
	// worker refuses a start as unhealthy, it is raised to at least
	// suspectFailures.
	failures int
	// unansweredStarts counts the starts without an answer since the last run
	// that succeeded.
	unansweredStarts int
	// overdueRuns is the number of runs that the last CheckRuns found overdue.
	overdueRuns int
	// slownessTolerated exempts the worker from suspicion for being slow.
	slownessTolerated bool
	// nextProbe is the earliest time at which a suspected worker gets another
	// task.
	nextProbe time.Duration
	// probeInterval is the time between the next two probes. It doubles with each
	// probe, up to maxProbeInterval, and is reset when a run succeeds.
	probeInterval time.Duration
}

const (
	// suspectFailures is the number of consecutive failures that makes a worker
	// suspect. A single failure may be the task's own fault.
	suspectFailures = 2
	// suspectUnanswered is the number of consecutive unanswered starts that
	// makes a worker suspect. Single starts get lost in the network.
	suspectUnanswered = 3
	// suspectSlowness is the slowness above which a worker is suspect. Healthy
	// workers stay below it: the slowest kinds of worker are slower by a third,
	// and the tasks of one job differ by a seventh.
	suspectSlowness = 2
	// recoverySlowness is the largest sample that clears a worker that is
	// suspected for its slowness.
	recoverySlowness = 1.6
	// slownessWeight is the weight of a new sample in the moving average.
	slownessWeight = 0.2
	// minSlownessSamples is the number of samples below which slowness is
	// ignored.
	minSlownessSamples = 4
	// A run is overdue after overdueFactor times the duration of its job's
	// fastest task plus overdueSlack.
	overdueFactor = 2
	overdueSlack  = 60 * time.Millisecond
	// A run that can't be compared with a task of its job on another worker is
	// overdue after noPeerOverdueFactor times its expected duration plus
	// noPeerOverdueSlack. Declared durations are off by 40%, sometimes by a
	// factor of three.
	noPeerOverdueFactor = 5
	noPeerOverdueSlack  = 300 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes
	// of a suspected worker.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// overdueStopMaxStarts limits the stops of overdue runs: once a task has been
	// started this often, its run is left to end by itself.
	overdueStopMaxStarts = 3
	// maxSlownessSample is the upper bound of one sample of slowness.
	maxSlownessSample = 8
)

// newHealth returns the health of a worker that has run nothing yet.
func newHealth() health { return health{slowness: 1, probeInterval: minProbeInterval} }

// suspect reports whether the worker is suspected of being faulty. A suspected
// worker gets only one task at a time, as a probe, and at most one per
// probeInterval.
func (h *health) suspect() bool {
	return h.failures >= suspectFailures || h.unansweredStarts >= suspectUnanswered || h.slow() && !h.slownessTolerated
}

// slow reports whether the worker has overdue runs or is too slow on average.
func (h *health) slow() bool {
	return h.overdueRuns > 0 || h.slownessSamples >= minSlownessSamples && h.slowness > suspectSlowness
}

// maxSlowSuspectShare is the largest share of a pool's workers that may be
// suspected for being slow. If more of them look slow, the cause is common to
// all, and a pool of only suspects would come to a halt.
const maxSlowSuspectShare = 1.0 / 3

// limitSlowSuspects lets only the slowest workers of each pool be suspected for
// being slow, up to maxSlowSuspectShare but at least one, and exempts the
// others.
func (s *Scheduler) limitSlowSuspects() {
	slow := map[string][]*Worker{}
	total := map[string]int{}
	for _, w := range s.workerList {
		w.slownessTolerated = false
		if !w.usable || w.unreachable {
			continue
		}
		total[w.Pool]++
		if w.slow() {
			slow[w.Pool] = append(slow[w.Pool], w)
		}
	}
	for pool, ws := range slow {
		slices.SortStableFunc(ws, func(a, b *Worker) int {
			return cmp.Or(cmp.Compare(b.overdueRuns, a.overdueRuns), cmp.Compare(b.slowness, a.slowness))
		})
		for _, w := range ws[min(len(ws), max(1, int(maxSlowSuspectShare*float64(total[pool])))):] {
			w.slownessTolerated = true
		}
	}
}

// roundedSlowness returns the slowness rounded to a tenth, or 1 while there are
// too few samples.
func (h *health) roundedSlowness() float64 {
	if h.slownessSamples < minSlownessSamples {
		return 1
	}
	return float64(int(h.slowness*10+0.5)) / 10
}

// acceptsTask reports whether the worker's health allows another task while it
// has the given number of running ones.
func (h *health) acceptsTask(now time.Duration, running int) bool {
	return !h.suspect() || running == 0 && now >= h.nextProbe
}

// recordStart updates the probe times when a suspected worker gets a task.
func (h *health) recordStart(now time.Duration) {
	if h.suspect() {
		h.nextProbe = now + h.probeInterval
		h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
	}
}

// recordRunEnd updates the worker's health and the queue's duration ratio from
// the end of a run. Runs whose job is not known or has ended don't count. The
// duration of a taken-over run is ignored, since the time of its start is not
// known.
func (s *Scheduler) recordRunEnd(now time.Duration, w *Worker, r *run, e contract.RunEnded) {
	if r.unclaimed {
		return
	}
	switch {
	case e.Unanswered:
		w.unansweredStarts++
	case e.Unhealthy:
		w.failures = max(w.failures+1, suspectFailures)
	case e.Kind == contract.EndFailed:
		w.failures++
	case e.Kind == contract.EndDone:
		w.failures, w.unansweredStarts = 0, 0
		w.probeInterval = minProbeInterval
		if r.takenOver {
			break
		}
		s.compareDuration(now-r.placedAt, w, s.jobs[e.Job])
		if r.expectedDuration > 0 {
			s.recordTaskDuration(r.queue, float64(now-r.placedAt)/float64(r.expectedDuration), w)
		}
	}
}

// compareDuration compares the duration of a task that is done with the fastest
// task of its job so far, and adds the ratio to the worker's slowness. A task that
// is at least as fast adds 1 and becomes the fastest. The first task of a job adds
// nothing, nor does one that is slower than the fastest on the same worker.
func (s *Scheduler) compareDuration(duration time.Duration, w *Worker, j *job) {
	if j == nil || duration <= 0 {
		return
	}
	switch {
	case j.shortestRun == 0:
		j.shortestRun, j.shortestRunWorker = duration, w.Host
	case duration <= j.shortestRun:
		j.shortestRun, j.shortestRunWorker = duration, w.Host
		w.addSlownessSample(1)
	case j.shortestRunWorker != w.Host:
		w.addSlownessSample(min(float64(duration)/float64(j.shortestRun), maxSlownessSample))
	}
}

// addSlownessSample adds a sample to the moving average. If the average is above
// suspectSlowness, a sample of at most recoverySlowness replaces it.
func (h *health) addSlownessSample(sample float64) {
	if sample <= recoverySlowness && h.slowness > suspectSlowness {
		h.slowness = sample
	}
	h.slowness += slownessWeight * (sample - h.slowness)
	h.slownessSamples++
}

// CheckRuns orders overdue runs to stop, so that their tasks can start on other
// workers, and updates which workers are suspected for being slow. It also
// stops unclaimed runs, and discards unclaimed ends, after their TTL.
func (s *Scheduler) CheckRuns(now time.Duration) {
	s.expireUnclaimed(now)
	for _, w := range s.workerList {
		w.overdueRuns = 0
		for ref, r := range w.runs {
			j := s.jobs[ref.Job]
			if r.unclaimed || r.direct || j == nil || !s.isOverdue(now, w, j, r) {
				continue
			}
			w.overdueRuns++
			if int(ref.Task) < len(j.tasks) && j.tasks[ref.Task].startCount < overdueStopMaxStarts {
				s.stopRun(w, ref)
			}
		}
	}
	s.limitSlowSuspects()
}

// isOverdue reports whether a run takes far longer than the fastest task of its
// job. If that task ran on the same worker, no task is done yet, or the run was
// taken over, it compares the run with its expected duration instead.
func (s *Scheduler) isOverdue(now time.Duration, w *Worker, j *job, r *run) bool {
	if j.shortestRun > 0 && j.shortestRunWorker != w.Host && !r.takenOver {
		return now-r.placedAt > overdueFactor*j.shortestRun+overdueSlack
	}
	return r.expectedDuration > 0 && now-r.placedAt > noPeerOverdueFactor*r.expectedDuration+noPeerOverdueSlack
}
