package dispatch

import (
	"math"
	"math/bits"
	"time"
)

const (
	// sizeClasses is the number of classes of job sizes, each twice the one
	// before; smallestClass is the bound of the first, in slots times time.
	sizeClasses   = 16
	smallestClass = 50 * time.Millisecond
	// arrivalMemory is the time over which arrivals are averaged.
	arrivalMemory = 5 * time.Second
	// waitRounds is the number of rounds in which a wait is worked out.
	waitRounds = 4
)

// arrivals measures how much work comes in jobs of each size, to foresee how
// much of it will overtake a job in the queue.
type arrivals struct {
	at    time.Time
	rates [sizeClasses]float64 // slots that the class keeps busy
}

func sizeClass(work time.Duration) int {
	return min(sizeClasses-1, bits.Len64(uint64(max(0, work)/smallestClass)))
}

// typicalSize returns a size in the middle of a class.
func typicalSize(class int) time.Duration {
	return smallestClass << class * 3 / 4
}

func (a *arrivals) add(now time.Time, work time.Duration) {
	if !a.at.IsZero() {
		keep := math.Exp(-now.Sub(a.at).Seconds() / arrivalMemory.Seconds())
		for i := range a.rates {
			a.rates[i] *= keep
		}
	}
	a.at = now
	a.rates[sizeClass(work)] += work.Seconds() / arrivalMemory.Seconds()
}

// wait returns how long a job of the given size waits behind the work ahead of
// it, served at the rate, and behind later jobs: a smaller one overtakes it
// while their difference in work outweighs its age.
func (a *arrivals) wait(ahead, size time.Duration, rate float64) time.Duration {
	base := ahead.Seconds() / rate
	wait := base
	for range waitRounds {
		later := 0.0
		for class := range sizeClass(size) {
			span := (size - typicalSize(class)).Seconds() / agePerSecond
			later += a.rates[class] * min(wait, max(0, span))
		}
		wait = base + later/rate
	}
	return time.Duration(wait * float64(time.Second))
}

// drainRate measures how much work ends each second.
type drainRate struct {
	since time.Time
	work  time.Duration
	rate  float64 // slots that were busy in the last windows
}

// drainWindow is how long work is added up before the rate is brought up to
// date.
const drainWindow = time.Second

func (d *drainRate) add(now time.Time, work time.Duration) {
	if d.since.IsZero() {
		d.since = now
	}
	d.work += work
	span := now.Sub(d.since)
	if span < drainWindow {
		return
	}
	keep := math.Exp2(-span.Seconds() / drainWindow.Seconds())
	d.rate = keep*d.rate + (1-keep)*d.work.Seconds()/span.Seconds()
	d.since = now
	d.work = 0
}
