package durable

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// CrashRetention is how long, in log time, a crash is kept if none of the jobs under it is
// stored.
const CrashRetention = quarantine.Retention

// maxCrashes bounds the crashes that are kept: ten a second for CrashRetention.
const maxCrashes = 600

// Crash is a crash of a worker, with the runs that were on it.
type Crash struct {
	contract.WorkerCrash
	// At is the log time in milliseconds at which the crash was noticed.
	At int64
}

// applyCrashes adds crashes to the state, and forgets the old ones.
func (s *State) applyCrashes(crashes []Crash) {
	s.Crashes = append(s.Crashes, crashes...)
	before := s.LogTime - int64(CrashRetention/time.Millisecond)
	s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool {
		return c.At < before && !slices.ContainsFunc(c.Runs, func(r contract.CrashedRun) bool {
			j := s.Jobs[r.Ref.Job]
			return j != nil && !j.State.Ended()
		})
	})
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-maxCrashes):]
}
