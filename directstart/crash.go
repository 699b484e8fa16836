package directstart

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// Load pattern: while no control host leads, a few requests crash each worker that starts
// them, and several entries start tasks on the same workers. Each agent tells all entries
// of its worker's crashes, so that all count the same. Entries exchange no messages; they
// confine a queue to the same agents, since a hash of the queue's name selects them.

const (
	// confinedShare is the share of a pool's agents that a confined queue may use. It is
	// small, since without a leader nobody knows how much the other queues need.
	confinedShare = 0.25
	// confinedRetryAfter is when a caller should come back whose queue is confined: a
	// crashed worker takes some seconds to return.
	confinedRetryAfter = 4 * time.Second
	// confinedReason is the reason of such a refusal.
	confinedReason = "requests of the queue crash workers: few may run at a time"
	// maxLost is the number of runs of a task that may be lost with their workers or
	// leases before the job is given up.
	maxLost = 4
)

// handleCrash counts a crash, and answers the jobs that are not to be started again.
func (d *Dispatcher) handleCrash(now time.Duration, c *contract.WorkerCrash) {
	at := now - c.Age
	if len(d.ledger.Record(at, c)) == 0 {
		return
	}
	if c.Age <= quarantine.ConfinementMemory {
		d.confinement.Blame(now, d.ledger, c)
	}
	for i := range c.Runs {
		if j := d.jobs[c.Runs[i].Ref.Job]; j != nil {
			d.judge(now, j)
		}
	}
}

// judge answers a job of which a task crashes workers, or may not start again.
func (d *Dispatcher) judge(now time.Duration, j *job) {
	switch d.ledger.JobVerdict(j.ID) {
	case quarantine.GivenUp:
		d.answer(now, j, Answer{Result: Failed, Reason: "a task crashes workers"})
	case quarantine.Exhausted:
		d.answer(now, j, Answer{Result: Unknown, Reason: "too many workers have crashed under a task"})
	}
}

// crashedUnder reports whether a worker has crashed under a task of the job, here or where
// it was sent before.
func (d *Dispatcher) crashedUnder(j *job) bool {
	return d.ledger.JobVerdict(j.ID) != quarantine.Clear
}

// confined reports whether the job may only run alone and, if its queue is confined, on the
// agents of the queue's shard.
func (d *Dispatcher) confined(j *job) bool {
	return d.queueConfined(j) || d.ledger.JobVerdict(j.ID) >= quarantine.Isolate
}

// queueID returns the job's queue.
func (j *job) queueID() quarantine.Queue { return quarantine.Queue{Pool: j.Pool, Queue: j.Queue} }

func (d *Dispatcher) queueConfined(j *job) bool {
	return d.confinement.Confined(j.queueID())
}

// shard returns the agents that a confined queue may use: those of the pool with the
// highest hashes of the queue and the agent.
func (d *Dispatcher) shard(pool, queue string) []*agent {
	var all []*agent
	for _, a := range d.order {
		if a.pool == pool {
			all = append(all, a)
		}
	}
	rank := func(a *agent) uint64 {
		h := fnv.New64a()
		fmt.Fprint(h, queue, " ", uint64(a.offer.Incarnation))
		x := h.Sum64()
		x ^= x >> 32
		return x * 0x9e3779b97f4a7c15
	}
	slices.SortFunc(all, func(a, b *agent) int { return cmp.Compare(rank(b), rank(a)) })
	return all[:min(len(all), max(1, int(confinedShare*float64(len(all)))))]
}

// pickConfined returns the agent for a task of a confined job: one that runs the job
// already, or an idle one.
func (d *Dispatcher) pickConfined(now time.Duration, j *job) *agent {
	agents := d.order
	if d.queueConfined(j) {
		agents = d.shard(j.Pool, j.Queue)
	}
	var idle *agent
	for _, a := range agents {
		switch {
		case a.pool != j.Pool || a.refused || !a.open(now) || !a.free.HasRoomFor(j.need()):
		case a.runsOnly(j):
			return a
		case idle == nil && a.idle():
			idle = a
		}
	}
	return idle
}

// runsOnly reports whether this entry runs the job on the agent's worker, and nothing
// else.
func (a *agent) runsOnly(j *job) bool {
	for _, t := range a.runs {
		if t.job != j {
			return false
		}
	}
	return len(a.runs) > 0
}

// suspects reports whether the agent runs a task under which a worker has crashed.
func (d *Dispatcher) suspects(a *agent) bool {
	for _, t := range a.runs {
		if d.crashedUnder(t.job) {
			return true
		}
	}
	return false
}

// reserved returns the agents that other jobs leave to the confined queues of the pool.
func (d *Dispatcher) reserved(pool string) map[*agent]bool {
	if d.confinement.Count(pool) == 0 {
		return nil
	}
	out := map[*agent]bool{}
	for _, queue := range d.confinement.Queues(pool) {
		for _, a := range d.shard(pool, queue) {
			out[a] = true
		}
	}
	return out
}

// waitsConfined reports whether another confined job of the pool waits for an agent.
func (d *Dispatcher) waitsConfined(j *job) bool {
	return slices.ContainsFunc(d.waiting, func(o *job) bool { return o.Pool == j.Pool && d.confined(o) })
}
