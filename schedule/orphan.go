package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// orphanKept is how long runs and ends of unknown jobs wait for their job
	// to be submitted again: gateways do so as soon as they see a new leader,
	// callers after a second or two.
	orphanKept = 3 * time.Second
	// strayKept is how long a run may go on that no job claims.
	strayKept = 1500 * time.Millisecond
)

// orphan is the end of a run whose job this leader does not know.
type orphan struct {
	task contract.DurableTask
	done bool
	at   time.Duration
}

// orphaned keeps an end that counts. Load pattern: a new leader learns of ends
// from the agents before the gateways have submitted the jobs again.
func (s *Scheduler) orphaned(now time.Duration, e contract.RunEnded) {
	if e.How == contract.EndDone || e.How == contract.EndFailed {
		s.orphans = append(s.orphans, orphan{contract.DurableTask{Job: e.Job, Task: e.Task}, e.How == contract.EndDone, now})
	}
}

// claim returns the ends that are kept for the job.
func (s *Scheduler) claim(j *job) []Counted {
	var out []Counted
	for _, o := range s.orphans {
		if o.task.Job != j.ID || int(o.task.Task) >= len(j.tasks) {
			continue
		}
		t := &j.tasks[o.task.Task]
		if t.phase == phaseUnknown || t.phase == phaseWaiting {
			s.setPhase(j, int(o.task.Task), phaseEnding)
			j.begun = true
			out = append(out, Counted{o.task, o.done})
		}
	}
	return out
}

// tendOrphans forgets ends, and stops runs, that no job has claimed in time.
func (s *Scheduler) tendOrphans(now time.Duration) {
	n := 0
	for n < len(s.orphans) && now-s.orphans[n].at > orphanKept {
		n++
	}
	s.orphans = s.orphans[n:]
	for _, w := range s.order {
		for ref, r := range w.runs {
			if r.stray && now-r.placed > strayKept {
				s.stop(w, ref)
			}
		}
	}
}
