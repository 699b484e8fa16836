package dispatch

import "time"

const (
	// maxLead bounds the lead of a team's virtual time over the clock, and thus
	// how much the team's earlier work increases the order keys of its jobs.
	maxLead = 5 * time.Second
	// maxTeams bounds the teams whose virtual times are tracked. The jobs of
	// further teams are never delayed.
	maxTeams = 4096
)

// fairShare keeps a team that submits much work from delaying the other teams.
// It is start-time fair queueing with a bound: each team has a virtual time,
// which its admitted work advances at the service rate of the pool, and its
// next job's order key is increased by the lead of the virtual time over the
// clock, up to maxLead.
type fairShare struct {
	virtualTimes map[string]time.Time
}

func newFairShare() fairShare { return fairShare{virtualTimes: make(map[string]time.Time)} }

// lead returns by how much the team's virtual time is ahead of the clock.
func (f *fairShare) lead(now time.Time, team string) time.Duration {
	return min(max(0, f.virtualTimes[team].Sub(now)), maxLead)
}

// charge advances the virtual time of a job's team by the time to serve the
// job's work at the service rate, at most maxLead. A virtual time in the past is
// first set to now, so that a team gains no advantage from having been idle and
// only teams that are ahead of the clock compete with each other. No work is
// charged while no job is queued and the pool has no quotas.
func (f *fairShare) charge(p *Pool, j *jobState) {
	if p.queue.root == nil && len(p.teamQuotas) == 0 {
		return
	}
	at, known := f.virtualTimes[j.team]
	if !known && len(f.virtualTimes) >= maxTeams {
		f.prune(p.now)
		if len(f.virtualTimes) >= maxTeams {
			return
		}
	}
	if at.Before(p.now) {
		at = p.now
	}
	f.virtualTimes[j.team] = at.Add(min(time.Duration(float64(j.remaining)/p.serviceRate()), maxLead))
}

// prune removes the teams that are not ahead of the clock.
func (f *fairShare) prune(now time.Time) {
	for team, at := range f.virtualTimes {
		if at.Before(now) {
			delete(f.virtualTimes, team)
		}
	}
}
