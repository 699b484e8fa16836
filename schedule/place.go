package schedule

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// maxPlacementMisses is the number of jobs that could not be fully placed after
// which placeList stops, since few of the remaining jobs would fit.
const maxPlacementMisses = 12

// Place orders the start of waiting tasks that fit on a worker. When more tasks
// wait than fit, viable jobs go first, in the order of jobList. Late jobs only
// get what is left: they are placed only if every viable job was fully placed and
// more than the reserve is free. Deferred jobs go after the late ones.
func (s *Scheduler) Place(now time.Duration) {
	s.demote(now)
	s.updateCells(now)
	misses := s.placeList(now, &s.viableJobs)
	s.placeBehindOthers(now)
	if len(s.lateJobs) > 0 && misses == 0 {
		if !s.freeCPUExceedsReserve() {
			return
		}
		misses = s.placeList(now, &s.lateJobs)
	}
	if len(s.deferredJobs) > 0 && misses == 0 {
		s.placeDeferred(now)
	}
}

// placeList places the tasks of the jobs of one list in order. It returns the
// number of jobs that could not be fully placed, without those that only evacuated
// workers could run. Jobs that wait for a fast worker don't end the search as soon as
// others, since these may fit on slow ones.
func (s *Scheduler) placeList(now time.Duration, list *jobList) int {
	placed, misses, held := 0, 0, 0
	for _, j := range *list {
		if misses >= maxPlacementMisses || held >= maxHeldJobs {
			break
		}
		if s.confined(j) && s.behindOthers(now, j) {
			continue
		}
		switch s.placeJob(now, j) {
		case placedAll:
			placed++
		case noCapacity:
			// What waits for evacuated workers says nothing of the others.
			if !s.BlockedByEvacuation(now, &j.DurableJob) {
				misses++
			}
		case awaitsFast:
			held++
		}
	}
	if placed > 0 {
		*list = slices.DeleteFunc(*list, func(j *job) bool { return j.waitingTasks == 0 })
	}
	return misses + held
}

// placement is the result of placing a job's waiting tasks, or one of them.
type placement uint8

const (
	placedAll placement = iota
	// noCapacity: a task fits on no worker.
	noCapacity
	// awaitsFast: a task fits only on slow workers, and is rather to wait.
	awaitsFast
	// awaitsEntry: the job's entry is silent.
	awaitsEntry
	// awaitsCell: the job is confined, and no cell is free.
	awaitsCell
	// awaitsApart: a worker has crashed under the task, and each worker with room runs
	// another such task that has just started.
	awaitsApart
)

// placeBehindOthers places the confined jobs that wait behind the others of their pools,
// where none of these waits or has been refused of late, and workers are not lost to many
// jobs.
func (s *Scheduler) placeBehindOthers(now time.Duration) {
	if s.ledger.Empty() {
		return
	}
	occupied := map[string]bool{}
	for _, j := range s.viableJobs {
		if s.confined(j) && !s.behindOthers(now, j) {
			occupied[j.Pool] = true
		}
	}
	for _, j := range s.viableJobs {
		if s.confined(j) && s.behindOthers(now, j) && !occupied[j.Pool] && !s.cellsOf(j.Pool).refusedLately(now) && !s.manyDeadly(j) {
			s.placeJob(now, j)
		}
	}
	s.viableJobs = slices.DeleteFunc(s.viableJobs, func(j *job) bool { return j.waitingTasks == 0 })
}

// reserveShare is the share of the CPU that is reserved for jobs that arrive
// next: late jobs are placed only if more than this share is free.
const reserveShare = 0.08

// freeCPUExceedsReserve reports whether more CPU than the reserve is free, over
// the available workers of all pools.
func (s *Scheduler) freeCPUExceedsReserve() bool {
	total, used := 0, 0
	for _, w := range s.workerList {
		if w.available() {
			total += w.cap.MilliCPU
			used += w.used.MilliCPU
		}
	}
	return float64(total-used) > reserveShare*float64(total)
}

// available reports whether the worker takes new work without restriction: it
// takes work, is not suspected, and is not set aside for confined jobs.
func (w *Worker) available() bool { return w.takesWork() && !w.suspect() && !w.cell }

// availableWorkers iterates over the available workers of a pool.
func (s *Scheduler) availableWorkers(pool string) iter.Seq[*Worker] {
	return func(yield func(*Worker) bool) {
		for _, w := range s.workerList {
			if w.Pool == pool && w.available() && !yield(w) {
				return
			}
		}
	}
}

// placeJob places the job's waiting tasks in order, up to the first that is not
// placed. It skips tasks that have a direct run.
func (s *Scheduler) placeJob(now time.Duration, j *job) placement {
	if j.entrySilent(now) {
		return awaitsEntry
	}
	if s.confined(j) {
		return s.placeConfined(now, j)
	}
	t := 0
	all := placedAll
	for step := range j.Steps {
		for index := range j.Steps[step].Count {
			switch {
			case j.tasks[t].phase != phaseWaiting:
			case s.directRunAlive(j, t):
				all = noCapacity
			default:
				w, result := s.pickWorker(now, j, step, t)
				if w == nil {
					return result
				}
				s.startTask(now, w, j, step, index, t)
			}
			t++
		}
	}
	return all
}

// startTask orders the worker to start task t of the job, which is the task at
// index within its step.
func (s *Scheduler) startTask(now time.Duration, w *Worker, j *job, step, index, t int) {
	tk := &j.tasks[t]
	tk.startCount++
	s.runCount++
	tk.currentRun = s.term<<contract.RunCountBits | s.runCount
	tk.worker = w
	s.setPhase(j, t, phasePlaced)
	j.begun = true
	ref := contract.RunRef{Job: j.ID, Task: uint32(t), Run: tk.currentRun}
	need := j.Steps[step].Demand
	s.addRun(w, ref, &run{need: need, placedAt: now, usualDuration: s.usualDuration(j, step), queue: j.Queue, onProbation: s.taskVerdict(j, t) != quarantine.Clear})
	w.recordStart(now)
	s.pendingOrders = append(s.pendingOrders, Order{Host: w.Host, Session: w.Session, Start: &contract.RunStart{
		RunRef: ref, Demand: need, Name: fmt.Sprintf("%s.0.%d.%d", j.ID, step, index), Spec: j.Spec, Bound: j.bound, Queue: j.Queue,
	}})
}

// pickWorker returns the eligible worker with the lowest cost for the task index of the
// job, the one that is expected to finish it first; in an uneven pool the one that
// outlook.choose prefers. It returns nil, and why, if no worker is eligible, or if the task
// should wait for a fast one or until it can start apart from other tasks under a crash.
func (s *Scheduler) pickWorker(now time.Duration, j *job, step, index int) (*Worker, placement) {
	st, t := &j.Steps[step], &j.tasks[index]
	pool := s.poolSpeedOf(j.Pool)
	var best, bestSlow *Worker
	var bestCost, bestSlowCost float64
	crashed := s.taskVerdict(j, index) != quarantine.Clear
	apart := false
	for _, w := range s.workerList {
		if w.cell || !s.eligible(now, w, j, step) {
			continue
		}
		cost := w.cost(st)
		if crashed && w.probationRuns > 0 {
			if now-j.crashedAt < apartTime {
				apart = true
				continue
			}
			cost += afterCrashCost
		}
		if w.cold(now) {
			cost += coldCost
		}
		if w.Host == t.avoidHost {
			cost += avoidCost
		}
		if pool.uneven && pool.isSlow(w) {
			if bestSlow == nil || cost < bestSlowCost {
				bestSlow, bestSlowCost = w, cost
			}
		} else if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best == nil && bestSlow == nil {
		if apart {
			return nil, awaitsApart
		}
		return nil, noCapacity
	}
	if bestSlow == nil {
		return best, placedAll
	}
	o := s.outlookOf(now, j, step, pool)
	return o.choose(now, best, bestSlow), awaitsFast
}

// coldCost is added to the cost of a cold worker, which ranks it after all warm ones:
// their slowness is at most maxSlownessSample, and half more for data on another rack.
const coldCost = 20

// avoidCost is added to the cost of the worker that a task should avoid, which
// ranks it after all others.
const avoidCost = 100

const (
	// afterCrashCost is added to the cost of a worker that runs a task under which a worker
	// has crashed, for another such task: a further crash then points to one of them.
	afterCrashCost = 40
	// apartTime is how long after a crash the tasks under it are kept apart at the price of
	// a delay, and probation how long such a run keeps others away: tasks that crash
	// their workers mostly do so within milliseconds of their start.
	apartTime = 150 * time.Millisecond
	probation = 60 * time.Millisecond
)

// remoteRackCost is the extra cost of a worker on another rack than the task's
// data, as a share of the task's duration on that worker.
const remoteRackCost = 0.5

// cost returns the cost of running a task of the step on the worker. It is the
// sum of the worker's slowness, the share of its CPU in use at a low weight, and
// the extra cost of data on another rack. Its unit is the duration of the task on
// a worker of normal speed.
func (w *Worker) cost(st *contract.DurableStep) float64 {
	utilization := float64(w.used.MilliCPU) / float64(max(1, w.cap.MilliCPU))
	cost := w.roundedSlowness() + utilizationWeight*utilization
	if st.Rack != "" && !slices.Contains(w.labels, st.Rack) {
		cost += remoteRackCost * w.roundedSlowness()
	}
	return cost
}

// utilizationWeight is the weight of a worker's CPU utilization in its cost. It
// spreads a job's tasks over workers of about the same speed, so that the loss
// of one affects few of them.
const utilizationWeight = 0.1

// eligible reports whether a task of the step may start on the worker now.
func (s *Scheduler) eligible(now time.Duration, w *Worker, j *job, step int) bool {
	st := &j.Steps[step]
	// Most workers fail the first check while the pool is full.
	if !w.hasCapacityFor(&st.Demand) || !w.takesWork() || w.Pool != j.Pool {
		return false
	}
	if st.Label != "" && !slices.Contains(w.labels, st.Label) {
		return false
	}
	if st.PerWorker > 0 && w.countStepRuns(j, step) >= st.PerWorker {
		return false
	}
	return !w.suspect() || w.acceptsProbe(now)
}

// hasCapacityFor reports whether the worker's free resources cover the demand.
func (w *Worker) hasCapacityFor(d *contract.Demand) bool {
	// A sum with the demand could overflow.
	return d.MilliCPU <= w.cap.MilliCPU-w.used.MilliCPU &&
		d.MemoryMB <= w.cap.MemoryMB-w.used.MemoryMB &&
		d.Accelerators <= w.cap.Accelerators-w.used.Accelerators
}

// countStepRuns returns the number of runs of the step's tasks on the worker.
func (w *Worker) countStepRuns(j *job, step int) int {
	n := 0
	for ref := range w.runs {
		if ref.Job == j.ID {
			if runStep, _ := j.StepOf(ref.Task); runStep == step {
				n++
			}
		}
	}
	return n
}
