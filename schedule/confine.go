package schedule

import (
	"math"
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
	// cellIdleTime is how long a cell that no confined job needs stays one.
	cellIdleTime = 300 * time.Millisecond
	// lostWorkerTime is how long a crashed worker counts as lost to the confined queues
	// if it does not come back.
	lostWorkerTime = 10 * time.Second
	// usualReturnTime is how long a crashed worker is away until one has come back.
	usualReturnTime = 4 * time.Second
	// otherQueuesLoad is the load of the workers that are left to the other queues, as a
	// share of their capacity, that decides how many workers may be cells.
	otherQueuesLoad = 0.9
	// recentMargin is added to the recent rate of a queue, as a factor, for its bursts.
	recentMargin = 1.2
	// convictWait is how long after its arrival a job that will probably crash a worker
	// waits behind others, and refusalMemory how long after a refusal of a confined job
	// others are still expected.
	convictWait   = 1500 * time.Millisecond
	refusalMemory = time.Second
	// confinedOverhead is the time between two jobs on a cell.
	confinedOverhead = 15 * time.Millisecond
)

// ConfinedReason is the reason of a refusal of a job whose queue is confined.
const ConfinedReason = "requests of the queue crash workers: few may run at a time"

// cells holds the workers of a pool that are set aside for confined jobs, and those that
// crashed under such jobs and have not come back.
type cells struct {
	workers []*Worker
	lost    map[contract.HostID]time.Duration
	// returnTime is the average time for which crashed workers are away.
	returnTime time.Duration
	// crashedAt is when the last of these workers crashed, and refusedAt when a confined
	// job was last refused.
	crashedAt, refusedAt time.Duration
}

// cellsOf returns the cells of a pool.
func (s *Scheduler) cellsOf(pool string) *cells {
	c := s.cells[pool]
	if c == nil {
		c = &cells{lost: map[contract.HostID]time.Duration{}, returnTime: usualReturnTime}
		s.cells[pool] = c
	}
	return c
}

// refusedLately reports whether a confined job was refused within refusalMemory.
func (c *cells) refusedLately(now time.Duration) bool {
	return c.refusedAt > 0 && now-c.refusedAt < refusalMemory
}

// queueID returns the job's queue.
func (j *job) queueID() quarantine.Queue { return quarantine.Queue{Pool: j.Pool, Queue: j.Queue} }

// confined reports whether the job may run on cells only.
func (s *Scheduler) confined(j *job) bool {
	return j.verdict >= quarantine.Isolate || s.confinement.Confined(j.queueID())
}

// workerReturned records that a worker takes work again after a crash.
func (s *Scheduler) workerReturned(now time.Duration, w *Worker) {
	c := s.cells[w.Pool]
	if c == nil {
		return
	}
	if at, ok := c.lost[w.Host]; ok {
		delete(c.lost, w.Host)
		c.returnTime += (now - at - c.returnTime) / 4
	}
}

// updateCells forgets the workers that do not come back, and returns cells to the pool:
// those that crashed or take no work, and those that no confined job needs.
func (s *Scheduler) updateCells(now time.Duration) {
	for _, c := range s.cells {
		for h, at := range c.lost {
			if now-at > lostWorkerTime {
				delete(c.lost, h)
			}
		}
		c.workers = slices.DeleteFunc(c.workers, func(w *Worker) bool {
			if len(w.runs) > 0 && w.usable {
				w.cellUsedAt = now
			}
			if w.takesWork() && s.workers[w.Host] == w && now-w.cellUsedAt <= cellIdleTime {
				return false
			}
			w.cell = false
			return true
		})
	}
}

// poolWorkers counts the workers of a pool that take work, and their CPU.
func (s *Scheduler) poolWorkers(pool string) (n, milliCPU int) {
	for _, w := range s.workerList {
		if w.Pool == pool && w.takesWork() {
			n++
			milliCPU += w.cap.MilliCPU
		}
	}
	return n, milliCPU
}

// cellLimit returns how many workers of the pool may be cells, or lost to the confined
// queues, at a time: what the load of the other queues leaves, at most half of the pool, or
// more if the others keep twice what they need, and at least one. Until their rates are
// known, they may need half of the pool.
func (s *Scheduler) cellLimit(now time.Duration, pool string) int {
	present, milliCPU := s.poolWorkers(pool)
	size := present + len(s.cellsOf(pool).lost)
	if present == 0 {
		return 0
	}
	needed := int(math.Ceil(s.othersMilliCPU(now, pool) / (otherQueuesLoad * float64(milliCPU) / float64(present))))
	most := size / 2
	if s.ratesKnown(now) {
		most = max(most, size-2*needed)
	}
	return max(1, min(size-needed, most))
}

// othersMilliCPU returns what the queues of the pool that are not confined use: their usual
// rate, unless they send much less at present.
func (s *Scheduler) othersMilliCPU(now time.Duration, pool string) float64 {
	total := 0.0
	for _, q := range s.ratesOf(now, pool) {
		total += min(q.usualRate(), recentMargin*q.recent)
	}
	return total
}

// spareCells returns how many workers more may become cells for the job. While other
// queues have work, the last worker of a pool is left to them, except for a while in
// which the job's turn has come. That turn comes too while the pool has lost as many
// workers as cells are allowed.
func (s *Scheduler) spareCells(now time.Duration, j *job) int {
	c := s.cellsOf(j.Pool)
	present, _ := s.poolWorkers(j.Pool)
	free := present - len(c.workers)
	if len(c.workers) == 0 && s.hasTurn(now, j) {
		return min(1, free)
	}
	if s.othersMilliCPU(now, j.Pool) > 0 {
		free--
	}
	if j.verdict == quarantine.Isolate && !j.ranAlone && len(c.workers) == 0 {
		// Most likely an innocent task. Its second crash was beside others, which confined
		// jobs do not have, so there are few such jobs.
		return min(1, max(free, 0))
	}
	return max(0, min(s.cellLimit(now, j.Pool)-len(c.workers)-len(c.lost), free))
}

// hasTurn reports whether one worker is set aside for the job in any case: it is kept or
// isolated and has waited for long, it was under a single crash, which may be the worker's
// own, or its queue has been without a crash for long.
func (s *Scheduler) hasTurn(now time.Duration, j *job) bool {
	waited := now-max(j.arrivedAt, j.crashedAt) > convictWait
	if !s.confinement.Confined(j.queueID()) && j.verdict == quarantine.Isolate && s.mostCrashes(j) == 1 {
		return true
	}
	if j.verdict >= quarantine.Isolate || !j.transient && waited {
		return waited
	}
	return now-s.cellsOf(j.Pool).crashedAt > s.confinement.Backoff(j.queueID())
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

// newCell sets a worker aside that could run the step when idle: the one that should be
// idle first.
func (s *Scheduler) newCell(now time.Duration, j *job, step int) *Worker {
	var best *Worker
	var bestIdle time.Duration
	st := &j.Steps[step]
	for _, w := range s.workerList {
		if w.Pool != j.Pool || !w.available() || !stepFits(st, w.cap, w.labels) {
			continue
		}
		if idle := s.untilIdle(now, w); best == nil || idle < bestIdle {
			best, bestIdle = w, idle
		}
	}
	if best != nil {
		best.cell, best.cellUsedAt = true, now
		c := s.cellsOf(j.Pool)
		c.workers = append(c.workers, best)
		clear(s.runningForecasts)
		clear(s.lateRooms)
	}
	return best
}

// untilIdle returns when the last run of the worker should end.
func (s *Scheduler) untilIdle(now time.Duration, w *Worker) time.Duration {
	var last time.Duration
	for _, r := range w.runs {
		last = max(last, s.remaining(now, w, r))
	}
	return last
}

// behindOthers reports whether a confined job waits until no other confined job does: it
// will probably crash the next worker, since one has crashed that ran nothing else, or two
// have and its queue is confined.
func (s *Scheduler) behindOthers(now time.Duration, j *job) bool {
	if now-j.arrivedAt >= convictWait {
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

// untilReturn returns when the next crashed worker of the pool should be back.
func (s *Scheduler) untilReturn(now time.Duration, pool string) time.Duration {
	c := s.cellsOf(pool)
	first := usualReturnTime
	for _, at := range c.lost {
		first = min(first, max(0, at+c.returnTime-now))
	}
	return first
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
