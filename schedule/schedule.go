// Package schedule decides, beside the leader of the replicated log, which
// durable job is admitted, in what order tasks start, and on which worker. It
// is pure: events and the time go in, orders come out.
//
// Invariants: a task has at most one run that may be alive; a run's demand
// counts against its worker until its end is listed; a task whose earlier run
// may be alive on a worker out of reach waits until the driver says that the
// worker's session is over.
package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// phase is what is known of a task.
type phase uint8

const (
	// phaseBlocked: an earlier step is not done.
	phaseBlocked phase = iota
	// phaseUnknown: a run of an earlier leader may be alive somewhere.
	phaseUnknown
	phaseWaiting
	phasePlaced
	// phaseEnding: the end is reported and not yet stored by a majority.
	phaseEnding
	phaseDone
)

type task struct {
	phase  phase
	run    uint64
	runs   int
	worker *Worker
	// avoid is the worker that the task failed on last.
	avoid contract.HostID
}

// job is a job under way.
type job struct {
	*durable.Job
	arrived time.Duration
	tasks   []task
	// waiting counts the tasks that wait for a worker.
	waiting int
	begun   bool
	// transient jobs are not stored: one that has not begun can be given up.
	transient bool
	// best is the shortest time that one of its tasks took, on bestWorker.
	best       time.Duration
	bestWorker contract.HostID
	// estimate is the expected time of its longest chain of tasks.
	estimate time.Duration
	// objective is the time from arrival in which the job should complete.
	objective time.Duration
	// latestStart is when the job must start to meet its objective.
	latestStart time.Duration
	// rank orders the jobs before their latest start does; 0 goes first.
	rank int
}

// Order is one decision for a worker.
type Order struct {
	Host    contract.HostID
	Session contract.WorkerSession
	// Start and Stop are alternatives.
	Start *contract.RunStart
	Stop  *contract.RunRef
}

// Scheduler holds the jobs under way and the workers. It is not safe for
// concurrent use.
type Scheduler struct {
	term    uint64
	since   time.Duration
	jobs    map[contract.DurableJobID]*job
	workers map[contract.HostID]*Worker
	order   []*Worker
	viable  jobList
	late    jobList
	queues  map[string]*queueStats
	// demands are how much work of each rank came and was taken lately.
	demands map[demandKey]*demand
	running map[string]*running
	// hopelessAt is when late jobs were last looked at.
	hopelessAt time.Duration
	orders     []Order
	// orphans are ends of jobs that are not known, oldest first.
	orphans []orphan
	lastRun uint64
	// holding says that tasks of earlier leaders may run out of reach.
	holding bool
}

// New returns the scheduler of a new leader. Tasks of jobs that were accepted
// before wait until Release.
func New(term uint64, s *durable.State, now time.Duration) *Scheduler {
	sch := &Scheduler{
		term:    term,
		since:   now,
		jobs:    map[contract.DurableJobID]*job{},
		workers: map[contract.HostID]*Worker{},
		queues:  map[string]*queueStats{},
		demands: map[demandKey]*demand{},
		running: map[string]*running{},
		holding: true,
	}
	for _, j := range s.Jobs {
		if !j.State.Ended() {
			age := time.Duration(s.At-j.At) * time.Millisecond
			sch.add(j, now-age, phaseUnknown)
		}
	}
	return sch
}

// Accepted takes a job that a majority has stored. arrived is when it was
// submitted.
func (s *Scheduler) Accepted(j *durable.Job, arrived time.Duration) {
	s.add(j, arrived, phaseWaiting)
}

// Transient takes a job that is not stored. One that an earlier leader may have
// started waits until Release. What is left of a former submission counts: its
// runs go on, and its ends are returned.
func (s *Scheduler) Transient(j *durable.Job, arrived time.Duration, again bool) []Counted {
	ready := phaseWaiting
	if again && s.holding {
		ready = phaseUnknown
	}
	s.add(j, arrived, ready)
	added := s.jobs[j.ID]
	added.transient = true
	s.linkAll(added)
	return s.claim(added)
}

func (s *Scheduler) add(d *durable.Job, arrived time.Duration, ready phase) {
	if s.jobs[d.ID] != nil {
		return
	}
	j := &job{Job: d, arrived: arrived, tasks: make([]task, len(d.Done))}
	j.begun = d.State == contract.DurableRunning
	for i := range j.tasks {
		if d.Done[i] {
			j.tasks[i].phase = phaseDone
		}
	}
	s.jobs[d.ID] = j
	s.estimateJob(j)
	s.unblock(j, ready)
	s.enqueue(j)
}

// unblock readies the tasks of steps whose earlier steps are done.
func (s *Scheduler) unblock(j *job, ready phase) {
	first := 0
	for i := range j.Steps {
		last := first + j.Steps[i].Count
		if s.stepsDone(j, j.Steps[i].After) {
			for t := first; t < last; t++ {
				if j.tasks[t].phase == phaseBlocked {
					s.setPhase(j, t, ready)
				}
			}
		}
		first = last
	}
}

func (s *Scheduler) stepsDone(j *job, steps []int) bool {
	for _, want := range steps {
		first := 0
		for i := range want {
			first += j.Steps[i].Count
		}
		for t := first; t < first+j.Steps[want].Count; t++ {
			if j.tasks[t].phase != phaseDone {
				return false
			}
		}
	}
	return true
}

func (s *Scheduler) setPhase(j *job, t int, p phase) {
	if j.tasks[t].phase == phaseWaiting {
		j.waiting--
	}
	if p == phaseWaiting {
		j.waiting++
	}
	j.tasks[t].phase = p
}

// Finished takes a job that has ended: what still runs of it is stopped.
func (s *Scheduler) Finished(id contract.DurableJobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.viable.remove(j)
	s.late.remove(j)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phasePlaced {
			ref := contract.RunRef{Job: id, Task: uint32(i), Run: t.run}
			if r := t.worker.runs[ref]; r != nil {
				r.stray = true
			}
			s.stop(t.worker, ref)
		}
	}
}

func (s *Scheduler) stop(w *Worker, ref contract.RunRef) {
	if r := w.runs[ref]; r != nil && !r.stopping {
		r.stopping = true
		s.orders = append(s.orders, Order{Host: w.Host, Session: w.Session, Stop: &ref})
	}
}

// TaskStored takes an end of a task that a majority has stored.
func (s *Scheduler) TaskStored(ref contract.DurableTask) {
	j := s.jobs[ref.Job]
	if j == nil || int(ref.Task) >= len(j.tasks) {
		return
	}
	if j.Done[ref.Task] {
		s.setPhase(j, int(ref.Task), phaseDone)
		s.unblock(j, phaseWaiting)
	} else if j.tasks[ref.Task].phase == phaseEnding {
		s.setPhase(j, int(ref.Task), phaseWaiting)
	}
	s.enqueue(j)
}

// Release says that no run of an earlier leader can be alive out of reach:
// tasks that no agent reported may start.
func (s *Scheduler) Release() {
	if !s.holding {
		return
	}
	s.holding = false
	for _, j := range s.jobs {
		for i := range j.tasks {
			if j.tasks[i].phase == phaseUnknown {
				s.setPhase(j, i, phaseWaiting)
			}
		}
		s.enqueue(j)
	}
}

// Holding reports whether Release is still to come.
func (s *Scheduler) Holding() bool { return s.holding }

// Begun reports whether a task of the job has been ordered to start.
func (s *Scheduler) Begun(id contract.DurableJobID) bool {
	j := s.jobs[id]
	return j != nil && j.begun
}

// Waiting returns how many jobs of the queue have not begun.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Orders returns the orders that were made, and forgets them.
func (s *Scheduler) Orders() []Order {
	o := s.orders
	s.orders = nil
	return o
}
