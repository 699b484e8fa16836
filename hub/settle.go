package hub

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// The ways in which a job that an earlier leader may have started is settled, as in
// telemetry.JobsSettled. A job counts as ended if it ends before the release, or later
// by ends that were known when it arrived. A job that continues has runs or ends that
// agents reported.
const (
	settledByEnds    = "ended"
	settledContinues = "continues"
	settledAsNew     = "new"
	settledRefused   = "refused"
	settledAsUnknown = "unknown"
)

// maxResubmittedAge is the age up to which it can be proved that a job has never begun.
// It is below durable.GoneAgentRetention; callers wait up to 8 s.
const maxResubmittedAge = 10 * time.Second

// mayHaveStarted reports whether a run of a transient job that this leader does not
// know may have begun, under an earlier leader or in an earlier submission.
func (h *Hub) mayHaveStarted(now time.Duration, id contract.DurableJobID, m *contract.JobSubmit) bool {
	ls := h.leader
	if ls.sched.MayHaveBegun(id) {
		return true
	}
	if !m.Resubmitted {
		return false
	}
	sentAfter := ls.sentAfter(now, m)
	return sentAfter == 0 || !ls.sched.NeverBegun(id, sentAfter)
}

// sentAfter returns a time before which the job was not sent to any leader, or zero if
// none is known. The sender has read Age after this leader had announced itself, so
// the time for which the message was under way, or its sender was suspended, does not
// matter. Clocks differ by less than one part in contract.WorkerClockDriftDivisor.
func (ls *leaderState) sentAfter(now time.Duration, m *contract.JobSubmit) time.Duration {
	switch {
	case m.Term != ls.term:
		return 0
	case m.LastTerm == ls.term:
		// An earlier message to this leader may arrive after this one has been refused,
		// and the job would then run.
		return 0
	case m.Age > maxResubmittedAge || now-ls.startedAt > schedule.PastRunTTL:
		// What agents reported of earlier runs, or that an agent has gone, may have been
		// forgotten.
		return 0
	}
	return max(ls.startedAt-m.Age-m.Age/contract.WorkerClockDriftDivisor, 0)
}

// neverBegun reports whether no run of a job that this leader has not started can have
// begun under an earlier leader. An agent may have attached since the job was settled.
func (ls *leaderState) neverBegun(now time.Duration, t *transientJob) bool {
	return t.sentAfter != 0 && now-ls.startedAt <= schedule.PastRunTTL && ls.sched.NeverBegun(t.job.ID, t.sentAfter)
}

// settleResubmitted releases the tasks that may have had runs of an earlier leader, and
// settles the transient jobs that were submitted again: it admits or refuses those that
// have never begun.
func (h *Hub) settleResubmitted(now time.Duration) {
	ls := h.leader
	var open []schedule.Resubmission
	for id, t := range ls.transients.jobs {
		if t.endedAt == 0 && t.mayHaveStarted && t.sentAfter != 0 {
			open = append(open, schedule.Resubmission{ID: id, SentAfter: t.sentAfter})
		}
	}
	counts := map[string]int{}
	for _, s := range ls.sched.Settle(now, open) {
		t := ls.transients.jobs[s.ID]
		t.mayHaveStarted = false
		if s.Admission.OK {
			counts[settledAsNew]++
			continue
		}
		counts[settledRefused]++
		h.refuseTransient(t, s.Admission)
	}
	for id, t := range ls.transients.jobs {
		switch {
		case t.endedAt != 0 || !t.mayHaveStarted:
		case ls.sched.Begun(id):
			counts[settledContinues]++
		default:
			counts[settledAsUnknown]++
		}
	}
	for how, n := range counts {
		telemetry.JobsSettled.WithLabelValues(how).Add(float64(n))
	}
	h.log.Info("resubmitted jobs settled", "new", counts[settledAsNew], "refused", counts[settledRefused],
		"continue", counts[settledContinues], "unknown", counts[settledAsUnknown])
}

// refuseTransient tells the callers of a transient job that it has not run and will
// not run.
func (h *Hub) refuseTransient(t *transientJob, a schedule.Admission) {
	reply := refusal(a)
	telemetry.JobsRefused.WithLabelValues(reply.Reason).Inc()
	h.log.Info("transient job refused", "job", t.job.ID, "verdict", reply.Verdict, "reason", reply.Reason, "retry_ms", reply.RetryAfter.Milliseconds())
	h.dropTransient(t, reply)
}
