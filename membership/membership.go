// Package membership tracks the workers (upstreams) that exist. There is no
// configured list: a worker is known from its announcement until it leaves after a
// drain or its link has been down for removeSilentAfter. The package does no I/O
// and starts no timers: the current time is passed in with each event.
//
// Flapping workers are damped. Each loss of the link and each restart without a
// drain adds to a worker's penalty, which decays exponentially. A worker whose
// penalty is high is damped: it stays known, but is to be given no work until the
// penalty has decayed. A single loss never damps a worker, so all workers of a rack
// may restart at once.
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

// State is the state of a worker in the directory.
type State uint8

// The states of a worker.
const (
	// StateUp means that the worker is announced and accepts work.
	StateUp State = iota + 1
	// StateDamped means that the worker is announced, but was lost or restarted
	// too often and is to be given no work for now.
	StateDamped
	// StateDraining means that the worker is about to leave and accepts no new
	// work.
	StateDraining
	// StateSilent means that the link to the worker was lost. The worker may come
	// back.
	StateSilent
)

// Parameters of the damping of flapping workers. lossPenalty must be below
// dampThreshold, so that a single loss does not damp a worker.
const (
	// lossPenalty is added for each loss and each restart without a drain. A
	// restart after a loss that was recorded adds nothing more.
	lossPenalty = 1.0
	// dampThreshold is the penalty at which a worker is damped.
	dampThreshold = 3.5
	// reuseThreshold is the penalty below which a damped worker may be given work
	// again.
	reuseThreshold  = 2.0
	penaltyHalfLife = 20 * time.Second
	// maxPenalty bounds the penalty and thereby the time for which a worker is
	// damped.
	maxPenalty = 6.0
)

// removeSilentAfter is how long a worker may be in StateSilent before Sweep removes
// it from the directory.
const removeSilentAfter = 10 * time.Minute

// member is the directory's record of one worker.
type member struct {
	worker           host.Worker
	state            State
	penalty          float64
	penaltyUpdatedAt time.Time // when penalty was last decayed
	stateSince       time.Time // when state was entered
}

// Directory holds the known workers. It is not safe for concurrent use.
type Directory struct {
	members map[contract.HostID]*member
	counts  EventCounts
}

// EventCounts holds the numbers of events since the directory was created.
type EventCounts struct {
	Joined, Restarted, Lost, Drained, Damped int64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{members: make(map[contract.HostID]*member)}
}

// EventCounts returns the numbers of events since the directory was created.
func (d *Directory) EventCounts() EventCounts { return d.counts }

// Announced records a worker's announcement. It returns how long the worker is to
// be given no work because it is damped; zero if it is not damped.
func (d *Directory) Announced(w host.Worker, now time.Time) time.Duration {
	m, known := d.members[w.Host]
	switch {
	case !known:
		d.counts.Joined++
		m = &member{penaltyUpdatedAt: now}
		d.members[w.Host] = m
	case m.worker.Incarnation != w.Incarnation:
		d.counts.Restarted++
		if m.state == StateUp || m.state == StateDamped {
			m.addPenalty(now) // it restarted before its loss was detected
		}
	}
	m.worker = w
	if w.Draining {
		m.setState(StateDraining, now)
		return 0
	}
	wait := m.remainingDamping(now)
	if wait == 0 {
		m.setState(StateUp, now)
		return 0
	}
	if m.state != StateDamped {
		d.counts.Damped++
	}
	m.setState(StateDamped, now)
	return wait
}

// Lost records that the link to a worker was lost. A worker that was draining has
// left and is removed. Lost ignores a report about an earlier incarnation.
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
	m.addPenalty(now)
	m.setState(StateSilent, now)
}

// Draining records that a worker has announced that it is draining. It ignores a
// report about an earlier incarnation.
func (d *Directory) Draining(ref host.Ref, now time.Time) {
	m, ok := d.members[ref.Host]
	if !ok || m.worker.Ref != ref || m.state == StateDraining {
		return
	}
	d.counts.Drained++
	m.setState(StateDraining, now)
}

// Sweep removes the workers that have been in StateSilent for removeSilentAfter or
// longer.
func (d *Directory) Sweep(now time.Time) {
	for id, m := range d.members {
		if m.state == StateSilent && now.Sub(m.stateSince) >= removeSilentAfter {
			delete(d.members, id)
		}
	}
}

func (m *member) setState(s State, now time.Time) {
	if m.state == s {
		return
	}
	m.state = s
	m.stateSince = now
}

// decay applies the exponential decay of the penalty up to now.
func (m *member) decay(now time.Time) {
	m.penalty *= math.Exp2(-float64(now.Sub(m.penaltyUpdatedAt)) / float64(penaltyHalfLife))
	m.penaltyUpdatedAt = now
}

func (m *member) addPenalty(now time.Time) {
	m.decay(now)
	m.penalty = min(m.penalty+lossPenalty, maxPenalty)
}

// remainingDamping returns the time until the worker may be given work again, or
// zero if it is not to be damped. The time is rounded up, so that the penalty is
// below reuseThreshold when it has passed.
func (m *member) remainingDamping(now time.Time) time.Duration {
	m.decay(now)
	if m.penalty < reuseThreshold || m.state != StateDamped && m.penalty < dampThreshold {
		return 0
	}
	return time.Duration(math.Ceil(math.Log2(m.penalty/reuseThreshold)*float64(penaltyHalfLife))) + time.Nanosecond
}

// WorkerCounts holds the numbers of workers of one pool in one failure domain, by state.
type WorkerCounts struct {
	Pool     string             `json:"pool"`
	Domain   failuredomain.Name `json:"domain"`
	Up       int                `json:"up"`
	Damped   int                `json:"damped"`
	Draining int                `json:"draining"`
	Silent   int                `json:"silent"`
	Slots    int                `json:"slots"` // total of the workers that are up
}

// WorkerCounts returns the numbers of workers by pool and failure domain, sorted in that
// order. A worker of several pools is counted in each.
func (d *Directory) WorkerCounts(now time.Time) []WorkerCounts {
	type key struct {
		pool   string
		domain failuredomain.Name
	}
	views := make(map[key]*WorkerCounts)
	for _, m := range d.members {
		for _, pool := range m.worker.Pools {
			k := key{pool, m.worker.Location.Domain}
			if views[k] == nil {
				views[k] = &WorkerCounts{Pool: k.pool, Domain: k.domain}
			}
			views[k].count(m, now)
		}
	}
	out := make([]WorkerCounts, 0, len(views))
	for _, v := range views {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b WorkerCounts) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain))
	})
	return out
}

func (v *WorkerCounts) count(m *member, now time.Time) {
	state := m.state
	if state == StateDamped && m.remainingDamping(now) == 0 {
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
