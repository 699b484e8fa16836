package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: a leader of transient jobs is lost under load. Agents report to the
// next leader what has run, within tens of milliseconds, before or after the entries
// and then the callers submit the jobs again.

// PastRunTTL is how long it is kept that a job has run, in case the job is submitted
// again. Entries do so as soon as they see a new leader; a caller waits up to 8 s for
// its answer, and one that lost it sends the job again 1.3 s later.
const PastRunTTL = 10 * time.Second

// pastEnd is the end of a run that succeeded, if done is set, or failed.
type pastEnd struct {
	task uint32
	run  uint64
	done bool
}

// pastJob is a job of which at least one run may have begun.
type pastJob struct {
	ends   []pastEnd
	seenAt time.Duration
}

// pastRuns holds what is known of runs whose jobs are not, or not yet, among the jobs
// of this leader, by job.
type pastRuns struct {
	jobs map[contract.DurableJobID]*pastJob
	// bySeen lists each job once, with the time at which it was seen first or
	// checked last; oldest first.
	bySeen []seenJob
}

type seenJob struct {
	id contract.DurableJobID
	at time.Duration
}

// noteJob records that a run of the job may have begun.
func (p *pastRuns) noteJob(now time.Duration, id contract.DurableJobID) *pastJob {
	j := p.jobs[id]
	if j == nil {
		if p.jobs == nil {
			p.jobs = map[contract.DurableJobID]*pastJob{}
		}
		j = &pastJob{}
		p.jobs[id] = j
		p.bySeen = append(p.bySeen, seenJob{id, now})
	}
	j.seenAt = now
	return j
}

// noteEnd records the end of a run. The same end may be reported several times.
func (p *pastRuns) noteEnd(now time.Duration, e contract.RunEnded) {
	if e.Job == "" || e.Kind == contract.EndNotStarted {
		return
	}
	j := p.noteJob(now, e.Job)
	if e.Kind != contract.EndDone && e.Kind != contract.EndFailed {
		return
	}
	for _, known := range j.ends {
		if known.run == e.Run && known.task == e.Task {
			return
		}
	}
	j.ends = append(j.ends, pastEnd{e.Task, e.Run, e.Kind == contract.EndDone})
}

// expire forgets the jobs that were last seen more than PastRunTTL ago.
func (p *pastRuns) expire(now time.Duration) {
	for len(p.bySeen) > 0 && now-p.bySeen[0].at > PastRunTTL {
		id := p.bySeen[0].id
		p.bySeen = p.bySeen[1:]
		if seenAt := p.jobs[id].seenAt; now-seenAt > PastRunTTL {
			delete(p.jobs, id)
		} else {
			p.bySeen = append(p.bySeen, seenJob{id, now})
		}
	}
}

// claimEnds returns the recorded ends of a transient job's tasks that count.
func (s *Scheduler) claimEnds(j *job) []TaskEnd {
	past := s.past.jobs[j.ID]
	if past == nil {
		return nil
	}
	var ends []TaskEnd
	for _, e := range past.ends {
		if c := s.claimEnd(j, e); c != nil {
			ends = append(ends, *c)
		}
	}
	return ends
}

// claimEnd returns the end of an earlier run of a transient job as one that counts,
// or nil if it has been counted or the task is done. After a failure the task keeps
// its phase, since a later run of it may be alive. A task that is done needs no other
// run. The ends of stored jobs were acknowledged only once they were in the log, so
// they are not counted here.
func (s *Scheduler) claimEnd(j *job, e pastEnd) *TaskEnd {
	if !j.transient || int(e.task) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[e.task]
	if t.phase == phaseDone || t.phase == phaseEnding || !e.done && !j.countFailure(e.run) {
		return nil
	}
	if e.done {
		if t.phase == phasePlaced {
			s.abandonRun(j, int(e.task))
		}
		s.setPhase(j, int(e.task), phaseEnding)
		t.endedEarlier = true
	}
	j.begun = true
	return &TaskEnd{contract.DurableTask{Job: j.ID, Task: e.task}, e.done}
}

// countFailure records that the failure of a run counts. It returns false if it has
// been counted before.
func (j *job) countFailure(run uint64) bool {
	if j.failedRuns[run] {
		return false
	}
	if j.failedRuns == nil {
		j.failedRuns = map[uint64]bool{}
	}
	j.failedRuns[run] = true
	return true
}

// claimReportedEnd is claimEnd for a reported end, if it can count.
func (s *Scheduler) claimReportedEnd(e contract.RunEnded) *TaskEnd {
	j := s.jobs[e.Job]
	if j == nil || e.Kind != contract.EndDone && e.Kind != contract.EndFailed {
		return nil
	}
	return s.claimEnd(j, pastEnd{e.Task, e.Run, e.Kind == contract.EndDone})
}

// reportRecent takes over the runs that an agent reports as over, and returns the ends
// among them that count. The agent's present runs must have been taken over before.
func (s *Scheduler) reportRecent(now time.Duration, r *contract.WorkerReport) []TaskEnd {
	var counted []TaskEnd
	for _, e := range r.Recent {
		s.past.noteEnd(now, e)
		if c := s.claimReportedEnd(e); c != nil {
			counted = append(counted, *c)
		}
	}
	return counted
}
