package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

type healthState uint8

const (
	healthy healthState = iota
	// onTrial workers run one task of this entry at a time, and only what no
	// other worker has room for.
	onTrial
	// ejected workers run nothing.
	ejected
)

// health is what is known of one worker's failures and speed.
type health struct {
	state  healthState
	streak int // failures in a row
	// failedAt is when the streak began: a success of a task that was started
	// before says nothing.
	failedAt time.Time
	until    time.Time
	// prober says that this entry ejected the worker on what it saw itself, and
	// probes it.
	prober bool
	// backoff is how long the last ejection lasts.
	backoff time.Duration
	ratio   average // logarithm of actual over expected run time
	slow    bool
	held    bool // until holdEnd, since a start could not be sent
	holdEnd time.Time
}

const (
	// chanceOfEjection is how likely a worker may be ejected that fails no
	// more often than its pool.
	chanceOfEjection = 1e-4
	// minFailureRate and maxFailureRate bound the pool's failure rate as used
	// for comparison.
	minFailureRate = 0.01
	maxFailureRate = 0.9
	// failureWeight is the weight of one result in the pool's failure rate.
	failureWeight = 1.0 / 256
	// firstEjection and maxEjection bound how long an ejection lasts; it
	// doubles each time that a probe fails.
	firstEjection = 10 * time.Second
	maxEjection   = 5 * time.Minute
	// peerFactor is how much longer an entry waits that a peer told of the
	// ejection: the peer probes first.
	peerFactor = 3
	// ejectShare is the largest share of the pool's workers that may be
	// ejected, as its reciprocal; one may where another is left.
	ejectShare = 5
	// slowRatio and recoveredRatio are how many times slower than the pool a
	// worker is when it is taken last, and first again.
	slowRatio      = 2.0
	recoveredRatio = 1.5
	// slowSamples is the least number of results before a worker is judged.
	slowSamples = 8
	// holdTime is how long a worker is left alone after a start came back.
	holdTime = 50 * time.Millisecond
)

// streakLimit returns how many failures in a row a worker of a pool with the
// failure rate has only by a small chance.
func streakLimit(rate float64) int {
	rate = min(max(rate, minFailureRate), maxFailureRate)
	return int(math.Ceil(math.Log(chanceOfEjection) / math.Log(rate)))
}

// judge takes one result of w, of a task that was placed at the given time.
func (p *Pool) judge(w *worker, j *jobState, placed time.Time, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	p.failureRate += failureWeight * (x - p.failureRate)
	if !failed {
		if placed.After(w.health.failedAt) {
			p.recover(w)
		}
		return
	}
	if !p.blames(w, j) {
		return
	}
	if w.health.streak == 0 {
		w.health.failedAt = p.now
	}
	w.health.streak++
	limit := streakLimit(p.failureRate)
	switch {
	case w.health.streak >= limit && p.mayEject(w):
		p.eject(w, 1)
		w.health.prober = true
	case w.health.streak >= max(1, limit/2) && w.health.state == healthy:
		w.health.state = onTrial
	default:
		return
	}
	p.tellPeers(p.suspect(w))
}

// blames reports whether a failure of the job counts against w. One job counts
// once against one worker, and a job that failed on two counts against none.
func (p *Pool) blames(w *worker, j *jobState) bool {
	switch {
	case j.failedOn == nil:
		j.failedOn = w
		return true
	case j.failedOn != w && !j.cleared:
		j.cleared = true
		if first := j.failedOn; first.health.streak > 0 && first.health.state != ejected {
			first.health.streak--
		}
	}
	return false
}

func (p *Pool) mayEject(w *worker) bool {
	if w.health.state == ejected {
		return false
	}
	most := max(1, p.linked/ejectShare)
	return len(p.ejected) < min(most, p.linked-1)
}

func (p *Pool) eject(w *worker, factor time.Duration) {
	h := &w.health
	h.state = ejected
	h.backoff = min(max(2*h.backoff, firstEjection), maxEjection)
	h.until = p.now.Add(factor * h.backoff)
	p.ejected = append(p.ejected, w)
	p.wake(h.until)
}

func (p *Pool) recover(w *worker) {
	h := &w.health
	if h.streak == 0 && h.state == healthy {
		return
	}
	told := h.state != healthy
	h.streak = 0
	h.backoff = 0
	if h.state == ejected {
		p.unlistEjected(w)
	}
	h.state = healthy
	if told {
		p.tellPeers(p.suspect(w))
	}
}

func (p *Pool) unlistEjected(w *worker) {
	for i, e := range p.ejected {
		if e == w {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			return
		}
	}
}

func (p *Pool) suspect(w *worker) *contract.WorkerSuspect {
	return &contract.WorkerSuspect{
		Pool:        p.cfg.Name,
		Worker:      w.Host,
		Incarnation: w.Incarnation,
		Failures:    w.health.streak,
		Ejected:     w.health.state == ejected,
	}
}

// suspected takes a peer's report.
func (p *Pool) suspected(from contract.HostID, s *contract.WorkerSuspect) {
	w := p.workers.byRef[host.Ref{Host: s.Worker, Incarnation: s.Incarnation}]
	if w == nil {
		return
	}
	p.workers.detach(w)
	defer p.workers.attach(w)
	h := &w.health
	if h.streak == 0 {
		h.failedAt = p.now
	}
	switch {
	case s.Failures <= 0:
		if h.state == ejected {
			p.unlistEjected(w)
		}
		h.state = healthy
		h.streak = 0
		h.backoff = 0
	case s.Ejected && h.state == ejected:
		p.deferProbe(h, from)
	case s.Ejected && p.mayEject(w):
		h.streak = max(h.streak, s.Failures)
		p.eject(w, peerFactor)
		h.prober = false
	case h.state == healthy:
		h.streak = max(h.streak, s.Failures)
		h.state = onTrial
	}
}

// deferProbe leaves the probe of an ejected worker to a peer that has ejected
// it too; of two that saw it fail, the one with the lower ID probes.
func (p *Pool) deferProbe(h *health, peer contract.HostID) {
	if h.prober && p.self < peer {
		return
	}
	h.prober = false
	if later := p.now.Add(peerFactor * h.backoff); later.After(h.until) {
		h.backoff = min(2*h.backoff, maxEjection)
		h.until = later
	}
}

// endEjections lets each worker whose ejection is over run one task.
func (p *Pool) endEjections() {
	p.ejected = p.keep(p.ejected, func(w *worker) time.Time { return w.health.until }, func(w *worker) { w.health.state = onTrial })
}

// probeLast ends the ejection that would end first where no other worker is
// left.
func (p *Pool) probeLast() {
	var first *worker
	linked := 0
	for _, w := range p.ejected {
		if !w.linked {
			continue
		}
		linked++
		if first == nil || w.health.until.Before(first.health.until) {
			first = w
		}
	}
	if first == nil || linked < p.linked {
		return
	}
	first.health.until = p.now
	p.endEjections()
}

// keep returns the workers whose time has not come, and ends it for the others.
func (p *Pool) keep(ws []*worker, until func(*worker) time.Time, end func(*worker)) []*worker {
	kept := ws[:0]
	for _, w := range ws {
		if t := until(w); p.now.Before(t) {
			p.wake(t)
			kept = append(kept, w)
			continue
		}
		end(w)
		p.workers.changed(w)
	}
	return kept
}

// measure compares a task's run time with what was expected.
func (p *Pool) measure(w *worker, expected, elapsed time.Duration) {
	if expected <= 0 || elapsed <= 0 {
		return
	}
	r := math.Log(elapsed.Seconds() / expected.Seconds())
	p.speed.add(r)
	h := &w.health
	h.ratio.add(r)
	if h.ratio.n < slowSamples {
		return
	}
	behind := h.ratio.mean - p.speed.mean
	if h.slow {
		h.slow = behind > math.Log(recoveredRatio)
		return
	}
	h.slow = behind > math.Log(slowRatio)
}

// hold leaves w alone for a short time.
func (p *Pool) hold(w *worker) {
	if !w.health.held {
		p.held = append(p.held, w)
	}
	w.health.held = true
	w.health.holdEnd = p.now.Add(holdTime)
	p.wake(w.health.holdEnd)
}

func (p *Pool) endHolds() {
	p.held = p.keep(p.held, func(w *worker) time.Time { return w.health.holdEnd }, func(w *worker) { w.health.held = false })
}
