package uplink

import "time"

const (
	// hubSilence is how long a hub that does not lead may be silent before its
	// direct path counts as broken. Links to hubs send a heartbeat every 700 ms.
	hubSilence = 900 * time.Millisecond
	// directSteadyTime is how long a direct path must have been up and not silent
	// before it replaces a relayed one, so that a path that fails again and again
	// does not make the process attach again each time.
	directSteadyTime = time.Second
	// relaySettleTime is how long a relayed path must have been up before it replaces
	// a silent direct one.
	relaySettleTime = 20 * time.Millisecond
	// relayKeepTime is how long a relayed path is kept after it was last wanted.
	relayKeepTime = 2 * directSteadyTime
)

// path is what is known of one path to a hub. Its times are boot times.
type path struct {
	relayed bool
	isUp    bool
	// leads and term are as the hub announced at stateAt.
	leads   bool
	term    uint64
	stateAt time.Duration
	// heardAt is when a message last arrived, or else when the path was created;
	// steadySince is when the current period without silence began.
	heardAt, steadySince time.Duration
}

func (p *path) up(now time.Duration) {
	p.isUp, p.leads = true, false
	p.heardAt, p.steadySince = now, now
}

func (p *path) down(now time.Duration) {
	p.isUp, p.leads = false, false
	p.heardAt = now
}

// heard records the arrival of a message.
func (p *path) heard(now time.Duration) {
	if now-p.heardAt > hubSilence {
		p.steadySince = now
	}
	p.heardAt = now
}

func (p *path) announced(now time.Duration, leads bool, term uint64) {
	p.leads, p.term, p.stateAt = leads, term, now
}

// mayLead reports whether the hub has announced on this path within leaderTimeout
// that it leads.
func (p *path) mayLead(now time.Duration) bool {
	return p.isUp && p.leads && now-p.stateAt <= leaderTimeout
}

// silent reports whether nothing has arrived for longer than relayAfter. If relays
// are not used, no path is silent.
func (p *path) silent(now, relayAfter time.Duration) bool {
	return relayAfter > 0 && now-p.heardAt > relayAfter
}

// rank orders paths on which a hub leads: a path that is not silent goes first, and
// then a direct one. A direct path that has just come up goes after a relayed one. A
// relayed path that has just come up does not count yet, since a leader that was only
// slow is heard again on both paths at the same time.
func (p *path) rank(now, relayAfter time.Duration) int {
	switch {
	case p.silent(now, relayAfter), p.relayed && now-p.steadySince < relaySettleTime:
		return 0
	case p.relayed:
		return 2
	case now-p.steadySince < directSteadyTime:
		return 1
	}
	return 3
}

// betterThan reports whether p is a better path to the leader than other. The
// highest term goes first.
func (p *path) betterThan(other *path, now, relayAfter time.Duration) bool {
	if p.term != other.term {
		return p.term > other.term
	}
	return p.rank(now, relayAfter) > other.rank(now, relayAfter)
}

// broken reports whether a direct path is to be replaced by a relayed one.
func (p *path) broken(now, relayAfter time.Duration) bool {
	if p.isUp && !p.leads {
		return now-p.heardAt > max(relayAfter, hubSilence)
	}
	return p.silent(now, relayAfter)
}
