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
}

const (
	// NoWorkerRetryAfter is the retry delay while no worker of the pool takes
	// work. It allows for the heartbeats of the workers, which are sent every one
	// or two seconds.
	NoWorkerRetryAfter = 2 * time.Second
	// attachGracePeriod is how long agents may take to attach to a new leader.
	// Until then, jobs are admitted even though no worker is known.
	attachGracePeriod = time.Second
)

// Admit decides whether to admit a job that was submitted at the time arrived.
// When more work arrives than the workers can do, it refuses at once a job that
// is predicted to miss its objective, and one that would make an already
// admitted job miss its own.
func (s *Scheduler) Admit(now, arrived time.Duration, d *contract.DurableJob) Admission {
	milliCPU := s.poolMilliCPU(d.Pool)
	if s.BlockedByEvacuation(now, d) {
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: EvacuatedReason}
	}
	if milliCPU == 0 && s.expectsWorkers(now) {
		return Admission{OK: true}
	}
	if milliCPU == 0 {
		return Admission{RetryAfter: NoWorkerRetryAfter, Reason: "no worker of the pool takes work"}
	}
	if !s.fitsIdleWorkers(now, d) {
		return Admission{NeverFits: true, Reason: "no worker of the pool is large enough for a task, or has its label"}
	}
	j := &job{Job: &durable.Job{DurableJob: *d}, arrivedAt: arrived}
	s.estimateJob(j)
	if j.latestStart < now {
		return s.admitLate(now, j)
	}
	if len(s.viableJobs) == 0 && s.firstStepsFitNow(j) {
		s.recordDemand(now, j)
		return Admission{OK: true}
	}
	wait, reason := s.predictWait(now, j)
	if reason == "" || s.expectedMilliCPU(now, d.Pool) > 0 && !j.wouldExpire(now+wait) {
		s.recordDemand(now, j)
		return Admission{OK: true, PredictedWait: wait}
	}
	return Admission{RetryAfter: wait, PredictedWait: wait, Reason: reason}
}

// admissionMarginShare is the share of a job's allowed waiting time that
// admission keeps in reserve, because declared task durations are inexact.
const admissionMarginShare = 0.1

// admissionMargin returns the part of the allowed waiting time that admission
// keeps in reserve.
func (j *job) admissionMargin() time.Duration {
	return time.Duration(admissionMarginShare * float64(j.latestStart-j.arrivedAt))
}

// admitLate decides on a job that can no longer meet its objective, usually
// because it waited too long for a leader. It is admitted if its result is still
// of use and it takes no capacity from jobs that can meet theirs.
func (s *Scheduler) admitLate(now time.Duration, j *job) Admission {
	if len(s.viableJobs) == 0 && s.freeCPUExceedsReserve() && !j.wouldExpire(now) {
		return Admission{OK: true}
	}
	if s.expectedMilliCPU(now, j.Pool) > 0 && !j.wouldExpire(now+s.expectedDelay(now)) {
		return Admission{OK: true}
	}
	return Admission{RetryAfter: ShedRetryAfter, Reason: "the objective has passed"}
}

// ShedRetryAfter is the retry delay for a job that is shed or refused because it
// missed its objective.
const ShedRetryAfter = time.Second

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
			s.simulateJob(&f, o)
		}
	}
	withoutJob := f
	wait := s.simulateJob(&f, j)
	if now+wait > j.latestStart-j.admissionMargin() {
		return wait, "the work ahead takes too long"
	}
	for _, o := range s.viableJobs[index:] {
		if o.Pool != j.Pool {
			continue
		}
		waitWithout, waitWith := s.simulateJob(&withoutJob, o), s.simulateJob(&f, o)
		if o.priorityClass == j.priorityClass && !o.begun && now+waitWith > o.latestStart && now+waitWithout <= o.latestStart {
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
// when idle, could run one of its tasks. It counts all known workers, available
// or not, and those that are expected to attach.
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
		if w.Pool == pool && stepFits(st, w.cap, w.labels) {
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
	return c.MilliCPU >= st.Demand.MilliCPU && c.MemoryMB >= st.Demand.MemoryMB && c.Accelerators >= st.Demand.Accelerators &&
		(st.Label == "" || slices.Contains(labels, st.Label))
}

// firstStepsFitNow reports whether the pool has enough free CPU for all tasks of
// the job's steps that depend on no other step.
func (s *Scheduler) firstStepsFitNow(j *job) bool {
	free, need := 0, 0
	for w := range s.availableWorkers(j.Pool) {
		free += w.cap.MilliCPU - w.used.MilliCPU
	}
	for _, st := range j.Steps {
		if len(st.After) == 0 {
			need += st.Count * st.Demand.MilliCPU
		}
	}
	return need <= free
}
