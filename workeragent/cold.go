package workeragent

import (
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
)

// coldTolerance is the change of the time until which the worker is cold that is not
// reported. The announcements count that time down, so only their delays change it.
const coldTolerance = 500 * time.Millisecond

// coldUntil returns the boot time until which the worker is cold, by an announcement
// that has just arrived.
func coldUntil(ann contract.WorkerAnnouncement) time.Duration {
	return boottime.Now() + time.Duration(ann.ColdLeftMillis)*time.Millisecond
}

// updateCold updates the time until which the worker is cold from a new announcement
// of the instance. It reports whether the leader has to be told: if the time has
// changed other than by going by. The caller holds agent.mu.
func (w *workerInstance) updateCold(ann contract.WorkerAnnouncement) bool {
	now, until := boottime.Now(), coldUntil(ann)
	reported := max(w.coldUntil, now)
	if (until - reported).Abs() <= coldTolerance {
		return false
	}
	w.coldUntil = until
	return true
}
