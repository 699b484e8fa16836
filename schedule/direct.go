package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Direct runs are those that entries started while there was no leader. The load
// pattern: a leader comes back while agents still have such runs, and callers send
// jobs again whose direct runs are alive. The capacity of a direct run counts as
// used until the run has ended. It is never stopped, claimed or requeued, and no
// task is started while a direct run of it is alive.

// HasDirectRuns reports whether a direct run of the job may be alive on an attached
// worker.
func (s *Scheduler) HasDirectRuns(id contract.DurableJobID) bool {
	for task := range s.directRuns {
		if task.Job == id {
			return true
		}
	}
	return false
}

// addDirectRun adds a direct run that an agent has reported. Its queue is not known, so
// forecasts use its declared duration.
func (s *Scheduler) addDirectRun(now time.Duration, w *Worker, p contract.PlacedRun) {
	declared := time.Duration(p.Demand.DeclaredMillis) * time.Millisecond
	s.addRun(w, p.RunRef, &run{need: p.Demand, placedAt: now, usualDuration: declared, takenOver: true, direct: true})
}

// directRunAlive reports whether a direct run of the job's task t may be alive.
func (s *Scheduler) directRunAlive(j *job, t int) bool {
	return len(s.directRuns) > 0 && s.directRuns[contract.DurableTask{Job: j.ID, Task: uint32(t)}] > 0
}

// countDirect adds delta to the number of direct runs of the run's task.
func (s *Scheduler) countDirect(ref contract.RunRef, delta int) {
	task := contract.DurableTask{Job: ref.Job, Task: ref.Task}
	if s.directRuns[task] += delta; s.directRuns[task] <= 0 {
		delete(s.directRuns, task)
	}
}

// BindToEntry marks a job as bound to its entry: agents report its runs as such to
// later leaders. aliveAt is the last proof that the entry is alive; it is called again
// with later ones.
func (s *Scheduler) BindToEntry(id contract.DurableJobID, aliveAt time.Duration) {
	if j := s.jobs[id]; j != nil {
		j.bound, j.entryAliveAt = true, aliveAt
	}
}

// entrySilent reports whether the job's entry has been silent for so long that no task
// of the job may start.
func (j *job) entrySilent(now time.Duration) bool {
	return j.bound && now-j.entryAliveAt > contract.BoundSilence
}

// AuthorityLimit returns the time after which the agent on the host gets no longer
// authority, since its worker may have runs of a bound job, and whether there is such a
// limit. It also holds for runs that were ordered to stop because their entry is silent or
// their caller has gone, until they have ended: the order may be lost.
func (s *Scheduler) AuthorityLimit(h contract.HostID) (time.Duration, bool) {
	w := s.workers[h]
	if w == nil {
		return 0, false
	}
	first, limited := time.Duration(0), false
	for ref, r := range w.runs {
		limit := r.authorityLimit
		if j := s.jobs[ref.Job]; limit == 0 && j != nil && j.bound && !r.direct {
			limit = j.entryAliveAt + contract.BoundSilence
		}
		if limit != 0 && (!limited || limit < first) {
			first, limited = limit, true
		}
	}
	return first, limited
}
