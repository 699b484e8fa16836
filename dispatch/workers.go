package dispatch

import (
	"container/heap"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// tier ranks workers for placement; the lowest tier is tried first. Workers
// that are neither slow nor on probation are ranked by their
// failuredomain.Distance, slow ones follow, and those on probation are last.
type tier int

const (
	tierSlow      = tier(failuredomain.OtherRegion) + 1
	tierProbation = tierSlow + 1
	tierCount     = int(tierProbation) + 1
)

// worker holds what this entry knows of one worker.
type worker struct {
	host.Worker
	distance failuredomain.Distance
	linked   bool
	// credits is the number of slots that this entry may use at the worker: the
	// slots granted under epoch, plus those that peers lent to it, less those
	// that it lent to peers.
	credits int
	granted int // slots that the agent granted under epoch
	epoch   uint64
	// pendingLoan is the number of slots that peers lent under
	// pendingLoanEpoch, whose grant has not arrived here yet.
	pendingLoan      int
	pendingLoanEpoch uint64
	// used is the resources that this entry's placed tasks use there.
	used   contract.Capacity
	health health

	group     *workerGroup
	tier      tier
	heapIndex int // in the heap of group and tier; -1 if not indexed
	free      int // freeSlots when last indexed
}

// freeSlots returns the number of slots on which this entry may start tasks now.
// A worker on probation has at most one slot in use by this entry.
func (w *worker) freeSlots() int {
	n := w.credits - w.used.Slots
	if w.health.state == onProbation {
		n = min(n, 1-w.used.Slots)
	}
	return max(0, n)
}

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable() bool {
	return w.linked && !w.Draining && !w.health.backingOff && w.health.state != ejected
}

// fits reports whether the demand fits on the worker in addition to this
// entry's placed tasks. A CPU or memory capacity of zero is unlimited.
func (w *worker) fits(d contract.Demand) bool {
	if w.freeSlots() < d.Slots || w.used.Accelerators+d.Accelerators > w.Capacity.Accelerators {
		return false
	}
	if w.Capacity.MilliCPU > 0 && w.used.MilliCPU+d.MilliCPU > w.Capacity.MilliCPU {
		return false
	}
	return w.Capacity.MemoryMB == 0 || w.used.MemoryMB+d.MemoryMB <= w.Capacity.MemoryMB
}

// addUsage adds the demand to the worker's usage; a sign of -1 subtracts it.
func (w *worker) addUsage(d contract.Demand, sign int) {
	w.used.Slots += sign * d.Slots
	w.used.MilliCPU += sign * d.MilliCPU
	w.used.MemoryMB += sign * d.MemoryMB
	w.used.Accelerators += sign * d.Accelerators
}

// workerHeap is a max-heap of workers by free slots; ties are broken by host ID
// and incarnation.
type workerHeap []*worker

// Len implements heap.Interface.
func (h workerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
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

// Swap implements heap.Interface.
func (h workerHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) {
	w := x.(*worker)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.heapIndex = -1
	return w
}

// workerGroup holds the workers of one capacity. Workers of few different
// capacities are expected, so groups are searched linearly.
type workerGroup struct {
	capacity contract.Capacity
	linked   int
	serving  int // linked and not draining
	tiers    [tierCount]workerHeap
}

// workerSet holds all known workers and an index of the usable ones for
// placement.
type workerSet struct {
	byRef  map[host.Ref]*worker
	groups []*workerGroup
	// free is the sum of the free slots of all indexed workers.
	free int
	// credits is the sum of the credits of all indexed workers.
	credits int
}

// groupFor returns the group of a capacity, which it creates if needed.
func (s *workerSet) groupFor(c contract.Capacity) *workerGroup {
	for _, g := range s.groups {
		if g.capacity == c {
			return g
		}
	}
	g := &workerGroup{capacity: c}
	s.groups = append(s.groups, g)
	return g
}

// detach removes w from the index. It must be called before w's announcement or
// credits change, and before a change of its health that makes it unusable.
func (s *workerSet) detach(w *worker) {
	if w.heapIndex < 0 {
		return
	}
	s.free -= w.free
	s.credits -= w.credits
	heap.Remove(&w.group.tiers[w.tier], w.heapIndex)
}

// attach inserts w into the index if it is usable; w must not be indexed.
func (s *workerSet) attach(w *worker) {
	if !w.usable() {
		return
	}
	w.group = s.groupFor(w.Capacity)
	w.tier = w.placementTier()
	w.free = w.freeSlots()
	s.free += w.free
	s.credits += w.credits
	heap.Push(&w.group.tiers[w.tier], w)
}

// reindex updates the index after w's usage or tier changed or w became usable.
func (s *workerSet) reindex(w *worker) {
	if w.heapIndex < 0 || w.tier != w.placementTier() {
		s.detach(w)
		s.attach(w)
		return
	}
	free := w.freeSlots()
	s.free += free - w.free
	w.free = free
	heap.Fix(&w.group.tiers[w.tier], w.heapIndex)
}

// placementTier returns the tier that the worker's state calls for.
func (w *worker) placementTier() tier {
	switch {
	case w.health.state == onProbation:
		return tierProbation
	case w.health.slow:
		return tierSlow
	}
	return tier(w.distance)
}

// maxFitAttempts bounds how many workers of one heap are tried when the first
// has enough free slots for a demand but too little of another resource.
const maxFitAttempts = 16

// pickWorker returns the worker on which to place a task with the demand, or
// nil if there is none. It prefers the lowest tier, and within it the workers
// with the most free slots. It never returns the reserved worker, which may be
// nil.
func (s *workerSet) pickWorker(d contract.Demand, reserved *worker) *worker {
	for t := range tierCount {
		var best *worker
		for _, g := range s.groups {
			if !g.capacity.Fits(d) {
				continue
			}
			w := g.tiers[t].firstFit(d, reserved)
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

// firstFit returns the first worker other than reserved that the demand fits,
// among the first maxFitAttempts workers of the heap, or nil.
func (h workerHeap) firstFit(d contract.Demand, reserved *worker) *worker {
	for i := 0; i < len(h) && i < maxFitAttempts; i++ {
		if h[0].free < d.Slots {
			return nil
		}
		if h[i] != reserved && h[i].fits(d) {
			return h[i]
		}
	}
	return nil
}

// pickForLoan returns a worker with a free slot whose credit this entry can
// lend, or nil. It prefers the most distant workers, and excludes those that are
// slow or on probation.
func (s *workerSet) pickForLoan() *worker {
	for t := int(tierSlow) - 1; t >= 0; t-- {
		for _, g := range s.groups {
			if h := g.tiers[t]; len(h) > 0 && h[0].free > 0 {
				return h[0]
			}
		}
	}
	return nil
}
