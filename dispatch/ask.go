package dispatch

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// ownTime returns how long this entry would take to serve its queue with the
// credits that it has.
func (p *Pool) ownTime() time.Duration {
	var queued int64
	p.eachQueue(func(q *jobQueue) { queued += q.work() })
	return time.Duration(queued / int64(max(1, p.workers.allot)))
}

// wants returns what this entry lacks, in equal parts for each peer.
func (p *Pool) wants() []contract.CreditWant {
	var out []contract.CreditWant
	total := 0
	add := func(j *jobState) bool {
		n := len(j.queued) * j.demand(j.nextTask()).Slots
		total += n
		n = (n + len(p.peers) - 1) / len(p.peers)
		if len(out) < maxWants {
			out = append(out, contract.CreditWant{Key: j.key, Slots: n})
			return true
		}
		out[len(out)-1].Slots += n
		return total < contract.MaxTasks
	}
	p.queue.walk(add)
	for _, q := range p.quotas {
		if first := q.queue.first(); first != nil && q.idle() >= first.demand(first.nextTask()).Slots {
			q.queue.walk(add)
		}
	}
	slices.SortStableFunc(out, func(a, b contract.CreditWant) int {
		if a.Key < b.Key {
			return -1
		}
		if a.Key > b.Key {
			return 1
		}
		return 0
	})
	return out
}

// maybeAsk asks the peers for credits where work waits for slots, unless what
// was asked before still says it.
func (p *Pool) maybeAsk() {
	if p.waiting == 0 || len(p.peers) == 0 {
		p.ask.open = false
		p.ask.since = time.Time{}
		return
	}
	if p.ask.since.IsZero() {
		p.ask.since = p.now
	}
	if p.ask.gather.Slots < 2 && p.workers.pickLoan() != nil && len(p.teamWants()) == 0 {
		return // slots are not what is lacking
	}
	life, due := p.askDue()
	if !due {
		return
	}
	key, slots := p.unmet()
	if p.ask.open && !p.asksMore(key, slots) {
		return
	}
	if next := p.ask.at.Add(p.askGap()); p.now.Before(next) {
		p.wake(next)
		return
	}
	p.sendAsk(key, slots, life)
}

// askDue reports whether to ask, with the life of the wants: where the queue
// would take long, where nothing has started for long, and where there is no credit.
func (p *Pool) askDue() (time.Duration, bool) {
	worth, patience := askWorth, askStuck
	if p.cfg.Profile == contract.ProfileMessages {
		worth, patience = askWorthMessages, askStuckMessages
	}
	life := p.ownTime()
	if life >= worth {
		return life, true
	}
	stuck := p.ask.since.Add(patience)
	if p.workers.allot > 0 && p.now.Before(stuck) {
		p.wake(stuck)
		return 0, false
	}
	return max(life, patience), true
}

// renewAt returns when the ask has lost its force.
func (a *askState) renewAt() time.Time {
	return a.at.Add(time.Duration(renewShare * float64(min(a.life, maxLife))))
}

func (p *Pool) asksMore(key int64, slots int) bool {
	if !p.now.Before(p.ask.renewAt()) {
		return true
	}
	return key < p.ask.key-p.margin() || float64(slots) > wantGrowth*float64(max(0, p.ask.slots))+wantStep
}

// unmet returns the first key and the number of tasks that wait.
func (p *Pool) unmet() (int64, int) {
	var first *jobState
	p.eachQueue(func(q *jobQueue) {
		if j := q.first(); j != nil && (first == nil || j.before(first)) {
			first = j
		}
	})
	if first == nil {
		return 0, 0
	}
	return first.key, p.waiting
}

func (p *Pool) sendAsk(key int64, slots int, life time.Duration) {
	ask := &contract.CreditAsk{Pool: p.cfg.Name, Wants: p.wants(), Life: life, Teams: p.teamWants()}
	if w := p.ask.reserved; w != nil {
		ask.Worker = w.Host
		ask.Incarnation = w.Incarnation
	}
	if len(ask.Wants) == 0 && len(ask.Teams) == 0 {
		return
	}
	p.ask.at = p.now
	p.ask.key = key
	p.ask.slots = slots
	p.ask.open = true
	p.ask.life = life
	p.wake(p.ask.renewAt())
	for _, q := range p.peers {
		if !p.inVain(q, key) {
			p.tell(q.id, ask)
		}
	}
}

// inVain reports whether the peer is known to want credits for jobs that come
// before key, so that it has none to lend.
func (p *Pool) inVain(q *peer, key int64) bool { return q.due(p.now) && q.key() <= key }
