package uplink

import (
	"math/rand/v2"
	"time"
)

// updateRelayed opens the relayed paths that are wanted now, and closes those that
// have not been wanted for a while. The caller holds u.mu.
func (u *Uplink) updateRelayed(now time.Duration) {
	if u.cfg.RelayAfter == 0 || u.ctx.Err() != nil {
		return
	}
	for _, addr := range u.hubsToRelay(now) {
		c := u.relayed[addr]
		if c == nil && len(u.relays) > 0 {
			u.cfg.Log.Info("hub not reached directly: dialling through a relay", "hub", addr, "relays", len(u.relays))
			c = u.dial(addr, u.pickRelay)
			u.relayed[addr] = c
		}
		if c != nil {
			c.wantedAt = now
		}
	}
	for addr, c := range u.relayed {
		otherLeads := u.leaderSound(now) && u.leader.addr != addr
		if c != u.leader && (otherLeads || now-c.wantedAt > relayKeepTime) {
			c.cancel()
			delete(u.relayed, addr)
		}
	}
}

// hubsToRelay returns the hubs to which a relayed path is wanted. While the path to
// the leader is sound, these are only the leader's, if its direct path is broken.
// Otherwise they are all hubs whose direct path is broken, since any of them may
// lead. The caller holds u.mu.
func (u *Uplink) hubsToRelay(now time.Duration) []string {
	sound := u.leaderSound(now)
	var out []string
	for addr, h := range u.hubs {
		if sound && u.leader.addr != addr {
			continue
		}
		// The relayed path to the leader stays until the direct one is steady.
		inUse := sound && u.leader.relayed && now-h.steadySince < directSteadyTime
		if inUse || h.broken(now, u.cfg.RelayAfter) {
			out = append(out, addr)
		}
	}
	return out
}

// leaderSound reports whether the selected path to the leader is not silent. The
// caller holds u.mu.
func (u *Uplink) leaderSound(now time.Duration) bool {
	return u.leader != nil && u.leader.isUp && !u.leader.silent(now, u.cfg.RelayAfter)
}

// pickRelay returns a random relay, or an empty address if none is known.
func (u *Uplink) pickRelay() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.relays) == 0 {
		return ""
	}
	return u.relays[rand.N(len(u.relays))]
}
