package burn

import "time"

// tally holds, for each indicator, the number of events and of bad events.
type tally struct {
	total [indicatorCount]uint32
	bad   [indicatorCount]uint32
}

func (t *tally) add(o tally) {
	for i := range t.total {
		t.total[i] += o.total[i]
		t.bad[i] += o.bad[i]
	}
}

// ring counts events in time buckets of equal width. A bucket is reused once its
// interval is older than the span of the ring.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	// interval is the number of the bucket's time interval: its start, in nanoseconds
	// of Unix time, divided by the width.
	interval int64
	tally
}

func newRing(width time.Duration, span time.Duration) ring {
	// One more bucket than the span needs, as the newest covers only part of its
	// interval.
	return ring{width: width, buckets: make([]bucket, span/width+1)}
}

func (r *ring) interval(t time.Time) int64 { return t.UnixNano() / int64(r.width) }

func (r *ring) add(now time.Time, t tally) {
	interval := r.interval(now)
	b := &r.buckets[interval%int64(len(r.buckets))]
	if b.interval > interval {
		return // the clock went back by more than the span of the ring
	}
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	b.tally.add(t)
}

// sum adds up the buckets that overlap the window that ends at now.
func (r *ring) sum(now time.Time, window time.Duration) tally {
	var out tally
	newest := r.interval(now)
	oldest := newest - int64(window/r.width)
	for i := range r.buckets {
		if b := &r.buckets[i]; b.interval >= oldest && b.interval <= newest {
			out.add(b.tally)
		}
	}
	return out
}

// points returns the buckets that hold events of the indicator, given by its index
// in Indicators, oldest first.
func (r *ring) points(now time.Time, indicator int) []Point {
	var out []Point
	newest := r.interval(now)
	for interval := newest - int64(len(r.buckets)) + 1; interval <= newest; interval++ {
		b := &r.buckets[interval%int64(len(r.buckets))]
		if b.interval == interval && b.total[indicator] > 0 {
			start := time.Unix(0, interval*int64(r.width)).UTC()
			out = append(out, Point{Start: start, Count: Count{Total: uint64(b.total[indicator]), Bad: uint64(b.bad[indicator])}})
		}
	}
	return out
}
