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
	// failures counts the failed runs since the last one that succeeded. If the
	// worker refuses a start as unhealthy, it is raised to at least
	// suspectFailures.
	failures int
	// unansweredStarts counts the starts without an answer since the last run
	// that succeeded.
	unansweredStarts int
	// overdueRuns is the number of runs that the last CheckRuns found late and that
	// no tail of their queue explains, and lateRuns the evidence of all late ones.
	overdueRuns int
	lateRuns    lateRuns
	// slowness is the median of the last samples, each the duration of a task
	// divided by that on a worker of usual speed; 1 is usual. See learnSpeeds.
	slowness float64
	// slownessSamples is the number of samples, and samples the ring of the last
	// slownessWindow; it is outside of the struct, which placement reads for all
	// workers.
	slownessSamples int
	// slownessTolerated exempts the worker from suspicion for being slow.
	slownessTolerated bool
	samples           []float64
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
	// suspectSlowness is the slowness above which a worker is suspect. Sound
	// workers are slower than others by up to 2.2, ill ones by 5 or more.
	suspectSlowness = 3.3
	// recoveryShare is the share of its slowness to which a sample must have
	// fallen to clear a worker that is suspected for its slowness.
	recoveryShare = 0.5
	// minSlownessSamples is the number of samples below which slowness is
	// ignored.
	minSlownessSamples = 4
	// minProbeInterval and maxProbeInterval bound the time between two probes
	// of a suspected worker.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// maxSlownessSample is the upper bound of one sample of slowness.
	maxSlownessSample = 16
)

// newHealth returns the health of a worker that has run nothing yet.
func newHealth() health { return health{slowness: 1, probeInterval: minProbeInterval} }

// suspect reports whether the worker is suspected of being faulty. A suspected
// worker gets only one task at a time, as a probe, and at most one per
// probeInterval.
func (h *health) suspect() bool {
	return h.failures >= suspectFailures || h.unansweredStarts >= suspectUnanswered || h.slow() && !h.slownessTolerated
}

// slow reports whether the worker's late runs or its slowness are those of an ill
// one.
func (h *health) slow() bool {
	return h.overdueRuns > 0 || h.lateRuns.evidence >= suspectEvidence ||
		h.slownessSamples >= minSlownessSamples && h.slowness > suspectSlowness
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
		if !w.takesWork() {
			continue
		}
		total[w.Pool]++
		if w.slow() {
			slow[w.Pool] = append(slow[w.Pool], w)
		}
	}
	for pool, ws := range slow {
		slices.SortStableFunc(ws, func(a, b *Worker) int {
			return cmp.Or(cmp.Compare(b.overdueRuns, a.overdueRuns), cmp.Compare(b.lateRuns.row, a.lateRuns.row), cmp.Compare(b.slowness, a.slowness))
		})
		for _, w := range ws[min(len(ws), max(1, int(maxSlowSuspectShare*float64(total[pool])))):] {
			w.slownessTolerated = true
		}
	}
}

// acceptsProbe reports whether a suspected worker may get another task now. A worker
// that is suspected only for its late runs need not wait for these to end: they may be
// stragglers.
func (w *Worker) acceptsProbe(now time.Duration) bool {
	running := len(w.runs)
	if running > 0 && w.failures < suspectFailures && w.unansweredStarts < suspectUnanswered {
		for _, r := range w.runs {
			if r.late {
				running--
			}
		}
	}
	return running == 0 && now >= w.nextProbe
}

// recordStart updates the probe times when a suspected worker gets a task.
func (h *health) recordStart(now time.Duration) {
	if h.suspect() {
		h.nextProbe = now + h.probeInterval
		h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
	}
}

// recordRunEnd updates the worker's health, and what is known of its speed and of
// the queue, from the end of a run. Runs whose job is not known or has ended don't
// count. The duration of a run is ignored if the time of its start or end is not known.
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
		if r.timed() {
			s.recordDone(now, w, s.jobs[e.Job], r, e.RunRef)
		}
	}
}
