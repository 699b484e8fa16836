package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// admissionSafetyFactor multiplies the expected time until the end of a job
	// that cannot start at once, before it is compared with the job's deadline.
	admissionSafetyFactor = 1.5
	// noUpstreamRetryAfter is the retry delay given to callers while the pool
	// has no worker that can take their tasks.
	noUpstreamRetryAfter = 2 * time.Second
)

// submitJob admits a job or refuses it at once. It ignores a job without tasks,
// and one with the ID of a job that is not closed.
func (p *Pool) submitJob(s Submit) {
	old := p.jobs[s.Job]
	if old != nil && !old.closed || len(s.Demands) == 0 {
		return
	}
	if old != nil {
		p.superseded[s.Job] = append(p.superseded[s.Job], old)
		delete(p.jobs, s.Job)
	}
	j, err := p.admit(s)
	if err != nil {
		p.actions = append(p.actions, Refuse{Job: s.Job, Err: err})
		return
	}
	p.jobs[j.id] = j
	p.queuedTasks += len(j.queued)
	p.enqueue(j)
}

// admit returns the state of an admitted job, or the reason for its refusal.
func (p *Pool) admit(s Submit) (*jobState, error) {
	if p.servingWorkers == 0 {
		return nil, contract.ErrNoUpstream.WithRetryAfter(noUpstreamRetryAfter, "the pool has no worker, or all of them drain")
	}
	if p.queuedTasks+len(s.Demands) > p.cfg.MaxQueue {
		return nil, contract.ErrOverload.WithRetryAfter(p.retryAfter(0), "%d tasks wait, and the queue takes %d", p.queuedTasks, p.cfg.MaxQueue)
	}
	j := p.newJob(s)
	for i := range j.tasks {
		if i > 0 && j.tasks[i].demand == j.tasks[i-1].demand {
			continue
		}
		if err := p.checkFits(i, j.tasks[i].demand, s.Team); err != nil {
			return nil, err
		}
	}
	if err := p.checkDeadline(j); err != nil {
		return nil, err
	}
	p.fair.charge(p, j)
	p.arrivals.add(p.now, j.remaining)
	return j, nil
}

// newJob returns the state of a job with all of its tasks unplaced.
func (p *Pool) newJob(s Submit) *jobState {
	p.lastSeq++
	j := &jobState{
		id:         s.Job,
		team:       s.Team,
		route:      s.Route,
		admitted:   p.now,
		deadline:   s.Deadline,
		seq:        p.lastSeq,
		tasks:      make([]taskState, len(s.Demands)),
		queued:     make([]uint32, len(s.Demands)),
		unfinished: len(s.Demands),
	}
	for i, d := range s.Demands {
		t := &j.tasks[i]
		t.demand = d.Normalized()
		t.estimate = p.estimator.estimate(s.Team, s.Route, d)
		j.remaining += t.work()
		j.queued[i] = uint32(i)
	}
	j.queuedWork = j.remaining
	slices.SortFunc(j.queued, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(j.tasks[a].estimate, j.tasks[b].estimate), cmp.Compare(b, a))
	})
	j.baseKey = p.now.UnixNano() + int64(p.fair.lead(p.now, s.Team))
	j.orderKey = p.orderKey(j)
	return j
}

// checkFits returns an error if d, the demand of task i, exceeds the team's
// quota, or if no serving worker can run it. In the latter case the error is
// ErrNeverFits if d exceeds every capacity announced so far, and ErrNoUpstream
// if it fits workers that are draining or not linked now.
func (p *Pool) checkFits(i int, d contract.Demand, team string) error {
	if q := p.quotaByTeam[team]; q != nil {
		for _, row := range p.quotaRows {
			if row.Team == team && row.Slots < d.Slots {
				return contract.ErrOverQuota.With("task %d takes %d slots, and the quota of team %s is %d", i, d.Slots, team, row.Slots)
			}
		}
	}
	largest := contract.Capacity{} // the maximum of each resource over the groups
	fitsAbsent := false
	for _, g := range p.workers.groups {
		switch {
		case !g.capacity.Fits(d):
			largest = maxCapacity(largest, g.capacity)
		case g.serving > 0:
			return nil
		default:
			fitsAbsent = true
		}
	}
	if fitsAbsent {
		return contract.ErrNoUpstream.WithRetryAfter(noUpstreamRetryAfter,
			"task %d fits no worker that serves now, but one that drains or is silent: it runs when such a worker is back", i)
	}
	return contract.ErrNeverFits.With("task %d declares %s; the largest that any worker has offered is %s: only the declared size is at fault",
		i, formatResources(d.Slots, d.MilliCPU, d.MemoryMB, d.Accelerators),
		formatResources(largest.Slots, largest.MilliCPU, largest.MemoryMB, largest.Accelerators))
}

// checkDeadline returns an error if the job is expected to end after its
// deadline, given the work that is served before it. It returns nil for a job
// that can start at once.
func (p *Pool) checkDeadline(j *jobState) error {
	if j.deadline.IsZero() {
		return nil
	}
	var ahead int64
	p.eachQueue(func(q *jobQueue) { ahead += q.workBefore(j.orderKey) })
	if ahead == 0 && p.workers.free > 0 {
		return nil
	}
	rate := p.serviceRate()
	wait := p.arrivals.expectedWait(time.Duration(ahead), j.remaining, rate)
	service := max(j.tasks[j.nextTask()].estimate, time.Duration(float64(j.remaining)/rate))
	excess := p.now.Add(time.Duration(admissionSafetyFactor * float64(wait+service))).Sub(j.deadline)
	if excess <= 0 {
		return nil
	}
	return contract.ErrOverload.WithRetryAfter(max(minRetryAfter, excess),
		"the job would end about %s after its deadline: %.1f slot-seconds of work are before it", excess.Round(time.Millisecond), time.Duration(ahead).Seconds())
}

// maxCapacity returns the element-wise maximum of a and b.
func maxCapacity(a, b contract.Capacity) contract.Capacity {
	return contract.Capacity{
		Slots:        max(a.Slots, b.Slots),
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// formatResources formats an amount of each resource for an error message.
func formatResources(slots, milliCPU, memoryMB, accelerators int) string {
	return fmt.Sprintf("slots=%d milli_cpu=%d memory_mb=%d accelerators=%d", slots, milliCPU, memoryMB, accelerators)
}
