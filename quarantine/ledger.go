// Package quarantine decides what follows from crashes of workers: which tasks may have
// caused them, which of these must run alone or not at all, and which queues may use
// only a few workers until their tasks have shown that they are sound. It does no I/O
// and reads no clock.
//
// The load pattern: a few requests a second crash each worker that starts them, and a
// worker is back after seconds. A crash takes the other runs of the worker with it, so
// most of the tasks under a crash are innocent.
//
// Invariants: a crash counts once for a task, whoever reports it and however often; a
// task is given up only if a worker has crashed that ran nothing but its job; a task
// under which MaxCrashes workers have crashed is not started again.
package quarantine

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// MaxCrashes is the number of crashes under a task from which on it is not started
	// any more.
	MaxCrashes = 3
	// crashesToGiveUp is the number of crashes under a task from which on it is given
	// up, if one of them is evidence against its job. A single crash may be the
	// worker's own.
	crashesToGiveUp = 2
	// Retention is how long after its last crash a task is remembered. Callers send
	// a job again within seconds.
	Retention = time.Minute
	// minRestartTime is the least time from a crash to that under the next start of a task:
	// it must be noticed, and the task ordered and started.
	minRestartTime = 15 * time.Millisecond
	// forgetInterval is how often the ledger looks for tasks to forget.
	forgetInterval = time.Second
	// maxTasks bounds the ledger: crashes of a hundred workers with a hundred runs.
	maxTasks = 10_000
)

// Verdict says how a task may be started again.
type Verdict uint8

// The verdicts, from harmless to guilty.
const (
	// Clear: no crash is known.
	Clear Verdict = iota
	// Separate: one worker has crashed under the task, beside others. It is started
	// apart from the other tasks under that crash.
	Separate
	// Isolate: the task is started only on a worker that runs nothing else.
	Isolate
	// Exhausted: the task is not started again, although nothing proves that it is to
	// blame.
	Exhausted
	// GivenUp: the task crashes workers, and its job fails.
	GivenUp
)

// String returns the name in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "separate", "isolate", "exhausted", "given-up"}[v]
}

// record holds the crashes under one task.
type record struct {
	// instances holds the instances that crashed, and alone is how many of them ran nothing
	// but the task's job.
	instances []contract.WorkerInstance
	alone     int
	// lastAt and previousAt are the times of the last crash and of the one before.
	lastAt, previousAt time.Duration
}

// Ledger counts the crashes under tasks. It is not safe for concurrent use.
type Ledger struct {
	tasks map[contract.DurableTask]*record
	// jobs holds the tasks of each job that are in tasks.
	jobs map[contract.DurableJobID][]uint32
	// byAge lists the tasks in the order of their first crashes.
	byAge []contract.DurableTask
	// forgotAt is when Forget last looked at the tasks.
	forgotAt time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{tasks: map[contract.DurableTask]*record{}, jobs: map[contract.DurableJobID][]uint32{}}
}

// Record counts a crash that was noticed at the given time, and returns the tasks
// for which it is new.
func (l *Ledger) Record(at time.Duration, c *contract.WorkerCrash) []contract.DurableTask {
	var counted []contract.DurableTask
	for i := range c.Runs {
		task := c.Runs[i].Task()
		r := l.tasks[task]
		if r == nil {
			r = &record{}
			l.tasks[task] = r
			l.jobs[task.Job] = append(l.jobs[task.Job], task.Task)
			l.byAge = append(l.byAge, task)
		}
		if slices.Contains(r.instances, c.Instance) {
			continue
		}
		r.previousAt, r.lastAt = r.lastAt, max(r.lastAt, at)
		r.instances = append(r.instances, c.Instance)
		if c.Alone() {
			r.alone++
		}
		counted = append(counted, task)
	}
	return counted
}

// Crashes returns the number of workers that have crashed under the task.
func (l *Ledger) Crashes(t contract.DurableTask) int {
	if r := l.tasks[t]; r != nil {
		return len(r.instances)
	}
	return 0
}

// Verdict returns how the task may be started.
func (l *Ledger) Verdict(t contract.DurableTask) Verdict {
	r := l.tasks[t]
	switch {
	case r == nil:
		return Clear
	case len(r.instances) >= crashesToGiveUp && r.alone > 0:
		return GivenUp
	case len(r.instances) >= MaxCrashes:
		return Exhausted
	case len(r.instances) >= crashesToGiveUp || r.alone > 0:
		return Isolate
	}
	return Separate
}

// repeated reports whether the task was under an earlier crash, after which it has been
// started again. Workers that crash at the same moment have a common cause.
func (l *Ledger) repeated(t contract.DurableTask) bool {
	r := l.tasks[t]
	return len(r.instances) >= crashesToGiveUp && r.lastAt-r.previousAt >= minRestartTime
}

// JobVerdict returns the worst verdict on the tasks of a job.
func (l *Ledger) JobVerdict(id contract.DurableJobID) Verdict {
	worst := Clear
	for _, t := range l.jobs[id] {
		worst = max(worst, l.Verdict(contract.DurableTask{Job: id, Task: t}))
	}
	return worst
}

// RanAlone reports whether a worker has crashed that ran nothing but the job.
func (l *Ledger) RanAlone(id contract.DurableJobID) bool {
	return slices.ContainsFunc(l.jobs[id], func(t uint32) bool {
		return l.tasks[contract.DurableTask{Job: id, Task: t}].alone > 0
	})
}

// proven returns the queues of the tasks under the crash that are given up.
func (l *Ledger) proven(c *contract.WorkerCrash) []string {
	var queues []string
	for i := range c.Runs {
		if l.Verdict(c.Runs[i].Task()) == GivenUp && !slices.Contains(queues, c.Runs[i].Queue) {
			queues = append(queues, c.Runs[i].Queue)
		}
	}
	return queues
}

// Empty reports whether no crash is remembered.
func (l *Ledger) Empty() bool { return len(l.tasks) == 0 }

// Forget removes the tasks whose last crash is older than Retention and whose job keep does
// not name, and the oldest ones beyond the bound of the ledger. It does so at most every
// forgetInterval.
func (l *Ledger) Forget(now time.Duration, keep func(contract.DurableJobID) bool) {
	if len(l.tasks) == 0 || now-l.forgotAt < forgetInterval {
		return
	}
	l.forgotAt = now
	excess := len(l.byAge) - maxTasks
	l.byAge = slices.DeleteFunc(l.byAge, func(t contract.DurableTask) bool {
		expired := now-l.tasks[t].lastAt > Retention && !keep(t.Job)
		if !expired && excess <= 0 {
			return false
		}
		excess--
		delete(l.tasks, t)
		if l.jobs[t.Job] = slices.DeleteFunc(l.jobs[t.Job], func(o uint32) bool { return o == t.Task }); len(l.jobs[t.Job]) == 0 {
			delete(l.jobs, t.Job)
		}
		return true
	})
}
