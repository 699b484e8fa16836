package hub

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// transientKept is how long the end of a transient job is kept: a caller whose
// answer was lost asks again within seconds, and nothing runs again for it.
const transientKept = 20 * time.Second

// transient is a job that is not stored. It lives with the leadership.
type transient struct {
	job     *durable.Job
	waiters []replyTo
	ended   time.Duration
	// again says that an earlier leader may have started the job.
	again bool
}

// join lets one more caller wait; it returns the answer where there is one.
func (t *transient) join(to replyTo) *contract.JobReply {
	if t.ended != 0 {
		return &contract.JobReply{Verdict: contract.VerdictState, State: t.job.State}
	}
	t.waiters = append(t.waiters, to)
	return nil
}

// transients are the transient jobs of one leadership.
type transients struct {
	jobs map[contract.DurableJobID]*transient
	// ended are those that have ended, oldest first.
	ended []contract.DurableJobID
}

func newTransients() *transients {
	return &transients{jobs: map[contract.DurableJobID]*transient{}}
}

func (t *transients) forget(now time.Duration) {
	n := 0
	for n < len(t.ended) && now-t.jobs[t.ended[n]].ended > transientKept {
		delete(t.jobs, t.ended[n])
		n++
	}
	t.ended = t.ended[n:]
}

// startTransient takes a job that need not be stored. One that an earlier
// leader may have started waits until none of its runs can be alive.
func (h *Hub) startTransient(now time.Duration, to replyTo, d *contract.DurableJob, m *contract.JobSubmit) {
	t := &transient{job: durable.NewJob(d, h.logClock.now(now)), waiters: []replyTo{to}, again: m.Again}
	h.lead.transients.jobs[d.ID] = t
	for _, c := range h.lead.sched.Transient(t.job, now-m.Age, m.Again) {
		h.endTransient(now, c.DurableTask, c.Done)
	}
}

// giveUpHopeless answers at once for jobs that have not begun and can't end
// while their callers still have a use for them.
func (h *Hub) giveUpHopeless(now time.Duration) {
	for _, id := range h.lead.sched.Hopeless(now) {
		t := h.lead.transients.jobs[id]
		if t == nil || t.ended != 0 {
			continue
		}
		reply := contract.JobReply{Verdict: contract.VerdictOverload, RetryAfter: schedule.HopelessRetry, Reason: "no room within the objective"}
		if t.again {
			reply.Verdict = contract.VerdictUnknown
		}
		h.log.Info("job given up", "job", id, "verdict", reply.Verdict, "ms", h.logClock.now(now)-t.job.At)
		for _, r := range t.waiters {
			h.reply(r.link, r.seq, &reply)
		}
		h.lead.sched.Finished(id)
		delete(h.lead.transients.jobs, id)
	}
}

// endTransient takes an end of a transient job's task; false when the job is
// not transient.
func (h *Hub) endTransient(now time.Duration, ref contract.DurableTask, done bool) bool {
	t := h.lead.transients.jobs[ref.Job]
	if t == nil {
		return false
	}
	if t.ended == 0 && t.job.End(ref.Task, done) {
		h.finishTransient(now, t)
	}
	h.lead.sched.TaskStored(ref)
	return true
}

func (h *Hub) finishTransient(now time.Duration, t *transient) {
	t.ended = now
	if t.job.State != contract.DurableCancelled {
		h.lead.transients.ended = append(h.lead.transients.ended, t.job.ID)
	}
	h.lead.sched.Finished(t.job.ID)
	h.countEnd(t.job, h.logClock.now(now)-t.job.At)
	for _, r := range t.waiters {
		h.reply(r.link, r.seq, &contract.JobReply{Verdict: contract.VerdictState, State: t.job.State})
	}
	t.waiters = nil
	t.job.Spec, t.job.Steps = "", nil
	if t.job.State == contract.DurableCancelled {
		delete(h.lead.transients.jobs, t.job.ID)
	}
}

// abandon ends a transient job that nobody waits for.
func (h *Hub) abandon(now time.Duration, id contract.DurableJobID) {
	if t := h.lead.transients.jobs[id]; t != nil && t.ended == 0 {
		t.job.State = contract.DurableCancelled
		h.finishTransient(now, t)
	}
}
