package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// healthState is the state of a worker's outlier ejection at this entry.
type healthState uint8

const (
	// healthy is the state of a worker without a long streak of failures.
	healthy healthState = iota
	// onProbation is the state of a worker that may have at most one slot in
	// use by this entry, and gets a task only if no other worker fits it.
	onProbation
	// ejected is the state of a worker that gets no tasks.
	ejected
)

// health holds what this entry knows of one worker's failures and speed.
type health struct {
	state         healthState
	failureStreak int // consecutive failures
	// streakStart is the time of the first failure of the streak. The success
	// of a task that was placed earlier doesn't end the streak, since it shows
	// nothing about the worker after that failure.
	streakStart  time.Time
	ejectedUntil time.Time
	// probes is set if this entry ejected the worker because of failures that it
	// observed itself, and will probe it once the ejection has expired.
	probes bool
	// ejectionTime is the length of an ejection, without peerEjectionFactor. It
	// doubles with each further ejection or extension, and is zero after a
	// recovery.
	ejectionTime time.Duration
	logRatio     movingAverage // logarithm of actual over estimated run time
	slow         bool
	backingOff   bool // until backoffUntil, after a placed task did not start
	backoffUntil time.Time
}

const (
	// falseEjectionProbability is the accepted probability of ejecting a worker
	// that fails no more often than the average of its pool.
	falseEjectionProbability = 1e-4
	// minFailureRate and maxFailureRate bound the pool's failure rate in
	// streakLimit.
	minFailureRate = 0.01
	maxFailureRate = 0.9
	// failureRateWeight is the weight of one result in the pool's failure rate.
	failureRateWeight = 1.0 / 256
	// minEjectionTime and maxEjectionTime bound health.ejectionTime, which
	// doubles each time that a probe fails.
	minEjectionTime = 10 * time.Second
	maxEjectionTime = 5 * time.Minute
	// peerEjectionFactor multiplies the length of an ejection that a peer
	// reported, so that the peer probes the worker first.
	peerEjectionFactor = 3
	// workersPerEjection limits the ejected workers to one for every
	// workersPerEjection linked workers. One worker may always be ejected if
	// another one is linked.
	workersPerEjection = 5
	// A worker is classified as slow once its tasks, relative to their
	// estimates, take on average more than slowRatio times as long as those of
	// the whole pool, and remains so until they take at most recoveredRatio
	// times as long.
	slowRatio      = 2.0
	recoveredRatio = 1.5
	// minSlowSamples is the number of run times that are needed to tell whether
	// a worker is slow.
	minSlowSamples = 8
	// startBackoff is how long a worker gets no tasks after a placed task did
	// not start there.
	startBackoff = 50 * time.Millisecond
)

// streakLimit returns the number of consecutive failures that a worker with the
// given failure rate reaches with a probability of at most
// falseEjectionProbability.
func streakLimit(rate float64) int {
	rate = min(max(rate, minFailureRate), maxFailureRate)
	return int(math.Ceil(math.Log(falseEjectionProbability) / math.Log(rate)))
}

// recordResult updates w's health with the result of a task of j that was
// placed at the given time.
func (p *Pool) recordResult(w *worker, j *jobState, placedAt time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	p.failureRate += failureRateWeight * (sample - p.failureRate)
	if !failed {
		if placedAt.After(w.health.streakStart) {
			p.recover(w)
		}
		return
	}
	if !p.attributeFailure(w, j) {
		return
	}
	if w.health.failureStreak == 0 {
		w.health.streakStart = p.now
	}
	w.health.failureStreak++
	limit := streakLimit(p.failureRate)
	switch {
	case w.health.failureStreak >= limit && p.canEject(w):
		p.eject(w, 1)
		w.health.probes = true
	case w.health.failureStreak >= max(1, limit/2) && w.health.state == healthy:
		w.health.state = onProbation
	default:
		return
	}
	p.sendToPeers(p.suspectReport(w))
}

// attributeFailure records a failure of the job's task on w and reports whether
// it counts against w. Each job counts at most once, against the first worker on
// which it failed. Once it has failed on a second worker, the job is assumed to
// be the cause: it counts against neither, and is subtracted from the first
// worker's failure streak unless that worker has been ejected by then.
func (p *Pool) attributeFailure(w *worker, j *jobState) bool {
	switch {
	case j.failedOn == nil:
		j.failedOn = w
		return true
	case j.failedOn != w && !j.failedOnSeveral:
		j.failedOnSeveral = true
		if first := j.failedOn; first.health.failureStreak > 0 && first.health.state != ejected {
			first.health.failureStreak--
		}
	}
	return false
}

// canEject reports whether w may be ejected: it is not ejected yet, and the
// limit given by workersPerEjection is not reached.
func (p *Pool) canEject(w *worker) bool {
	if w.health.state == ejected {
		return false
	}
	limit := max(1, p.linkedWorkers/workersPerEjection)
	return len(p.ejected) < min(limit, p.linkedWorkers-1)
}

// eject doubles w's ejection time, within minEjectionTime and maxEjectionTime,
// and ejects w for factor times that time.
func (p *Pool) eject(w *worker, factor time.Duration) {
	h := &w.health
	h.state = ejected
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = p.now.Add(factor * h.ejectionTime)
	p.ejected = append(p.ejected, w)
	p.scheduleWake(h.ejectedUntil)
}

// recover ends w's failure streak after a success. If w was not healthy, it
// reports the recovery to the peers.
func (p *Pool) recover(w *worker) {
	h := &w.health
	if h.failureStreak == 0 && h.state == healthy {
		return
	}
	reported := h.state != healthy
	h.failureStreak = 0
	h.ejectionTime = 0
	if h.state == ejected {
		p.removeEjected(w)
	}
	h.state = healthy
	if reported {
		p.sendToPeers(p.suspectReport(w))
	}
}

// removeEjected removes w from the list of ejected workers.
func (p *Pool) removeEjected(w *worker) {
	for i, e := range p.ejected {
		if e == w {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			return
		}
	}
}

// suspectReport returns the message that reports w's health to the peers.
func (p *Pool) suspectReport(w *worker) *contract.WorkerSuspect {
	return &contract.WorkerSuspect{
		Pool:        p.cfg.Name,
		Worker:      w.Host,
		Incarnation: w.Incarnation,
		Failures:    w.health.failureStreak,
		Ejected:     w.health.state == ejected,
	}
}

// workerSuspected applies a peer's report on a worker.
func (p *Pool) workerSuspected(from contract.HostID, s *contract.WorkerSuspect) {
	w := p.workers.byRef[host.Ref{Host: s.Worker, Incarnation: s.Incarnation}]
	if w == nil {
		return
	}
	p.workers.detach(w)
	defer p.workers.attach(w)
	h := &w.health
	if h.failureStreak == 0 {
		h.streakStart = p.now
	}
	switch {
	case s.Failures <= 0:
		if h.state == ejected {
			p.removeEjected(w)
		}
		h.state = healthy
		h.failureStreak = 0
		h.ejectionTime = 0
	case s.Ejected && h.state == ejected:
		p.deferProbe(h, from)
	case s.Ejected && p.canEject(w):
		h.failureStreak = max(h.failureStreak, s.Failures)
		p.eject(w, peerEjectionFactor)
		h.probes = false
	case h.state == healthy:
		h.failureStreak = max(h.failureStreak, s.Failures)
		h.state = onProbation
	}
}

// deferProbe extends the ejection of a worker that a peer has ejected too, so
// that the peer probes it first. If both entries ejected it because of failures
// that they observed themselves, the one with the lower ID probes it first.
func (p *Pool) deferProbe(h *health, peer contract.HostID) {
	if h.probes && p.self < peer {
		return
	}
	h.probes = false
	if extended := p.now.Add(peerEjectionFactor * h.ejectionTime); extended.After(h.ejectedUntil) {
		h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
		h.ejectedUntil = extended
	}
}

// endEjections puts each worker whose ejection has expired on probation; the
// next task that is placed on it is its probe.
func (p *Pool) endEjections() {
	p.ejected = p.expire(p.ejected, func(w *worker) time.Time { return w.health.ejectedUntil }, func(w *worker) { w.health.state = onProbation })
}

// probeIfAllEjected ends the ejection that expires first if all linked workers
// are ejected: the pool would otherwise start nothing until it expires.
func (p *Pool) probeIfAllEjected() {
	var first *worker
	linkedEjected := 0
	for _, w := range p.ejected {
		if !w.linked {
			continue
		}
		linkedEjected++
		if first == nil || w.health.ejectedUntil.Before(first.health.ejectedUntil) {
			first = w
		}
	}
	if first == nil || linkedEjected < p.linkedWorkers {
		return
	}
	first.health.ejectedUntil = p.now
	p.endEjections()
}

// expire calls end for each worker of ws for which the time returned by until
// has passed, and reindexes it. It schedules a wake for the other workers and
// returns them in a slice that reuses the memory of ws.
func (p *Pool) expire(ws []*worker, until func(*worker) time.Time, end func(*worker)) []*worker {
	unexpired := ws[:0]
	for _, w := range ws {
		if t := until(w); p.now.Before(t) {
			p.scheduleWake(t)
			unexpired = append(unexpired, w)
			continue
		}
		end(w)
		p.workers.reindex(w)
	}
	return unexpired
}

// recordRunTime compares a task's run time with its estimate, and updates
// whether w is slow.
func (p *Pool) recordRunTime(w *worker, estimate, elapsed time.Duration) {
	if estimate <= 0 || elapsed <= 0 {
		return
	}
	logRatio := math.Log(elapsed.Seconds() / estimate.Seconds())
	p.logRatio.add(logRatio)
	h := &w.health
	h.logRatio.add(logRatio)
	if h.logRatio.count < minSlowSamples {
		return
	}
	excess := h.logRatio.mean - p.logRatio.mean
	if h.slow {
		h.slow = excess > math.Log(recoveredRatio)
		return
	}
	h.slow = excess > math.Log(slowRatio)
}

// backOff makes w unusable for startBackoff. w must be detached from the index.
func (p *Pool) backOff(w *worker) {
	if !w.health.backingOff {
		p.backedOff = append(p.backedOff, w)
	}
	w.health.backingOff = true
	w.health.backoffUntil = p.now.Add(startBackoff)
	p.scheduleWake(w.health.backoffUntil)
}

// endBackoffs makes workers usable again whose start backoff has expired.
func (p *Pool) endBackoffs() {
	p.backedOff = p.expire(p.backedOff, func(w *worker) time.Time { return w.health.backoffUntil }, func(w *worker) { w.health.backingOff = false })
}
