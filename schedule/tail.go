package schedule

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load pattern: 3% of the tasks take 7 times as long as the others, on any worker.
// Durations are kept as multiples of what the queue expects on the task's worker.

const (
	// ratioUnit is the resolution of the histograms, a hundredth of the expected
	// duration, and maxRatio the largest multiple that they hold.
	ratioUnit = 0.01
	maxRatio  = 40
	// ratioDigits gives 160 counters a histogram and an error of 6%.
	ratioDigits = 1
	// rotateAfter is the number of durations after which the older histogram is
	// discarded, so that the distribution follows a change within seconds.
	rotateAfter = 4000
	// minTailSamples is the number of durations below which nothing is derived
	// from a distribution.
	minTailSamples = 100
	// minOwnSamples is the number of durations of a queue below which the
	// distribution of all queues stands in for its own: a thousand tasks may have
	// thirty stragglers.
	minOwnSamples = 1000
	// refreshAfter is the number of durations after which the table is worked out
	// again, at a cost of some microseconds.
	refreshAfter = 200
	// tailStep and tailPoints are the distance and the number of the points of the
	// table.
	tailStep, tailPoints = 0.125, 128
	// minLateRuns and minLateShare say from when on late runs are taken for
	// stragglers of the queue: single ones may be hung.
	minLateRuns, minLateShare = 5, 0.003
	// hungFactor is the multiple of the longest duration on record beyond which a
	// run counts as hung, and unknownHungFactor the multiple of the expected
	// duration if no straggler has ended yet.
	hungFactor, unknownHungFactor = 1.5, 12
	// shorterShare is the share of the tasks that are shorter than durationTail.shorter.
	shorterShare = 0.05
)

// durationTail is the distribution of a queue's task durations.
type durationTail struct {
	recent, earlier *hdrhistogram.Histogram
	// sinceRefresh counts the durations since the table was worked out.
	sinceRefresh int
	// survival and mean hold, for each multiple of tailStep, the share of the tasks
	// that take longer, and the average duration of these.
	survival, mean [tailPoints]float64
	// longest is the longest duration on record, and shorter the one that shorterShare
	// of the tasks fall short of.
	longest, shorter float64
	// late counts the late runs of workers that ended others as usual, and ended
	// all runs that ended on such workers. Both are halved from time to time.
	late, ended float64
}

func newDurationTail() durationTail {
	return durationTail{recent: newRatioHistogram(), earlier: newRatioHistogram()}
}

func newRatioHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio/ratioUnit, ratioDigits)
}

// tailOf returns the distribution that applies to tasks of the queue.
func (s *Scheduler) tailOf(queue string) *durationTail {
	if q := s.statsOf(queue); q.tail.ended >= minOwnSamples {
		return &q.tail
	}
	return &s.commonTail
}

// known reports whether enough durations are on record.
func (t *durationTail) known() bool { return t.longest > 0 }

// record adds the duration of a task, as a multiple of the expected one.
func (t *durationTail) record(ratio float64) {
	// Clamped values are within the histogram's range, so there is no error.
	_ = t.recent.RecordValue(int64(min(max(ratio, ratioUnit), maxRatio) / ratioUnit))
	if t.ended++; t.ended > 2*rotateAfter {
		t.ended, t.late = t.ended/2, t.late/2
	}
	if t.recent.TotalCount() >= rotateAfter {
		t.earlier.Reset()
		t.recent, t.earlier = t.earlier, t.recent
	}
	t.sinceRefresh++
	if t.sinceRefresh >= refreshAfter || !t.known() && t.sinceRefresh >= minTailSamples {
		t.refresh()
	}
}

// refresh works out the table.
func (t *durationTail) refresh() {
	t.sinceRefresh, t.longest = 0, 0
	var count, sum [tailPoints]float64
	for _, h := range []*hdrhistogram.Histogram{t.recent, t.earlier} {
		for _, bar := range h.Distribution() {
			if bar.Count == 0 {
				continue
			}
			ratio := float64(bar.From+bar.To) / 2 * ratioUnit
			t.longest = max(t.longest, ratio)
			i := min(int(ratio/tailStep), tailPoints-1)
			count[i] += float64(bar.Count)
			sum[i] += float64(bar.Count) * ratio
		}
	}
	total := float64(t.recent.TotalCount() + t.earlier.TotalCount())
	countAbove, sumAbove := 0.0, 0.0
	for i := tailPoints - 1; i >= 0; i-- {
		countAbove += count[i]
		sumAbove += sum[i]
		t.survival[i], t.mean[i] = countAbove/total, 0
		if countAbove > 0 {
			t.mean[i] = sumAbove / countAbove
		}
	}
	t.shorter = t.quantile(shorterShare)
}

// quantile returns the duration that the share of the tasks fall short of, interpolated
// between the points of the table.
func (t *durationTail) quantile(share float64) float64 {
	i := 0
	for i < tailPoints-1 && 1-t.survival[i+1] < share {
		i++
	}
	if i == tailPoints-1 {
		return t.longest
	}
	within := (t.survival[i] - (1 - share)) / (t.survival[i] - t.survival[i+1])
	return (float64(i) + within) * tailStep
}

// share returns the share of the tasks that take longer than the given ratio, by
// linear interpolation.
func (t *durationTail) share(ratio float64) float64 {
	position := max(ratio, 0) / tailStep
	i := int(position)
	if i >= tailPoints-1 {
		return t.survival[tailPoints-1]
	}
	return t.survival[i] + (position-float64(i))*(t.survival[i+1]-t.survival[i])
}

// expectedTotal returns the expected duration of a task that has already taken
// the given ratio. Where no such task is on record, it is expected to take as long
// again.
func (t *durationTail) expectedTotal(ratio float64) float64 {
	if i := int(ratio/tailStep) + 1; i < tailPoints && t.mean[i] > ratio {
		return t.mean[i]
	}
	return 2 * ratio
}

// lateShare returns the share of the queue's runs that become late on sound workers,
// or 0 if they are too few to count as its tail.
func (t *durationTail) lateShare() float64 {
	if share := t.late / max(t.ended, 1); t.known() && t.late >= minLateRuns && share >= minLateShare {
		return share
	}
	return 0
}

// explains reports whether a late run that has taken the given ratio may be a
// straggler.
func (t *durationTail) explains(ratio float64) bool {
	if t.lateShare() == 0 {
		return false
	}
	if t.longest <= lateFactor*hungFactor {
		return ratio < unknownHungFactor
	}
	return ratio < hungFactor*t.longest
}
