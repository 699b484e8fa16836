package dispatch

import (
	"math"
	"math/bits"
	"time"
)

const (
	// sizeClassCount is the number of classes of job sizes. A job's size is its
	// work, in slots times nanoseconds. smallestClassBound is the upper bound of
	// the first class. Each further bound is twice the one before, and the last
	// class is unbounded.
	sizeClassCount     = 16
	smallestClassBound = 50 * time.Millisecond
	// arrivalTimeConstant is the time constant of the exponential moving
	// average of arriving work.
	arrivalTimeConstant = 5 * time.Second
	// waitIterations is the number of fixed-point iterations in expectedWait.
	waitIterations = 4
)

// arrivals measures the work of arriving jobs by size class, in order to
// predict how much work will overtake a queued job.
type arrivals struct {
	updatedAt time.Time
	load      [sizeClassCount]float64 // offered load of the class, in slots
}

// sizeClass returns the class of a job size.
func sizeClass(work time.Duration) int {
	return min(sizeClassCount-1, bits.Len64(uint64(max(0, work)/smallestClassBound)))
}

// typicalSize returns the typical size of the jobs of a class: three quarters of
// its upper bound, which is the middle of all classes but the first and the
// last.
func typicalSize(class int) time.Duration {
	return smallestClassBound << class * 3 / 4
}

// add records the arrival of a job with the given work.
func (a *arrivals) add(now time.Time, work time.Duration) {
	if !a.updatedAt.IsZero() {
		decay := math.Exp(-now.Sub(a.updatedAt).Seconds() / arrivalTimeConstant.Seconds())
		for i := range a.load {
			a.load[i] *= decay
		}
	}
	a.updatedAt = now
	a.load[sizeClass(work)] += work.Seconds() / arrivalTimeConstant.Seconds()
}

// expectedWait returns how long a job of the given size is expected to wait
// while the work ahead of it is served at the given rate, in slots, together
// with the work of later jobs that overtake it. A smaller job overtakes it if
// it arrives before the age of the waiting job compensates for their difference
// in work. The wait depends on the work that overtakes and vice versa, so it is
// found by fixed-point iteration.
func (a *arrivals) expectedWait(ahead, size time.Duration, rate float64) time.Duration {
	base := ahead.Seconds() / rate
	wait := base
	for range waitIterations {
		overtaking := 0.0
		for class := range sizeClass(size) {
			window := (size - typicalSize(class)).Seconds() / agingRate
			overtaking += a.load[class] * min(wait, max(0, window))
		}
		wait = base + overtaking/rate
	}
	return time.Duration(wait * float64(time.Second))
}

// throughputMeter measures the rate at which work is finished, in slot-seconds
// per second.
type throughputMeter struct {
	windowStart time.Time
	work        time.Duration // finished in the current window
	rate        float64       // moving average, in slots
}

// throughputWindow is the minimum length of a measurement window; the rate is
// updated at the end of each window. It is also the half-life of the average.
const throughputWindow = time.Second

// add records finished work, in slots times nanoseconds.
func (m *throughputMeter) add(now time.Time, work time.Duration) {
	if m.windowStart.IsZero() {
		m.windowStart = now
	}
	m.work += work
	span := now.Sub(m.windowStart)
	if span < throughputWindow {
		return
	}
	decay := math.Exp2(-span.Seconds() / throughputWindow.Seconds())
	m.rate = decay*m.rate + (1-decay)*m.work.Seconds()/span.Seconds()
	m.windowStart = now
	m.work = 0
}
