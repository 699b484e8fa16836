package schedule

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// demandKey names the jobs of one rank of a pool.
type demandKey struct {
	pool string
	rank int
}

// demand is what was taken lately: the processors that its tasks asked for and
// their work, in thousandths of processors, for each second.
type demand struct {
	cpu, work float64
	at        time.Duration
}

// demandSpan is the time over which the rates are averaged: bursts last seconds.
const demandSpan = time.Second

func (d *demand) decay(now time.Duration) {
	x := math.Exp(-float64(now-d.at) / float64(demandSpan))
	d.cpu *= x
	d.work *= x
	d.at = now
}

// took counts a job that was taken.
func (s *Scheduler) took(now time.Duration, j *job) {
	k := demandKey{j.Pool, j.rank}
	d := s.demands[k]
	if d == nil {
		d = &demand{at: now}
		s.demands[k] = d
	}
	d.decay(now)
	for step, st := range j.Steps {
		cpu := float64(st.Count*st.Need.MilliCPU) / demandSpan.Seconds()
		d.cpu += cpu
		d.work += cpu * s.expected(j, step).Seconds()
	}
}

// demandAbove returns the processors and the work, for each second, of what
// goes before jobs of the rank.
func (s *Scheduler) demandAbove(now time.Duration, pool string, rank int) (cpu, work float64) {
	for k, d := range s.demands {
		if k.pool == pool && k.rank < rank {
			d.decay(now)
			cpu += d.cpu
			work += d.work
		}
	}
	return cpu, work
}

// rankOf returns the rank of a job: the first priority goes before all others,
// which share what is left by their latest start.
func rankOf(d *contract.DurableJob) int { return min(d.Priority, 1) }
