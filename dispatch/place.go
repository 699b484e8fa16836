package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// maxBlocked bounds how many jobs that cannot be placed now are passed over
// for later ones in one step.
const maxBlocked = 8

// round is the state of one round of placement.
type round struct {
	blocked []*jobState
	// reserved gathers slots for a task that takes several.
	reserved *worker
	gather   contract.Demand
	loans    map[*peer]*contract.CreditLend
	// spent says that no free slot is left that a peer can use.
	spent bool
}

func (r *round) skips(j *jobState) bool {
	for _, b := range r.blocked {
		if b == j {
			return true
		}
	}
	return false
}

// place starts what can start, and lends what peers need more urgently.
func (p *Pool) place() {
	var r round
	for p.workers.free > 0 && len(r.blocked) < maxBlocked {
		j := p.next(&r)
		if want := p.rival(&r, j); want != nil {
			if j == nil && len(r.loans) == 0 && p.gathers() {
				break
			}
			r.spent = !p.lendOne(&r, want)
			continue
		}
		if j == nil {
			break
		}
		p.placeJob(&r, j)
	}
	p.sendLoans(&r)
	p.ask.reserved = r.reserved
	p.ask.gather = r.gather
}

// next returns the first job that may start a task, or nil.
func (p *Pool) next(r *round) *jobState {
	best := firstOpen(&p.queue, r)
	for _, q := range p.quotas {
		j := firstOpen(&q.queue, r)
		if j == nil || q.idle() < j.demand(j.nextTask()).Slots {
			continue
		}
		if best == nil || j.before(best) {
			best = j
		}
	}
	return best
}

func firstOpen(q *jobQueue, r *round) *jobState {
	if len(r.blocked) == 0 {
		return q.first()
	}
	var found *jobState
	q.walk(func(j *jobState) bool {
		if r.skips(j) {
			return true
		}
		found = j
		return false
	})
	return found
}

// placeJob starts tasks of the job while it comes first.
func (p *Pool) placeJob(r *round, j *jobState) {
	if p.late(j) {
		p.refuseLate(j)
		return
	}
	p.dequeue(j)
	for len(j.queued) > 0 && p.workers.free > 0 && p.hasQuota(j) && p.rival(r, j) == nil {
		d := j.demand(j.nextTask())
		w := p.workers.pick(d, r.reserved)
		if w == nil || w.tier == tierSlow && !p.worthSlow(w, j) {
			r.blocked = append(r.blocked, j)
			p.reserve(r, d)
			break
		}
		p.start(j, w)
	}
	p.requeued(j)
}

func (p *Pool) hasQuota(j *jobState) bool {
	q := p.byTeam[j.team]
	return q == nil || q.idle() >= j.demand(j.nextTask()).Slots
}

// rival returns the peer that wants credits for jobs that come before j, or
// nil. A nil j stands for no job.
func (p *Pool) rival(r *round, j *jobState) *peer {
	if r.spent {
		return nil
	}
	want := p.bestWant()
	if want == nil || j != nil && want.key()+p.margin() >= j.key {
		return nil
	}
	return want
}

// worthSlow reports whether the job's next task should start on a slow worker:
// it meets its deadline there, and what it loses is less than the queue takes.
func (p *Pool) worthSlow(w *worker, j *jobState) bool {
	est := j.tasks[j.nextTask()].est
	slowed := time.Duration(float64(est) * math.Exp(w.health.ratio.mean-p.speed.mean))
	if !j.deadline.IsZero() && p.now.Add(slowed).After(j.deadline) {
		return false
	}
	return slowed-est < p.ownTime()
}

func (p *Pool) start(j *jobState, w *worker) {
	i := j.nextTask()
	t := &j.tasks[i]
	j.queued = j.queued[:len(j.queued)-1]
	j.queuedWork -= t.work()
	j.attained += t.work()
	j.started = true
	p.waiting--
	t.worker = w
	t.placed = p.now
	p.ask.since = p.now
	w.take(t.demand, 1)
	if q := p.byTeam[j.team]; q != nil {
		q.used += t.demand.Slots
	}
	p.workers.changed(w)
	p.out = append(p.out, Place{Task: contract.TaskID{Job: j.id, Index: i}, Worker: w.Ref})
}

// reserve keeps the free slots of one worker together for a task that takes
// several.
func (p *Pool) reserve(r *round, d contract.Demand) {
	if r.reserved != nil || d.Slots < 2 {
		return
	}
	var best *worker
	for t := range tierTrial {
		for _, g := range p.workers.groups {
			if !g.capacity.Fits(d) || len(g.tiers[t]) == 0 {
				continue
			}
			if w := g.tiers[t][0]; best == nil || w.free > best.free {
				best = w
			}
		}
	}
	r.reserved = best
	r.gather = d
}

// lateFactor is by how much the time left until the deadline must exceed what a
// job that has waited would take with all slots of the pool.
const lateFactor = 1.5

// late reports whether a job that has not started can't be done any more.
func (p *Pool) late(j *jobState) bool {
	if j.started || j.deadline.IsZero() || p.now.Equal(j.admitted) {
		return false
	}
	alone := max(j.tasks[j.nextTask()].est, time.Duration(float64(j.remaining)/float64(p.totalSlots())))
	return p.now.Add(time.Duration(lateFactor * float64(alone))).After(j.deadline)
}

func (p *Pool) refuseLate(j *jobState) {
	err := contract.ErrOverload.Refuse(p.retryAfter(0), "the job waited until its deadline could not be met")
	p.out = append(p.out, Refuse{Job: j.id, Err: err})
	p.drop(j)
}

// rate returns how many slots this entry can expect to work on its queue: it
// shares the pool with the peers that want credits now.
func (p *Pool) rate() float64 {
	sharers := 1
	for _, q := range p.peers {
		if q.due(p.now) {
			sharers++
		}
	}
	share := float64(p.totalSlots()) / float64(sharers)
	return max(p.drain.rate, float64(p.workers.allot), share)
}

// totalSlots returns the slots of all linked workers.
func (p *Pool) totalSlots() int {
	total := 0
	for _, g := range p.workers.groups {
		total += g.linked * g.capacity.Slots
	}
	return max(1, total)
}

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns when the excess of work will have drained: at the
// measured rate where there is one.
func (p *Pool) retryAfter(excess time.Duration) time.Duration {
	rate := p.drain.rate
	if rate <= 0 {
		rate = p.rate()
	}
	if excess <= 0 {
		var queued int64
		p.eachQueue(func(q *jobQueue) { queued += q.work() })
		excess = time.Duration(queued)
	}
	return max(minRetryAfter, time.Duration(float64(excess)/rate))
}

// refOf returns the worker that a message names.
func refOf(id contract.HostID, inc contract.Incarnation) host.Ref {
	return host.Ref{Host: id, Incarnation: inc}
}
