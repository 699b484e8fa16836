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
	// noWorkerRetry is when to come back while the pool has no worker: their
	// heartbeats come every second or two.
	noWorkerRetry = 2 * time.Second
	// attachTime is how long the agents may take to attach to a new leader:
	// until then, no workers means that none is known yet.
	attachTime = time.Second
)

// Admit decides whether to take a job. Load pattern: more work comes than the
// workers can do. A job that is predicted to miss its objective, or that would
// make a job that was taken before miss its own, is refused at once.
func (s *Scheduler) Admit(now, arrived time.Duration, d *contract.DurableJob) Admission {
	room := s.room(d.Pool)
	if room == 0 && now-s.since < attachTime {
		return Admission{OK: true}
	}
	if room == 0 {
		return Admission{RetryAfter: noWorkerRetry, Reason: "no worker of the pool takes work"}
	}
	if !s.everFits(d) {
		return Admission{Never: true, Reason: "no worker of the pool is large enough for a task, or has its label"}
	}
	j := &job{Job: &durable.Job{DurableJob: *d}, arrived: arrived}
	s.estimateJob(j)
	if j.latestStart < now {
		return s.admitLate(now, j)
	}
	if len(s.viable) == 0 && s.hasRoomFor(j) {
		s.took(now, j)
		return Admission{OK: true}
	}
	wait, reason := s.predict(now, j)
	if reason == "" {
		s.took(now, j)
		return Admission{OK: true, Wait: wait}
	}
	return Admission{RetryAfter: wait, Wait: wait, Reason: reason}
}

// marginShare of the time that a job may wait is kept for the error of its
// declared times.
const marginShare = 0.1

func (j *job) margin() time.Duration {
	return time.Duration(marginShare * float64(j.latestStart-j.arrived))
}

// admitLate decides on a job that waited for a leader too long to meet its
// objective: it is taken where it is still of use and takes no one's room.
func (s *Scheduler) admitLate(now time.Duration, j *job) Admission {
	if len(s.viable) == 0 && s.spare() && !j.useless(now) {
		return Admission{OK: true}
	}
	return Admission{RetryAfter: HopelessRetry, Reason: "the objective has passed"}
}

// HopelessRetry is when to come back after the work ahead took too long.
const HopelessRetry = time.Second

// predict starts the waiting jobs in their order, with the new one among them.
// It returns how long the new one would wait, and why it has to be refused.
func (s *Scheduler) predict(now time.Duration, j *job) (time.Duration, string) {
	f := s.forecast(now, j)
	at, _ := s.viable.search(j)
	for _, o := range s.viable[:at] {
		if o.Pool == j.Pool {
			s.startJob(&f, o)
		}
	}
	without := f
	wait := s.startJob(&f, j)
	if now+wait > j.latestStart-j.margin() {
		return wait, "the work ahead takes too long"
	}
	for _, o := range s.viable[at:] {
		if o.Pool != j.Pool {
			continue
		}
		before, after := s.startJob(&without, o), s.startJob(&f, o)
		if o.rank == j.rank && !o.begun && now+after > o.latestStart && now+before <= o.latestStart {
			return after, "a job taken before would end too late"
		}
	}
	return wait, ""
}

// room returns the processors of the pool that take new work.
func (s *Scheduler) room(pool string) int {
	room := 0
	for w := range s.soundOf(pool) {
		room += w.cap.MilliCPU
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

// hasRoomFor reports whether the pool's free processors cover the job's first
// steps.
func (s *Scheduler) hasRoomFor(j *job) bool {
	free, need := 0, 0
	for w := range s.soundOf(j.Pool) {
		free += w.cap.MilliCPU - w.used.MilliCPU
	}
	for _, st := range j.Steps {
		if len(st.After) == 0 {
			need += st.Count * st.Need.MilliCPU
		}
	}
	return need <= free
}
