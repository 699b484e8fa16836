package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// run is a run that is, or may be, alive on a worker.
type run struct {
	need contract.Demand
	// placed is when the start was ordered; expected is how long it should
	// take on a sound worker.
	placed   time.Duration
	expected time.Duration
	queue    string
	stopping bool
	// takenOver runs were ordered by an earlier leader, at a time that is not
	// known: placed is when the agent reported them.
	takenOver bool
	// stray runs belong to no job under way, as far as this leader knows yet.
	stray bool
}

// Worker is a worker as its agent reported it last.
type Worker struct {
	Host    contract.HostID
	Session contract.WorkerSession
	Pool    string
	cap     contract.Capacity
	labels  []string
	// usable says that it takes new work: neither draining, gone, unhealthy
	// nor out of reach.
	usable bool
	away   bool
	runs   map[contract.RunRef]*run
	used   contract.Demand
	health
}

// Report takes all that an agent knows of its worker. It returns the ends that
// are to be stored.
func (s *Scheduler) Report(now time.Duration, r *contract.WorkerReport) []Counted {
	w := s.workers[r.Host]
	if w == nil {
		w = &Worker{Host: r.Host, runs: map[contract.RunRef]*run{}, health: newHealth()}
		s.workers[r.Host] = w
		s.order = append(s.order, w)
	}
	attach := r.Attach || w.Session != r.Session
	if w.Session != r.Session {
		s.voidRuns(w)
		w.Session = r.Session
		w.health = newHealth()
	}
	w.Pool, w.cap, w.labels = r.Worker.Pool, r.Worker.Capacity, r.Worker.Labels
	w.away = false
	w.usable = !r.Worker.Draining && !r.Gone && !r.Unhealthy
	// The ends come first: a run that has ended is not among those that run,
	// and must not be taken for one that never arrived.
	var out []Counted
	for _, e := range r.Ends {
		if c := s.Ended(now, r.Host, e); c != nil {
			out = append(out, *c)
		}
	}
	if attach {
		s.adopt(now, w, r.Running)
	}
	return out
}

// Back says that a silent agent, whose session goes on, was heard again.
func (s *Scheduler) Back(h contract.HostID) {
	if w := s.workers[h]; w != nil {
		w.away = false
	}
}

// adopt brings the runs of a worker in line with its agent's list.
func (s *Scheduler) adopt(now time.Duration, w *Worker, running []contract.HeldRun) {
	listed := make(map[contract.RunRef]bool, len(running))
	for _, h := range running {
		listed[h.RunRef] = true
		if w.runs[h.RunRef] == nil {
			s.hold(w, h.RunRef, &run{need: h.Need, placed: now, takenOver: true, stray: true})
			if j := s.jobs[h.Job]; j != nil {
				s.link(j, w, h.RunRef)
			}
		}
	}
	for ref, r := range w.runs {
		if !listed[ref] {
			s.drop(w, ref, r)
			s.requeue(ref)
		}
	}
}

// link gives a run that an earlier leader ordered, or that a former
// submission of the job left behind, to its task.
func (s *Scheduler) link(j *job, w *Worker, ref contract.RunRef) {
	if int(ref.Task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	if t.phase != phaseUnknown && t.phase != phaseWaiting {
		return
	}
	r := w.runs[ref]
	step, _ := j.StepOf(ref.Task)
	r.stray, r.queue, r.expected = false, j.Queue, s.expected(j, step)
	s.setPhase(j, int(ref.Task), phasePlaced)
	t.worker, t.run = w, ref.Run
	j.begun = true
}

// linkAll gives a job that was submitted again the runs that are left of it.
func (s *Scheduler) linkAll(j *job) {
	for _, w := range s.order {
		for ref, r := range w.runs {
			if r.stray && ref.Job == j.ID {
				s.link(j, w, ref)
			}
		}
	}
}

// hold counts a run against its worker.
func (s *Scheduler) hold(w *Worker, ref contract.RunRef, r *run) {
	w.runs[ref] = r
	w.used.MilliCPU += r.need.MilliCPU
	w.used.MemoryMB += r.need.MemoryMB
	w.used.Accelerators += r.need.Accelerators
}

func (s *Scheduler) drop(w *Worker, ref contract.RunRef, r *run) {
	delete(w.runs, ref)
	w.used.MilliCPU -= r.need.MilliCPU
	w.used.MemoryMB -= r.need.MemoryMB
	w.used.Accelerators -= r.need.Accelerators
}

// requeue lets a task whose run has certainly ended, and does not count, wait
// again.
func (s *Scheduler) requeue(ref contract.RunRef) {
	j := s.jobs[ref.Job]
	if j == nil || int(ref.Task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	if t.phase == phasePlaced && t.run == ref.Run {
		s.setPhase(j, int(ref.Task), phaseWaiting)
		t.worker = nil
		s.enqueue(j)
	}
}

func (s *Scheduler) voidRuns(w *Worker) {
	for ref, r := range w.runs {
		s.drop(w, ref, r)
		s.requeue(ref)
	}
}

// Away says that the agent is silent: its worker gets no new work.
func (s *Scheduler) Away(h contract.HostID) {
	if w := s.workers[h]; w != nil {
		w.away = true
	}
}

// SessionOver says that all that ran in the worker's session has ended.
func (s *Scheduler) SessionOver(h contract.HostID) {
	w := s.workers[h]
	if w == nil {
		return
	}
	s.voidRuns(w)
	delete(s.workers, h)
	s.order = slices.DeleteFunc(s.order, func(x *Worker) bool { return x == w })
}

// Counted is an end that the driver must store.
type Counted struct {
	contract.DurableTask
	Done bool
}

// Ended takes the end of a run. It returns what is to be stored, or nil.
func (s *Scheduler) Ended(now time.Duration, h contract.HostID, e contract.RunEnded) *Counted {
	w := s.workers[h]
	if w == nil {
		return nil
	}
	r := w.runs[e.RunRef]
	if r != nil {
		s.drop(w, e.RunRef, r)
		s.observe(now, w, r, e)
	}
	j := s.jobs[e.Job]
	if j == nil {
		s.orphaned(now, e)
		return nil
	}
	if int(e.Task) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[e.Task]
	mine := t.phase == phasePlaced && t.run == e.Run && t.worker == w
	if !mine && t.phase != phaseUnknown {
		return nil
	}
	switch e.How {
	case contract.EndDone, contract.EndFailed:
		s.setPhase(j, int(e.Task), phaseEnding)
		t.avoid = h
		j.begun = true
		return &Counted{contract.DurableTask{Job: e.Job, Task: e.Task}, e.How == contract.EndDone}
	}
	if mine {
		if e.Unanswered {
			t.avoid = h
		}
		s.requeue(e.RunRef)
	}
	return nil
}
