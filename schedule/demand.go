package schedule

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// demandKey identifies the jobs of one pool and priority class.
type demandKey struct {
	pool          string
	priorityClass int
}

// demandRate is the exponentially decaying average of the demand of admitted
// jobs.
type demandRate struct {
	// milliCPU is the CPU that the jobs' tasks request, in thousandths of a
	// core per second; cpuWork is that CPU times the tasks' expected durations,
	// in thousandths of a core-second per second.
	milliCPU, cpuWork float64
	// updatedAt is when the averages were last decayed.
	updatedAt time.Duration
}

// demandWindow is the time constant of the averages. It is short because bursts
// of jobs last only seconds.
const demandWindow = time.Second

// decay applies the decay from updatedAt to now.
func (d *demandRate) decay(now time.Duration) {
	factor := math.Exp(-float64(now-d.updatedAt) / float64(demandWindow))
	d.milliCPU *= factor
	d.cpuWork *= factor
	d.updatedAt = now
}

// recordDemand adds an admitted job to the demand rate of its pool and priority
// class.
func (s *Scheduler) recordDemand(now time.Duration, j *job) {
	k := demandKey{j.Pool, j.priorityClass}
	d := s.demandRates[k]
	if d == nil {
		d = &demandRate{updatedAt: now}
		s.demandRates[k] = d
	}
	d.decay(now)
	for step, st := range j.Steps {
		milliCPU := float64(st.Count*st.Demand.MilliCPU) / demandWindow.Seconds()
		d.milliCPU += milliCPU
		d.cpuWork += milliCPU * s.expectedDuration(j, step).Seconds()
	}
}

// higherPriorityDemand returns the pool's demand summed over the priority
// classes that go before class, in the units of demandRate.
func (s *Scheduler) higherPriorityDemand(now time.Duration, pool string, class int) (milliCPU, cpuWork float64) {
	for k, d := range s.demandRates {
		if k.pool == pool && k.priorityClass < class {
			d.decay(now)
			milliCPU += d.milliCPU
			cpuWork += d.cpuWork
		}
	}
	return milliCPU, cpuWork
}

// priorityClassOf returns 0 for priority 0 and 1 for all others. Jobs of
// priority 0 go before the others, which share the remaining capacity in the
// order of their safe start.
func priorityClassOf(d *contract.DurableJob) int { return min(d.Priority, 1) }
