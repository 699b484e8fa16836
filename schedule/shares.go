package schedule

import (
	"time"
)

// Shares address a burst of one queue in a pool without room for it: the order by latest
// start alone refuses nearly all jobs of the queue with the shortest objective, because
// the long jobs of the burst may wait longer and so always fill the line. In a shortage,
// each queue is therefore entitled to a share of the pool that follows from what it
// usually sends, and a queue that bursts may borrow only what the entitled work of the
// others leaves. The queues that send what they usually do are not limited, also if the
// pool has lost workers: who is served then follows from who can still be in time.

const (
	// A queue's recent rate counts as a burst if it exceeds the usual rate by more than
	// the factor shareTolerance, and by more than burstDeviations of its own standard
	// deviations: a queue of few or uneven jobs varies by a half from second to second.
	shareTolerance  = 1.25
	burstDeviations = 2
	// limitFrom is the part of its allowance from which on a burst is limited. Below it,
	// the queue is admitted like the others, since the room that they leave varies.
	limitFrom = 0.9
	// guaranteedShare is the part of its usual rate that a queue keeps whatever
	// queues of higher priority send: a quarter, and a fifth of that for work that
	// takes longer than expected.
	guaranteedShare = 0.3
	// guaranteedPoolShare is the part of the pool that a queue without a usual rate
	// keeps.
	guaranteedPoolShare = 0.02
)

// minimumTolerance is how far the entitlement of a queue may exceed its guaranteed
// minimum while the minimum is still put before its class.
const minimumTolerance = 2

// share is one queue's part of a pool in a shortage. All values are in thousandths of
// a core.
type share struct {
	priorityClass int
	// recent is what the queue asks for, usual what it usually does.
	recent, usual float64
	// guaranteed and entitled are set by divide.
	guaranteed, entitled float64
}

// divide sets what each queue is entitled to of the given capacity. All keep their
// guaranteed minimum. Queues of class 0 get what they ask for, as far as these minima
// allow. The others divide the rest in proportion to their usual rates; what one does
// not ask for goes to the others.
func divide(capacity float64, shares []share) {
	guaranteed := 0.0
	for i := range shares {
		q := &shares[i]
		q.guaranteed = min(q.recent, max(guaranteedShare*q.usual, guaranteedPoolShare*capacity))
		guaranteed += q.guaranteed
	}
	scale := min(1, capacity/2/max(guaranteed, 1))
	for i := range shares {
		shares[i].guaranteed *= scale
		shares[i].entitled = shares[i].guaranteed
	}
	left := capacity - guaranteed*scale
	left -= divideClass(left, shares, func(q *share) bool { return q.priorityClass == 0 })
	divideClass(left, shares, func(q *share) bool { return q.priorityClass != 0 })
}

// divideClass divides what is left among the queues of one class in proportion to
// their usual rates, none getting more than it asks for. It returns what it has given.
func divideClass(left float64, shares []share, inClass func(*share) bool) (given float64) {
	// Each round satisfies a queue, or is the last one.
	for range shares {
		weights := 0.0
		for i := range shares {
			if q := &shares[i]; inClass(q) && q.recent > q.entitled {
				weights += q.weight()
			}
		}
		unit := (left - given) / max(weights, 1e-9)
		for i := range shares {
			if q := &shares[i]; inClass(q) && q.recent > q.entitled {
				grant := min(unit*q.weight(), q.recent-q.entitled)
				q.entitled += grant
				given += grant
			}
		}
		if weights == 0 || left-given < 1 {
			break
		}
	}
	return given
}

// bursts reports whether the queue sends more than usual by more than chance explains,
// and more so than all queues together, which send growth times what they usually do.
func (q *queueRate) bursts(growth float64) bool {
	usual := q.usualRate()
	return q.recent > growth*max(shareTolerance*usual, usual+burstDeviations*q.deviation())
}

func (q *share) weight() float64 { return max(q.usual, 1) }

// totals returns what the queues ask for together, and what they usually do.
func totals(shares []share) (recent, usual float64) {
	for i := range shares {
		recent += shares[i].recent
		usual += shares[i].usual
	}
	return recent, usual
}

// limits is what the shares mean for a queue.
type limits struct {
	// limited says that the queue bursts and is over its share, room what the others
	// leave.
	limited bool
	room    room
	// short says that the queues ask for more than the pool has. Its line fills only
	// after this is known.
	short bool
	// reserve is what the queue leaves free while it bursts, in thousandths of a core:
	// what the loads of the others vary by.
	reserve float64
	// minimum is the work that the queue may put before its class, in thousandths
	// of a core: its guaranteed minimum if class 0 leaves it hardly more.
	minimum float64
}

// limitsOf returns whether the job's queue is limited and, if so, the room that it may
// use: what is left after the jobs that go before j, and the work to come that others
// are entitled to.
func (s *Scheduler) limitsOf(now time.Duration, j *job) *limits {
	k := queueKey{j.Pool, j.Queue}
	l := s.queueLimits[k]
	if l == nil {
		l = &limits{}
		s.queueLimits[k] = l
	} else if now-l.room.computedAt < roomTTL {
		return l
	}
	l.room.computedAt = now
	rates := s.ratesOf(now, j.Pool)
	shares := make([]share, len(rates))
	for i, q := range rates {
		shares[i] = share{priorityClass: q.priorityClass, recent: q.recent, usual: q.usualRate()}
	}
	capacity := s.usableMilliCPU(j)
	divide(capacity, shares)
	var others arrivals
	l.limited, l.reserve = false, 0
	recent, usual := totals(shares)
	l.short = recent > capacity
	growth := max(1, recent/max(usual, 1))
	for i, q := range rates {
		switch own := &shares[i]; {
		case q.queue == j.Queue:
			if l.minimum = 0; own.priorityClass > 0 && own.entitled < own.recent && own.entitled < minimumTolerance*own.guaranteed {
				l.minimum = own.guaranteed
			}
			if q.bursts(growth) {
				allowed := own.entitled
				if own.priorityClass > 0 {
					allowed, l.reserve = min(allowed, max(own.usual, own.guaranteed)), reserveShare*capacity
				}
				l.limited = q.admitted > limitFrom*allowed
			}
		case own.priorityClass <= j.priorityClass:
			others.add(q, own.entitled)
		default:
			others.add(q, own.guaranteed)
		}
	}
	if l.limited {
		index, _ := s.viableJobs.search(j)
		s.fillRoom(&l.room, now, j, s.viableJobs[:index], others)
		l.room.take(0, l.reserve, forecastBuckets)
	}
	return l
}

// isBelowMinimum reports whether class 0 takes so much of a pool that is short that the
// job's queue gets less than its guaranteed minimum. Jobs of the queue then go with
// those of class 0 until it has the minimum.
func (s *Scheduler) isBelowMinimum(now time.Duration, j *job) bool {
	if j.priorityClass == 0 || !s.isShort(now, j.Pool) || !s.ratesKnown(now) {
		return false
	}
	minimum := s.limitsOf(now, j).minimum
	return minimum > s.queueRates[queueKey{j.Pool, j.Queue}].promoted
}

// usableMilliCPU returns the CPU of the job's pool that tasks of the job's size can
// use, in thousandths of a core.
func (s *Scheduler) usableMilliCPU(j *job) float64 {
	total, need := 0, j.maxTaskMilliCPU()
	for w := range s.availableWorkers(j.Pool) {
		total += w.cap.MilliCPU - unusableMilliCPU(w.cap.MilliCPU, need)
	}
	return float64(total)
}

// exceedsShare reports whether the job has to be refused because its queue is over its
// share of a pool that is short of capacity, and the others leave no room for it in
// time. If it does not, it takes its room.
func (s *Scheduler) exceedsShare(now time.Duration, j *job) bool {
	if !s.ratesKnown(now) {
		return false
	}
	l := s.limitsOf(now, j)
	if !l.limited || !l.short && !s.isShort(now, j.Pool) {
		return false
	}
	milliCPU, buckets := j.peakMilliCPU(), bucketCount(j.estimate)
	at, ok := l.room.find(0, milliCPU, buckets)
	if !ok || now+time.Duration(at)*bucketWidth > j.safeStart() {
		return true
	}
	l.room.take(at, milliCPU, buckets)
	return false
}
