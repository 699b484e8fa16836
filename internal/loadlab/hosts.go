package loadlab

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
)

// step passes an event to the entry's scheduler and performs the resulting actions. It
// does nothing if the entry is dead.
func (e *simEntry) step(ev dispatch.Event) {
	if e.dead {
		return
	}
	for _, a := range e.sched.Step(epoch.Add(e.sim.now), ev) {
		e.perform(a)
	}
}

// receiveLoan passes a loan to the entry's scheduler. A loan counts as idle if it causes
// no start immediately.
func (e *simEntry) receiveLoan(ev dispatch.CreditLent) {
	starts := e.sim.counts.Starts
	e.step(ev)
	if len(ev.Lend.Credits) > 0 && e.sim.counts.Starts == starts {
		e.sim.counts.IdleLoans++
	}
}

func (e *simEntry) perform(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Place:
		e.place(a)
	case dispatch.Refuse:
		r := e.sim.runs[a.Job]
		r.refused = true
		r.end(false)
	case dispatch.SendMessage:
		e.send(a)
	case dispatch.Wake:
		e.sim.schedule(a.At.Sub(epoch.Add(e.sim.now)), func() { e.step(dispatch.Tick{}) })
	}
}

func (e *simEntry) place(p dispatch.Place) {
	sim := e.sim
	r := sim.runs[p.Task.Job]
	a := sim.byRef[p.Worker]
	i := p.Task.Index
	r.placed[i] = a
	r.starts[i]++
	sim.counts.Starts++
	t := &simTask{run: r, index: i, entry: e}
	sim.schedule(sim.latency(e.domain, a.domain), func() { a.enqueue(t) })
}

func (e *simEntry) send(s dispatch.SendMessage) {
	sim := e.sim
	to := sim.byHost[s.To]
	var deliver func()
	switch m := s.Message.(type) {
	case *contract.CreditAsk:
		sim.counts.Asks++
		pair := entryPair{e.id, to.id}
		if received, asked := sim.loanReceived[pair]; asked && !received {
			sim.counts.UnansweredAsks++
		}
		sim.loanReceived[pair] = false
		deliver = func() { to.step(dispatch.CreditAsked{From: e.id, Ask: m}) }
	case *contract.CreditLend:
		sim.counts.Loans++
		sim.loanReceived[entryPair{to.id, e.id}] = true
		deliver = func() { to.receiveLoan(dispatch.CreditLent{From: e.id, Lend: m}) }
	case *contract.WorkerSuspect:
		sim.counts.Suspects++
		deliver = func() { to.step(dispatch.WorkerSuspected{From: e.id, Suspect: m}) }
	}
	sim.schedule(sim.latency(e.domain, to.domain), deliver)
}

// enqueue adds a task to the queue of the agent, which starts it as soon as a slot is
// free.
func (a *simAgent) enqueue(t *simTask) {
	if t.run.interrupted && t.run.entry.dead {
		return
	}
	a.queue = append(a.queue, t)
	if a.usedSlots >= a.worker.Capacity.Slots {
		a.sim.counts.QueuedStarts++
	}
	a.startQueued()
}

// startQueued starts tasks from the queue while slots are free.
func (a *simAgent) startQueued() {
	for len(a.queue) > 0 && a.usedSlots < a.worker.Capacity.Slots {
		t := a.queue[0]
		a.queue = a.queue[1:]
		if t.ended {
			continue
		}
		a.usedSlots++
		a.running[t] = true
		t.startedAt = a.sim.now
		work := t.run.work[t.index]
		if a.slow {
			work *= slowFactor
		}
		failed := a.failing
		if failed {
			work = failureTime
		}
		a.sim.schedule(work, func() { a.finish(t, failed) })
	}
}

// finish frees the slot of a task and sends its result.
func (a *simAgent) finish(t *simTask, failed bool) {
	if t.ended {
		return
	}
	t.ended = true
	delete(a.running, t)
	a.usedSlots--
	sim := a.sim
	elapsed := sim.now - t.startedAt
	a.sendGrants(a.shares.TaskEnded(t.entry.id, 1))
	a.startQueued()
	load := a.usedSlots + len(a.queue)
	sim.schedule(sim.latency(a.domain, t.entry.domain), func() { t.entry.receiveResult(t, a, elapsed, failed, load) })
}

// stop ends a cancelled task, whether queued or running.
func (a *simAgent) stop(t *simTask) {
	if t.ended {
		return
	}
	if a.running[t] {
		a.sim.counts.StoppedTasks++
		a.finish(t, true)
		return
	}
	t.ended = true
	id := contract.TaskID{Job: t.run.id, Index: t.index}
	a.sim.schedule(a.sim.latency(a.domain, t.entry.domain), func() {
		t.entry.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Failed: true})
	})
}

func (a *simAgent) sendGrants(grants []dispatch.Grant) {
	sim := a.sim
	for _, g := range grants {
		e := sim.byHost[g.Entry]
		ev := dispatch.CreditGranted{Worker: a.worker.Ref, Epoch: g.Epoch, Slots: g.Slots}
		if sim.now > 0 {
			sim.counts.Grants++
		}
		sim.schedule(sim.latency(a.domain, e.domain), func() { e.step(ev) })
	}
}

// reclaimCredits divides the credits of a lost entry among the others, except for the
// slots in which its tasks still run.
func (a *simAgent) reclaimCredits(e *simEntry) {
	running := 0
	for t := range a.running {
		if t.entry == e {
			running++
		}
	}
	a.sendGrants(a.shares.EntryDown(e.id, running))
}

// receiveResult processes the result of a task at its entry. load is the number of tasks
// that are queued or running at the worker.
func (e *simEntry) receiveResult(t *simTask, a *simAgent, elapsed time.Duration, failed bool, load int) {
	if e.dead {
		return
	}
	r := t.run
	id := contract.TaskID{Job: r.id, Index: t.index}
	e.step(dispatch.WorkerLoad{Worker: a.worker.Ref, Used: load})
	if r.ended {
		if !r.refused {
			e.sim.counts.LateResults++
		}
		e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Failed: true})
		return
	}
	r.busyTime += elapsed
	delete(r.placed, t.index)
	if failed {
		r.failedByFault = true
		r.failed = true
		r.end(false)
		e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Elapsed: elapsed, Failed: true})
		r.abort()
		return
	}
	e.sim.counts.UsefulResults++
	r.unfinished--
	if r.unfinished == 0 {
		r.end(true)
	}
	e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Elapsed: elapsed})
}

// end records the end of the job. It has no effect on a job that has ended.
func (r *jobRun) end(complete bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.complete = complete
	r.endedAt = r.entry.sim.now
}

// abort withdraws the queued tasks of the job and cancels the placed ones.
func (r *jobRun) abort() {
	e := r.entry
	sim := e.sim
	e.step(dispatch.Withdraw{Job: r.id})
	cancelled := make(map[*simAgent]bool)
	for i := range uint32(len(r.work)) {
		a := r.placed[i]
		if a == nil || cancelled[a] {
			continue
		}
		cancelled[a] = true
		sim.counts.Cancels++
		sim.schedule(sim.latency(e.domain, a.domain), func() { a.cancelJob(r) })
	}
}

// cancelJob stops the tasks of the job at this agent, in the order of their index.
func (a *simAgent) cancelJob(r *jobRun) {
	var tasks []*simTask
	for _, t := range a.queue {
		if t.run == r {
			tasks = append(tasks, t)
		}
	}
	for t := range a.running {
		if t.run == r {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(x, y *simTask) int { return int(x.index) - int(y.index) })
	for _, t := range tasks {
		a.stop(t)
	}
}
