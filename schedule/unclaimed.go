package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// unclaimedEndTTL is how long the end of a run whose job is not known is
	// kept, in case the job is submitted again. Gateways submit a job again as
	// soon as they see a new leader, callers after a second or two.
	unclaimedEndTTL = 3 * time.Second
	// unclaimedRunTTL is how long a run that no job claims may continue.
	unclaimedRunTTL = 1500 * time.Millisecond
	// boundUnclaimedTTL applies to the runs of bound jobs: their caller may have sent
	// the job to an entry without a leader, which starts it 1,300 ms after the first
	// entry was lost. Entries that are alive submit the job again within 0.2 s.
	boundUnclaimedTTL = 300 * time.Millisecond
)

// unclaimedEnd is the end of a run whose job this leader does not know.
type unclaimedEnd struct {
	task contract.DurableTask
	// done is set if the run succeeded; otherwise it failed.
	done       bool
	receivedAt time.Duration
}

// keepUnclaimedEnd keeps the end of a run that succeeded or failed. The agents may
// report ends to a new leader before the gateways have submitted the jobs again.
func (s *Scheduler) keepUnclaimedEnd(now time.Duration, e contract.RunEnded) {
	if e.Kind == contract.EndDone || e.Kind == contract.EndFailed {
		s.unclaimedEnds = append(s.unclaimedEnds, unclaimedEnd{contract.DurableTask{Job: e.Job, Task: e.Task}, e.Kind == contract.EndDone, now})
	}
}

// claimEnds returns the kept ends of the job's tasks, at most one for each
// task, and moves these tasks to phaseEnding.
func (s *Scheduler) claimEnds(j *job) []TaskEnd {
	var ends []TaskEnd
	for _, e := range s.unclaimedEnds {
		if e.task.Job != j.ID || int(e.task.Task) >= len(j.tasks) {
			continue
		}
		t := &j.tasks[e.task.Task]
		if t.phase == phaseUnknown || t.phase == phaseWaiting {
			s.setPhase(j, int(e.task.Task), phaseEnding)
			j.begun = true
			ends = append(ends, TaskEnd{e.task, e.done})
		}
	}
	return ends
}

// expireUnclaimed discards the ends that are older than unclaimedEndTTL, and
// orders the unclaimed runs that are older than their TTL to stop.
func (s *Scheduler) expireUnclaimed(now time.Duration) {
	n := 0
	for n < len(s.unclaimedEnds) && now-s.unclaimedEnds[n].receivedAt > unclaimedEndTTL {
		n++
	}
	s.unclaimedEnds = s.unclaimedEnds[n:]
	for _, w := range s.workerList {
		for ref, r := range w.runs {
			ttl := unclaimedRunTTL
			if r.bound {
				ttl = boundUnclaimedTTL
			}
			if r.unclaimed && now-r.placedAt > ttl {
				s.stopRun(w, ref)
			}
		}
	}
}
