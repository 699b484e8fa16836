package dispatch

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// handOver sends the queued tasks of admitted jobs to the workers that drain,
// once no other worker is left: they take starts for a short time more, and
// end what they took. It leaves credits aside, since the tasks wait at the
// worker for their slots.
func (p *Pool) handOver() {
	var leaving []*worker
	for _, w := range p.workers.byRef {
		if w.linked && w.health.state != ejected {
			leaving = append(leaving, w)
		}
	}
	slices.SortFunc(leaving, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var queued []*jobState
	p.eachQueue(func(q *jobQueue) {
		q.walk(func(j *jobState) bool {
			queued = append(queued, j)
			return true
		})
	})
	for _, j := range queued {
		p.dequeue(j)
		for len(j.queued) > 0 && p.hasQuota(j) {
			w := leastUsed(leaving, j.demand(j.nextTask()))
			if w == nil {
				break
			}
			p.start(j, w)
		}
		p.requeued(j)
	}
}

// leastUsed returns the worker with the fewest slots in use of those that the
// demand fits, or nil.
func leastUsed(workers []*worker, d contract.Demand) *worker {
	var best *worker
	for _, w := range workers {
		if w.Capacity.Fits(d) && (best == nil || w.used.Slots < best.used.Slots) {
			best = w
		}
	}
	return best
}
