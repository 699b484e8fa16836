package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// Load pattern: all control hosts lose power for seconds under full load. Most of the
// jobs that entries then submit again never began: the lost leader still had them
// queued. Their callers are best served by an immediate start or a refusal that they
// may act on, rather than by an unknown outcome.

// never is the time since which the record of an agent is complete that has not
// reported any. always is that time if there is no agent.
const (
	never  time.Duration = math.MaxInt64
	always time.Duration = math.MinInt64
)

// runRecords holds the time since which the record of each agent that may have had runs
// of an earlier leader is complete: a run that was on its worker after that time has
// been reported to this leader, or can only be one of this leader.
type runRecords struct {
	since map[contract.HostID]time.Duration
	// latest is the highest of these times; it is computed again when stale is set,
	// since it is asked for at each submission.
	latest time.Duration
	stale  bool
}

func newRunRecords(hosts map[contract.HostID]contract.WorkerAnnouncement) runRecords {
	r := runRecords{since: make(map[contract.HostID]time.Duration, len(hosts)), stale: true}
	for host := range hosts {
		r.since[host] = never
	}
	return r
}

// gone records that the session of an agent that is not registered was over at the
// given time.
func (r *runRecords) gone(host contract.HostID, at time.Duration) {
	if _, known := r.since[host]; !known {
		r.since[host], r.stale = at, true
	}
}

// reported records that the agent's record is complete since the given time. What the
// agent reported to this leader before still holds: it obeys no earlier leader since.
func (r *runRecords) reported(host contract.HostID, since time.Duration) {
	if before, ok := r.since[host]; ok && since < before {
		r.since[host] = since
		r.stale = r.stale || before == r.latest
	}
}

// completeSince returns the time since which all records are complete.
func (r *runRecords) completeSince() time.Duration {
	if r.stale {
		r.latest, r.stale = always, false
		for _, since := range r.since {
			if r.latest = max(r.latest, since); since == never {
				break
			}
		}
	}
	return r.latest
}

// AgentGone tells the scheduler of a new leader that an agent was removed at the given
// time, when no run could be alive on its worker any more.
func (s *Scheduler) AgentGone(host contract.HostID, at time.Duration) {
	s.records.gone(host, at)
}

// MayHaveBegun reports whether a run of the job is known, or may have begun, that is
// not of a job known to this leader.
func (s *Scheduler) MayHaveBegun(id contract.DurableJobID) bool {
	return s.past.jobs[id] != nil || s.unclaimedRuns[id] != nil || s.ledger.JobVerdict(id) != quarantine.Clear
}

// NeverBegun reports whether no run of a job can have begun that is not known to this
// leader and that was sent to the first leader after sentAfter. Each agent that may
// have had runs of an earlier leader must have reported all runs since then; after its
// report to this leader it starts no run of an earlier one.
func (s *Scheduler) NeverBegun(id contract.DurableJobID, sentAfter time.Duration) bool {
	return !s.MayHaveBegun(id) && s.records.completeSince() <= sentAfter
}

// Resubmission is a transient job that an earlier leader may have started, and that
// was not sent to any leader before SentAfter.
type Resubmission struct {
	ID        contract.DurableJobID
	SentAfter time.Duration
}

// Settlement is the admission or refusal of a resubmitted job that has never begun.
type Settlement struct {
	ID        contract.DurableJobID
	Admission Admission
}

// Settle releases the tasks that an earlier leader may have started, as Release does,
// and then admits or refuses those of the resubmitted jobs that have never begun, the
// most urgent first. The hub has to drop the refused jobs.
func (s *Scheduler) Settle(now time.Duration, resubmitted []Resubmission) []Settlement {
	var fresh []*job
	completeSince := s.records.completeSince()
	for _, r := range resubmitted {
		j := s.jobs[r.ID]
		if j != nil && !j.begun && j.waitingTasks == 0 && completeSince <= r.SentAfter && !s.MayHaveBegun(r.ID) {
			fresh = append(fresh, j)
			j.settling = true
		}
	}
	s.Release()
	slices.SortFunc(fresh, compareJobs)
	settled := make([]Settlement, 0, len(fresh))
	for _, j := range fresh {
		admission := s.Admit(now, j.arrivedAt, &j.DurableJob)
		if !admission.OK && !admission.NeverFits && j.latestStart < now && !j.wouldExpire(now) {
			// A job that was delayed by the change of leader may still be of use. If the
			// forecast says otherwise, it is shed at once, with a true refusal.
			admission = Admission{OK: true}
		}
		if admission.OK {
			j.settling = false
			s.releaseTasks(j)
		}
		settled = append(settled, Settlement{j.ID, admission})
	}
	return settled
}

// releaseTasks allows the job's tasks in phaseUnknown to start.
func (s *Scheduler) releaseTasks(j *job) {
	for i := range j.tasks {
		if j.tasks[i].phase == phaseUnknown {
			s.setPhase(j, i, phaseWaiting)
		}
	}
	s.enqueue(j)
}
