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
		if want := p.bestWant(); want != nil && (j == nil || want.key()+p.margin() < j.key) {
			if p.lendOne(&r, want) {
				continue
			}
			want.wants = nil
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
	for len(j.queued) > 0 && p.workers.free > 0 && p.hasQuota(j) && !p.outbid(j) {
		d := j.demand(j.nextTask())
		w := p.workers.pick(d, r.reserved)
		if w == nil {
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

func (p *Pool) outbid(j *jobState) bool {
	want := p.bestWant()
	return want != nil && want.key()+p.margin() < j.key
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

// lateShare is the part of a job's expected time that must be left before its
// deadline for it to be started.
const lateShare = 0.5

// late reports whether a job that has not started can't be done any more.
func (p *Pool) late(j *jobState) bool {
	if j.started || j.deadline.IsZero() {
		return false
	}
	least := time.Duration(lateShare * float64(j.tasks[j.nextTask()].est))
	return p.now.Add(least).After(j.deadline)
}

func (p *Pool) refuseLate(j *jobState) {
	err := contract.ErrOverload.Refuse(p.retryAfter(0), "the job waited until its deadline could not be met")
	p.out = append(p.out, Refuse{Job: j.id, Err: err})
	p.drop(j)
}

// rate returns how many slots this entry can expect to work on its queue.
func (p *Pool) rate() float64 {
	rate := max(p.drain.rate, float64(p.workers.allot))
	if rate > 0 {
		return rate
	}
	total := 0
	for _, g := range p.workers.groups {
		total += g.linked * g.capacity.Slots
	}
	return math.Max(1, float64(total)/float64(len(p.peers)+1))
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

// ref names the worker in messages.
func refOf(id contract.HostID, inc contract.Incarnation) host.Ref {
	return host.Ref{Host: id, Incarnation: inc}
}
