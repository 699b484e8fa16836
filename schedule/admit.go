package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// Admission is the answer to a submission.
type Admission struct {
	OK bool
	// Never says that no worker of the pool could run a task of the job.
	Never bool
	// RetryAfter is when the work ahead should be done.
	RetryAfter time.Duration
	// Wait is the predicted time until the job's last task starts.
	Wait   time.Duration
	Reason string
}

const (
	// lateFactor times the objective is how late a job may be predicted to
	// end and still be taken.
	lateFactor = 1.0
	// noWorkerRetry is when to come back while the pool has no worker: their
	// heartbeats come every second or two.
	noWorkerRetry = 2 * time.Second
)

// Admit decides whether to take a job. Load pattern: more work comes than the
// workers can do. A job that is predicted to end too late is refused at once,
// before it is stored.
func (s *Scheduler) Admit(now time.Duration, d *contract.DurableJob) Admission {
	room := s.room(d.Pool)
	if room == 0 {
		return Admission{RetryAfter: noWorkerRetry, Reason: "no worker of the pool takes work"}
	}
	if !s.everFits(d) {
		return Admission{Never: true, Reason: "no worker of the pool is large enough for a task, or has its label"}
	}
	j := &job{Job: &durable.Job{DurableJob: *d}, arrived: now}
	s.estimateJob(j)
	wait := s.wait(now, j, room)
	if wait+j.estimate+orderOverhead <= time.Duration(lateFactor*float64(j.objective)) {
		return Admission{OK: true, Wait: wait}
	}
	return Admission{RetryAfter: wait, Wait: wait, Reason: "the work ahead takes too long"}
}

// room returns the processors of the pool that take new work.
func (s *Scheduler) room(pool string) int {
	room := 0
	for _, w := range s.order {
		if w.Pool == pool && w.usable && !w.away && !w.suspect() {
			room += w.cap.MilliCPU
		}
	}
	return room
}

func (s *Scheduler) everFits(d *contract.DurableJob) bool {
	for _, st := range d.Steps {
		if !slices.ContainsFunc(s.order, func(w *Worker) bool {
			return w.Pool == d.Pool && w.cap.MilliCPU >= st.Need.MilliCPU && w.cap.MemoryMB >= st.Need.MemoryMB &&
				w.cap.Accelerators >= st.Need.Accelerators && (st.Label == "" || slices.Contains(w.labels, st.Label))
		}) {
			return false
		}
	}
	return true
}

// wait predicts how long until the job's tasks start: the work that waits
// ahead of it, at the rate of the pool.
func (s *Scheduler) wait(now time.Duration, j *job, room int) time.Duration {
	var ahead float64
	for _, o := range s.viable {
		if o.latestStart > j.latestStart {
			break
		}
		if o.Pool == j.Pool {
			ahead += s.waitingWork(o)
		}
	}
	if j.latestStart < now {
		for _, o := range s.late {
			ahead += s.waitingWork(o)
		}
	}
	if ahead == 0 && s.hasRoomFor(j) {
		return 0
	}
	ahead += s.ownWork(j)
	return time.Duration(ahead / float64(room))
}

// hasRoomFor reports whether the pool's free processors cover the job's first
// steps.
func (s *Scheduler) hasRoomFor(j *job) bool {
	free, need := 0, 0
	for _, w := range s.order {
		if w.Pool == j.Pool && w.usable && !w.away && !w.suspect() {
			free += w.cap.MilliCPU - w.used.MilliCPU
		}
	}
	for _, st := range j.Steps {
		if len(st.After) == 0 {
			need += st.Count * st.Need.MilliCPU
		}
	}
	return need <= free
}

func (s *Scheduler) ownWork(j *job) float64 {
	work := 0.0
	for step, st := range j.Steps {
		work += float64(s.expected(j, step)) * float64(st.Count*st.Need.MilliCPU)
	}
	return work
}

// waitingWork returns the work of the job's waiting tasks, in nanoseconds of a
// thousandth of a processor.
func (s *Scheduler) waitingWork(j *job) float64 {
	work, t := 0.0, 0
	for step := range j.Steps {
		each := float64(s.expected(j, step)) * float64(j.Steps[step].Need.MilliCPU)
		for range j.Steps[step].Count {
			if j.tasks[t].phase == phaseWaiting {
				work += each
			}
			t++
		}
	}
	return work
}
