// Package schedule implements the scheduler of the leader: it decides which jobs
// are admitted, in what order their tasks start, and on which worker. It does no
// I/O and reads no clock: it takes events and the current time, and returns
// orders for the workers.
//
// Invariants: at most one run of a task is alive at any time; the resources of a
// run count as used on its worker until the run is known to have ended; a task
// whose earlier run may still be alive on an unreachable worker is not started
// again until the hub reports that the worker's session has ended.
package schedule

import (
	"maps"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// phase is the scheduling state of a task, as far as this leader knows it.
type phase uint8

const (
	// phaseBlocked: a step that must finish first is not done.
	phaseBlocked phase = iota
	// phaseUnknown: a run that an earlier leader ordered may be alive on a
	// worker that has not attached yet.
	phaseUnknown
	// phaseWaiting: the task can start as soon as a worker has capacity.
	phaseWaiting
	// phasePlaced: the start has been ordered, or an agent has reported the
	// run.
	phasePlaced
	// phaseEnding: the end has been reported but has not taken effect yet; see
	// TaskEndApplied.
	phaseEnding
	// phaseDone: a run has succeeded and its end has taken effect.
	phaseDone
)

// task is the scheduling state of one task of a job.
type task struct {
	phase phase
	// currentRun is the number of the task's last run, valid while the task is
	// placed on worker.
	currentRun uint64
	// startCount is the number of starts that this leader has ordered.
	startCount int
	worker     *Worker
	// endedEarlier says, in phaseEnding, that the run that ended was not known before:
	// an earlier leader may have counted its end and gone on.
	endedEarlier bool
	// avoidHost is the worker that last failed the task or did not answer its
	// start; the next start prefers other workers.
	avoidHost contract.HostID
	// ratio is the duration of the run that did the task, as a multiple of that on a
	// worker of usual speed, and session that of its worker. The ratio is zero if it
	// is not known.
	ratio   float64
	session contract.WorkerSession
}

// job is a job that has not ended, with the state of its tasks.
type job struct {
	*durable.Job
	arrivedAt time.Duration
	tasks     []task
	// waitingTasks is the number of tasks in phaseWaiting.
	waitingTasks int
	// begun is set once a run of the job has been ordered or reported.
	begun bool
	// transient marks a job that is not in the replicated log; it can be shed
	// until it has begun.
	transient bool
	// settling is set while Settle decides on the job; its tasks wait for that.
	settling bool
	// failedRuns holds the runs whose failure has been counted.
	failedRuns map[uint64]bool
	// shortestRatio is the duration of the job's fastest task so far, as a multiple
	// of that expected on its worker, and shortestWorker that worker. It is zero
	// until the first task is done whose start time is known.
	shortestRatio  float64
	shortestWorker contract.HostID
	// bound marks a transient job that is bound to its entry; see BindToEntry.
	// entryAliveAt is the last proof that the entry is alive.
	bound        bool
	entryAliveAt time.Duration
	// estimate is the expected duration of the job's critical path, and durationError the
	// share by which it may be shorter.
	estimate      time.Duration
	durationError float64
	// stepEnds holds, for each step, the expected time from the job's start to the
	// step's end.
	stepEnds []time.Duration
	// objective is the time within which the job should complete, counted from
	// its arrival.
	objective time.Duration
	// latestStart is the latest time at which the job can start and still meet
	// its objective.
	latestStart time.Duration
	// priorityClass is the first sort key of waiting jobs, before safeStart;
	// 0 goes first.
	priorityClass int
	// verdict is the worst verdict on the job's tasks, and ranAlone says that a worker
	// has crashed that ran nothing but the job.
	verdict  quarantine.Verdict
	ranAlone bool
	// crashedAt is when the last of these crashes was learned.
	crashedAt time.Duration
}

// Order tells a worker to start or to stop a run.
type Order struct {
	Host    contract.HostID
	Session contract.WorkerSession
	// Exactly one of Start and Stop is set.
	Start *contract.RunStart
	Stop  *contract.RunRef
	// Reason says why a run is stopped.
	Reason string
}

// Scheduler schedules jobs on workers for one term of a leader. All times are
// readings of boottime.Now. It is not safe for concurrent use.
type Scheduler struct {
	term      uint64
	createdAt time.Duration
	// jobs holds the jobs that have not ended.
	jobs    map[contract.DurableJobID]*job
	workers map[contract.HostID]*Worker
	// expected holds the workers that the replicated state lists and that have not
	// been reported to this leader yet, by the host of their agent.
	expected map[contract.HostID]contract.WorkerAnnouncement
	// connectedAt holds, for the agents of expected workers that are connected to this
	// hub, since when.
	connectedAt map[contract.HostID]time.Duration
	// workerList holds the same workers as the workers map, in the order of
	// their first report.
	workerList []*Worker
	// viableJobs have waiting tasks, and began in time or can still meet their
	// objective.
	viableJobs jobList
	// lateJobs have waiting tasks, but missed their latest start before they
	// began.
	lateJobs jobList
	// deferredJobs were admitted late and have waiting tasks, in the order of their
	// admission. They go after lateJobs.
	deferredJobs []*job
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// recheckViable is set when the evacuated domains have changed, until the jobs that
	// wait have been examined for those that can no longer end in time.
	recheckViable bool
	// statsByQueue holds the duration statistics of each queue.
	statsByQueue map[string]*queueStats
	// commonTail is the distribution of the durations of all queues, each as a
	// multiple of what its queue expects.
	commonTail durationTail
	// demandRates holds the recently admitted demand of each pool and priority
	// class.
	demandRates map[demandKey]*demandRate
	// queueRates holds what each queue of a pool submits, also what is refused.
	queueRates map[queueKey]*queueRate
	// queueLimits caches, for each queue, what it may use while its pool is short.
	queueLimits map[queueKey]*limits
	// shortUntil says until when each pool counts as short of capacity.
	shortUntil map[string]time.Duration
	// firstOfferAt is when the first job was submitted; zero before.
	firstOfferAt time.Duration
	// returnsUntil says, by pool, until when callers that were refused come back.
	returnsUntil map[string]time.Duration
	// lateRooms caches, by pool, what is left for late jobs.
	lateRooms map[string]*lateRooms
	// runningForecasts caches, by pool, what the running tasks will free.
	runningForecasts map[string]*runningForecast
	// poolSpeeds holds, by pool, what the last CheckRuns derived from the workers'
	// speeds.
	poolSpeeds map[string]*poolSpeed
	// lastShedCheck is when the late jobs were last examined for shedding.
	lastShedCheck time.Duration
	// pendingOrders holds the orders since the last TakeOrders.
	pendingOrders []Order
	// unclaimedRuns holds the worker of each unclaimed run, by the run's job.
	unclaimedRuns map[contract.DurableJobID]map[contract.RunRef]*Worker
	// past holds runs whose job this leader doesn't know, or no longer.
	past pastRuns
	// records says how far back the agents have reported runs.
	records runRecords
	// checkedAt is when CheckRuns was last called.
	checkedAt time.Duration
	// directRuns counts the direct runs that may be alive, by task.
	directRuns map[contract.DurableTask]int
	// runCount is the number of runs that this scheduler has started. Its value
	// after a start is the lower part of that run's number.
	runCount uint64
	// ledger counts the crashes of workers under tasks, and crashNotices holds those
	// since the last TakeCrashes.
	ledger       *quarantine.Ledger
	crashNotices []CrashNotice
	// givenUp holds the jobs that were given up since the last TakeGivenUp.
	givenUp []contract.DurableJobID
	// confinement holds the queues whose tasks crash workers, and cells, by pool, the
	// workers that their jobs may use.
	confinement *quarantine.Confinement
	cells       map[string]*cells
	// lostRuns holds, by host, the runs of sessions that ended without a report.
	lostRuns map[contract.HostID]lostRuns
	// awaitingRelease is set until Release: until then, runs that an earlier
	// leader ordered may be alive on unreachable workers.
	awaitingRelease bool
}

// New returns the scheduler of a new leader for the jobs in the replicated
// state. Tasks of these jobs that no agent reports are not started before
// Release.
func New(term uint64, s *durable.State, now time.Duration) *Scheduler {
	sch := &Scheduler{
		term:             term,
		createdAt:        now,
		jobs:             map[contract.DurableJobID]*job{},
		workers:          map[contract.HostID]*Worker{},
		expected:         maps.Clone(s.Agents),
		connectedAt:      map[contract.HostID]time.Duration{},
		statsByQueue:     map[string]*queueStats{},
		demandRates:      map[demandKey]*demandRate{},
		queueRates:       map[queueKey]*queueRate{},
		queueLimits:      map[queueKey]*limits{},
		returnsUntil:     map[string]time.Duration{},
		shortUntil:       map[string]time.Duration{},
		lateRooms:        map[string]*lateRooms{},
		runningForecasts: map[string]*runningForecast{},
		commonTail:       newDurationTail(),
		poolSpeeds:       map[string]*poolSpeed{},
		unclaimedRuns:    map[contract.DurableJobID]map[contract.RunRef]*Worker{},
		directRuns:       map[contract.DurableTask]int{},
		ledger:           quarantine.NewLedger(),
		confinement:      quarantine.NewConfinement(),
		cells:            map[string]*cells{},
		lostRuns:         map[contract.HostID]lostRuns{},
		awaitingRelease:  true,
		checkedAt:        now,
		records:          newRunRecords(s.Agents),
	}
	sch.SetEvacuated(s.Evacuated)
	sch.recheckViable = false
	sch.restoreCrashes(now, s)
	for _, j := range s.Jobs {
		if !j.State.Ended() {
			age := time.Duration(s.LogTime-j.AcceptedAt) * time.Millisecond
			sch.add(j, now-age, phaseUnknown)
		}
	}
	return sch
}

// AddAccepted adds a job that a majority has stored. arrived is when the job was
// submitted.
func (s *Scheduler) AddAccepted(j *durable.Job, arrived time.Duration) {
	s.add(j, arrived, phaseWaiting)
}

// AddTransient adds a job that is not stored in the replicated log. resubmitted
// says that the job was submitted before: an earlier leader may have started it,
// so its tasks wait until Release. Runs that are left from an earlier submission
// are kept; ends of such runs that have already been reported are returned.
func (s *Scheduler) AddTransient(j *durable.Job, arrived time.Duration, resubmitted bool) []TaskEnd {
	readyPhase := phaseWaiting
	if resubmitted && s.awaitingRelease {
		readyPhase = phaseUnknown
	}
	s.add(j, arrived, readyPhase)
	added := s.jobs[j.ID]
	added.transient = true
	s.claimRuns(added)
	return s.claimEnds(added)
}

// add adds a job unless it is already known. Its tasks that no earlier step
// blocks get the phase readyPhase.
func (s *Scheduler) add(d *durable.Job, arrived time.Duration, readyPhase phase) {
	if s.jobs[d.ID] != nil {
		return
	}
	j := &job{Job: d, arrivedAt: arrived, tasks: make([]task, len(d.Done))}
	j.begun = d.State == contract.DurableRunning
	for i := range j.tasks {
		if d.Done[i] {
			j.tasks[i].phase = phaseDone
		}
	}
	s.jobs[d.ID] = j
	s.estimateJob(j)
	s.judge(j)
	s.unblock(j, readyPhase)
	s.enqueue(j)
}

// unblock moves the blocked tasks of all steps whose prerequisite steps are
// done to readyPhase.
func (s *Scheduler) unblock(j *job, readyPhase phase) {
	first := 0
	for i := range j.Steps {
		end := first + j.Steps[i].Count
		if s.stepsDone(j, j.Steps[i].After) {
			for t := first; t < end; t++ {
				if j.tasks[t].phase == phaseBlocked {
					s.setPhase(j, t, readyPhase)
				}
			}
		}
		first = end
	}
}

// stepsDone reports whether all tasks of the given steps are done.
func (s *Scheduler) stepsDone(j *job, steps []int) bool {
	for _, step := range steps {
		first := 0
		for i := range step {
			first += j.Steps[i].Count
		}
		for t := first; t < first+j.Steps[step].Count; t++ {
			if j.tasks[t].phase != phaseDone {
				return false
			}
		}
	}
	return true
}

// setPhase changes the phase of task t and updates the job's count of waiting
// tasks.
func (s *Scheduler) setPhase(j *job, t int, p phase) {
	if j.tasks[t].phase == phaseWaiting {
		j.waitingTasks--
	}
	if p == phaseWaiting {
		j.waitingTasks++
	}
	j.tasks[t].phase = p
}

// JobEnded removes a job that has ended and orders its remaining runs to stop.
func (s *Scheduler) JobEnded(id contract.DurableJobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.learnSpeeds(j)
	if j.State == contract.DurableCompleted {
		s.confinement.JobDone(s.checkedAt, j.arrivedAt, j.queueID())
	}
	delete(s.jobs, id)
	s.viableJobs.remove(j)
	s.lateJobs.remove(j)
	s.removeDeferred(j)
	for i := range j.tasks {
		if j.tasks[i].phase == phasePlaced {
			s.abandonRun(j, i)
		}
	}
	if j.transient && j.begun {
		s.past.noteJob(s.checkedAt, id)
	}
}

// abandonRun orders the present run of the placed task t to stop. The run no longer
// belongs to the job.
func (s *Scheduler) abandonRun(j *job, t int) {
	tk := &j.tasks[t]
	ref := contract.RunRef{Job: j.ID, Task: uint32(t), Run: tk.currentRun}
	if r := tk.worker.runs[ref]; r != nil {
		s.markUnclaimed(tk.worker, ref)
		if j.bound && j.State == contract.DurableCancelled {
			r.authorityLimit = j.entryAliveAt + contract.BoundSilence
		}
	}
	s.stopRun(tk.worker, ref, "job ended")
}

// stopRun orders the worker to stop a run for the given reason, unless the stop was
// ordered before or the worker does not have the run.
func (s *Scheduler) stopRun(w *Worker, ref contract.RunRef, reason string) {
	if r := w.runs[ref]; r != nil && !r.stopping {
		r.stopping = true
		s.pendingOrders = append(s.pendingOrders, Order{Host: w.Host, Session: w.Session, Stop: &ref, Reason: reason})
	}
}

// TaskEndApplied updates a task after the end of one of its runs has taken effect:
// for a durable job once a majority has stored it, for a transient job at once.
// Done tasks unblock later steps; failed ones wait for another start.
func (s *Scheduler) TaskEndApplied(ref contract.DurableTask) {
	j := s.jobs[ref.Job]
	if j == nil || int(ref.Task) >= len(j.tasks) {
		return
	}
	// After an end that an earlier leader may have counted, that leader may have started
	// the next run of the task, or the steps after it, on a worker out of reach. Of a
	// stored job, all task ends that it counted are in the log.
	t, done, next := &j.tasks[ref.Task], j.Done[ref.Task], phaseWaiting
	if t.endedEarlier && s.awaitingRelease && (j.transient || !done) {
		next = phaseUnknown
	}
	if done {
		s.setPhase(j, int(ref.Task), phaseDone)
		s.unblock(j, next)
	} else if t.phase == phaseEnding {
		s.setPhase(j, int(ref.Task), next)
	}
	s.claimRuns(j)
	s.enqueue(j)
}

// Release allows tasks in phaseUnknown to start. The hub calls it once no run
// that an earlier leader ordered can be alive on an unreachable worker.
func (s *Scheduler) Release() {
	if !s.awaitingRelease {
		return
	}
	s.awaitingRelease = false
	for _, j := range s.jobs {
		if !j.settling {
			s.releaseTasks(j)
		}
	}
}

// AwaitingRelease reports whether Release has not been called yet.
func (s *Scheduler) AwaitingRelease() bool { return s.awaitingRelease }

// Begun reports whether a run of the job has been ordered or reported. It is
// false for a job that is not known or has ended.
func (s *Scheduler) Begun(id contract.DurableJobID) bool {
	j := s.jobs[id]
	return j != nil && j.begun
}

// WaitingJobs returns how many jobs of the queue have not begun.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// TakeOrders returns the pending orders and clears them.
func (s *Scheduler) TakeOrders() []Order {
	o := s.pendingOrders
	s.pendingOrders = nil
	return o
}
