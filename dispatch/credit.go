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
	// maxLife bounds how long a peer's wants count.
	maxLife = 3 * time.Second
	// renewShare is the part of its life after which an ask is sent again.
	renewShare = 0.5
	// askWorth is the least time that the entry would take to serve its queue
	// alone for it to ask, for each profile.
	askWorth         = 800 * time.Millisecond
	askWorthMessages = 1200 * time.Millisecond
	// askStuck is how long nothing may start while work waits before the entry
	// asks, for each profile.
	askStuck         = 150 * time.Millisecond
	askStuckMessages = 200 * time.Millisecond
	// askGap is the least time between two asks for each profile.
	askGap         = 2 * time.Millisecond
	askGapMessages = 20 * time.Millisecond
	// tradeMargin is by how much a peer's job must come before one's own for a
	// credit to be lent, for each profile.
	tradeMargin         = 3 * time.Second
	tradeMarginMessages = 4 * time.Second
	// lendBatch is how many idle credits are lent at once, and lendDelay how
	// long the first waits for the others, for each profile.
	lendBatch         = 8
	lendDelay         = 30 * time.Millisecond
	lendDelayMessages = 100 * time.Millisecond
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
	at     time.Time
	life   time.Duration
	slots  int // wanted in all, less what was lent
	asked  int // wanted in all at first
}

// want takes the peer's wants in place of those before.
func (p *peer) want(now time.Time, wants []contract.CreditWant, life time.Duration) {
	p.wants = slices.Clone(wants)
	p.at = now
	p.life = min(life, maxLife)
	p.asked = 0
	for _, w := range wants {
		p.asked += w.Slots
	}
	p.slots = p.asked
}

// due reports whether the peer still lacks credits. It serves its wants itself
// meanwhile, so that they shrink evenly over their life.
func (p *peer) due(now time.Time) bool {
	if len(p.wants) == 0 {
		return false
	}
	served := float64(p.asked) * float64(now.Sub(p.at)) / (renewShare * float64(max(p.life, 1)))
	if float64(p.slots) > served {
		return true
	}
	p.wants = nil
	return false
}

func (p *peer) key() int64 { return p.wants[0].Key }

// askState is what this entry asked of its peers last.
type askState struct {
	at       time.Time
	since    time.Time // since when work has been waiting without a start
	key      int64
	slots    int
	life     time.Duration
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
		q.want(p.now, ev.Lend.Wants, ev.Lend.Life)
	}
}

// asked takes a peer's wants, and answers those of quota.
func (p *Pool) asked(ev CreditAsked) {
	q := p.peer(ev.From)
	if q == nil {
		return
	}
	q.want(p.now, ev.Ask.Wants, ev.Ask.Life)
	q.worker = nil
	if ev.Ask.Worker != "" {
		q.worker = p.workers.byRef[refOf(ev.Ask.Worker, ev.Ask.Incarnation)]
	}
	if teams := p.lendQuota(ev.Ask.Teams); len(teams) > 0 {
		p.tell(q.id, &contract.CreditLend{Pool: p.cfg.Name, Members: p.digest, Teams: teams})
	}
}

// bestWant returns the peer whose want comes first, or nil.
func (p *Pool) bestWant() *peer {
	var best *peer
	for _, q := range p.peers {
		if !q.due(p.now) {
			continue
		}
		if best == nil || q.key() < best.key() {
			best = q
		}
	}
	return best
}

// gathers reports whether idle credits wait for others to be lent together.
func (p *Pool) gathers() bool {
	if p.workers.free >= lendBatch {
		p.idleSince = time.Time{}
		return false
	}
	delay := lendDelay
	if p.cfg.Profile == contract.ProfileMessages {
		delay = lendDelayMessages
	}
	if p.idleSince.IsZero() {
		p.idleSince = p.now
	}
	due := p.idleSince.Add(delay)
	if p.now.Before(due) {
		p.wake(due)
		return true
	}
	p.idleSince = time.Time{}
	return false
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
	to.slots--
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
	var wants []contract.CreditWant
	life := p.ownTime()
	if life >= askWorth {
		wants = p.wants()
	}
	for _, q := range p.peers {
		if l := r.loans[q]; l != nil {
			l.Wants = wants
			l.Life = life
			p.tell(q.id, l)
		}
	}
}

func (p *Pool) tellPeers(m contract.Message) {
	for _, q := range p.peers {
		p.tell(q.id, m)
	}
}

func (p *Pool) tell(to contract.HostID, m contract.Message) {
	p.out = append(p.out, Tell{To: to, Message: m})
}
