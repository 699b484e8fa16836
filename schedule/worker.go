package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// run is a run that is, or may be, alive on a worker.
type run struct {
	need contract.Demand
	// placedAt is when the start was ordered, or, if takenOver is set, when the
	// agent reported the run.
	placedAt time.Duration
	// usualDuration is how long the run should take on a worker of usual speed;
	// zero if the run's job is not known.
	usualDuration time.Duration
	queue         string
	// late is set once the run was found late, and counted against its worker.
	late bool
	// stopping is set once the worker has been ordered to stop the run.
	stopping bool
	// takenOver marks a run that an earlier leader ordered. The time of its
	// start is not known.
	takenOver bool
	// delayed marks a run whose start or end may be delayed, since its agent was out of
	// touch.
	delayed bool
	// unclaimed marks a run that belongs to no job that this leader knows; the
	// job has ended or has not been submitted again yet.
	unclaimed bool
	// direct marks a run that an entry started; see direct.go.
	direct bool
	// bound marks a run of a job that is bound to its entry.
	bound bool
	// onProbation says that a worker has crashed under the run's task before, and that the
	// run has started a short time ago.
	onProbation bool
	// authorityLimit is set once the run was ordered to stop because the entry of its
	// job is silent, its caller has gone, or no entry submitted the job again; see
	// AuthorityLimit.
	authorityLimit time.Duration
}

// Worker is a worker as its agent last reported it, with the runs that may be
// alive on it.
type Worker struct {
	Host    contract.HostID
	Session contract.WorkerSession
	Pool    string
	// instance is the worker's instance, as last reported.
	instance contract.WorkerInstance
	// cell says that the worker is set aside for confined jobs, and cellUsedAt when such
	// a job last needed it.
	cell       bool
	cellUsedAt time.Duration
	// probationRuns is the number of runs that are on probation.
	probationRuns int
	cap           contract.Capacity
	// largest is the largest capacity that the instance has announced.
	largest contract.Capacity
	labels  []string
	// usable says that, by its agent's last report, the worker takes new work: it
	// is present, healthy and not draining.
	usable bool
	// domain is the worker's failure domain, and evacuated says that it is evacuated.
	domain    string
	evacuated bool
	// coldUntil is until when the worker is slower than usual.
	coldUntil time.Duration
	// unreachable says that the hub can't reach the agent; the worker gets no new
	// work.
	unreachable bool
	// heardAt is when the last message of the agent arrived; zero if that is not known.
	heardAt time.Duration
	runs    map[contract.RunRef]*run
	// used is the sum of the resources that runs need.
	used contract.Demand
	health
}

// WorkerReported processes an agent's report of its worker's state. It returns
// the run ends in the report that count for their tasks.
func (s *Scheduler) WorkerReported(now time.Duration, r *contract.WorkerReport) []TaskEnd {
	delete(s.expected, r.Host)
	delete(s.connectedAt, r.Host)
	w := s.workers[r.Host]
	if w == nil {
		w = &Worker{Host: r.Host, runs: map[contract.RunRef]*run{}, health: newHealth()}
		s.workers[r.Host] = w
		s.workerList = append(s.workerList, w)
	}
	s.recordCrashes(now, w, r)
	attach := r.Attach || w.Session != r.Session
	if w.Session != r.Session {
		s.requeueAllRuns(w)
		w.Session = r.Session
		w.health = newHealth()
	}
	w.Pool, w.labels = r.Worker.Pool, r.Worker.Labels
	w.setCapacity(r.Worker.Capacity)
	w.domain, w.evacuated = r.Worker.FailureDomain, s.evacuated[r.Worker.FailureDomain]
	w.coldUntil = now + time.Duration(r.Worker.ColdLeftMillis)*time.Millisecond
	w.unreachable = false
	w.usable = !r.Worker.Draining && !r.NoWorker && !r.Unhealthy
	if w.usable {
		s.workerReturned(now, w)
	}
	// Ends are processed before the list of active runs: a run that has ended
	// is not in that list, and must not be mistaken for one whose start was
	// lost.
	var counted []TaskEnd
	for _, e := range r.Ends {
		if c := s.RunEnded(now, r.Host, e); c != nil {
			counted = append(counted, *c)
		}
	}
	if attach {
		s.reconcileRuns(now, w, r.Running)
	}
	if r.RecentSince > 0 {
		counted = append(counted, s.reportRecent(now, r)...)
		s.records.reported(r.Host, now-r.RecentSince)
	}
	return counted
}

// WorkerReachable marks a worker as reachable again after WorkerUnreachable. It
// does nothing if the worker's session has ended in the meantime.
func (s *Scheduler) WorkerReachable(h contract.HostID) {
	if w := s.workers[h]; w != nil {
		w.unreachable = false
	}
}

// reconcileRuns makes the worker's runs match the list that its agent reported.
// It adds the listed runs that are not known, and removes the runs that are not
// listed, whose start orders were lost, and requeues their tasks. Listed runs that were
// ordered to stop are ordered so again.
func (s *Scheduler) reconcileRuns(now time.Duration, w *Worker, running []contract.PlacedRun) {
	listed := make(map[contract.RunRef]bool, len(running))
	for _, p := range running {
		listed[p.RunRef] = true
		s.past.noteJob(now, p.Job)
		if r := w.runs[p.RunRef]; r != nil && r.stopping {
			// The stop may have been lost with the earlier attachment.
			r.stopping = false
			s.stopRun(w, p.RunRef, "earlier stop may be lost")
		} else if r == nil {
			if p.Direct {
				s.addDirectRun(now, w, p)
				continue
			}
			s.addRun(w, p.RunRef, &run{need: p.Demand, placedAt: now, takenOver: true, bound: p.Bound})
			s.markUnclaimed(w, p.RunRef)
			if j := s.jobs[p.Job]; j != nil {
				s.claimRun(j, w, p.RunRef)
			}
		}
	}
	for ref, r := range w.runs {
		if !listed[ref] {
			s.removeRun(w, ref, r)
			s.requeueTask(ref)
		}
	}
}

// claimRun assigns an unclaimed run to its task, unless the task has another run
// or has ended. The run was ordered by an earlier leader, or is left from an
// earlier submission of the job.
func (s *Scheduler) claimRun(j *job, w *Worker, ref contract.RunRef) {
	if int(ref.Task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	if t.phase != phaseUnknown && t.phase != phaseWaiting {
		return
	}
	r := w.runs[ref]
	step, _ := j.StepOf(ref.Task)
	s.forgetUnclaimed(ref)
	r.unclaimed, r.queue, r.usualDuration = false, j.Queue, s.usualDuration(j, step)
	s.setPhase(j, int(ref.Task), phasePlaced)
	t.worker, t.currentRun = w, ref.Run
	j.begun = true
}

// claimRuns assigns the runs that are left from an earlier submission of the
// job to its tasks.
func (s *Scheduler) claimRuns(j *job) {
	for ref, w := range s.unclaimedRuns[j.ID] {
		s.claimRun(j, w, ref)
	}
}

// markUnclaimed marks a run of the worker as one that belongs to no known job.
func (s *Scheduler) markUnclaimed(w *Worker, ref contract.RunRef) {
	w.runs[ref].unclaimed = true
	byRun := s.unclaimedRuns[ref.Job]
	if byRun == nil {
		byRun = map[contract.RunRef]*Worker{}
		s.unclaimedRuns[ref.Job] = byRun
	}
	byRun[ref] = w
}

// forgetUnclaimed removes a run from unclaimedRuns, if it is there.
func (s *Scheduler) forgetUnclaimed(ref contract.RunRef) {
	if s.unclaimedRuns[ref.Job] == nil {
		return
	}
	delete(s.unclaimedRuns[ref.Job], ref)
	if len(s.unclaimedRuns[ref.Job]) == 0 {
		delete(s.unclaimedRuns, ref.Job)
	}
}

// addRun adds a run and its resources to the worker.
func (s *Scheduler) addRun(w *Worker, ref contract.RunRef, r *run) {
	w.runs[ref] = r
	if r.onProbation {
		w.probationRuns++
	}
	if r.direct {
		s.countDirect(ref, 1)
	}
	w.used.MilliCPU += r.need.MilliCPU
	w.used.MemoryMB += r.need.MemoryMB
	w.used.Accelerators += r.need.Accelerators
}

// endProbation lets other tasks under crashes start beside the run.
func (w *Worker) endProbation(r *run) {
	r.onProbation = false
	w.probationRuns--
}

// removeRun removes a run and its resources from the worker.
func (s *Scheduler) removeRun(w *Worker, ref contract.RunRef, r *run) {
	delete(w.runs, ref)
	s.forgetUnclaimed(ref)
	if r.onProbation {
		w.probationRuns--
	}
	if r.direct {
		s.countDirect(ref, -1)
	}
	w.used.MilliCPU -= r.need.MilliCPU
	w.used.MemoryMB -= r.need.MemoryMB
	w.used.Accelerators -= r.need.Accelerators
}

// requeueTask makes the task of a run wait for another start. The caller must
// know that the run has ended without a result that counts. requeueTask does
// nothing if ref is not the task's current run.
func (s *Scheduler) requeueTask(ref contract.RunRef) {
	j := s.jobs[ref.Job]
	if j == nil || int(ref.Task) >= len(j.tasks) {
		return
	}
	t := &j.tasks[ref.Task]
	if t.phase == phasePlaced && t.currentRun == ref.Run {
		s.setPhase(j, int(ref.Task), phaseWaiting)
		t.worker = nil
		s.claimRuns(j)
		s.enqueue(j)
	}
}

// requeueAllRuns removes all runs from the worker and requeues their tasks.
func (s *Scheduler) requeueAllRuns(w *Worker) {
	for ref, r := range w.runs {
		s.removeRun(w, ref, r)
		s.requeueTask(ref)
	}
}

// WorkerUnreachable marks a worker as unreachable: it gets no new work, but its
// runs are kept.
func (s *Scheduler) WorkerUnreachable(h contract.HostID) {
	if w := s.workers[h]; w != nil {
		w.unreachable = true
		w.outOfTouch()
	}
}

// SessionEnded removes a worker whose session has ended. None of its runs can be
// alive, so their tasks are requeued.
func (s *Scheduler) SessionEnded(h contract.HostID) {
	w := s.workers[h]
	if w == nil {
		return
	}
	s.noteLostRuns(w)
	s.requeueAllRuns(w)
	delete(s.workers, h)
	s.workerList = slices.DeleteFunc(s.workerList, func(x *Worker) bool { return x == w })
}

// TaskEnd is the end of a run that counts as the task's success or as a failed
// attempt. The hub stores it, or applies it at once for a transient job, and
// then calls TaskEndApplied.
type TaskEnd struct {
	contract.DurableTask
	Done bool
}

// RunEnded processes the end of a run: it frees the run's resources, updates the
// worker's health, and requeues the task if the end does not count. It returns
// the end if it counts, and nil otherwise.
func (s *Scheduler) RunEnded(now time.Duration, h contract.HostID, e contract.RunEnded) *TaskEnd {
	w := s.workers[h]
	if w == nil {
		return nil
	}
	r := w.runs[e.RunRef]
	if r != nil {
		s.removeRun(w, e.RunRef, r)
	}
	if e.RunRef.Direct() {
		return nil
	}
	if r != nil {
		s.recordRunEnd(now, w, r, e)
	}
	j := s.jobs[e.Job]
	if j == nil {
		s.past.noteEnd(now, e)
		return nil
	}
	if int(e.Task) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[e.Task]
	isCurrent := t.phase == phasePlaced && t.currentRun == e.Run && t.worker == w
	if !isCurrent && e.Kind != contract.EndNotStarted {
		s.past.noteJob(now, e.Job)
	}
	if !isCurrent && t.phase == phaseBlocked {
		return s.claimReportedEnd(e)
	}
	if !isCurrent && t.phase != phaseUnknown {
		return nil
	}
	switch e.Kind {
	case contract.EndDone, contract.EndFailed:
		if e.Kind == contract.EndFailed && !j.countFailure(e.Run) {
			s.requeueTask(e.RunRef)
			return nil
		}
		s.setPhase(j, int(e.Task), phaseEnding)
		t.endedEarlier = !isCurrent
		t.avoidHost = h
		j.begun = true
		return &TaskEnd{contract.DurableTask{Job: e.Job, Task: e.Task}, e.Kind == contract.EndDone}
	}
	if isCurrent {
		if e.Unanswered || e.Stale {
			t.avoidHost = h
		}
		s.requeueTask(e.RunRef)
	}
	return nil
}
