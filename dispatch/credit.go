package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// maxWants bounds the jobs that an ask names one by one.
	maxWants = 8
	// wantLife is how long a peer's wants count.
	wantLife = time.Second
	// askRenew is how long an ask stands before it is sent again.
	askRenew = 900 * time.Millisecond
	// askGap is the least time between two asks for each profile.
	askGap         = 2 * time.Millisecond
	askGapMessages = 20 * time.Millisecond
	// tradeMargin is by how much a peer's job must come before one's own for a
	// credit to be lent, for each profile.
	tradeMargin         = 20 * time.Millisecond
	tradeMarginMessages = 500 * time.Millisecond
	// wantGrowth and wantStep say by how much want must grow, as a factor and
	// in slots, for a new ask.
	wantGrowth = 1.5
	wantStep   = 4
)

// peer is another entry and what it wants.
type peer struct {
	id     contract.HostID
	wants  []contract.CreditWant
	worker *worker // gathers slots for one task there; nil otherwise
	expiry time.Time
}

func (p *peer) key() int64 { return p.wants[0].Key }

// askState is what this entry asked of its peers last.
type askState struct {
	at       time.Time
	key      int64
	slots    int
	open     bool
	reserved *worker
	gather   contract.Demand
}

func (p *Pool) margin() int64 {
	if p.cfg.Profile == contract.ProfileMessages {
		return int64(tradeMarginMessages)
	}
	return int64(tradeMargin)
}

func (p *Pool) askGap() time.Duration {
	if p.cfg.Profile == contract.ProfileMessages {
		return askGapMessages
	}
	return askGap
}

// setPeers takes the entries that are linked now and splits quotas anew.
func (p *Pool) setPeers(ev Peers) {
	old := p.peers
	p.self = ev.Self
	p.peers = nil
	for _, id := range ev.Peers {
		i := slices.IndexFunc(old, func(o *peer) bool { return o.id == id })
		if i >= 0 {
			p.peers = append(p.peers, old[i])
			continue
		}
		p.peers = append(p.peers, &peer{id: id})
	}
	slices.SortFunc(p.peers, func(a, b *peer) int { return strings.Compare(string(a.id), string(b.id)) })
	p.ask.open = false
	p.splitQuotas()
}

func (p *Pool) peer(id contract.HostID) *peer {
	for _, q := range p.peers {
		if q.id == id {
			return q
		}
	}
	return nil
}

// granted takes an agent's grant. A new epoch replaces all credits.
func (p *Pool) granted(ev CreditGranted) {
	w := p.workers.byRef[ev.Worker]
	if w == nil || !w.linked || ev.Epoch < w.epoch {
		return
	}
	p.workers.detach(w)
	if ev.Epoch == w.epoch {
		w.allot += max(0, ev.Slots-w.granted)
	} else {
		w.allot = ev.Slots
		if w.earlyEpoch == ev.Epoch {
			w.allot += w.early
		}
		w.early = 0
	}
	w.epoch = ev.Epoch
	w.granted = ev.Slots
	p.workers.attach(w)
}

// lent takes a peer's loan.
func (p *Pool) lent(ev CreditLent) {
	for _, c := range ev.Lend.Credits {
		w := p.workers.byRef[refOf(c.Worker, c.Incarnation)]
		if w == nil || c.Slots <= 0 || c.Epoch < w.epoch {
			continue
		}
		if c.Epoch > w.epoch {
			if w.earlyEpoch != c.Epoch {
				w.early = 0
			}
			w.earlyEpoch = c.Epoch
			w.early += c.Slots
			continue
		}
		p.workers.detach(w)
		w.allot += c.Slots
		p.workers.attach(w)
		p.ask.slots -= c.Slots
	}
	p.takeQuota(ev.Lend)
	if q := p.peer(ev.From); q != nil && len(ev.Lend.Wants) > 0 {
		q.wants = ev.Lend.Wants
		q.expiry = p.now.Add(wantLife)
	}
}

// asked takes a peer's wants, and answers those of quota.
func (p *Pool) asked(ev CreditAsked) {
	q := p.peer(ev.From)
	if q == nil {
		return
	}
	q.wants = slices.Clone(ev.Ask.Wants)
	q.worker = nil
	if ev.Ask.Worker != "" {
		q.worker = p.workers.byRef[refOf(ev.Ask.Worker, ev.Ask.Incarnation)]
	}
	q.expiry = p.now.Add(wantLife)
	if teams := p.lendQuota(ev.Ask.Teams); len(teams) > 0 {
		p.tell(q.id, &contract.CreditLend{Pool: p.cfg.Name, Members: p.digest, Teams: teams})
	}
}

// bestWant returns the peer whose want comes first, or nil.
func (p *Pool) bestWant() *peer {
	var best *peer
	for _, q := range p.peers {
		if len(q.wants) == 0 {
			continue
		}
		if p.now.After(q.expiry) {
			q.wants = nil
			continue
		}
		if best == nil || q.key() < best.key() {
			best = q
		}
	}
	return best
}

// lendOne moves one free slot to the peer, and reports false where there is
// none that it can use.
func (p *Pool) lendOne(r *round, to *peer) bool {
	w := to.worker
	if w == nil {
		w = p.workers.pickLoan()
	} else if w.pos < 0 || w.free == 0 {
		w = nil
	}
	if w == nil || w.health.state != healthy {
		return false
	}
	p.workers.detach(w)
	w.allot--
	p.workers.attach(w)
	p.addLoan(r, to, w)
	to.wants[0].Slots--
	if to.wants[0].Slots <= 0 {
		to.wants = to.wants[1:]
	}
	return true
}

func (p *Pool) addLoan(r *round, to *peer, w *worker) {
	if r.loans == nil {
		r.loans = make(map[*peer]*contract.CreditLend)
	}
	l := r.loans[to]
	if l == nil {
		l = &contract.CreditLend{Pool: p.cfg.Name}
		r.loans[to] = l
	}
	for i := range l.Credits {
		if l.Credits[i].Worker == w.Host && l.Credits[i].Incarnation == w.Incarnation {
			l.Credits[i].Slots++
			return
		}
	}
	l.Credits = append(l.Credits, contract.WorkerCredit{Worker: w.Host, Incarnation: w.Incarnation, Epoch: w.epoch, Slots: 1})
}

// sendLoans sends what the round lent, with this entry's own wants.
func (p *Pool) sendLoans(r *round) {
	if len(r.loans) == 0 {
		return
	}
	wants, _ := p.wants()
	for _, q := range p.peers {
		if l := r.loans[q]; l != nil {
			l.Wants = wants
			p.tell(q.id, l)
		}
	}
}

// wants returns what this entry lacks, and the sum of it.
func (p *Pool) wants() ([]contract.CreditWant, int) {
	var out []contract.CreditWant
	total := 0
	add := func(j *jobState) bool {
		n := len(j.queued) * j.demand(j.nextTask()).Slots
		total += n
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
	return out, total
}

// maybeAsk asks the peers for credits where work waits for slots, unless what
// was asked before still says it.
func (p *Pool) maybeAsk() {
	if p.waiting == 0 || len(p.peers) == 0 {
		p.ask.open = false
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
	p.sendAsk(key, slots)
}

func (p *Pool) asksMore(key int64, slots int) bool {
	if p.now.Sub(p.ask.at) >= askRenew {
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

func (p *Pool) sendAsk(key int64, slots int) {
	wants, _ := p.wants()
	ask := &contract.CreditAsk{Pool: p.cfg.Name, Wants: wants, Teams: p.teamWants()}
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
	p.wake(p.now.Add(askRenew))
	p.tellPeers(ask)
}

func (p *Pool) tellPeers(m contract.Message) {
	for _, q := range p.peers {
		p.tell(q.id, m)
	}
}

func (p *Pool) tell(to contract.HostID, m contract.Message) {
	p.out = append(p.out, Tell{To: to, Message: m})
}
