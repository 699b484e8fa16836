package hub

import (
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// handleCrashes proposes to store the crashes of workers that the scheduler has learned
// of, so that a later leader knows them, and ends the jobs that are given up. Agents
// report a crash to each leader for a minute, so it is not lost with a leader that has
// not stored it.
func (h *Hub) handleCrashes(now time.Duration) {
	ls := h.leader
	for _, c := range ls.sched.TakeCrashes() {
		h.logCrash(&c)
		at := h.logClock.now(now) - c.Age.Milliseconds()
		ls.pending.batch.Crashes = append(ls.pending.batch.Crashes, durable.Crash{WorkerCrash: c.WorkerCrash, At: at})
	}
	for _, id := range ls.sched.TakeGivenUp() {
		h.giveUp(now, id)
	}
}

// giveUp ends a job of which a task crashes workers as failed.
func (h *Hub) giveUp(now time.Duration, id contract.DurableJobID) {
	if t := h.leader.transients.jobs[id]; t != nil {
		if t.endedAt == 0 {
			h.logGivenUp(id)
			t.job.State = contract.DurableFailed
			h.finishTransient(now, t)
		}
		return
	}
	if j := h.state.Jobs[id]; j != nil && !j.State.Ended() {
		h.logGivenUp(id)
		h.leader.pending.batch.Failed = append(h.leader.pending.batch.Failed, id)
	}
}

func (h *Hub) logGivenUp(id contract.DurableJobID) {
	telemetry.JobsGivenUp.Inc()
	h.log.Info("job given up: a task of it crashes workers", "job", id)
}

func (h *Hub) logCrash(c *schedule.CrashNotice) {
	h.log.Info("worker crash learned", "worker", c.Host, "instance", c.Instance.ID, "born", c.Instance.StartedMillis,
		"alone", c.Alone(), "partial", c.Partial, "age_ms", c.Age.Milliseconds(), "tasks", len(c.Tasks))
	for _, t := range c.Tasks {
		telemetry.CrashedRuns.WithLabelValues(strconv.Itoa(min(t.Crashes, quarantine.MaxCrashes))).Inc()
		h.log.Info("worker crashed under task", "job", t.Job, "task", t.Task, "worker", c.Host, "crashes", t.Crashes, "verdict", t.Verdict.String())
	}
	for _, queue := range c.Confined {
		h.log.Info("queue confined: its tasks crash workers", "queue", queue, "pool", c.Pool)
	}
}
