package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// maxBlocked bounds the number of jobs without a suitable worker that a step
// skips in order to place later jobs.
const maxBlocked = 8

// placementRound is the state of the placement in one step.
type placementRound struct {
	blocked []*jobState // jobs without a suitable worker
	// reserved is a worker whose free slots are kept for a task with the demand
	// reservedFor, which takes several slots; nil if there is none.
	reserved    *worker
	reservedFor contract.Demand
	loans       map[*peer]*contract.CreditLend
	// lendingExhausted reports whether a loan failed because no free slot was
	// suitable for the peer.
	lendingExhausted bool
}

// isBlocked reports whether no suitable worker was found for the job in r.
func (r *placementRound) isBlocked(j *jobState) bool {
	for _, b := range r.blocked {
		if b == j {
			return true
		}
	}
	return false
}

// placeTasks places queued tasks while slots are free, and lends credits to
// peers whose jobs are more urgent.
func (p *Pool) placeTasks() {
	var r placementRound
	for p.workers.free > 0 && len(r.blocked) < maxBlocked {
		j := p.nextJob(&r)
		if peer := p.moreUrgentPeer(&r, j); peer != nil {
			if j == nil && len(r.loans) == 0 && p.delaysLending() {
				break
			}
			r.lendingExhausted = !p.lendSlot(&r, peer)
			continue
		}
		if j == nil {
			break
		}
		p.placeJob(&r, j)
	}
	p.sendLoans(&r)
	p.ask.reserved = r.reserved
	p.ask.reservedFor = r.reservedFor
}

// nextJob returns the first job that is not blocked in r and whose next task
// its team's quota permits, or nil.
func (p *Pool) nextJob(r *placementRound) *jobState {
	best := firstUnblocked(&p.queue, r)
	for _, q := range p.teamQuotas {
		j := firstUnblocked(&q.queue, r)
		if j == nil || q.idleSlots() < j.demand(j.nextTask()).Slots {
			continue
		}
		if best == nil || j.before(best) {
			best = j
		}
	}
	return best
}

// firstUnblocked returns the first job of the queue that is not blocked in r,
// or nil.
func firstUnblocked(q *jobQueue, r *placementRound) *jobState {
	if len(r.blocked) == 0 {
		return q.first()
	}
	var found *jobState
	q.walk(func(j *jobState) bool {
		if r.isBlocked(j) {
			return true
		}
		found = j
		return false
	})
	return found
}

// placeJob places tasks of the job until no worker is suitable, its team's
// quota is used up or a peer is more urgent. It refuses a job that can no
// longer meet its deadline.
func (p *Pool) placeJob(r *placementRound, j *jobState) {
	if p.cannotMeetDeadline(j) {
		p.refuseLate(j)
		return
	}
	p.dequeue(j)
	for len(j.queued) > 0 && p.workers.free > 0 && p.hasQuota(j) && p.moreUrgentPeer(r, j) == nil {
		d := j.demand(j.nextTask())
		w := p.workers.pickWorker(d, r.reserved)
		if w == nil || w.tier == tierSlow && !p.worthSlowWorker(w, j) {
			r.blocked = append(r.blocked, j)
			p.reserveWorker(r, d)
			break
		}
		p.startTask(j, w)
	}
	p.enqueueOrForget(j)
}

// hasQuota reports whether the quota of the job's team permits its next task.
func (p *Pool) hasQuota(j *jobState) bool {
	q := p.quotaByTeam[j.team]
	return q == nil || q.idleSlots() >= j.demand(j.nextTask()).Slots
}

// moreUrgentPeer returns the most urgent peer if its wants precede j by more
// than the lend margin, and nil otherwise. If j is nil, this entry has no job
// to place, and any want qualifies.
func (p *Pool) moreUrgentPeer(r *placementRound, j *jobState) *peer {
	if r.lendingExhausted {
		return nil
	}
	peer := p.mostUrgentPeer()
	if peer == nil || j != nil && peer.firstKey()+p.lendMargin() >= j.orderKey {
		return nil
	}
	return peer
}

// worthSlowWorker reports whether to place the job's next task on the slow
// worker w: the task is expected to meet its deadline there, and the additional
// run time is less than this entry's queueServiceTime.
func (p *Pool) worthSlowWorker(w *worker, j *jobState) bool {
	estimate := j.tasks[j.nextTask()].estimate
	slowed := time.Duration(float64(estimate) * math.Exp(w.health.logRatio.mean-p.logRatio.mean))
	if !j.deadline.IsZero() && p.now.Add(slowed).After(j.deadline) {
		return false
	}
	return slowed-estimate < p.queueServiceTime()
}

// startTask places the job's next task on the worker. The job must not be in
// its queue.
func (p *Pool) startTask(j *jobState, w *worker) {
	i := j.nextTask()
	t := &j.tasks[i]
	j.queued = j.queued[:len(j.queued)-1]
	j.queuedWork -= t.work()
	j.attained += t.work()
	j.started = true
	p.queuedTasks--
	t.worker = w
	t.placedAt = p.now
	p.ask.stalledSince = p.now
	w.addUsage(t.demand, 1)
	if q := p.quotaByTeam[j.team]; q != nil {
		q.used += t.demand.Slots
	}
	p.workers.reindex(w)
	p.actions = append(p.actions, Place{Task: contract.TaskID{Job: j.id, Index: i}, Worker: w.Ref})
}

// reserveWorker reserves the worker with the most free slots, of those whose
// capacity fits the demand, for a task that takes several slots. The reserved
// worker gets no other task in this round, so that its free slots add up over
// time. One worker is reserved at a time.
func (p *Pool) reserveWorker(r *placementRound, d contract.Demand) {
	if r.reserved != nil || d.Slots < 2 {
		return
	}
	var best *worker
	for t := range tierProbation {
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
	r.reservedFor = d
}

// lateSafetyFactor multiplies the time that a job would take with all slots of
// the pool, before it is compared with the time left until its deadline.
const lateSafetyFactor = 1.5

// cannotMeetDeadline reports whether a queued job of which no task has been
// placed can no longer meet its deadline, even with all slots of the pool. It
// reports false in the step in which the job is admitted.
func (p *Pool) cannotMeetDeadline(j *jobState) bool {
	if j.started || j.deadline.IsZero() || p.now.Equal(j.admitted) {
		return false
	}
	minServiceTime := max(j.tasks[j.nextTask()].estimate, time.Duration(float64(j.remaining)/float64(p.totalSlots())))
	return p.now.Add(time.Duration(lateSafetyFactor * float64(minServiceTime))).After(j.deadline)
}

// refuseLate refuses a queued job that can no longer meet its deadline.
func (p *Pool) refuseLate(j *jobState) {
	err := contract.ErrOverload.WithRetryAfter(p.retryAfter(0), "the job waited until its deadline could not be met")
	p.actions = append(p.actions, Refuse{Job: j.id, Err: err})
	p.closeJob(j)
}

// serviceRate returns the number of slots with which this entry can expect to
// serve its queue: the largest of its measured throughput, its credits, and its
// part of an even split of the pool's slots between this entry and the peers
// that want credits now.
func (p *Pool) serviceRate() float64 {
	sharers := 1
	for _, q := range p.peers {
		if q.wantsCredits(p.now) {
			sharers++
		}
	}
	share := float64(p.totalSlots()) / float64(sharers)
	return max(p.throughput.rate, float64(p.workers.credits), share)
}

// totalSlots returns the number of slots of all linked workers, but at least 1.
func (p *Pool) totalSlots() int {
	total := 0
	for _, g := range p.workers.groups {
		total += g.linked * g.capacity.Slots
	}
	return max(1, total)
}

// minRetryAfter is the minimum retry delay given to a refused caller.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the retry delay for a refused caller: the time to serve
// the excess work, or all queued work if excess is zero, at the measured
// throughput if there is one and at the service rate otherwise.
func (p *Pool) retryAfter(excess time.Duration) time.Duration {
	rate := p.throughput.rate
	if rate <= 0 {
		rate = p.serviceRate()
	}
	if excess <= 0 {
		var queued int64
		p.eachQueue(func(q *jobQueue) { queued += q.work() })
		excess = time.Duration(queued)
	}
	return max(minRetryAfter, time.Duration(float64(excess)/rate))
}

// workerRef returns the reference to a worker that a message identifies by host
// ID and incarnation.
func workerRef(id contract.HostID, incarnation contract.Incarnation) host.Ref {
	return host.Ref{Host: id, Incarnation: incarnation}
}
