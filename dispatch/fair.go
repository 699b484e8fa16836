package dispatch

import "time"

const (
	// maxLead bounds how far a team's jobs can be put back for what the team
	// has submitted before.
	maxLead = 5 * time.Second
	// maxTeams bounds the teams that are tracked; further ones share nothing.
	maxTeams = 4096
)

// fairShare keeps one team's flood from pushing back the others: a team that
// submits work faster than its part of the pool gets later keys, by the time
// by which it runs ahead. It is start-time fair queueing with a bound.
type fairShare struct {
	virtual map[string]time.Time
}

func newFairShare() fairShare { return fairShare{virtual: make(map[string]time.Time)} }

// lead returns by how much the team runs ahead of its share.
func (f *fairShare) lead(now time.Time, team string) time.Duration {
	return min(max(0, f.virtual[team].Sub(now)), maxLead)
}

// charge counts an admitted job's work against its team. Teams that run ahead
// now are the ones that compete.
func (f *fairShare) charge(p *Pool, j *jobState) {
	if p.queue.root == nil && len(p.quotas) == 0 {
		return
	}
	at, known := f.virtual[j.team]
	if !known && len(f.virtual) >= maxTeams {
		f.prune(p.now)
		if len(f.virtual) >= maxTeams {
			return
		}
	}
	if at.Before(p.now) {
		at = p.now
	}
	f.virtual[j.team] = at.Add(min(time.Duration(float64(j.remaining)/p.rate()), maxLead))
}

// prune forgets the teams that are within their share.
func (f *fairShare) prune(now time.Time) {
	for team, at := range f.virtual {
		if at.Before(now) {
			delete(f.virtual, team)
		}
	}
}
