package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// CrashNotice is a crash of a worker that this leader has learned of, with the tasks for
// which it is new. A crash is learned again if it is reported with more runs.
type CrashNotice struct {
	contract.WorkerCrash
	Host  contract.HostID
	Tasks []CrashedTask
}

// CrashedTask is a task under which a worker has crashed, and how many have so far.
type CrashedTask struct {
	contract.DurableTask
	Crashes int
}

// recordCrashes counts the crashes that an agent reports.
func (s *Scheduler) recordCrashes(now time.Duration, r *contract.WorkerReport) {
	for i := range r.Crashes {
		s.recordCrash(now, r.Host, r.Crashes[i])
	}
}

// recordCrash counts a crash of a worker.
func (s *Scheduler) recordCrash(now time.Duration, h contract.HostID, c contract.WorkerCrash) {
	counted := s.ledger.Record(now-c.Age, &c)
	if len(counted) == 0 {
		return
	}
	n := CrashNotice{WorkerCrash: c, Host: h}
	for _, t := range counted {
		n.Tasks = append(n.Tasks, CrashedTask{t, s.ledger.Crashes(t)})
	}
	s.crashNotices = append(s.crashNotices, n)
}

// TakeCrashes returns the crashes learned of since the last call.
func (s *Scheduler) TakeCrashes() []CrashNotice {
	n := s.crashNotices
	s.crashNotices = nil
	return n
}
