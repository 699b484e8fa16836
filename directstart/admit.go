package directstart

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the least time after which a refused caller should come back.
	// Callers get it in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest such time: a leader may be back by then.
	maxRetryAfter = 2 * time.Second
	// freedWindow is the time constant of freedRate.
	freedWindow = time.Second
)

// freedRate is the exponentially decaying average of the CPU that ends of this entry's
// runs free, in thousandths of a core per second.
type freedRate struct {
	milliCPU  float64
	updatedAt time.Duration
}

// decayed returns the average as of now.
func (f *freedRate) decayed(now time.Duration) float64 {
	return f.milliCPU * math.Exp(-float64(now-f.updatedAt)/float64(freedWindow))
}

func (d *Dispatcher) recordFreed(now time.Duration, pool string, milliCPU int) {
	f := d.freed[pool]
	if f == nil {
		f = &freedRate{}
		d.freed[pool] = f
	}
	f.milliCPU = f.decayed(now) + float64(milliCPU)/freedWindow.Seconds()
	f.updatedAt = now
}

// admit returns why the job is refused and when its caller should come back, or an
// empty reason if it may wait for a start.
func (d *Dispatcher) admit(now time.Duration, j *job) (string, time.Duration) {
	largeEnough, fits := false, 0
	free := 0
	for _, a := range d.order {
		if a.offer.Pool != j.Pool || !a.open(now) {
			continue
		}
		largeEnough = largeEnough || a.offer.Capacity.HasRoomFor(j.need())
		if n := a.room(j); n > 0 {
			fits += n
			free += a.free.MilliCPU
		}
	}
	if d.confined(j) && largeEnough && now >= d.closedUntil {
		if d.pickConfined(now, j) == nil || d.waitsConfined(j) {
			return confinedReason, confinedRetryAfter
		}
		return "", 0
	}
	switch {
	case now < d.closedUntil:
		return "the entry was frozen", minRetryAfter
	case !largeEnough:
		return "no agent offers direct starts on a worker that is large enough", minRetryAfter
	case now > j.lateStart:
		return "no room within the objective", minRetryAfter
	case len(d.jobs) > maxJobs:
		return "too many jobs wait for a start", minRetryAfter
	case len(d.waiting) == 0 && fits >= len(j.tasks):
		return "", 0
	}
	wait := d.forecastWait(now, j, free)
	if now+wait > max(j.latestStart, now) {
		return "the work ahead takes too long", min(max(wait, minRetryAfter), maxRetryAfter)
	}
	return "", 0
}

// room returns how many tasks of the job fit on the agent's worker.
func (a *agent) room(j *job) int {
	n := len(j.tasks)
	limit := func(free, need int) {
		if need > 0 {
			n = min(n, max(0, free/need))
		}
	}
	limit(a.free.MilliCPU, j.need().MilliCPU)
	limit(a.free.MemoryMB, j.need().MemoryMB)
	limit(a.free.Accelerators, j.need().Accelerators)
	return n
}

// forecastWait returns how long the job would wait for its last start if the entry's
// runs go on to end at the present rate. Without any end so far, the rate is that of
// the declared durations. If this entry runs nothing either, one job at a time may
// wait for room.
func (d *Dispatcher) forecastWait(now time.Duration, j *job, free int) time.Duration {
	ahead := len(j.tasks) * j.need().MilliCPU
	for _, o := range d.waiting {
		if o.Pool == j.Pool && o.compare(j, now) <= 0 && !d.confined(o) {
			ahead += o.waitingTasks * o.need().MilliCPU
		}
	}
	if ahead <= free {
		return 0
	}
	rate := d.rate(now, j.Pool)
	if rate == 0 {
		if len(d.waiting) == 0 {
			return 0
		}
		return time.Minute
	}
	return time.Duration(min(float64(ahead-free)/rate, 60) * float64(time.Second))
}

// rate returns the CPU that ends are expected to free, in thousandths of a core per
// second.
func (d *Dispatcher) rate(now time.Duration, pool string) float64 {
	measured := 0.0
	if f := d.freed[pool]; f != nil {
		measured = f.decayed(now)
	}
	declared := 0.0
	for _, a := range d.order {
		if a.offer.Pool != pool {
			continue
		}
		for _, t := range a.runs {
			declared += float64(t.job.need().MilliCPU) / max(t.job.estimate(), overhead).Seconds()
		}
	}
	return max(measured, declared)
}
