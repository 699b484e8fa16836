package schedule

import "time"

const (
	// unclaimedRunTTL is how long a run that no job claims may continue.
	unclaimedRunTTL = 1500 * time.Millisecond
	// boundUnclaimedTTL applies to the runs of bound jobs: their caller may have sent
	// the job to an entry without a leader, which starts it 1,300 ms after the first
	// entry was lost. Entries that are alive submit the job again within 0.2 s.
	boundUnclaimedTTL = 300 * time.Millisecond
)

// expireUnclaimed discards the past runs that are older than PastRunTTL, and orders
// the unclaimed runs that are older than their TTL to stop.
func (s *Scheduler) expireUnclaimed(now time.Duration) {
	s.past.expire(now)
	for _, w := range s.workerList {
		for ref, r := range w.runs {
			ttl := unclaimedRunTTL
			if r.bound {
				ttl = boundUnclaimedTTL
			}
			if r.unclaimed && now-r.placedAt > ttl {
				if r.bound && !r.stopping {
					r.authorityLimit = now
				}
				s.stopRun(w, ref, "no known job")
			}
		}
	}
}
