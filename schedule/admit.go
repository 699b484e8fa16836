package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// Admission is the decision on a submitted job.
type Admission struct {
	OK bool
	// Late says that the job is admitted although it will miss its objective.
	Late bool
	// Promoted says that the job goes with those of class 0, since its queue would
	// not get its guaranteed minimum otherwise.
	Promoted bool
	// NeverFits says that the job has a task that no worker of the pool could
	// run, even if idle.
	NeverFits bool
	// RetryAfter is how long to wait before submitting a refused job again; zero
	// if the job never fits.
	RetryAfter time.Duration
	// PredictedWait is the predicted time until the last task of the job's first steps
	// starts, or, if the job is refused because it would make another job late,
	// that of the other job. It is zero if the decision needed no prediction.
	PredictedWait time.Duration
	// Reason says why the job is refused; empty if it is admitted.
	Reason string
	// mayBeLate says that the job is refused only because it would not be in time.
	mayBeLate bool
}

const (
	// NoWorkerRetryAfter is the retry delay while no worker of the pool takes
	// work. It allows for the heartbeats of the workers, which are sent every one
	// or two seconds.
	NoWorkerRetryAfter = 2 * time.Second
	// attachGracePeriod is how long agents may take to attach to a new leader.
	// Until then, jobs are admitted even though no worker is known.
	attachGracePeriod = time.Second

	noWorkerReason  = "no worker of the pool takes work"
	neverFitsReason = "no worker of the pool is large enough for a task, or has its label"
)

// Admit decides whether to admit a job that was submitted at the time arrived.
// When more work arrives than the workers can do, it refuses at once a job that
// is predicted to miss its objective, and one that would make an already
// admitted job miss its own.
func (s *Scheduler) Admit(now, arrived time.Duration, d *contract.DurableJob) Admission {
	if s.BlockedByEvacuation(now, d) {
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: EvacuatedReason}
	}
	noWorker := s.poolMilliCPU(d.Pool) == 0
	if noWorker && s.expectsWorkers(now) {
		return Admission{OK: true}
	}
	if noWorker {
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: noWorkerReason}
	}
	if !s.fitsIdleWorkers(now, d) {
		return Admission{NeverFits: true, Reason: neverFitsReason}
	}
	if s.blockedByShrinking(now, d) {
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: ShrunkReason}
	}
	j := &job{Job: &durable.Job{DurableJob: *d}, arrivedAt: arrived}
	s.estimateJob(j)
	s.recordOffer(now, j)
	if s.confined(j) {
		return s.admitConfined(now, j)
	}
	if j.latestStart < now {
		return s.admitLate(now, j)
	}
	promoted := s.isBelowMinimum(now, j)
	if promoted {
		j.priorityClass = 0
	} else if !s.mayBorrow(j) && s.exceedsShare(now, j) {
		return s.refuse(now, j, j.latestStart-now, "the queue is over its share")
	}
	if len(s.viableJobs) == 0 && s.firstStepsFitNow(j) {
		return s.admit(now, j, 0, promoted)
	}
	wait, reason := s.predictWait(now, j)
	if reason == "" || s.expectedMilliCPU(now, d.Pool) > 0 && !j.wouldExpire(now+wait) {
		return s.admit(now, j, wait, promoted)
	}
	return s.refuse(now, j, wait, reason)
}

// refuse records a refusal for lack of capacity. wait is the predicted wait.
func (s *Scheduler) refuse(now time.Duration, j *job, wait time.Duration, reason string) Admission {
	s.markShort(now, j.Pool)
	return Admission{RetryAfter: s.retryAfter(now, j, max(wait, minRetryAfter)), PredictedWait: wait, Reason: reason, mayBeLate: true}
}

// admit records the admission of a job that should be in time.
func (s *Scheduler) admit(now time.Duration, j *job, wait time.Duration, promoted bool) Admission {
	s.recordDemand(now, j)
	_, work := s.workOf(j)
	q := s.queueRates[queueKey{j.Pool, j.Queue}]
	q.admitted += work / recentWindow.Seconds()
	if promoted {
		q.promoted += work / recentWindow.Seconds()
	}
	return Admission{OK: true, Promoted: promoted, PredictedWait: wait}
}

const (
	// unknownDurationError is the share by which a task may be shorter than expected,
	// while no durations are on record.
	unknownDurationError = 0.4
	// minMarginShare and maxMarginShare bound the margin of admission, as shares of
	// a job's allowed waiting time.
	minMarginShare = 0.1
	maxMarginShare = 0.75
)

// admissionMargin returns the part of the allowed waiting time that admission keeps in
// reserve for the error of the declared durations. Callers count a job's objective from
// its actual duration: one that takes less than declared ends earlier by the difference,
// but its objective is shorter by Slack times the difference.
func (j *job) admissionMargin() time.Duration {
	wait := float64(j.latestStart - j.arrivedAt)
	margin := (j.Slack - 1) * j.durationError * float64(j.estimate)
	return time.Duration(min(max(margin, minMarginShare*wait), maxMarginShare*wait))
}

// safeStart is the latest start at which the job should still be in time although its
// durations are inexact.
func (j *job) safeStart() time.Duration { return j.latestStart - j.admissionMargin() }

// admitLate decides on a job that can no longer meet its objective, usually
// because it waited too long for a leader. It is admitted if its result is still
// of use and it takes no capacity from jobs that can meet theirs.
func (s *Scheduler) admitLate(now time.Duration, j *job) Admission {
	if len(s.viableJobs) == 0 && s.freeCPUExceedsReserve() && !j.wouldExpire(now) {
		return Admission{OK: true}
	}
	if delay, ok := s.firstExpected(now, j.Pool); ok && !j.wouldExpire(now+delay) {
		return Admission{OK: true}
	}
	return Admission{RetryAfter: s.retryAfter(now, j, minRetryAfter), Reason: "the objective has passed", mayBeLate: true}
}

// predictWait simulates the start of the pool's waiting jobs in scheduling
// order, with the new job among them. It returns how long the new job would
// wait, and why it has to be refused; an empty reason means that it can be
// admitted. If the new job would make a job of its own priority class late that
// has not begun, the wait returned is that of the other job.
func (s *Scheduler) predictWait(now time.Duration, j *job) (time.Duration, string) {
	f := s.forecast(now, j)
	index, _ := s.viableJobs.search(j)
	for _, o := range s.viableJobs[:index] {
		if o.Pool == j.Pool {
			s.simulateJob(now, &f, o)
		}
	}
	withoutJob := f
	wait := s.simulateJob(now, &f, j)
	if now+wait > j.safeStart() {
		return wait, "the work ahead takes too long"
	}
	for _, o := range s.viableJobs[index:] {
		if o.Pool != j.Pool {
			continue
		}
		waitWithout, waitWith := s.simulateJob(now, &withoutJob, o), s.simulateJob(now, &f, o)
		if o.priorityClass == j.priorityClass && !o.begun && now+waitWith > o.safeStart() && now+waitWithout <= o.safeStart() {
			return waitWith, "a job taken before would end too late"
		}
	}
	return wait, ""
}

// poolMilliCPU returns the total CPU of the pool's available workers, in
// thousandths of a core.
func (s *Scheduler) poolMilliCPU(pool string) int {
	total := 0
	for w := range s.availableWorkers(pool) {
		total += w.cap.MilliCPU
	}
	return total
}

// fitsIdleWorkers reports whether for each step the pool has a worker that,
// when idle and with all its capacity, could run one of its tasks. It counts all known
// workers, available or not, and those that are expected to attach.
func (s *Scheduler) fitsIdleWorkers(now time.Duration, d *contract.DurableJob) bool {
	for i := range d.Steps {
		if remaining, evacuated := s.idleWorkersFor(now, d.Pool, &d.Steps[i]); !remaining && !evacuated {
			return false
		}
	}
	return true
}

// idleWorkersFor reports whether a worker of the pool, when idle, could run a task of
// the step: one that remains, or one in an evacuated domain. It looks no further than
// the first worker that remains.
func (s *Scheduler) idleWorkersFor(now time.Duration, pool string, st *contract.DurableStep) (remaining, evacuated bool) {
	for _, w := range s.workerList {
		if w.Pool == pool && stepFits(st, w.largest, w.labels) {
			if !w.evacuated {
				return true, evacuated
			}
			evacuated = true
		}
	}
	if !s.expectsWorkers(now) {
		return false, evacuated
	}
	for _, w := range s.expected {
		if w.Pool == pool && stepFits(st, w.Capacity, w.Labels) {
			if !s.evacuated[w.FailureDomain] {
				return true, evacuated
			}
			evacuated = true
		}
	}
	return false, evacuated
}

// stepFits reports whether an idle worker of the capacity and with the labels could
// run a task of the step.
func stepFits(st *contract.DurableStep, c contract.Capacity, labels []string) bool {
	return c.HasRoomFor(st.Demand) && (st.Label == "" || slices.Contains(labels, st.Label))
}

// firstStepsFitNow reports whether the pool has enough free CPU for all tasks of
// the job's steps that depend on no other step.
func (s *Scheduler) firstStepsFitNow(j *job) bool {
	free, _ := s.freeMilliCPU(j.Pool)
	return j.firstStepsMilliCPU() <= free
}

// unborrowableShare is the share of a pool that a queue over its share leaves free.
const unborrowableShare = 0.02

// mayBorrow reports whether the job could start now and leave unborrowableShare of its
// pool free. A queue that is over its share may borrow such
// capacity: the work of the others is already running.
func (s *Scheduler) mayBorrow(j *job) bool {
	if len(s.viableJobs) > 0 {
		return false
	}
	free, total := s.freeMilliCPU(j.Pool)
	return float64(free-j.firstStepsMilliCPU()) >= unborrowableShare*float64(total)
}

// freeMilliCPU returns the free and the total CPU of the pool's available workers, in
// thousandths of a core.
func (s *Scheduler) freeMilliCPU(pool string) (free, total int) {
	for w := range s.availableWorkers(pool) {
		free += w.freeMilliCPU()
		total += w.cap.MilliCPU
	}
	return free, total
}

// firstStepsMilliCPU returns the CPU of all tasks of the job's steps that depend on no
// other step, in thousandths of a core.
func (j *job) firstStepsMilliCPU() int {
	need := 0
	for _, st := range j.Steps {
		if len(st.After) == 0 {
			need += st.Count * st.Demand.MilliCPU
		}
	}
	return need
}
