package dispatch

import (
	"cmp"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// handOverToDraining places the queued tasks of admitted jobs on draining
// workers. It is called when all linked workers are draining: these still accept
// starts for a short time and finish the tasks that they accept. It disregards
// credits, since a worker queues tasks for which it has no free slot.
func (p *Pool) handOverToDraining() {
	var draining []*worker
	for _, w := range p.workers.byRef {
		if w.linked && w.health.state != ejected {
			draining = append(draining, w)
		}
	}
	slices.SortFunc(draining, func(a, b *worker) int {
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
			w := fewestSlotsUsed(draining, j.demand(j.nextTask()))
			if w == nil {
				break
			}
			p.startTask(j, w)
		}
		p.enqueueOrForget(j)
	}
}

// fewestSlotsUsed returns the worker on which this entry uses the fewest slots,
// of those whose capacity fits the demand, or nil.
func fewestSlotsUsed(workers []*worker, d contract.Demand) *worker {
	var best *worker
	for _, w := range workers {
		if w.Capacity.Fits(d) && (best == nil || w.used.Slots < best.used.Slots) {
			best = w
		}
	}
	return best
}
