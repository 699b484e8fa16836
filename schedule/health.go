package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// health is what the ends of a worker's runs say of it. Load pattern: a worker
// that fails fast looks idle and draws work; one that is slow or stands still
// keeps what it got.
type health struct {
	// slowness is the worker's time for a task against the expected one.
	slowness float64
	samples  int
	// failures counts failed ends since the last one that was done.
	failures int
	// overdue counts runs that take far longer than expected.
	overdue int
	// nextProbe is when a suspected worker may be tried again.
	nextProbe time.Duration
	backoff   time.Duration
}

const (
	// suspectFailures is how many ends in a row must fail: one may be the
	// task's own fault.
	suspectFailures = 2
	// suspectSlowness is how much slower than expected a worker may be;
	// declared times are off by 40%.
	suspectSlowness = 2.2
	// slownessWeight is the weight of a new sample.
	slownessWeight = 0.15
	// slownessSamples must be there before the speed counts.
	slownessSamples = 6
	// overdueFactor and overdueSlack say when a run is overdue.
	overdueFactor = 3
	overdueSlack  = 100 * time.Millisecond
	// suspectOverdue is how many runs of a worker must be overdue.
	suspectOverdue = 2
	// minProbe and maxProbe bound the wait between two probes.
	minProbe = 200 * time.Millisecond
	maxProbe = 2 * time.Second
	// maxMoves bounds the runs of one task that are stopped for being overdue.
	maxMoves = 3
)

func newHealth() health { return health{slowness: 1, backoff: minProbe} }

// suspect reports whether the worker gets one task at a time.
func (h *health) suspect() bool {
	return h.failures >= suspectFailures || h.overdue >= suspectOverdue ||
		h.samples >= slownessSamples && h.slowness > suspectSlowness
}

// pace is the learned slowness, in steps of a tenth.
func (h *health) pace() float64 {
	if h.samples < slownessSamples {
		return 1
	}
	return float64(int(h.slowness*10+0.5)) / 10
}

// takes reports whether the worker may be given a task beside those it runs.
func (h *health) takes(now time.Duration, running int) bool {
	return !h.suspect() || running == 0 && now >= h.nextProbe
}

func (h *health) started(now time.Duration) {
	if h.suspect() {
		h.nextProbe = now + h.backoff
		h.backoff = min(2*h.backoff, maxProbe)
	}
}

// observe learns from the end of a run.
func (s *Scheduler) observe(now time.Duration, w *Worker, r *run, e contract.RunEnded) {
	if r.stray {
		return
	}
	switch {
	case e.Unhealthy:
		w.failures = max(w.failures+1, suspectFailures)
	case e.How == contract.EndFailed:
		w.failures++
	case e.How == contract.EndDone:
		w.failures = 0
		w.backoff = minProbe
		if r.expected > 0 {
			took := float64(now-r.placed) / float64(r.expected)
			w.slowness += slownessWeight * (min(took, 10) - w.slowness)
			w.samples++
			s.learn(r.queue, took, w)
		}
	}
}

// Check looks for runs that are overdue. Those of a suspected worker are
// stopped, to start elsewhere.
func (s *Scheduler) Check(now time.Duration) {
	s.tendOrphans(now)
	for _, w := range s.order {
		w.overdue = 0
		for _, r := range w.runs {
			if s.isOverdue(now, r) {
				w.overdue++
			}
		}
		if w.overdue < suspectOverdue {
			continue
		}
		for ref, r := range w.runs {
			if !r.stray && s.isOverdue(now, r) && s.mayMove(ref) {
				s.stop(w, ref)
			}
		}
	}
}

func (s *Scheduler) isOverdue(now time.Duration, r *run) bool {
	return r.expected > 0 && now-r.placed > overdueFactor*r.expected+overdueSlack
}

func (s *Scheduler) mayMove(ref contract.RunRef) bool {
	j := s.jobs[ref.Job]
	return j != nil && int(ref.Task) < len(j.tasks) && j.tasks[ref.Task].runs < maxMoves
}
