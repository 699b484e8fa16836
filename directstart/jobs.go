package directstart

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// phase is the state of a task.
type phase uint8

const (
	phaseWaiting phase = iota
	// phasePlaced: a start was sent, and the run has not ended.
	phasePlaced
	phaseDone
	// phaseLost: the end of the run will not be known.
	phaseLost
)

type task struct {
	job   *job
	index int
	phase phase
	agent *agent
	// run is the reference of the last start and number its number on the link.
	run    contract.RunRef
	number uint64
	// failures counts failed runs, refusals refused starts, and losses runs that were lost
	// with their worker or its lease.
	failures, refusals, losses int
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
}

// job is a job that has not been answered.
type job struct {
	contract.DurableJob
	arrivedAt time.Duration
	tasks     []task
	// doneTasks and waitingTasks count the tasks in these phases.
	doneTasks, waitingTasks int
	// mayHaveRun is set once a start was sent that has not been refused.
	mayHaveRun bool
	// latestStart is the latest start that meets the objective, and lateStart the
	// latest one whose result is still of use.
	latestStart, lateStart time.Duration
	// givenUp is set when the job can't complete any more. It is answered as unknown
	// at answerAt.
	givenUp  bool
	answerAt time.Duration
}

const (
	// usefulFactor says how long a result is of use: until this many times the
	// objective after the job's arrival.
	usefulFactor = 3
	// overhead is the time that a job spends outside its tasks.
	overhead = 15 * time.Millisecond
)

func newJob(s Submit) *job {
	j := &job{DurableJob: s.Job, arrivedAt: s.ArrivedAt, tasks: make([]task, s.Job.Steps[0].Count)}
	j.waitingTasks = len(j.tasks)
	for i := range j.tasks {
		j.tasks[i].job, j.tasks[i].index = j, i
	}
	estimate := j.estimate()
	objective := time.Duration(float64(estimate)*j.Slack) + j.Target
	j.latestStart = s.ArrivedAt + objective - estimate - overhead
	j.lateStart = s.ArrivedAt + usefulFactor*objective - estimate - overhead
	return j
}

// need returns the demand of each task.
func (j *job) need() contract.Demand { return j.Steps[0].Demand }

// estimate returns the declared run time of each task.
func (j *job) estimate() time.Duration {
	return time.Duration(j.need().DeclaredMillis) * time.Millisecond
}

// Supports reports whether a job can be run by direct starts: it has one step, without
// a label, rack or limit for each worker.
func Supports(steps []contract.DurableStep) bool {
	return len(steps) == 1 && len(steps[0].After) == 0 && steps[0].Label == "" && steps[0].Rack == "" && steps[0].PerWorker == 0
}

// submit admits a job, answers it from its kept result, or refuses it.
func (d *Dispatcher) submit(now time.Duration, s Submit) {
	if d.jobs[s.Job.ID] != nil {
		return
	}
	if r, ok := d.results[s.Job.ID]; ok {
		d.actions = append(d.actions, r.answer)
		return
	}
	j := newJob(s)
	d.jobs[j.ID] = j
	if d.judge(now, j); d.jobs[j.ID] != j {
		return
	}
	if d.hasRuns(j.ID) {
		d.answer(now, j, Answer{Result: Unknown, Reason: "runs of an earlier submission are being stopped"})
		return
	}
	if reason, wait := d.admit(now, j); reason != "" {
		d.refuse(now, j, reason, wait)
		return
	}
	d.waiting = append(d.waiting, j)
}

// hasRuns reports whether a run of an earlier submission of the job may be alive. Its
// tasks must not start again before it has ended.
func (d *Dispatcher) hasRuns(id contract.DurableJobID) bool {
	for _, a := range d.order {
		for ref := range a.runs {
			if ref.Job == id {
				return true
			}
		}
	}
	return false
}

// endFreeze gives up all jobs after this process was frozen.
func (d *Dispatcher) endFreeze(now time.Duration) {
	d.closedUntil = now + afterFreeze
	for _, j := range d.jobs {
		if !j.mayHaveRun {
			d.refuse(now, j, "the entry was frozen", minRetryAfter)
			continue
		}
		d.giveUp(j, now)
		d.answer(now, j, Answer{Result: Unknown})
	}
}

// answer answers the job's callers and forgets the job.
func (d *Dispatcher) answer(now time.Duration, j *job, a Answer) {
	a.ID, a.Tasks, a.Wait = j.ID, len(j.tasks), now-j.arrivedAt
	d.actions = append(d.actions, a)
	if a.Result == Completed || a.Result == Failed {
		d.results[j.ID] = result{a, now}
		d.lastResults = append(d.lastResults, j.ID)
	}
	d.forget(j)
}

// refuse answers that the job has not run. Where a worker has crashed under it before, the
// outcome is unknown instead.
func (d *Dispatcher) refuse(now time.Duration, j *job, reason string, retryAfter time.Duration) {
	if d.crashedUnder(j) {
		d.answer(now, j, Answer{Result: Unknown, Reason: reason})
		return
	}
	d.answer(now, j, Answer{Result: Refused, Reason: reason, RetryAfter: retryAfter})
}

// forget removes the job and stops its runs. Their ends still free capacity.
func (d *Dispatcher) forget(j *job) {
	d.stopRuns(j)
	delete(d.jobs, j.ID)
	d.waiting = slices.DeleteFunc(d.waiting, func(o *job) bool { return o == j })
}

// stopRuns asks the agents to stop all runs of the job.
func (d *Dispatcher) stopRuns(j *job) {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phasePlaced {
			d.actions = append(d.actions, Stop{Link: t.agent.link, Ref: t.run})
			t.phase = phaseLost
		}
	}
}

// giveUp stops the job's runs and starts no more. The job is answered as unknown at
// the given time, or when it is already to be answered, at the later one.
func (d *Dispatcher) giveUp(j *job, answerAt time.Duration) {
	if d.jobs[j.ID] != j {
		return
	}
	d.stopRuns(j)
	j.givenUp, j.answerAt = true, max(j.answerAt, answerAt)
	d.waiting = slices.DeleteFunc(d.waiting, func(o *job) bool { return o == j })
}

func (d *Dispatcher) abandon(id contract.DurableJobID) {
	if j := d.jobs[id]; j != nil {
		d.forget(j)
	}
}

// rematch makes the jobs follow their queues. Tasks that wait start on workers of the new
// pool; runs go on where they are.
func (d *Dispatcher) rematch(change *contract.QueueChange) {
	for _, j := range d.jobs {
		change.Rematch(&j.DurableJob)
	}
}

// handleEnd processes the end of a run. Ends of runs that were stopped only free
// capacity.
func (d *Dispatcher) handleEnd(now time.Duration, e End) {
	a := d.agents[e.Link]
	if a == nil || a.runs[e.RunRef] == nil {
		return
	}
	t := a.runs[e.RunRef]
	j := t.job
	delete(a.runs, e.RunRef)
	use(&a.free, j.need(), -1)
	if e.Kind == contract.EndNotStarted {
		a.refused = true
	} else {
		d.recordFreed(now, j.Pool, j.need().MilliCPU)
	}
	if t.phase != phasePlaced || d.jobs[j.ID] != j {
		return
	}
	switch e.Kind {
	case contract.EndDone:
		t.phase = phaseDone
		if j.doneTasks++; j.doneTasks == len(j.tasks) {
			d.confinement.JobDone(now, j.arrivedAt, j.queueID())
			d.answer(now, j, Answer{Result: Completed})
		}
	case contract.EndFailed:
		if t.failures++; t.failures >= j.MaxAttempts {
			t.phase = phaseLost
			d.answer(now, j, Answer{Result: Failed})
			return
		}
		d.wait(j, t)
	case contract.EndLost:
		if t.losses++; t.losses >= maxLost {
			d.giveUp(j, now)
			d.answer(now, j, Answer{Result: Unknown, Reason: "its workers were lost"})
			return
		}
		d.wait(j, t)
	case contract.EndNotStarted:
		d.wait(j, t)
		d.startRefused(now, j, t)
	default:
		t.phase = phaseLost
		d.giveUp(j, now)
		d.answer(now, j, Answer{Result: Unknown})
	}
}

// wait makes a task wait for another start.
func (d *Dispatcher) wait(j *job, t *task) {
	t.phase, t.agent = phaseWaiting, nil
	if j.waitingTasks++; j.waitingTasks == 1 {
		d.waiting = append(d.waiting, j)
	}
}

// startRefused counts a refused start. A job of which nothing has run is refused after
// too many.
func (d *Dispatcher) startRefused(now time.Duration, j *job, t *task) {
	if t.refusals++; t.refusals%refusalsPerRound == 0 {
		t.notBefore = now + refusalPause
	}
	j.mayHaveRun = slices.ContainsFunc(j.tasks, func(o task) bool {
		return o.phase != phaseWaiting || o.failures+o.losses > 0
	})
	if t.refusals >= maxRefusals && !j.mayHaveRun {
		d.refuse(now, j, "the agents have no room", minRetryAfter)
	}
}

// expire answers the jobs whose time has come: those that were given up, and those
// that wait in vain. It forgets old results.
func (d *Dispatcher) expire(now time.Duration) {
	for _, j := range d.jobs {
		switch {
		case j.givenUp:
			if now >= j.answerAt {
				d.answer(now, j, Answer{Result: Unknown})
			}
		case j.waitingTasks == 0:
		case d.crashedUnder(j) && j.waitingTasks == len(j.tasks) && now > j.lateStart:
			d.answer(now, j, Answer{Result: Unknown, Reason: "no room after a crash"})
		case !j.mayHaveRun && now > j.lateStart:
			d.refuse(now, j, "no room within the objective", minRetryAfter)
		case now-d.lastOpen[j.Pool] > noAgentsTime && !j.mayHaveRun:
			d.refuse(now, j, "no agent offers direct starts any more", minRetryAfter)
		case now-d.lastOpen[j.Pool] > noAgentsTime:
			d.giveUp(j, now)
			d.answer(now, j, Answer{Result: Unknown})
		}
	}
	d.ledger.Forget(now, func(id contract.DurableJobID) bool { return d.jobs[id] != nil })
	n := 0
	for n < len(d.lastResults) && now-d.results[d.lastResults[n]].at > resultTTL {
		delete(d.results, d.lastResults[n])
		n++
	}
	d.lastResults = d.lastResults[n:]
}

// place starts the waiting tasks that fit on a worker. Jobs that have begun go first,
// then those that can meet their objective, by priority and latest start.
func (d *Dispatcher) place(now time.Duration) {
	if len(d.waiting) == 0 {
		return
	}
	slices.SortStableFunc(d.waiting, func(a, b *job) int { return a.compare(b, now) })
	misses := 0
	reserved := map[string]map[*agent]bool{}
	for _, j := range d.waiting {
		if _, known := reserved[j.Pool]; !known {
			reserved[j.Pool] = d.reserved(j.Pool)
		}
		if !d.placeJob(now, j, reserved[j.Pool]) && !d.confined(j) {
			if misses++; misses >= maxMisses {
				break
			}
		}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(j *job) bool { return j.waitingTasks == 0 })
}

// maxMisses is the number of jobs that could not be fully placed after which place
// stops, since few of the others would fit.
const maxMisses = 8

// compare orders waiting jobs.
func (j *job) compare(o *job, now time.Duration) int {
	rank := func(j *job) int {
		switch {
		case j.mayHaveRun:
			return 0
		case j.latestStart >= now:
			return 1 + min(j.Priority, 1)
		}
		return 3
	}
	return cmp.Or(cmp.Compare(rank(j), rank(o)), cmp.Compare(j.latestStart, o.latestStart), cmp.Compare(j.ID, o.ID))
}

// placeJob starts the job's waiting tasks until one fits on no worker. It reports
// whether none is left. reserved holds the agents that are left to confined queues.
func (d *Dispatcher) placeJob(now time.Duration, j *job, reserved map[*agent]bool) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phaseWaiting {
			continue
		}
		if t.notBefore > now {
			return false
		}
		confined := d.confined(j)
		a := d.pickAgent(now, j, reserved)
		if confined {
			a = d.pickConfined(now, j)
		}
		if a == nil {
			return false
		}
		d.start(j, t, a, confined)
	}
	return true
}

// pickAgent returns the one of two random agents with room for a task that has the
// larger free share, or nil if no agent has room. If all entries chose the agent with
// the most room, they would choose the same one.
// Agents that are left to confined queues, or on which a suspect runs beside which j would
// be another one, come after all others.
func (d *Dispatcher) pickAgent(now time.Duration, j *job, reserved map[*agent]bool) *agent {
	suspect := d.crashedUnder(j)
	avoid := func(a *agent) bool { return reserved[a] || suspect && d.suspects(a) }
	if a := d.pickAmong(now, j, func(a *agent) bool { return !avoid(a) }); a != nil {
		return a
	}
	return d.pickAmong(now, j, avoid)
}

// pickAmong is pickAgent for the agents that usable names.
func (d *Dispatcher) pickAmong(now time.Duration, j *job, usable func(*agent) bool) *agent {
	var first, second *agent
	n := 0
	for _, a := range d.order {
		if !usable(a) || a.refused || a.offer.Pool != j.Pool || !a.open(now) || !a.free.HasRoomFor(j.need()) {
			continue
		}
		n++
		// Reservoir sampling of two.
		switch k := d.rand.IntN(n); {
		case n == 1:
			first = a
		case n == 2:
			second = a
		case k == 0:
			first = a
		case k == 1:
			second = a
		}
	}
	if second != nil && second.freeShare() > first.freeShare() {
		return second
	}
	return first
}

// freeShare returns the free share of the worker's CPU.
func (a *agent) freeShare() float64 {
	return float64(a.free.MilliCPU) / float64(max(1, a.offer.Capacity.MilliCPU))
}

// start sends the start of a task to an agent. alone says that the worker may run nothing
// but the job.
func (d *Dispatcher) start(j *job, t *task, a *agent, alone bool) {
	// The counter wraps within the entry's block.
	d.runCount = d.runCount&^(1<<runBlockBits-1) | (d.runCount+1)&(1<<runBlockBits-1)
	a.lastNumber++
	t.phase, t.agent, t.number = phasePlaced, a, a.lastNumber
	t.run = contract.RunRef{Job: j.ID, Task: uint32(t.index), Run: d.runCount}
	a.runs[t.run] = t
	use(&a.free, j.need(), 1)
	j.waitingTasks--
	j.mayHaveRun = true
	d.actions = append(d.actions, Start{a.link, contract.DirectStart{Number: t.number, Alone: alone, Start: contract.RunStart{
		RunRef: t.run, Demand: j.need(), Name: fmt.Sprintf("%s.0.0.%d", j.ID, t.index), Spec: j.Spec, Queue: j.Queue,
	}}})
}
