package schedule

import "slices"

// Load pattern: a quarter of the workers has speed 0.55, the others 1.2. Slowness
// is a property of the worker and not an illness. It is learned from the tasks of
// jobs that have ended, since a task that is compared as soon as it ends meets
// only siblings that were faster.

const (
	// slownessWindow is the number of samples whose median is the slowness: enough
	// that 3% of stragglers do not move it, and few enough to follow a worker that
	// changes its speed within eight tasks.
	slownessWindow = 15
	// usualSlownessMin and usualSlownessMax bound the slowness that counts as
	// usual. Tasks of one job differ by 15%.
	usualSlownessMin, usualSlownessMax = 0.85, 1.2
	// unevenFactor is the ratio of slowness from which on a worker counts as slow
	// beside the fast ones of its pool, and minUnevenSamples the number of samples
	// that this takes. Kinds of worker that differ by a third are served alike, also
	// where both slownesses are off by a tenth.
	unevenFactor     = 1.7
	minUnevenSamples = 8
	// slowReferenceBand is the ratio within which samples that were compared with
	// slow workers only are ignored: nothing else would stop these workers' common
	// level from drifting.
	slowReferenceBand = 1.25
	// minCommonWorkers is the size of a pool from which on a cause common to most of
	// its workers is assumed.
	minCommonWorkers = 3
	// maxComparedTasks bounds the tasks of one job that are compared.
	maxComparedTasks = 64
)

// addSlownessSample adds the duration of a task, divided by that on a worker of
// usual speed. If the worker is suspected for its slowness, a sample of at most
// recoveryShare of it discards the earlier ones.
func (h *health) addSlownessSample(sample float64) {
	if h.slowness > suspectSlowness && sample <= recoveryShare*h.slowness {
		h.slownessSamples = 0
	}
	if h.samples == nil {
		h.samples = make([]float64, slownessWindow)
	}
	h.samples[h.slownessSamples%slownessWindow] = sample
	h.slownessSamples++
	var window [slownessWindow]float64
	sorted := window[:copy(window[:], h.samples[:min(h.slownessSamples, slownessWindow)])]
	slices.Sort(sorted)
	h.slowness = sorted[(len(sorted)-1)/2]
}

// roundedSlowness returns the slowness rounded to a tenth. It is 1 for a worker
// of about the usual speed, and while there are too few samples.
func (h *health) roundedSlowness() float64 {
	if h.slownessSamples < minSlownessSamples || h.slowness > usualSlownessMin && h.slowness < usualSlownessMax {
		return 1
	}
	return max(0.1, float64(int(h.slowness*10+0.5))/10)
}

// soundSlowness returns the slowness of the worker while it is sound: 1 if its
// slowness is that of an illness.
func (h *health) soundSlowness() float64 {
	if h.slowness > suspectSlowness {
		return 1
	}
	return h.roundedSlowness()
}

// comparedTask is a task that has ended, with its duration in units of what its
// queue expects at usual speed.
type comparedTask struct {
	worker *Worker
	// ratio is the duration, and normalized the part of it that is not due to the
	// worker's slowness.
	ratio, normalized float64
}

// learnSpeeds compares the tasks of a job that has ended with each other, and
// adds the results to the slowness of their workers.
func (s *Scheduler) learnSpeeds(j *job) {
	var buffer [16]comparedTask
	compared := buffer[:0]
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.ratio > 0 && t.worker != nil && t.worker.Session == t.session && len(compared) < maxComparedTasks {
			compared = append(compared, comparedTask{t.worker, t.ratio, t.ratio / t.worker.roundedSlowness()})
		}
	}
	if len(compared) < 2 {
		if len(compared) == 1 && len(j.tasks) == 1 && s.tailOf(j.Queue).known() {
			compared[0].worker.addSlownessSample(compared[0].ratio)
		}
		return
	}
	slices.SortFunc(compared, func(a, b comparedTask) int {
		if a.normalized < b.normalized {
			return -1
		}
		return 1
	})
	// The samples are worked out before any is added, since they depend on each
	// other's slowness.
	var sampleBuffer [16]float64
	samples := sampleBuffer[:0]
	for i := range compared {
		samples = append(samples, compareWithOthers(compared, compared[i]))
	}
	for i, sample := range samples {
		if sample > 0 {
			compared[i].worker.addSlownessSample(sample)
		}
	}
}

// compareWithOthers returns the slowness that c shows beside the median of the
// tasks on other workers; all is ordered by the normalized ratio. It returns 0 if
// there is none, or if it shows nothing new beside slow workers.
func compareWithOthers(all []comparedTask, c comparedTask) float64 {
	others, onlySlow := 0, true
	for i := range all {
		if all[i].worker != c.worker {
			others++
			onlySlow = onlySlow && all[i].worker.roundedSlowness() >= unevenFactor
		}
	}
	if others == 0 {
		return 0
	}
	low, high, index := 0.0, 0.0, 0
	for i := range all {
		if all[i].worker == c.worker {
			continue
		}
		if index == (others-1)/2 {
			low = all[i].normalized
		}
		if index == others/2 {
			high = all[i].normalized
			break
		}
		index++
	}
	reference := (low + high) / 2
	if change := c.normalized / reference; onlySlow && change < slowReferenceBand && change > 1/slowReferenceBand {
		return 0
	}
	return min(c.ratio/reference, maxSlownessSample)
}

// poolSpeed holds what is derived from the speeds of a pool's available workers.
type poolSpeed struct {
	// slowness is the slowness of the pool as a whole: the inverse of the speed
	// that its processors have on average.
	slowness float64
	// fastest is the slowness that a fifth of the workers do not exceed.
	fastest float64
	// uneven is set if some worker is slow beside the fastest.
	uneven bool
	// pressed is set, in an uneven pool, if most CPU of the fast workers is in use.
	pressed bool
	// mostSlow is set if over half of the usable workers look ill: the cause is
	// common to them, and other workers would not be faster.
	mostSlow bool
}

// evenPool is the state of a pool whose workers have shown no difference.
var evenPool = poolSpeed{slowness: 1, fastest: 1}

// poolSpeedOf returns the speeds of a pool as of the last CheckRuns.
func (s *Scheduler) poolSpeedOf(pool string) *poolSpeed {
	if p := s.poolSpeeds[pool]; p != nil {
		return p
	}
	return &evenPool
}

// updatePoolSpeeds works out the speeds of all pools.
func (s *Scheduler) updatePoolSpeeds() {
	slownesses, slowest := map[string][]float64{}, map[string]float64{}
	capacity, work, usable, slow := map[string]float64{}, map[string]float64{}, map[string]int{}, map[string]int{}
	for _, w := range s.workerList {
		if !w.takesWork() {
			continue
		}
		usable[w.Pool]++
		if w.slow() {
			slow[w.Pool]++
		}
		if w.suspect() {
			continue
		}
		slowness := w.roundedSlowness()
		if w.slownessSamples >= minUnevenSamples {
			slowest[w.Pool] = max(slowest[w.Pool], slowness)
		}
		slownesses[w.Pool] = append(slownesses[w.Pool], slowness)
		capacity[w.Pool] += float64(w.cap.MilliCPU)
		work[w.Pool] += float64(w.cap.MilliCPU) / slowness
	}
	clear(s.poolSpeeds)
	defer s.updatePressure()
	for pool, list := range slownesses {
		slices.Sort(list)
		p := &poolSpeed{slowness: 1, fastest: list[len(list)/5], mostSlow: usable[pool] >= minCommonWorkers && 2*slow[pool] > usable[pool]}
		p.uneven = slowest[pool] >= unevenFactor*p.fastest
		if work[pool] > 0 {
			p.slowness = capacity[pool] / work[pool]
		}
		s.poolSpeeds[pool] = p
	}
}

// updatePressure sets for each uneven pool whether its fast workers are under pressure.
func (s *Scheduler) updatePressure() {
	for pool, p := range s.poolSpeeds {
		if !p.uneven {
			continue
		}
		used, capacity := 0, 0
		for w := range s.availableWorkers(pool) {
			if !p.isSlow(w) {
				used, capacity = used+w.used.MilliCPU, capacity+w.cap.MilliCPU
			}
		}
		p.pressed = float64(used) >= pressureShare*float64(capacity)
	}
}
