package dispatch

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// queueServiceTime returns how long this entry would take to serve its queue
// with the credits that it has now.
func (p *Pool) queueServiceTime() time.Duration {
	var queued int64
	p.eachQueue(func(q *jobQueue) { queued += q.work() })
	return time.Duration(queued / int64(max(1, p.workers.credits)))
}

// creditWants returns the wants to send to each peer: the demand of this
// entry's queued jobs, divided by the number of peers and sorted by key. If
// there are more than maxWants jobs, the last want also covers further jobs,
// until the total demand reaches contract.MaxTasks slots. Jobs of a team whose
// quota share is used up are left out, since credits don't help them.
func (p *Pool) creditWants() []contract.CreditWant {
	var wants []contract.CreditWant
	total := 0
	add := func(j *jobState) bool {
		n := len(j.queued) * j.demand(j.nextTask()).Slots
		total += n
		n = (n + len(p.peers) - 1) / len(p.peers)
		if len(wants) < maxWants {
			wants = append(wants, contract.CreditWant{OrderKey: j.orderKey, Slots: n})
			return true
		}
		wants[len(wants)-1].Slots += n
		return total < contract.MaxTasks
	}
	p.queue.walk(add)
	for _, q := range p.teamQuotas {
		if first := q.queue.first(); first != nil && q.idleSlots() >= first.demand(first.nextTask()).Slots {
			q.queue.walk(add)
		}
	}
	slices.SortStableFunc(wants, func(a, b contract.CreditWant) int {
		if a.OrderKey < b.OrderKey {
			return -1
		}
		if a.OrderKey > b.OrderKey {
			return 1
		}
		return 0
	})
	return wants
}

// maybeAskForCredits sends the peers a CreditAsk if queued tasks wait for slots
// and the last CreditAsk doesn't cover them.
func (p *Pool) maybeAskForCredits() {
	if p.queuedTasks == 0 || len(p.peers) == 0 {
		p.ask.pending = false
		p.ask.stalledSince = time.Time{}
		return
	}
	if p.ask.stalledSince.IsZero() {
		p.ask.stalledSince = p.now
	}
	if p.ask.reservedFor.Slots < 2 && p.workers.pickForLoan() != nil && len(p.quotaWants()) == 0 {
		return // the tasks wait for another resource, since slots are free
	}
	life, ok := p.shouldAsk()
	if !ok {
		return
	}
	key, tasks := p.queuedDemand()
	if p.ask.pending && !p.needsNewAsk(key, tasks) {
		return
	}
	if next := p.ask.sentAt.Add(p.minAskInterval()); p.now.Before(next) {
		p.scheduleWake(next)
		return
	}
	p.sendAsk(key, tasks, life)
}

// shouldAsk reports whether to ask for credits, and the life of the wants. The
// entry asks if its queueServiceTime is at least askMinQueueTime, if no task has
// started for askStallTime, or if it has no credits at all.
func (p *Pool) shouldAsk() (time.Duration, bool) {
	minQueueTime, stallTime := askMinQueueTime, askStallTime
	if p.cfg.Profile == contract.ProfileMessages {
		minQueueTime, stallTime = askMinQueueTimeMessages, askStallTimeMessages
	}
	life := p.queueServiceTime()
	if life >= minQueueTime {
		return life, true
	}
	stalledAt := p.ask.stalledSince.Add(stallTime)
	if p.workers.credits > 0 && p.now.Before(stalledAt) {
		p.scheduleWake(stalledAt)
		return 0, false
	}
	return max(life, stallTime), true
}

// renewAt returns when the last CreditAsk must be sent again because the peers
// ignore its wants from then on.
func (a *askState) renewAt() time.Time {
	return a.sentAt.Add(time.Duration(renewFraction * float64(min(a.life, maxWantsLife))))
}

// needsNewAsk reports whether the last CreditAsk doesn't cover the given
// demand: it is due for renewal, the first job's order key is lower by more than
// the lend margin, or the number of queued tasks has grown beyond
// askGrowthFactor and askGrowthTasks.
func (p *Pool) needsNewAsk(key int64, tasks int) bool {
	if !p.now.Before(p.ask.renewAt()) {
		return true
	}
	return key < p.ask.key-p.lendMargin() || float64(tasks) > askGrowthFactor*float64(max(0, p.ask.unmetTasks))+askGrowthTasks
}

// queuedDemand returns the lowest order key of the queued jobs and the number of
// queued tasks, or zeros if no job is queued.
func (p *Pool) queuedDemand() (int64, int) {
	var first *jobState
	p.eachQueue(func(q *jobQueue) {
		if j := q.first(); j != nil && (first == nil || j.before(first)) {
			first = j
		}
	})
	if first == nil {
		return 0, 0
	}
	return first.orderKey, p.queuedTasks
}

// sendAsk sends a CreditAsk to all peers that may have credits to lend.
func (p *Pool) sendAsk(key int64, tasks int, life time.Duration) {
	ask := &contract.CreditAsk{Pool: p.cfg.Name, Wants: p.creditWants(), WantsLife: life, QuotaWants: p.quotaWants()}
	if w := p.ask.reserved; w != nil {
		ask.Worker = w.Host
		ask.Incarnation = w.Incarnation
	}
	if len(ask.Wants) == 0 && len(ask.QuotaWants) == 0 {
		return
	}
	p.ask.sentAt = p.now
	p.ask.key = key
	p.ask.unmetTasks = tasks
	p.ask.pending = true
	p.ask.life = life
	p.scheduleWake(p.ask.renewAt())
	for _, q := range p.peers {
		if !p.wantsMoreUrgently(q, key) {
			p.send(q.id, ask)
		}
	}
}

// wantsMoreUrgently reports whether the peer is known to want credits for jobs
// with an order key of at most key. Such a peer has none to lend.
func (p *Pool) wantsMoreUrgently(q *peer, key int64) bool {
	return q.wantsCredits(p.now) && q.firstKey() <= key
}
