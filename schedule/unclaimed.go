package schedule

import "time"

// unclaimedRunTTL is how long a run that no job claims may continue.
const unclaimedRunTTL = 1500 * time.Millisecond

// expireUnclaimed discards the past runs that are older than PastRunTTL, and orders
// the unclaimed runs that are older than unclaimedRunTTL to stop.
func (s *Scheduler) expireUnclaimed(now time.Duration) {
	s.past.expire(now)
	for _, w := range s.workerList {
		for ref, r := range w.runs {
			if r.unclaimed && now-r.placedAt > unclaimedRunTTL {
				s.stopRun(w, ref, "no known job")
			}
		}
	}
}
