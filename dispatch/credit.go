package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// maxWants bounds the number of wants in a CreditAsk, and thus the number of
	// jobs that it lists separately.
	maxWants = 8
	// maxWantsLife bounds the life of a peer's wants.
	maxWantsLife = 3 * time.Second
	// renewFraction is the fraction of the life of its wants after which a
	// CreditAsk is sent again. The receiver ignores the wants from then on.
	renewFraction = 0.5

	// Constants with the suffix Messages apply to contract.ProfileMessages,
	// those of the same name without it to the other profiles.

	// askMinQueueTime is the minimum queueServiceTime at which an entry asks for
	// credits.
	askMinQueueTime         = 800 * time.Millisecond
	askMinQueueTimeMessages = 1200 * time.Millisecond
	// askStallTime is how long tasks are queued without any start before an
	// entry asks for credits even if its queueServiceTime is short.
	askStallTime         = 150 * time.Millisecond
	askStallTimeMessages = 200 * time.Millisecond
	// askInterval is the minimum time between two CreditAsk messages.
	askInterval         = 2 * time.Millisecond
	askIntervalMessages = 20 * time.Millisecond
	// lendKeyMargin is the amount by which a want's order key must be below
	// that of the entry's own next job for the entry to lend a credit.
	lendKeyMargin         = 3 * time.Second
	lendKeyMarginMessages = 4 * time.Second
	// lendBatchSlots is the minimum number of idle credits that are lent without
	// delay. Fewer are lent only after lendDelay, so that credits that become
	// idle in the meantime can be lent in the same message.
	lendBatchSlots    = 8
	lendDelay         = 30 * time.Millisecond
	lendDelayMessages = 100 * time.Millisecond
	// askGrowthFactor and askGrowthTasks are the growth in queued tasks, by a
	// factor and an additional number, beyond which a CreditAsk is sent again.
	askGrowthFactor = 1.5
	askGrowthTasks  = 4
)

// peer is the state of another entry that serves the pool.
type peer struct {
	id         contract.HostID
	wants      []contract.CreditWant // sorted by key, less the slots lent since
	reserved   *worker               // the only worker whose credits are wanted; nil for any
	receivedAt time.Time             // when the wants were received
	life       time.Duration
	unmetSlots int // askedSlots less the slots lent since
	askedSlots int // the sum of the wants as received
}

// setWants replaces the peer's wants.
func (p *peer) setWants(now time.Time, wants []contract.CreditWant, life time.Duration) {
	p.wants = slices.Clone(wants)
	p.receivedAt = now
	p.life = min(life, maxWantsLife)
	p.askedSlots = 0
	for _, w := range wants {
		p.askedSlots += w.Slots
	}
	p.unmetSlots = p.askedSlots
}

// wantsCredits reports whether the peer still wants credits. In the meantime the
// peer serves its queue with its own credits, so its wants are assumed to shrink
// linearly to zero over renewFraction of their life.
func (p *peer) wantsCredits(now time.Time) bool {
	if len(p.wants) == 0 {
		return false
	}
	served := float64(p.askedSlots) * float64(now.Sub(p.receivedAt)) / (renewFraction * float64(max(p.life, 1)))
	if float64(p.unmetSlots) > served {
		return true
	}
	p.wants = nil
	return false
}

// firstKey returns the lowest order key of the peer's wants; there must be at
// least one.
func (p *peer) firstKey() int64 { return p.wants[0].OrderKey }

// askState holds the last CreditAsk of this entry and what determines the next.
type askState struct {
	sentAt       time.Time
	stalledSince time.Time // when tasks were first queued or last placed; zero if none are queued
	key          int64     // lowest order key when sent
	unmetTasks   int       // queued tasks when sent, less the slots received since
	life         time.Duration
	pending      bool            // sent, and neither queue empty nor peers changed since
	reserved     *worker         // as in the last placementRound
	reservedFor  contract.Demand // as in the last placementRound
}

// lendMargin returns the profile's lendKeyMargin in nanoseconds.
func (p *Pool) lendMargin() int64 {
	if p.cfg.Profile == contract.ProfileMessages {
		return int64(lendKeyMarginMessages)
	}
	return int64(lendKeyMargin)
}

// minAskInterval returns the profile's askInterval.
func (p *Pool) minAskInterval() time.Duration {
	if p.cfg.Profile == contract.ProfileMessages {
		return askIntervalMessages
	}
	return askInterval
}

// peersChanged replaces the list of peers and splits the quotas again.
func (p *Pool) peersChanged(ev PeersChanged) {
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
	p.ask.pending = false
	p.splitQuotas()
}

// peer returns the peer with the ID, or nil.
func (p *Pool) peer(id contract.HostID) *peer {
	for _, q := range p.peers {
		if q.id == id {
			return q
		}
	}
	return nil
}

// creditGranted applies an agent's grant. A grant under a new epoch voids all
// earlier credits of the worker; one under the current epoch can only add to
// them.
func (p *Pool) creditGranted(ev CreditGranted) {
	w := p.workers.byRef[ev.Worker]
	if w == nil || !w.linked || ev.Epoch < w.epoch {
		return
	}
	p.workers.detach(w)
	if ev.Epoch == w.epoch {
		w.credits += max(0, ev.Slots-w.granted)
	} else {
		w.credits = ev.Slots
		if w.pendingLoanEpoch == ev.Epoch {
			w.credits += w.pendingLoan
		}
		w.pendingLoan = 0
	}
	w.epoch = ev.Epoch
	w.granted = ev.Slots
	p.workers.attach(w)
}

// creditLent applies a peer's loan of credits and quota. Credits under an epoch
// before the last one granted to this entry are void, and those under a later
// one are kept until its grant arrives.
func (p *Pool) creditLent(ev CreditLent) {
	for _, c := range ev.Lend.Credits {
		w := p.workers.byRef[workerRef(c.Worker, c.Incarnation)]
		if w == nil || c.Slots <= 0 || c.Epoch < w.epoch {
			continue
		}
		if c.Epoch > w.epoch {
			if w.pendingLoanEpoch != c.Epoch {
				w.pendingLoan = 0
			}
			w.pendingLoanEpoch = c.Epoch
			w.pendingLoan += c.Slots
			continue
		}
		p.workers.detach(w)
		w.credits += c.Slots
		p.workers.attach(w)
		p.ask.unmetTasks -= c.Slots
	}
	p.acceptQuotaLoan(ev.Lend)
	if q := p.peer(ev.From); q != nil && len(ev.Lend.Wants) > 0 {
		q.setWants(p.now, ev.Lend.Wants, ev.Lend.WantsLife)
	}
}

// creditAsked records a peer's wants for credits, which placeTasks serves, and
// lends it the quota that it asks for, within the idle parts of this entry's
// shares.
func (p *Pool) creditAsked(ev CreditAsked) {
	q := p.peer(ev.From)
	if q == nil {
		return
	}
	q.setWants(p.now, ev.Ask.Wants, ev.Ask.WantsLife)
	q.reserved = nil
	if ev.Ask.Worker != "" {
		q.reserved = p.workers.byRef[workerRef(ev.Ask.Worker, ev.Ask.Incarnation)]
	}
	if loans := p.lendQuota(ev.Ask.QuotaWants); len(loans) > 0 {
		p.send(q.id, &contract.CreditLend{Pool: p.cfg.Name, EntriesDigest: p.entriesDigest, QuotaLoans: loans})
	}
}

// mostUrgentPeer returns the peer that wants credits with the lowest order key,
// or nil if none wants credits.
func (p *Pool) mostUrgentPeer() *peer {
	var best *peer
	for _, q := range p.peers {
		if !q.wantsCredits(p.now) {
			continue
		}
		if best == nil || q.firstKey() < best.firstKey() {
			best = q
		}
	}
	return best
}

// delaysLending reports whether to keep idle credits for now, so that more of
// them can be lent in one message.
func (p *Pool) delaysLending() bool {
	if p.workers.free >= lendBatchSlots {
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
	lendAt := p.idleSince.Add(delay)
	if p.now.Before(lendAt) {
		p.scheduleWake(lendAt)
		return true
	}
	p.idleSince = time.Time{}
	return false
}

// lendSlot moves the credit for one free slot to the peer's loan in r. It
// reports false if no free slot is suitable for the peer.
func (p *Pool) lendSlot(r *placementRound, to *peer) bool {
	w := to.reserved
	if w == nil {
		w = p.workers.pickForLoan()
	} else if w.heapIndex < 0 || w.free == 0 {
		w = nil
	}
	if w == nil || w.health.state != healthy {
		return false
	}
	p.workers.detach(w)
	w.credits--
	p.workers.attach(w)
	p.addLoan(r, to, w)
	to.unmetSlots--
	to.wants[0].Slots--
	if to.wants[0].Slots <= 0 {
		to.wants = to.wants[1:]
	}
	return true
}

// addLoan adds one slot of w to the peer's loan in r.
func (p *Pool) addLoan(r *placementRound, to *peer, w *worker) {
	if r.loans == nil {
		r.loans = make(map[*peer]*contract.CreditLend)
	}
	loan := r.loans[to]
	if loan == nil {
		loan = &contract.CreditLend{Pool: p.cfg.Name}
		r.loans[to] = loan
	}
	for i := range loan.Credits {
		if loan.Credits[i].Worker == w.Host && loan.Credits[i].Incarnation == w.Incarnation {
			loan.Credits[i].Slots++
			return
		}
	}
	loan.Credits = append(loan.Credits, contract.WorkerCredit{Worker: w.Host, Incarnation: w.Incarnation, Epoch: w.epoch, Slots: 1})
}

// sendLoans sends the loans of the round. If this entry's queueServiceTime is at
// least askMinQueueTime, whatever the profile, the loans also carry its own
// wants, which saves a CreditAsk.
func (p *Pool) sendLoans(r *placementRound) {
	if len(r.loans) == 0 {
		return
	}
	var wants []contract.CreditWant
	life := p.queueServiceTime()
	if life >= askMinQueueTime {
		wants = p.creditWants()
	}
	for _, q := range p.peers {
		if loan := r.loans[q]; loan != nil {
			loan.Wants = wants
			loan.WantsLife = life
			p.send(q.id, loan)
		}
	}
}

// sendToPeers sends a message to every peer.
func (p *Pool) sendToPeers(m contract.Message) {
	for _, q := range p.peers {
		p.send(q.id, m)
	}
}

// send sends a message to one peer.
func (p *Pool) send(to contract.HostID, m contract.Message) {
	p.actions = append(p.actions, SendMessage{To: to, Message: m})
}
