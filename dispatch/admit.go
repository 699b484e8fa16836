package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// admitFactor is by how much the time until its deadline must exceed what a
	// job that has to wait is expected to take.
	admitFactor = 1.5
	// retryNoUpstream is how long a caller waits where the pool has no worker.
	retryNoUpstream = 2 * time.Second
)

// submit admits a job or refuses it at once.
func (p *Pool) submit(s Submit) {
	old := p.jobs[s.Job]
	if old != nil && !old.closed || len(s.Demands) == 0 {
		return
	}
	if old != nil {
		p.former[s.Job] = append(p.former[s.Job], old)
		delete(p.jobs, s.Job)
	}
	j, err := p.admit(s)
	if err != nil {
		p.out = append(p.out, Refuse{Job: s.Job, Err: err})
		return
	}
	p.jobs[j.id] = j
	p.waiting += len(j.queued)
	p.enqueue(j)
}

func (p *Pool) admit(s Submit) (*jobState, error) {
	if p.serving == 0 {
		return nil, contract.ErrNoUpstream.Refuse(retryNoUpstream, "the pool has no worker, or all of them drain")
	}
	if p.waiting+len(s.Demands) > p.cfg.MaxQueue {
		return nil, contract.ErrOverload.Refuse(p.retryAfter(0), "%d tasks wait, and the queue takes %d", p.waiting, p.cfg.MaxQueue)
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
	p.arrived.add(p.now, j.remaining)
	return j, nil
}

func (p *Pool) newJob(s Submit) *jobState {
	p.seq++
	j := &jobState{
		id:       s.Job,
		team:     s.Team,
		route:    s.Route,
		admitted: p.now,
		deadline: s.Deadline,
		seq:      p.seq,
		tasks:    make([]taskState, len(s.Demands)),
		queued:   make([]uint32, len(s.Demands)),
		open:     len(s.Demands),
	}
	for i, d := range s.Demands {
		t := &j.tasks[i]
		t.demand = d.Normalized()
		t.est = p.times.estimate(s.Team, s.Route, d)
		j.remaining += t.work()
		j.queued[i] = uint32(i)
	}
	j.queuedWork = j.remaining
	slices.SortFunc(j.queued, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(j.tasks[a].est, j.tasks[b].est), cmp.Compare(b, a))
	})
	j.base = p.now.UnixNano() + int64(p.fair.lead(p.now, s.Team))
	j.key = p.key(j)
	return j
}

// checkFits refuses a task that no worker can take, and says whether the
// declared size alone is at fault.
func (p *Pool) checkFits(i int, d contract.Demand, team string) error {
	if q := p.byTeam[team]; q != nil {
		for _, row := range p.rows {
			if row.Team == team && row.Slots < d.Slots {
				return contract.ErrOverQuota.With("task %d takes %d slots, and the quota of team %s is %d", i, d.Slots, team, row.Slots)
			}
		}
	}
	largest := contract.Capacity{}
	for _, g := range p.workers.groups {
		if !g.capacity.Fits(d) {
			largest = maxCapacity(largest, g.capacity)
			continue
		}
		if g.serving > 0 {
			return nil
		}
		return contract.ErrNoUpstream.Refuse(retryNoUpstream,
			"task %d fits no worker that serves now, but one that drains or is silent: it runs when such a worker is back", i)
	}
	return contract.ErrNeverFits.With("task %d declares %s; the largest that any worker has offered is %s: only the declared size is at fault",
		i, describe(d.Slots, d.MilliCPU, d.MemoryMB, d.Accelerators),
		describe(largest.Slots, largest.MilliCPU, largest.MemoryMB, largest.Accelerators))
}

// checkDeadline refuses a job whose place in the queue makes it late.
func (p *Pool) checkDeadline(j *jobState) error {
	if j.deadline.IsZero() {
		return nil
	}
	var ahead int64
	p.eachQueue(func(q *jobQueue) { ahead += q.workBefore(j.key) })
	if ahead == 0 && p.workers.free > 0 {
		return nil
	}
	rate := p.rate()
	wait := p.arrived.wait(time.Duration(ahead), j.remaining, rate)
	own := max(j.tasks[j.nextTask()].est, time.Duration(float64(j.remaining)/rate))
	excess := p.now.Add(time.Duration(admitFactor * float64(wait+own))).Sub(j.deadline)
	if excess <= 0 {
		return nil
	}
	return contract.ErrOverload.Refuse(max(minRetryAfter, excess),
		"the job would end about %s after its deadline: %.1f slot-seconds of work are before it", excess.Round(time.Millisecond), time.Duration(ahead).Seconds())
}

func maxCapacity(a, b contract.Capacity) contract.Capacity {
	return contract.Capacity{
		Slots:        max(a.Slots, b.Slots),
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func describe(slots, milliCPU, memoryMB, accelerators int) string {
	return fmt.Sprintf("slots=%d milli_cpu=%d memory_mb=%d accelerators=%d", slots, milliCPU, memoryMB, accelerators)
}
