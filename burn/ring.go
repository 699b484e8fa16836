package burn

import "time"

// tally counts the events of each indicator, and the bad ones among them.
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

// ring counts in buckets of one width; a bucket is used again once its time
// has left the ring.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	// slot numbers the bucket's span of time: its start divided by the width.
	slot int64
	tally
}

func newRing(width time.Duration, span time.Duration) ring {
	// One more bucket than the span holds: the newest is only partly filled.
	return ring{width: width, buckets: make([]bucket, span/width+1)}
}

func (r *ring) slot(t time.Time) int64 { return t.UnixNano() / int64(r.width) }

func (r *ring) add(now time.Time, t tally) {
	slot := r.slot(now)
	b := &r.buckets[slot%int64(len(r.buckets))]
	if b.slot > slot {
		return // the clock went back further than the ring reaches
	}
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	b.tally.add(t)
}

// sum adds up the buckets that overlap the window before now.
func (r *ring) sum(now time.Time, window time.Duration) tally {
	var out tally
	newest := r.slot(now)
	oldest := newest - int64(window/r.width)
	for i := range r.buckets {
		if b := &r.buckets[i]; b.slot >= oldest && b.slot <= newest {
			out.add(b.tally)
		}
	}
	return out
}

// points returns the buckets that hold an event of the indicator, oldest
// first.
func (r *ring) points(now time.Time, indicator int) []Point {
	var out []Point
	newest := r.slot(now)
	for slot := newest - int64(len(r.buckets)) + 1; slot <= newest; slot++ {
		b := &r.buckets[slot%int64(len(r.buckets))]
		if b.slot == slot && b.total[indicator] > 0 {
			start := time.Unix(0, slot*int64(r.width)).UTC()
			out = append(out, Point{Start: start, Count: Count{Total: uint64(b.total[indicator]), Bad: uint64(b.bad[indicator])}})
		}
	}
	return out
}
