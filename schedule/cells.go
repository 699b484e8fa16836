package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// Cells are the workers of a pool that confined jobs may use; see confine.go. Their number
// follows from what the other queues need and from the workers that confined jobs have
// crashed: a queue that has used up its workers waits until one is back.

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
)

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
	waited := now-max(j.arrivedAt, j.crashedAt) > repeatWait
	if !s.confinement.Confined(j.queueID()) && j.verdict == quarantine.Isolate && s.mostCrashes(j) == 1 {
		return true
	}
	if j.verdict >= quarantine.Isolate || !j.transient && waited {
		return waited
	}
	return now-s.cellsOf(j.Pool).crashedAt > s.confinement.Backoff(j.queueID())
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

// untilReturn returns when the next crashed worker of the pool should be back.
func (s *Scheduler) untilReturn(now time.Duration, pool string) time.Duration {
	c := s.cellsOf(pool)
	first := usualReturnTime
	for _, at := range c.lost {
		first = min(first, max(0, at+c.returnTime-now))
	}
	return first
}
