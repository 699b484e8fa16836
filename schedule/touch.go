package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: agents are out of touch for a moment, behind a cut, a link that loses
// packets or a leader that is behind, while their workers go on. The starts or the ends of
// their runs are under way, so runs that seem to be late say nothing of the workers.

// maxTouchGap is the longest time between two messages of an agent that is in touch: one
// and a half intervals of its heartbeats.
const maxTouchGap = 150 * time.Millisecond

// AgentHeard records that a message of the agent arrived at the time now. The agent has
// sent the ends of all runs that it knew of before the message.
func (s *Scheduler) AgentHeard(now time.Duration, h contract.HostID) {
	w := s.workers[h]
	if w == nil {
		return
	}
	if now-w.heardAt > maxTouchGap && w.heardAt > 0 {
		w.outOfTouch()
	}
	w.heardAt = max(w.heardAt, now)
}

// outOfTouch marks the runs that the worker has or is about to start: messages about them
// have been delayed.
func (w *Worker) outOfTouch() {
	for _, r := range w.runs {
		r.delayed = true
	}
}

// seenUntil returns the time up to which the ends of the worker's runs are known.
func (w *Worker) seenUntil(now time.Duration) time.Duration {
	if w.heardAt == 0 {
		return now
	}
	return min(now, w.heardAt)
}

// timed reports whether the time from the run's placement to the arrival of its end is
// that which it takes on its worker.
func (r *run) timed() bool { return !r.takenOver && !r.delayed }
