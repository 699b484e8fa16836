package ingress

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection does.
type phase uint8

const (
	// phaseIdle: the server waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHead: the head of a request has begun to arrive.
	phaseHead
	// phaseBody: the server waits for the body.
	phaseBody
	// phaseHandling: the server works on the request.
	phaseHandling
)

const (
	// stallGrace is how far behind a client may be before it gives way to others.
	stallGrace = 500 * time.Millisecond
	// idleGrace is how long a connection that has had a request may be idle before it
	// gives way.
	idleGrace = time.Second
	// minRate is the rate in bytes per second below which a client falls behind.
	minRate = 256 << 10
)

// activity is the state of a connection by which the server chooses those that give way.
type activity struct {
	phase phase
	// since is when the first byte of the request arrived or, in phaseIdle, when the wait
	// for it began.
	since time.Time
	// heardAt is when the last byte of the request arrived.
	heardAt time.Time
	// received is the number of bytes of the request that have arrived.
	received int64
	// held is the memory that closing the connection frees, in bytes.
	held int64
	// served is set once a request on the connection has been handled.
	served bool
}

// lag returns by how much time the client is behind one that sends minRate bytes a second.
func (a *activity) lag(now time.Time) time.Duration {
	return now.Sub(a.since) - time.Duration(a.received)*time.Second/minRate
}

// stalled reports whether the client keeps the server waiting for a request that it has
// announced by its connection or by a part of it.
func (a *activity) stalled(now time.Time) bool {
	switch a.phase {
	case phaseIdle:
		return !a.served && a.lag(now) > stallGrace
	case phaseHead, phaseBody:
		return a.lag(now) > stallGrace
	}
	return false
}

// resting reports whether the connection has been idle for longer than idleGrace between
// two requests.
func (a *activity) resting(now time.Time) bool {
	return a.phase == phaseIdle && a.served && a.lag(now) > idleGrace
}

// chooseYielding returns the indexes of the connections that give way, so that at least
// one connection and need bytes become free if possible: those that stall, the furthest
// behind first, and then those that rest between requests, the longest first. Of the
// first, which no caller waits for, it adds up to batch ones, so that the choice is made
// less often. Requests that are being handled never give way.
func chooseYielding(now time.Time, all []activity, need int64, batch int) []int {
	var stalled, resting []int
	for i := range all {
		switch {
		case all[i].stalled(now):
			stalled = append(stalled, i)
		case all[i].resting(now):
			resting = append(resting, i)
		}
	}
	byLag := func(a, b int) int { return cmp.Compare(all[b].lag(now), all[a].lag(now)) }
	slices.SortFunc(stalled, byLag)
	slices.SortFunc(resting, byLag)
	var out []int
	var freed int64
	for i, k := range stalled {
		if i >= batch && freed >= need {
			break
		}
		out, freed = append(out, k), freed+all[k].held
	}
	for _, k := range resting {
		if len(out) > 0 && freed >= need {
			break
		}
		out, freed = append(out, k), freed+all[k].held
	}
	return out
}
