package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// taskFinished releases a finished task's resources and learns from its run
// time and result.
func (p *Pool) taskFinished(ev Finished) {
	j, t := p.findPlaced(ev.Task, ev.Worker)
	if t == nil {
		return
	}
	w := t.worker
	p.dequeue(j)
	p.workers.detach(w)
	p.release(j, t)
	j.unfinished--
	j.remaining -= t.work()
	if ev.Elapsed > 0 {
		p.throughput.add(p.now, ev.Elapsed*time.Duration(t.demand.Slots))
		p.recordResult(w, j, t.placedAt, ev.Failed)
		if !ev.Failed {
			p.recordRunTime(w, t.estimate, ev.Elapsed)
			p.estimator.observe(j.team, j.route, t.demand, ev.Elapsed)
		}
	}
	p.workers.attach(w)
	p.forgetIfUnused(w)
	p.enqueueOrForget(j)
}

// findPlaced returns the job and the task with the ID if the task is placed on
// the worker, and nil otherwise. The job may be superseded.
func (p *Pool) findPlaced(id contract.TaskID, ref host.Ref) (*jobState, *taskState) {
	if t := p.jobs[id.Job].placedTask(id.Index, ref); t != nil {
		return p.jobs[id.Job], t
	}
	for _, j := range p.superseded[id.Job] {
		if t := j.placedTask(id.Index, ref); t != nil {
			return j, t
		}
	}
	return nil, nil
}

// placedTask returns the job's task at the index if it is placed on the worker,
// and nil otherwise. A nil j has no tasks.
func (j *jobState) placedTask(index uint32, ref host.Ref) *taskState {
	if j == nil || int(index) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[index]
	if t.worker == nil || t.worker.Ref != ref {
		return nil
	}
	return t
}

// release frees the resources and quota of a placed task. Its worker must be
// detached from the index.
func (p *Pool) release(j *jobState, t *taskState) {
	t.worker.addUsage(t.demand, -1)
	if q := p.quotaByTeam[j.team]; q != nil {
		q.used -= t.demand.Slots
	}
	t.worker = nil
}

// requeueTask releases a task that did not start and queues it again, unless
// its job is closed. Its worker gets no tasks for startBackoff.
func (p *Pool) requeueTask(ev Requeue) {
	j, t := p.findPlaced(ev.Task, ev.Worker)
	if t == nil {
		return
	}
	w := t.worker
	p.dequeue(j)
	p.workers.detach(w)
	p.release(j, t)
	p.backOff(w)
	p.workers.attach(w)
	p.forgetIfUnused(w)
	if j.closed {
		j.unfinished--
		j.remaining -= t.work()
	} else {
		j.queued = append(j.queued, ev.Task.Index)
		j.queuedWork += t.work()
		j.attained -= t.work()
		p.queuedTasks++
	}
	p.enqueueOrForget(j)
}

func (p *Pool) withdrawJob(id contract.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	p.closeJob(j)
}

// closeJob removes a job's unplaced tasks; no further task of it is placed.
func (p *Pool) closeJob(j *jobState) {
	p.dequeue(j)
	p.queuedTasks -= len(j.queued)
	j.unfinished -= len(j.queued)
	j.remaining -= j.queuedWork
	j.queuedWork = 0
	j.queued = nil
	j.closed = true
	p.enqueueOrForget(j)
}
