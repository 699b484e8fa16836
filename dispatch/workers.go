package dispatch

import (
	"container/heap"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// tier orders workers for placement: nearer ones first, slow ones after all
// that are not, and those on trial last.
type tier int

const (
	tierSlow  = tier(failuredomain.OtherRegion) + 1
	tierTrial = tierSlow + 1
	tierCount = int(tierTrial) + 1
)

// worker is one worker as this entry sees it.
type worker struct {
	host.Worker
	distance failuredomain.Distance
	linked   bool
	// allot is the number of slots that this entry may have in use there:
	// granted under epoch, plus what peers lent, less what it lent.
	allot   int
	granted int
	epoch   uint64
	// early holds a loan under an epoch that is not granted here yet.
	early      int
	earlyEpoch uint64
	// used is what this entry's placed tasks take.
	used   contract.Capacity
	health health

	group *workerGroup
	tier  tier
	pos   int // in the heap of group and tier; -1 outside
	free  int // as counted in workerSet.free
}

// avail returns the slots that this entry may start tasks on now.
func (w *worker) avail() int {
	n := w.allot - w.used.Slots
	if w.health.state == onTrial {
		n = min(n, 1-w.used.Slots)
	}
	return max(0, n)
}

func (w *worker) usable() bool {
	return w.linked && !w.Draining && !w.health.held && w.health.state != ejected
}

// fits reports whether the demand fits beside this entry's own tasks.
func (w *worker) fits(d contract.Demand) bool {
	if w.avail() < d.Slots || w.used.Accelerators+d.Accelerators > w.Capacity.Accelerators {
		return false
	}
	if w.Capacity.MilliCPU > 0 && w.used.MilliCPU+d.MilliCPU > w.Capacity.MilliCPU {
		return false
	}
	return w.Capacity.MemoryMB == 0 || w.used.MemoryMB+d.MemoryMB <= w.Capacity.MemoryMB
}

func (w *worker) take(d contract.Demand, sign int) {
	w.used.Slots += sign * d.Slots
	w.used.MilliCPU += sign * d.MilliCPU
	w.used.MemoryMB += sign * d.MemoryMB
	w.used.Accelerators += sign * d.Accelerators
}

// workerHeap orders workers by free slots, most first.
type workerHeap []*worker

func (h workerHeap) Len() int { return len(h) }
func (h workerHeap) Less(i, k int) bool {
	a, b := h[i], h[k]
	if a.free != b.free {
		return a.free > b.free
	}
	if c := strings.Compare(string(a.Host), string(b.Host)); c != 0 {
		return c < 0
	}
	return a.Incarnation < b.Incarnation
}
func (h workerHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) {
	w := x.(*worker)
	w.pos = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.pos = -1
	return w
}

// workerGroup holds the workers of one capacity; there are few groups.
type workerGroup struct {
	capacity contract.Capacity
	linked   int
	serving  int // linked and not draining
	tiers    [tierCount]workerHeap
}

// workerSet indexes the workers for placement.
type workerSet struct {
	byRef  map[host.Ref]*worker
	groups []*workerGroup
	// free is the sum of the free slots of usable workers.
	free int
	// allot is the sum of their allotments.
	allot int
}

func (s *workerSet) group(c contract.Capacity) *workerGroup {
	for _, g := range s.groups {
		if g.capacity == c {
			return g
		}
	}
	g := &workerGroup{capacity: c}
	s.groups = append(s.groups, g)
	return g
}

// detach takes w out of the index before it changes.
func (s *workerSet) detach(w *worker) {
	if w.pos < 0 {
		return
	}
	s.free -= w.free
	s.allot -= w.allot
	heap.Remove(&w.group.tiers[w.tier], w.pos)
}

// attach puts w into the index after it changed.
func (s *workerSet) attach(w *worker) {
	if !w.usable() {
		return
	}
	w.group = s.group(w.Capacity)
	w.tier = w.placementTier()
	w.free = w.avail()
	s.free += w.free
	s.allot += w.allot
	heap.Push(&w.group.tiers[w.tier], w)
}

// changed brings w's place in the index up to date where only its free slots
// changed.
func (s *workerSet) changed(w *worker) {
	if w.pos < 0 || w.tier != w.placementTier() {
		s.detach(w)
		s.attach(w)
		return
	}
	free := w.avail()
	s.free += free - w.free
	w.free = free
	heap.Fix(&w.group.tiers[w.tier], w.pos)
}

func (w *worker) placementTier() tier {
	switch {
	case w.health.state == onTrial:
		return tierTrial
	case w.health.slow:
		return tierSlow
	}
	return tier(w.distance)
}

// maxProbe bounds how many workers of one heap are tried for a demand that
// the first doesn't fit for want of processors, memory or accelerators.
const maxProbe = 16

// pick returns the worker for the demand, or nil.
func (s *workerSet) pick(d contract.Demand, reserved *worker) *worker {
	for t := range tierCount {
		var best *worker
		for _, g := range s.groups {
			if !g.capacity.Fits(d) {
				continue
			}
			w := g.tiers[t].find(d, reserved)
			if w != nil && (best == nil || w.free > best.free) {
				best = w
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (h workerHeap) find(d contract.Demand, reserved *worker) *worker {
	for i := 0; i < len(h) && i < maxProbe; i++ {
		if h[0].free < d.Slots {
			return nil
		}
		if h[i] != reserved && h[i].fits(d) {
			return h[i]
		}
	}
	return nil
}

// pickLoan returns a worker with a free slot to lend, farthest first, and none
// that is slow or on trial.
func (s *workerSet) pickLoan() *worker {
	for t := int(tierSlow) - 1; t >= 0; t-- {
		for _, g := range s.groups {
			if h := g.tiers[t]; len(h) > 0 && h[0].free > 0 {
				return h[0]
			}
		}
	}
	return nil
}
