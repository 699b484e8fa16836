package loadlab

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
)

// step feeds the entry's scheduler and carries out its actions.
func (e *simEntry) step(ev dispatch.Event) {
	if e.dead {
		return
	}
	for _, a := range e.sched.Step(epoch.Add(e.lab.now), ev) {
		e.perform(a)
	}
}

// borrow takes a loan. It is idle where no start follows from it at once.
func (e *simEntry) borrow(ev dispatch.CreditLent) {
	starts := e.lab.count.Starts
	e.step(ev)
	if len(ev.Lend.Credits) > 0 && e.lab.count.Starts == starts {
		e.lab.count.IdleLoans++
	}
}

func (e *simEntry) perform(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Place:
		e.place(a)
	case dispatch.Refuse:
		r := e.lab.runs[a.Job]
		r.refused = true
		r.end(false)
	case dispatch.SendMessage:
		e.tell(a)
	case dispatch.Wake:
		e.lab.after(a.At.Sub(epoch.Add(e.lab.now)), func() { e.step(dispatch.Tick{}) })
	}
}

func (e *simEntry) place(p dispatch.Place) {
	l := e.lab
	r := l.runs[p.Task.Job]
	a := l.byRef[p.Worker]
	i := p.Task.Index
	r.placed[i] = a
	r.starts[i]++
	l.count.Starts++
	t := &simTask{run: r, index: i, from: e}
	l.after(l.latency(e.domain, a.domain), func() { a.take(t) })
}

func (e *simEntry) tell(t dispatch.SendMessage) {
	l := e.lab
	to := l.byHost[t.To]
	var deliver func()
	switch m := t.Message.(type) {
	case *contract.CreditAsk:
		l.count.Asks++
		asked := pair{e.id, to.id}
		if done, before := l.answered[asked]; before && !done {
			l.count.VainAsks++
		}
		l.answered[asked] = false
		deliver = func() { to.step(dispatch.CreditAsked{From: e.id, Ask: m}) }
	case *contract.CreditLend:
		l.count.Loans++
		l.answered[pair{to.id, e.id}] = true
		deliver = func() { to.borrow(dispatch.CreditLent{From: e.id, Lend: m}) }
	case *contract.WorkerSuspect:
		l.count.Suspects++
		deliver = func() { to.step(dispatch.WorkerSuspected{From: e.id, Suspect: m}) }
	}
	l.after(l.latency(e.domain, to.domain), deliver)
}

// take queues a start at the agent, and runs it once a slot is free.
func (a *simAgent) take(t *simTask) {
	if t.run.lost && t.run.entry.dead {
		return
	}
	a.queue = append(a.queue, t)
	if a.used >= a.worker.Capacity.Slots {
		a.lab.count.Queued++
	}
	a.admit()
}

func (a *simAgent) admit() {
	for len(a.queue) > 0 && a.used < a.worker.Capacity.Slots {
		t := a.queue[0]
		a.queue = a.queue[1:]
		if t.over {
			continue
		}
		a.used++
		a.running[t] = true
		t.began = a.lab.now
		work := t.run.work[t.index]
		if a.slow {
			work *= slowFactor
		}
		failed := a.failing
		if failed {
			work = failTime
		}
		a.lab.after(work, func() { a.ended(t, failed) })
	}
}

// ended frees the slot and sends the result.
func (a *simAgent) ended(t *simTask, failed bool) {
	if t.over {
		return
	}
	t.over = true
	delete(a.running, t)
	a.used--
	l := a.lab
	elapsed := l.now - t.began
	a.grant(a.shares.TaskEnded(t.from.id, 1))
	a.admit()
	load := a.used + len(a.queue)
	l.after(l.latency(a.domain, t.from.domain), func() { t.from.result(t, a, elapsed, failed, load) })
}

// stop ends a cancelled task, started or not.
func (a *simAgent) stop(t *simTask) {
	if t.over {
		return
	}
	if a.running[t] {
		a.lab.count.Stray++
		a.ended(t, true)
		return
	}
	t.over = true
	id := contract.TaskID{Job: t.run.id, Index: t.index}
	a.lab.after(a.lab.latency(a.domain, t.from.domain), func() {
		t.from.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Failed: true})
	})
}

func (a *simAgent) grant(grants []dispatch.Grant) {
	l := a.lab
	for _, g := range grants {
		e := l.byHost[g.Entry]
		ev := dispatch.CreditGranted{Worker: a.worker.Ref, Epoch: g.Epoch, Slots: g.Slots}
		if l.now > 0 {
			l.count.Grants++
		}
		l.after(l.latency(a.domain, e.domain), func() { e.step(ev) })
	}
}

// entryLost returns the credits of an entry that is gone.
func (a *simAgent) entryLost(e *simEntry) {
	orphans := 0
	for t := range a.running {
		if t.from == e {
			orphans++
		}
	}
	a.grant(a.shares.EntryDown(e.id, orphans))
}

// result takes a task's end at its entry.
func (e *simEntry) result(t *simTask, a *simAgent, elapsed time.Duration, failed bool, load int) {
	if e.dead {
		return
	}
	r := t.run
	id := contract.TaskID{Job: r.id, Index: t.index}
	e.step(dispatch.WorkerLoad{Worker: a.worker.Ref, Used: load})
	if r.ended {
		if !r.refused {
			e.lab.count.Late++
		}
		e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Failed: true})
		return
	}
	r.busy += elapsed
	delete(r.placed, t.index)
	if failed {
		r.bad = true
		r.failed = true
		r.end(false)
		e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Elapsed: elapsed, Failed: true})
		r.abort()
		return
	}
	e.lab.count.Useful++
	r.open--
	if r.open == 0 {
		r.end(true)
	}
	e.step(dispatch.Finished{Task: id, Worker: a.worker.Ref, Elapsed: elapsed})
}

func (r *jobRun) end(complete bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.complete = complete
	r.finish = r.entry.lab.now
}

// abort withdraws what waits and cancels what was placed.
func (r *jobRun) abort() {
	e := r.entry
	l := e.lab
	e.step(dispatch.Withdraw{Job: r.id})
	seen := make(map[*simAgent]bool)
	for i := range uint32(len(r.work)) {
		a := r.placed[i]
		if a == nil || seen[a] {
			continue
		}
		seen[a] = true
		l.count.Cancels++
		l.after(l.latency(e.domain, a.domain), func() { a.cancel(r) })
	}
}

// cancel stops the job's tasks here.
func (a *simAgent) cancel(r *jobRun) {
	var stop []*simTask
	for _, t := range a.queue {
		if t.run == r {
			stop = append(stop, t)
		}
	}
	for t := range a.running {
		if t.run == r {
			stop = append(stop, t)
		}
	}
	slices.SortFunc(stop, func(x, y *simTask) int { return int(x.index) - int(y.index) })
	for _, t := range stop {
		a.stop(t)
	}
}
