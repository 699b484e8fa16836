package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// health is what the ends of a worker's runs say of it. Load pattern: a worker
// that fails fast looks idle and draws work; one that is slow or stands still
// keeps what it got. Declared times say little, since all tasks of a job share
// the error of one estimate; the other tasks of the job say much.
type health struct {
	// slowness is the worker's time for a task against the best of the job's
	// other tasks on other workers.
	slowness float64
	samples  int
	// failures counts failed ends since the last one that was done.
	failures int
	// unanswered counts starts without an answer since the last end that was
	// done.
	unanswered int
	// overdue counts runs that take far longer than they should.
	overdue int
	// tolerated says that the worker is not suspected for being slow.
	tolerated bool
	// nextProbe is when a suspected worker may be tried again.
	nextProbe time.Duration
	backoff   time.Duration
}

const (
	// suspectFailures is how many ends in a row must fail: one may be the
	// task's own fault.
	suspectFailures = 2
	// suspectUnanswered is how many starts in a row must get no answer: single
	// ones are lost on the way.
	suspectUnanswered = 3
	// suspectSlowness is how much slower than its peers a worker may be: the
	// slowest kinds differ by a third, the tasks of a job by a seventh.
	suspectSlowness = 2
	// soundSlowness is what a probe of a suspected worker must show.
	soundSlowness = 1.6
	// slownessWeight is the weight of a new sample.
	slownessWeight = 0.2
	// slownessSamples must be there before the speed counts.
	slownessSamples = 4
	// overdueFactor and overdueSlack say when a run is overdue against the
	// best task of its job.
	overdueFactor = 2
	overdueSlack  = 60 * time.Millisecond
	// blindFactor and blindSlack say so where no task of the job has ended on
	// another worker: declared times are off by 40%, at times threefold.
	blindFactor = 5
	blindSlack  = 300 * time.Millisecond
	// minProbe and maxProbe bound the wait between two probes.
	minProbe = 200 * time.Millisecond
	maxProbe = 2 * time.Second
	// maxMoves bounds the runs of one task that are stopped for being overdue.
	maxMoves = 3
	// maxSample bounds one sample of slowness.
	maxSample = 8
)

func newHealth() health { return health{slowness: 1, backoff: minProbe} }

// suspect reports whether the worker gets one task at a time.
func (h *health) suspect() bool {
	return h.failures >= suspectFailures || h.unanswered >= suspectUnanswered || h.slow() && !h.tolerated
}

func (h *health) slow() bool {
	return h.overdue > 0 || h.samples >= slownessSamples && h.slowness > suspectSlowness
}

// maxSlowShare of a pool's workers may be suspected for being slow. Where more
// look so, something that all feel is behind it, and a pool of suspects would
// stand still.
const maxSlowShare = 1.0 / 3

// tolerate finds the workers of each pool that are suspected for being slow:
// the worst ones, up to their share.
func (s *Scheduler) tolerate() {
	slow := map[string][]*Worker{}
	all := map[string]int{}
	for _, w := range s.order {
		w.tolerated = false
		if !w.usable || w.away {
			continue
		}
		all[w.Pool]++
		if w.slow() {
			slow[w.Pool] = append(slow[w.Pool], w)
		}
	}
	for pool, ws := range slow {
		slices.SortStableFunc(ws, func(a, b *Worker) int {
			return cmp.Or(cmp.Compare(b.overdue, a.overdue), cmp.Compare(b.slowness, a.slowness))
		})
		for _, w := range ws[min(len(ws), max(1, int(maxSlowShare*float64(all[pool])))):] {
			w.tolerated = true
		}
	}
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
	case e.Unanswered:
		w.unanswered++
	case e.Unhealthy:
		w.failures = max(w.failures+1, suspectFailures)
	case e.How == contract.EndFailed:
		w.failures++
	case e.How == contract.EndDone:
		w.failures, w.unanswered = 0, 0
		w.backoff = minProbe
		if r.takenOver {
			break
		}
		s.compare(now-r.placed, w, s.jobs[e.Job])
		if r.expected > 0 {
			s.learn(r.queue, float64(now-r.placed)/float64(r.expected), w)
		}
	}
}

// compare takes how long a task took against the others of its job.
func (s *Scheduler) compare(took time.Duration, w *Worker, j *job) {
	if j == nil || took <= 0 {
		return
	}
	switch {
	case j.best == 0:
		j.best, j.bestWorker = took, w.Host
	case took <= j.best:
		j.best, j.bestWorker = took, w.Host
		w.sample(1)
	case j.bestWorker != w.Host:
		w.sample(min(float64(took)/float64(j.best), maxSample))
	}
}

// sample takes one comparison; a sound one clears a suspected worker.
func (h *health) sample(x float64) {
	if x <= soundSlowness && h.slowness > suspectSlowness {
		h.slowness = x
	}
	h.slowness += slownessWeight * (x - h.slowness)
	h.samples++
}

// Check looks for runs that are overdue, and stops them, to start elsewhere.
func (s *Scheduler) Check(now time.Duration) {
	s.tendOrphans(now)
	for _, w := range s.order {
		w.overdue = 0
		for ref, r := range w.runs {
			j := s.jobs[ref.Job]
			if r.stray || j == nil || !s.isOverdue(now, w, j, r) {
				continue
			}
			w.overdue++
			if int(ref.Task) < len(j.tasks) && j.tasks[ref.Task].runs < maxMoves {
				s.stop(w, ref)
			}
		}
	}
	s.tolerate()
}

func (s *Scheduler) isOverdue(now time.Duration, w *Worker, j *job, r *run) bool {
	if j.best > 0 && j.bestWorker != w.Host && !r.takenOver {
		return now-r.placed > overdueFactor*j.best+overdueSlack
	}
	return r.expected > 0 && now-r.placed > blindFactor*r.expected+blindSlack
}
