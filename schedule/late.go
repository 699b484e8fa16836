package schedule

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load patterns: a sound worker that turns slow or hangs, and stragglers on sound
// workers. Which of the two a late run is follows from its worker's other runs: ends
// in the usual time refute an illness.

const (
	// lateFactor and lateSlack: a run is late after lateFactor times the duration
	// that the fastest task of its job predicts, plus lateSlack.
	lateFactor = 2
	lateSlack  = 60 * time.Millisecond
	// A run whose job has no task on another worker that is done is late after
	// noPeerLateFactor times its expected duration plus noPeerLateSlack. Declared
	// durations are off by 40%, sometimes by a factor of three.
	noPeerLateFactor = 5
	noPeerLateSlack  = 300 * time.Millisecond
	// usualFactor is the multiple of the predicted duration up to which an end
	// shows that the worker is sound.
	usualFactor = 1.6
	// suspectEvidence is the evidence against a worker from which on it is
	// suspect. A late run adds the logarithm of one over its probability on a
	// sound worker: three runs at 3% of stragglers, which happens by chance once
	// in 37,000 tasks.
	suspectEvidence = 10
	// minLateProbability and maxLateProbability bound that probability.
	minLateProbability, maxLateProbability = 0.03, 0.5
	// maxCreditedRuns is the number of late runs in a row that a usual end
	// shows to be stragglers. More are rather due to a disturbance that has passed.
	maxCreditedRuns = 2
	// restartOverhead is the time that a stop and a new start take.
	restartOverhead = 30 * time.Millisecond
	// commonSlowFactor is the factor by which new runs are expected to take longer
	// while most workers of the pool are slow: those that turn slow do so by 5.
	commonSlowFactor = 6
	// rescueMargin is the time left to the objective at which a run is moved off an
	// ill worker: three intervals of CheckRuns.
	rescueMargin = 60 * time.Millisecond
	// stopMaxStarts limits the stops of late runs: once a task has been started
	// this often, its run is left to end by itself.
	stopMaxStarts = 3
	// minPeerRatio bounds what a job's fastest task predicts if its worker may
	// have become faster than it was.
	minPeerRatio = 0.7
)

// lateRuns is the evidence that late runs give against their worker.
type lateRuns struct {
	// row counts the late runs since the last usual end, and evidence is the sum of
	// what each adds; see suspectEvidence.
	row      int
	evidence float64
	// tails holds the distributions of the first late runs of the row.
	tails []*durationTail
}

// usualRatio returns a duration as a multiple of that which the run's queue expects on
// a worker of usual speed.
func (r *run) usualRatio(d time.Duration) float64 {
	return float64(d) / float64(max(r.usualDuration, time.Millisecond))
}

// hasPeer reports whether a task of the job is done on another worker than w.
func (j *job) hasPeer(w *Worker) bool { return j.shortestRatio > 0 && j.shortestWorker != w.Host }

// prediction returns the ratio that a run of the job on w should take: that of the
// job's fastest task, or 1 if there is no such task on another worker.
func (j *job) prediction(w *Worker) float64 {
	if j.hasPeer(w) {
		return j.shortestRatio
	}
	return 1
}

// isLate reports whether a run takes far longer than the fastest task of its job
// predicts for its worker. If that task ran on the same worker, no task is done
// yet, or the run was taken over, the run is compared with its expected duration.
func (s *Scheduler) isLate(now time.Duration, w *Worker, j *job, r *run) bool {
	elapsed, slowness := now-r.placedAt, w.soundSlowness()
	if j.hasPeer(w) && r.timed() {
		return elapsed > scale(max(r.usualDuration, time.Millisecond), lateFactor*slowness*j.shortestRatio)+lateSlack
	}
	return r.usualDuration > 0 && elapsed > scale(r.usualDuration, noPeerLateFactor*slowness)+noPeerLateSlack
}

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// noteLate counts a late run, once, against its worker.
func (s *Scheduler) noteLate(w *Worker, r *run) {
	if r.late || !r.timed() {
		return
	}
	r.late = true
	if w.lateRuns.row < maxCreditedRuns {
		w.lateRuns.tails = append(w.lateRuns.tails, &s.statsOf(r.queue).tail)
	}
	w.lateRuns.row++
	w.lateRuns.evidence -= math.Log(min(max(s.tailOf(r.queue).lateShare(), minLateProbability), maxLateProbability))
}

// noteUsualEnd drops the evidence against a worker, and counts its late runs as
// stragglers of their queues if they were few.
func (s *Scheduler) noteUsualEnd(w *Worker) {
	if w.lateRuns.row <= maxCreditedRuns {
		for _, tail := range w.lateRuns.tails {
			tail.late++
			s.commonTail.late++
		}
	}
	w.lateRuns = lateRuns{tails: w.lateRuns.tails[:0]}
}

// recordDone updates what is known of the worker, the job and the queue from a
// task that is done and whose start time is known.
func (s *Scheduler) recordDone(now time.Duration, w *Worker, j *job, r *run, ref contract.RunRef) {
	elapsed := now - r.placedAt
	if j == nil || elapsed <= 0 {
		return
	}
	usual := r.usualRatio(elapsed)
	if int(ref.Task) < len(j.tasks) {
		j.tasks[ref.Task].ratio, j.tasks[ref.Task].session = usual, w.Session
	}
	ratio := usual / w.soundSlowness()
	switch {
	case s.isLate(now, w, j, r):
		s.noteLate(w, r)
	case ratio <= usualFactor*j.prediction(w):
		s.noteUsualEnd(w)
	}
	if w.suspect() {
		// The speed that a suspected worker had is no measure of this run.
		ratio = usual
	} else if declared := r.need.DeclaredMillis; declared > 0 {
		s.recordTaskDuration(r.queue, elapsed.Seconds()*1000/float64(declared)/w.soundSlowness())
	}
	ratio = max(ratio, min(minPeerRatio, usual))
	if j.shortestRatio == 0 || ratio <= j.shortestRatio {
		j.shortestRatio, j.shortestWorker = ratio, w.Host
	}
}

// CheckRuns finds the runs that are late, updates which workers are suspected for
// being slow, and orders late runs to stop where a new run helps and not all workers
// that could take it are evacuated. It also stops unclaimed runs, and discards
// unclaimed ends, after their TTL.
func (s *Scheduler) CheckRuns(now time.Duration) {
	s.checkedAt = now
	s.expireUnclaimed(now)
	s.ledger.Forget(now, func(id contract.DurableJobID) bool { return s.jobs[id] != nil })
	var late []lateRun
	for _, w := range s.workerList {
		w.overdueRuns = 0
		seen := w.seenUntil(now)
		for ref, r := range w.runs {
			if r.onProbation && now-r.placedAt > probation {
				w.endProbation(r)
			}
			j := s.jobs[ref.Job]
			if r.unclaimed || r.direct || j == nil || !s.isLate(seen, w, j, r) {
				continue
			}
			s.noteLate(w, r)
			l := lateRun{w, j, r, ref, r.usualRatio(seen-r.placedAt) / w.soundSlowness() / j.prediction(w), false}
			l.explained = r.timed() && s.tailOf(r.queue).explains(l.ratio)
			if !l.explained {
				w.overdueRuns++
			}
			late = append(late, l)
		}
	}
	s.limitSlowSuspects()
	s.updatePoolSpeeds()
	for i := range late {
		if s.stopHelps(now, &late[i]) && !s.BlockedByEvacuation(now, &late[i].job.DurableJob) {
			s.stopRun(late[i].worker, late[i].ref, "late")
		}
	}
	s.rescueRuns(now)
}

// rescueRuns orders the runs of workers that are suspected for their late runs to stop
// at the last moment at which a new run elsewhere can still meet the objective of its
// job. Until then a usual end may show that the worker is sound.
func (s *Scheduler) rescueRuns(now time.Duration) {
	for _, w := range s.workerList {
		pool := s.poolSpeedOf(w.Pool)
		if w.lateRuns.evidence < suspectEvidence || w.slownessTolerated || pool.mostSlow {
			continue
		}
		for ref, r := range w.runs {
			j := s.jobs[ref.Job]
			if j == nil || r.unclaimed || r.direct || !r.timed() || r.late || int(ref.Task) >= len(j.tasks) || j.tasks[ref.Task].startCount >= stopMaxStarts {
				continue
			}
			step, _ := j.StepOf(ref.Task)
			newRun := restartOverhead + scale(r.usualDuration, pool.slowness)
			spare := s.outlookOf(now, j, step, pool).budget - newRun
			remaining := scale(r.usualDuration, max(w.slowness, suspectSlowness)) - (now - r.placedAt)
			if spare >= 0 && spare < rescueMargin && newRun < remaining && !s.BlockedByEvacuation(now, &j.DurableJob) {
				s.stopRun(w, ref, "worker ill")
			}
		}
	}
}

// lateRun is a run that CheckRuns found late.
type lateRun struct {
	worker *Worker
	job    *job
	run    *run
	ref    contract.RunRef
	// ratio is the time that the run has taken, as a multiple of the prediction.
	ratio float64
	// explained says that the run may be a straggler.
	explained bool
}

// stopHelps reports whether a new run on another worker is expected to end earlier
// than the late one, and its job to gain by that.
func (s *Scheduler) stopHelps(now time.Duration, l *lateRun) bool {
	if int(l.ref.Task) >= len(l.job.tasks) || l.job.tasks[l.ref.Task].startCount >= stopMaxStarts {
		return false
	}
	pool := s.poolSpeedOf(l.worker.Pool)
	w, predicted := l.worker, scale(max(l.run.usualDuration, time.Millisecond), l.job.prediction(l.worker))
	elapsed := now - l.run.placedAt
	remaining, newRun := elapsed, restartOverhead+scale(predicted, pool.slowness)
	if pool.mostSlow {
		newRun = scale(newRun, commonSlowFactor)
	}
	straggler := l.explained && w.lateRuns.evidence < suspectEvidence
	switch {
	case straggler:
		// A straggler takes longer on any worker.
		total := s.tailOf(l.run.queue).expectedTotal(l.ratio)
		remaining, newRun = scale(predicted, w.soundSlowness()*total)-elapsed, restartOverhead+scale(predicted, pool.slowness*total)
	case w.slownessSamples >= minSlownessSamples && w.slowness > suspectSlowness:
		if left := scale(predicted, w.slowness) - elapsed; left > 0 {
			remaining = left
		}
	}
	if newRun >= remaining {
		return false
	}
	return !straggler || l.job.gains(l.worker, now+remaining, now+newRun)
}

// gains reports whether it helps the job that a task which is expected to end at
// oldEnd on the worker w ends at newEnd instead: the result of a transient job must
// still be of use then, and no other run of the job be expected to last until oldEnd.
func (j *job) gains(w *Worker, oldEnd, newEnd time.Duration) bool {
	if j.transient && newEnd > j.expiry() {
		return false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phasePlaced || t.worker == w {
			continue
		}
		r := t.worker.runs[contract.RunRef{Job: j.ID, Task: uint32(i), Run: t.currentRun}]
		if r != nil && r.placedAt+scale(r.usualDuration, t.worker.soundSlowness()) > oldEnd {
			return false
		}
	}
	return true
}
