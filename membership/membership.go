// Package membership keeps which upstreams are there, without any list of
// them: each is known from its announcement until it leaves or stays silent.
// It is pure: events carry the time, and nothing here waits.
//
// A worker that goes silent or restarts without a drain earns a penalty that
// halves with time. One whose penalty is high is damped: it is known, but is
// to be given no work until the penalty has fallen. One loss never damps, so
// all workers of a rack may restart at once.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// State is what is known of a worker.
type State uint8

// The states of a worker.
const (
	// StateUp means that the worker is announced and takes work.
	StateUp State = iota + 1
	// StateDamped means that it is announced, but was lost too often.
	StateDamped
	// StateDraining means that it leaves and takes no new work.
	StateDraining
	// StateSilent means that it was lost and may come back.
	StateSilent
)

// The penalty of workers that are lost again and again.
const (
	lossPenalty   = 1.0
	dampAt        = 3.5
	reuseBelow    = 2.0
	penaltyHalves = 20 * time.Second
	maxPenalty    = 6.0
)

// forgetAfter is how long a worker may be silent before it is forgotten.
const forgetAfter = 10 * time.Minute

// member is one worker.
type member struct {
	worker  host.Worker
	state   State
	penalty float64
	at      time.Time // when penalty was worked out
	since   time.Time // when state began
}

// Directory holds the workers known. It is not safe for concurrent use.
type Directory struct {
	members map[contract.HostID]*member
	counts  Counts
}

// Counts are the events seen; they only grow.
type Counts struct {
	Joined, Restarted, Lost, Drained, Damped int64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{members: make(map[contract.HostID]*member)}
}

// Counts returns the events seen.
func (d *Directory) Counts() Counts { return d.counts }

// Announced takes a worker's announcement. It returns how long the worker is
// to be given no work: zero unless it is damped.
func (d *Directory) Announced(w host.Worker, now time.Time) time.Duration {
	m, known := d.members[w.Host]
	switch {
	case !known:
		d.counts.Joined++
		m = &member{at: now}
		d.members[w.Host] = m
	case m.worker.Incarnation != w.Incarnation:
		d.counts.Restarted++
		if m.state == StateUp || m.state == StateDamped {
			m.punish(now) // it restarted before its silence was noticed
		}
	}
	m.worker = w
	if w.Draining {
		m.enter(StateDraining, now)
		return 0
	}
	wait := m.damping(now)
	if wait == 0 {
		m.enter(StateUp, now)
		return 0
	}
	if m.state != StateDamped {
		d.counts.Damped++
	}
	m.enter(StateDamped, now)
	return wait
}

// Lost takes the loss of the link to a worker. One that drains has left.
func (d *Directory) Lost(ref host.Ref, now time.Time) {
	m, ok := d.members[ref.Host]
	if !ok || m.worker.Ref != ref || m.state == StateSilent {
		return
	}
	if m.state == StateDraining {
		delete(d.members, ref.Host)
		return
	}
	d.counts.Lost++
	m.punish(now)
	m.enter(StateSilent, now)
}

// Drained takes a worker's word that it leaves.
func (d *Directory) Drained(ref host.Ref, now time.Time) {
	m, ok := d.members[ref.Host]
	if !ok || m.worker.Ref != ref || m.state == StateDraining {
		return
	}
	d.counts.Drained++
	m.enter(StateDraining, now)
}

// Sweep forgets workers that have been silent for long.
func (d *Directory) Sweep(now time.Time) {
	for id, m := range d.members {
		if m.state == StateSilent && now.Sub(m.since) >= forgetAfter {
			delete(d.members, id)
		}
	}
}

func (m *member) enter(s State, now time.Time) {
	if m.state == s {
		return
	}
	m.state = s
	m.since = now
}

// decay brings the penalty up to date.
func (m *member) decay(now time.Time) {
	m.penalty *= math.Exp2(-float64(now.Sub(m.at)) / float64(penaltyHalves))
	m.at = now
}

func (m *member) punish(now time.Time) {
	m.decay(now)
	m.penalty = min(m.penalty+lossPenalty, maxPenalty)
}

// damping returns how long until the worker may have work again.
func (m *member) damping(now time.Time) time.Duration {
	m.decay(now)
	if m.penalty < reuseBelow || m.state != StateDamped && m.penalty < dampAt {
		return 0
	}
	return time.Duration(math.Ceil(math.Log2(m.penalty/reuseBelow)*float64(penaltyHalves))) + time.Nanosecond
}

// View counts the workers of one pool in one failure domain.
type View struct {
	Pool     string             `json:"pool"`
	Domain   failuredomain.Name `json:"domain"`
	Up       int                `json:"up"`
	Damped   int                `json:"damped"`
	Draining int                `json:"draining"`
	Silent   int                `json:"silent"`
	Slots    int                `json:"slots"` // of those that are up
}

// Views returns the workers by pool and failure domain, in that order.
func (d *Directory) Views(now time.Time) []View {
	type key struct {
		pool   string
		domain failuredomain.Name
	}
	views := make(map[key]*View)
	for _, m := range d.members {
		for _, pool := range m.worker.Pools {
			k := key{pool, m.worker.Place.Domain}
			if views[k] == nil {
				views[k] = &View{Pool: k.pool, Domain: k.domain}
			}
			views[k].count(m, now)
		}
	}
	out := make([]View, 0, len(views))
	for _, v := range views {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

func (v *View) count(m *member, now time.Time) {
	state := m.state
	if state == StateDamped && m.damping(now) == 0 {
		state = StateUp
	}
	switch state {
	case StateUp:
		v.Up++
		v.Slots += m.worker.Capacity.Slots
	case StateDamped:
		v.Damped++
	case StateDraining:
		v.Draining++
	case StateSilent:
		v.Silent++
	}
}
