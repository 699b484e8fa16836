package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// Load pattern: deadly requests come faster than the workers that they crash come back,
// so that a limit for each request does not keep the pool alive. The jobs of a queue
// whose tasks crash workers are therefore confined: they run on a few workers of the
// pool, the cells, that run nothing else, and mostly one job at a time, so that a crash
// tells the job that caused it. The other queues keep the rest of the pool. What does
// not fit into the cells is refused at once.

const (
	// repeatWait is how long after its arrival a job that will probably crash a worker
	// waits behind others, and refusalMemory how long after a refusal of a confined job
	// others are still expected.
	repeatWait    = 1500 * time.Millisecond
	refusalMemory = time.Second
	// confinedOverhead is the time between two jobs on a cell.
	confinedOverhead = 15 * time.Millisecond
)

// ConfinedReason is the reason of a refusal of a job whose queue is confined.
const ConfinedReason = "requests of the queue crash workers: few may run at a time"

// queueID returns the job's queue.
func (j *job) queueID() quarantine.Queue { return quarantine.Queue{Pool: j.Pool, Queue: j.Queue} }

// confined reports whether the job may run on cells only.
func (s *Scheduler) confined(j *job) bool {
	return j.verdict >= quarantine.Isolate || s.confinement.Confined(j.queueID())
}

// placeConfined starts the waiting tasks of a confined job on cells.
func (s *Scheduler) placeConfined(now time.Duration, j *job) placement {
	if j.verdict >= quarantine.Exhausted {
		return awaitsCell
	}
	t := 0
	for step := range j.Steps {
		for index := range j.Steps[step].Count {
			if j.tasks[t].phase == phaseWaiting {
				if s.directRunAlive(j, t) {
					return awaitsCell
				}
				w := s.pickCell(now, j, step)
				if w == nil {
					return awaitsCell
				}
				w.cellUsedAt = now
				s.startTask(now, w, j, step, index, t)
			}
			t++
		}
	}
	return placedAll
}

// pickCell returns the cell for a task of the job: one that runs the job already, else an
// idle one, else one that the job may share. If there is none, it sets a worker aside,
// which is returned once it is idle.
func (s *Scheduler) pickCell(now time.Duration, j *job, step int) *Worker {
	var best *Worker
	bestRank := 0
	for _, w := range s.cellsOf(j.Pool).workers {
		rank, ok := s.cellRank(now, w, j)
		if ok && s.eligible(now, w, j, step) && (best == nil || rank < bestRank) {
			best, bestRank = w, rank
		}
	}
	if best != nil || s.spareCells(now, j) == 0 {
		return best
	}
	if w := s.newCell(now, j, step); w != nil && len(w.runs) == 0 && s.eligible(now, w, j, step) {
		return w
	}
	return nil
}

// cellRank returns the rank of a cell for a task of the job, the lowest first, and whether
// the job may run there beside what the cell runs.
func (s *Scheduler) cellRank(now time.Duration, w *Worker, j *job) (int, bool) {
	jobs := map[contract.DurableJobID]bool{}
	isolated := false
	for ref, r := range w.runs {
		o := s.jobs[ref.Job]
		if o == nil || r.direct || !s.confined(o) {
			// A run from before the worker was set aside.
			return 0, false
		}
		jobs[ref.Job] = true
		isolated = isolated || o.verdict >= quarantine.Isolate
	}
	switch {
	case len(jobs) == 1 && jobs[j.ID]:
		return 0, true
	case len(jobs) == 0:
		return 1, true
	}
	shared := !isolated && j.verdict < quarantine.Isolate &&
		(jobs[j.ID] || len(jobs) < s.confinement.JobsPerWorker(now, j.queueID()))
	return 2, shared
}

// behindOthers reports whether a confined job waits until no other confined job does: it
// will probably crash the next worker, since one has crashed that ran nothing else, or two
// have and its queue is confined.
func (s *Scheduler) behindOthers(now time.Duration, j *job) bool {
	if now-j.arrivedAt >= repeatWait {
		return false
	}
	return j.ranAlone || j.verdict >= quarantine.Isolate && s.confinement.Confined(j.queueID())
}

// manyDeadly reports whether other tasks than those of the job have crashed workers that
// are not back yet. One worker more is then better spent on a job that may be sound.
func (s *Scheduler) manyDeadly(j *job) bool {
	return len(s.cellsOf(j.Pool).lost) > s.mostCrashes(j)
}

// mostCrashes returns the highest number of crashes under one task of the job.
func (s *Scheduler) mostCrashes(j *job) int {
	most := 0
	for t := range j.tasks {
		most = max(most, s.ledger.Crashes(contract.DurableTask{Job: j.ID, Task: uint32(t)}))
	}
	return most
}

// admitConfined decides on a job of a confined queue: it is admitted if a cell should be
// free for it in time.
func (s *Scheduler) admitConfined(now time.Duration, j *job) Admission {
	wait, ok := s.cellWait(now, j)
	if ok && now+wait <= j.latestStart {
		return Admission{OK: true, PredictedWait: wait}
	}
	s.cellsOf(j.Pool).refusedAt = now
	back := wait
	if !ok {
		back = s.untilReturn(now, j.Pool)
	}
	// Callers that were refused together come back over some seconds.
	retry := wholeSeconds(back+time.Duration(unitHash(j.ID)*float64(usualReturnTime)), back)
	return Admission{RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter), PredictedWait: wait, Reason: ConfinedReason}
}

// cellWait returns how long a new confined job should wait for its start, and false if
// there is no cell and none can be set aside.
func (s *Scheduler) cellWait(now time.Duration, j *job) (time.Duration, bool) {
	c := s.cellsOf(j.Pool)
	room := (len(c.workers) + s.spareCells(now, j)) * s.confinement.JobsPerWorker(now, j.queueID())
	if room == 0 {
		return 0, false
	}
	ahead := 0
	for _, w := range c.workers {
		ahead += w.countJobs()
	}
	for _, list := range [][]*job{s.viableJobs, s.lateJobs, s.deferredJobs} {
		for _, o := range list {
			if o.Pool == j.Pool && s.confined(o) && !s.behindOthers(now, o) {
				ahead++
			}
		}
	}
	return time.Duration(ahead/room) * (j.estimate + confinedOverhead), true
}

// countJobs returns the number of jobs that have runs on the worker.
func (w *Worker) countJobs() int {
	jobs := map[contract.DurableJobID]bool{}
	for ref := range w.runs {
		jobs[ref.Job] = true
	}
	return len(jobs)
}

// hopeless reports whether a transient job that waits can't be served any more because of
// crashes: nothing of it runs, and it lost runs and would end too late to be of use, is
// not to be started again, or is confined, has not begun and would miss its objective.
func (s *Scheduler) hopeless(now time.Duration, j *job) bool {
	if !j.transient || slices.ContainsFunc(j.tasks, func(t task) bool { return t.phase != phaseWaiting && t.phase != phaseBlocked && t.phase != phaseDone }) {
		return false
	}
	switch {
	case j.verdict == quarantine.Exhausted:
		return true
	case j.begun:
		return j.verdict != quarantine.Clear && j.wouldExpire(now)
	case !s.confined(j):
		return false
	case now > j.latestStart:
		return true
	}
	_, ok := s.cellWait(now, j)
	return !ok && now+s.untilReturn(now, j.Pool) > j.latestStart
}

// hopelessJobs returns the hopeless jobs.
func (s *Scheduler) hopelessJobs(now time.Duration) []contract.DurableJobID {
	var out []contract.DurableJobID
	for _, list := range [][]*job{s.viableJobs, s.lateJobs, s.deferredJobs} {
		for _, j := range list {
			if (j.begun || s.confined(j)) && s.hopeless(now, j) {
				out = append(out, j.ID)
			}
		}
	}
	return out
}
