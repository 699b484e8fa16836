package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

func (p *Pool) finished(ev Finished) {
	j, t := p.placed(ev.Task, ev.Worker)
	if t == nil {
		return
	}
	w := t.worker
	p.dequeue(j)
	p.workers.detach(w)
	p.release(j, t)
	j.open--
	j.remaining -= t.work()
	if ev.Elapsed > 0 {
		p.drain.add(p.now, ev.Elapsed*time.Duration(t.demand.Slots))
		p.judge(w, j, t.placed, ev.Failed)
		if !ev.Failed {
			p.measure(w, t.est, ev.Elapsed)
			p.times.learn(j.team, j.route, t.demand, ev.Elapsed)
		}
	}
	p.workers.attach(w)
	p.forget(w)
	p.requeued(j)
}

// placed returns the task where it is placed at the worker.
func (p *Pool) placed(id contract.TaskID, ref host.Ref) (*jobState, *taskState) {
	if t := p.jobs[id.Job].placedAt(id.Index, ref); t != nil {
		return p.jobs[id.Job], t
	}
	for _, j := range p.former[id.Job] {
		if t := j.placedAt(id.Index, ref); t != nil {
			return j, t
		}
	}
	return nil, nil
}

// placedAt returns the job's task where it is placed at the worker.
func (j *jobState) placedAt(index uint32, ref host.Ref) *taskState {
	if j == nil || int(index) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[index]
	if t.worker == nil || t.worker.Ref != ref {
		return nil
	}
	return t
}

// release gives back what a placed task takes; its worker is detached.
func (p *Pool) release(j *jobState, t *taskState) {
	t.worker.take(t.demand, -1)
	if q := p.byTeam[j.team]; q != nil {
		q.used -= t.demand.Slots
	}
	t.worker = nil
}

func (p *Pool) requeue(ev Requeue) {
	j, t := p.placed(ev.Task, ev.Worker)
	if t == nil {
		return
	}
	w := t.worker
	p.dequeue(j)
	p.workers.detach(w)
	p.release(j, t)
	p.hold(w)
	p.workers.attach(w)
	p.forget(w)
	if j.closed {
		j.open--
		j.remaining -= t.work()
	} else {
		j.queued = append(j.queued, ev.Task.Index)
		j.queuedWork += t.work()
		j.attained -= t.work()
		p.waiting++
	}
	p.requeued(j)
}

func (p *Pool) withdraw(id contract.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.drop(j)
}

// drop ends a job's unplaced tasks.
func (p *Pool) drop(j *jobState) {
	p.dequeue(j)
	p.waiting -= len(j.queued)
	j.open -= len(j.queued)
	j.remaining -= j.queuedWork
	j.queuedWork = 0
	j.queued = nil
	j.closed = true
	p.requeued(j)
}
