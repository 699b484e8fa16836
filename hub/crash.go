package hub

import (
	"strconv"

	"github.com/carawaylanding/carawaylanding/quarantine"
	"github.com/carawaylanding/carawaylanding/schedule"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// handleCrashes logs and counts the crashes of workers that the scheduler has learned
// of.
func (h *Hub) handleCrashes() {
	for _, c := range h.leader.sched.TakeCrashes() {
		h.logCrash(&c)
	}
}

func (h *Hub) logCrash(c *schedule.CrashNotice) {
	h.log.Info("worker crash learned", "worker", c.Host, "instance", c.Instance.ID, "born", c.Instance.StartedMillis,
		"alone", c.Alone(), "partial", c.Partial, "age_ms", c.Age.Milliseconds(), "tasks", len(c.Tasks))
	for _, t := range c.Tasks {
		telemetry.CrashedRuns.WithLabelValues(strconv.Itoa(min(t.Crashes, quarantine.MaxCrashes))).Inc()
		h.log.Info("worker crashed under task", "job", t.Job, "task", t.Task, "worker", c.Host, "crashes", t.Crashes)
	}
}
