package hub

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// transientRetention is how long the result of an ended transient job is kept. A
// caller that lost the reply submits the job again within seconds, and gets the
// result without another run.
const transientRetention = 20 * time.Second

// transientJob is a job that is not replicated. It is lost when the hub loses the
// leadership.
type transientJob struct {
	job     *durable.Job
	waiters []replyTo
	// endedAt is zero until the job has ended.
	endedAt time.Duration
	// mayHaveStarted says that an earlier leader may have started the job.
	mayHaveStarted bool
	// sentAfter is a time before which the job was not sent to any leader; zero if
	// none is known.
	sentAfter time.Duration
	// entryAliveAt is the last proof that one of a bound job's entries was alive.
	entryAliveAt time.Duration
}

// addWaiter adds a caller that waits for the job's end. If the job has ended, it
// returns the reply instead.
func (t *transientJob) addWaiter(to replyTo) *contract.JobReply {
	if t.endedAt != 0 {
		return &contract.JobReply{Verdict: contract.VerdictState, State: t.job.State}
	}
	t.waiters = append(t.waiters, to)
	return nil
}

// transientJobs holds the transient jobs of one term as leader.
type transientJobs struct {
	jobs map[contract.DurableJobID]*transientJob
	// bound holds the bound jobs that have not ended, and some that have; see
	// dropSilentEntries.
	bound map[contract.DurableJobID]*transientJob
	// ended lists the jobs that have ended, oldest first.
	ended []contract.DurableJobID
}

func newTransientJobs() *transientJobs {
	return &transientJobs{jobs: map[contract.DurableJobID]*transientJob{}, bound: map[contract.DurableJobID]*transientJob{}}
}

// evictEnded removes the jobs that ended more than transientRetention ago.
func (t *transientJobs) evictEnded(now time.Duration) {
	n := 0
	for n < len(t.ended) && now-t.jobs[t.ended[n]].endedAt > transientRetention {
		delete(t.jobs, t.ended[n])
		n++
	}
	t.ended = t.ended[n:]
}

// startTransient passes a job that need not be replicated to the scheduler. If an
// earlier leader may have started the job, the scheduler takes over the runs that
// agents report, and starts the other tasks only when none of their earlier runs
// can be alive.
func (h *Hub) startTransient(now time.Duration, to replyTo, d *contract.DurableJob, m *contract.JobSubmit, mayHaveStarted bool) {
	t := &transientJob{
		job: durable.NewJob(d, h.logClock.now(now)), waiters: []replyTo{to},
		mayHaveStarted: mayHaveStarted, sentAfter: h.leader.sentAfter(now, m),
	}
	h.leader.transients.jobs[d.ID] = t
	h.leader.memory.add(d, true)
	ends := h.leader.sched.AddTransient(t.job, now-m.Age, mayHaveStarted)
	if m.Bound {
		t.entryAliveAt = h.entryAliveAt[to.link]
		h.leader.transients.bound[d.ID] = t
		h.leader.sched.BindToEntry(d.ID, t.entryAliveAt)
	}
	for _, c := range ends {
		h.endTransientTask(now, c.DurableTask, c.Done)
	}
	if t.endedAt != 0 && !h.leader.sched.AwaitingRelease() {
		telemetry.JobsSettled.WithLabelValues(settledByEnds).Inc()
	}
}

// shedLateTransients drops transient jobs that would end too late to be of use to their
// callers: those that have not begun, and those that crashes of workers have left without
// a run. It replies to the callers at once.
func (h *Hub) shedLateTransients(now time.Duration) {
	for _, id := range h.leader.sched.JobsToShed(now) {
		t := h.leader.transients.jobs[id]
		if t == nil || t.endedAt != 0 {
			continue
		}
		evacuated := h.leader.sched.BlockedByEvacuation(now, &t.job.DurableJob)
		reply := contract.JobReply{Verdict: contract.VerdictOverload, Reason: "no room within the objective"}
		if evacuated {
			reply.RetryAfter, reply.Reason = schedule.NoWorkerRetryAfter, schedule.EvacuatedReason
		} else {
			reply.RetryAfter = h.leader.sched.RetryAfter(now, id)
		}
		if t.mayHaveStarted && !h.leader.neverBegun(now, t) || h.leader.sched.Begun(id) {
			reply.Verdict = contract.VerdictUnknown
		}
		telemetry.JobsShed.Inc()
		h.log.Info("transient job shed: it would end too late", "job", id, "verdict", reply.Verdict, "evacuated", evacuated, "ms", h.logClock.now(now)-t.job.AcceptedAt)
		h.dropTransient(t, &reply)
	}
}

// dropTransient answers the callers of a transient job that is not served, and forgets
// the job.
func (h *Hub) dropTransient(t *transientJob, reply *contract.JobReply) {
	for _, r := range t.waiters {
		h.reply(r.link, r.seq, reply)
	}
	h.leader.memory.remove(t.job.ID)
	h.leader.sched.JobEnded(t.job.ID)
	delete(h.leader.transients.jobs, t.job.ID)
}

// endTransientTask records that a task of a transient job succeeded, if done is
// set, or failed. It returns false if the job is not a known transient job.
func (h *Hub) endTransientTask(now time.Duration, ref contract.DurableTask, done bool) bool {
	t := h.leader.transients.jobs[ref.Job]
	if t == nil {
		return false
	}
	if t.endedAt == 0 && t.job.RecordTaskEnd(ref.Task, done) {
		h.finishTransient(now, t)
	}
	h.leader.sched.TaskEndApplied(ref)
	return true
}

// finishTransient logs the end of a transient job and replies to its callers. It
// keeps the result of the job unless the job was cancelled.
func (h *Hub) finishTransient(now time.Duration, t *transientJob) {
	t.endedAt = now
	if t.mayHaveStarted && h.leader.sched.AwaitingRelease() {
		telemetry.JobsSettled.WithLabelValues(settledByEnds).Inc()
	}
	if t.job.State != contract.DurableCancelled {
		h.leader.transients.ended = append(h.leader.transients.ended, t.job.ID)
	}
	h.leader.memory.remove(t.job.ID)
	h.leader.sched.JobEnded(t.job.ID)
	h.recordJobEnd(t.job, h.logClock.now(now)-t.job.AcceptedAt)
	for _, r := range t.waiters {
		h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictState, State: t.job.State})
	}
	t.waiters = nil
	t.job.Spec, t.job.Steps = "", nil
	if t.job.State == contract.DurableCancelled {
		delete(h.leader.transients.jobs, t.job.ID)
	}
}

// abandonTransient cancels a transient job whose callers at the entry on link l no
// longer wait for it, unless callers at other entries do. An entry that was frozen may
// send this after its caller has sent the job to another entry.
func (h *Hub) abandonTransient(now time.Duration, l *link.Link, id contract.DurableJobID) {
	t := h.leader.transients.jobs[id]
	if t == nil || t.endedAt != 0 {
		return
	}
	t.waiters = slices.DeleteFunc(t.waiters, func(r replyTo) bool { return r.link == l || !h.inbound[r.link] })
	if len(t.waiters) == 0 {
		t.job.State = contract.DurableCancelled
		h.finishTransient(now, t)
	}
}
