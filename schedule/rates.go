package schedule

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/quarantine"
)

// The rates of what the queues submit address bursts of one queue, which last for
// seconds: the usual rate tells which queue has caused a shortage, the recent one how
// much it asks for now.

const (
	// fastWindow, recentWindow and usualWindow are the time constants of a queue's
	// averages. The fast one tells within some 100 ms that a spike is over; the usual
	// one hardly moves during a burst of some seconds.
	fastWindow   = 100 * time.Millisecond
	recentWindow = time.Second
	usualWindow  = 15 * time.Second
	// shortageFactor is how much slower the usual rate is learned during a shortage.
	// A lasting change of the load becomes the usual one within minutes.
	shortageFactor = 20
	// shortageHold is how long after the last sign of it a pool counts as short.
	shortageHold = time.Second
)

// queueKey identifies the jobs of one queue in a pool.
type queueKey struct{ pool, queue string }

// queueRate holds the averages of the work that a queue submits, in thousandths of a
// core: the CPU that its tasks would use if all were run.
type queueRate struct {
	queue               string
	priorityClass       int
	fast, recent, usual float64
	// usualSquares is the usual average of the squared work of a job, from which
	// deviation is derived.
	usualSquares float64
	// admitted is the recent average of the work that was admitted, promoted that of
	// the work that was put before its class.
	admitted, promoted float64
	// seconds is the average duration of the submitted work, weighted by its CPU.
	seconds   float64
	updatedAt time.Duration
	// usualTime is the time for which usual has been learned.
	usualTime time.Duration
}

// at returns the averages as of now; short says that the pool is short of capacity.
func (q queueRate) at(now time.Duration, short bool) queueRate {
	elapsed := now - q.updatedAt
	q.updatedAt = now
	q.fast *= math.Exp(-float64(elapsed) / float64(fastWindow))
	recentFactor := math.Exp(-float64(elapsed) / float64(recentWindow))
	q.recent *= recentFactor
	q.admitted *= recentFactor
	q.promoted *= recentFactor
	if short {
		elapsed /= shortageFactor
	}
	decay := math.Exp(-float64(elapsed) / float64(usualWindow))
	q.usual *= decay
	q.usualSquares *= decay
	q.usualTime += elapsed
	return q
}

// add counts work that has been submitted, in thousandths of a core-second.
func (q *queueRate) add(work, seconds float64, short bool) {
	q.fast += work / fastWindow.Seconds()
	q.recent += work / recentWindow.Seconds()
	weight := 1.0
	if short {
		weight = 1.0 / shortageFactor
	}
	q.usual += weight * work / usualWindow.Seconds()
	q.usualSquares += weight * work * work / usualWindow.Seconds()
	if q.seconds == 0 {
		q.seconds = seconds
	}
	q.seconds += durationRatioWeight * (seconds - q.seconds)
}

// usualRate returns the usual rate, corrected for the time before it was learned.
func (q *queueRate) usualRate() float64 { return q.usual / q.learnedShare() }

// learnedShare returns how much of the usual averages has been learned so far.
func (q *queueRate) learnedShare() float64 {
	return max(1-math.Exp(-float64(q.usualTime)/float64(usualWindow)), 0.01)
}

// deviation returns the standard deviation of the recent rate while the queue sends its
// usual rate of independent jobs, in thousandths of a core.
func (q *queueRate) deviation() float64 {
	return math.Sqrt(q.usualSquares / q.learnedShare() / (2 * recentWindow.Seconds()))
}

// recordOffer adds a submitted job to its queue's rates.
func (s *Scheduler) recordOffer(now time.Duration, j *job) {
	if s.firstOfferAt == 0 {
		s.firstOfferAt = now
	}
	k := queueKey{j.Pool, j.Queue}
	q := s.queueRates[k]
	if q == nil {
		q = &queueRate{queue: j.Queue, updatedAt: now}
		s.queueRates[k] = q
	}
	q.priorityClass = j.priorityClass
	milliCPU, work := s.workOf(j)
	short := s.isShort(now, j.Pool)
	*q = q.at(now, short)
	q.add(work, work/max(milliCPU, 1), short)
}

// workOf returns the CPU that all tasks of the job request, in thousandths of a core,
// and that CPU times their expected durations, in thousandths of a core-second.
func (s *Scheduler) workOf(j *job) (milliCPU, work float64) {
	for step, st := range j.Steps {
		n := float64(st.Count * st.Demand.MilliCPU)
		milliCPU += n
		work += n * s.expectedDuration(j, step).Seconds()
	}
	return milliCPU, work
}

// ratesKnown reports whether the rates of submitted jobs have been observed for long
// enough to be relied on.
func (s *Scheduler) ratesKnown(now time.Duration) bool {
	return s.firstOfferAt != 0 && now-s.firstOfferAt >= ratesKnownAfter
}

// ratesKnownAfter is how long rates are observed before they are relied on: two time
// constants of the recent rate.
const ratesKnownAfter = 2 * recentWindow

// ratesOf returns the rates of the pool's queues that are not confined as of now, ordered
// by queue.
func (s *Scheduler) ratesOf(now time.Duration, pool string) []queueRate {
	var rates []queueRate
	short := s.isShort(now, pool)
	for k, q := range s.queueRates {
		if k.pool == pool && !s.confinement.Confined(quarantine.Queue{Pool: pool, Queue: k.queue}) {
			rates = append(rates, q.at(now, short))
		}
	}
	slices.SortFunc(rates, func(a, b queueRate) int { return strings.Compare(a.queue, b.queue) })
	return rates
}

// markShort records a sign that the pool is short of capacity: a job was refused, or
// one that waits has missed its latest start.
func (s *Scheduler) markShort(now time.Duration, pool string) {
	s.shortUntil[pool] = now + shortageHold
}

// isShort reports whether the pool is, or was just now, short of capacity.
func (s *Scheduler) isShort(now time.Duration, pool string) bool { return now < s.shortUntil[pool] }

// arrivals is work that is expected to be submitted: CPU that is requested, in
// thousandths of a core per second, and that CPU times the durations of its tasks, in
// thousandths of a core.
type arrivals struct{ milliCPU, cpuWork float64 }

// add adds work of a queue, in thousandths of a core.
func (a *arrivals) add(q queueRate, work float64) {
	if q.seconds > 0 {
		a.milliCPU += work / q.seconds
		a.cpuWork += work
	}
}

// likelyArrivals returns what all queues of the pool are expected to submit: their
// usual rate, or more if they send more now.
func (s *Scheduler) likelyArrivals(now time.Duration, pool string) (a arrivals) {
	for _, q := range s.ratesOf(now, pool) {
		a.add(q, max(q.fast, q.usualRate()))
	}
	return a
}
