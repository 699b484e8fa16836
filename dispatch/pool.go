package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// Config holds the settings of a Pool.
type Config struct {
	// Name is the pool's name in messages to peers.
	Name string
	// Location is this entry's location.
	Location failuredomain.Location
	// Profile selects the trade-off between response time and the number of
	// messages between entries.
	Profile contract.Profile
	// MaxQueue is the maximum number of queued tasks; zero selects
	// DefaultMaxQueue.
	MaxQueue int
	// Quotas limits the slots that each team may use at once over all entries.
	Quotas []contract.Quota
	// Order is the order in which queued jobs are served.
	Order Order
}

// ConfigFromRow returns the configuration for a row of the pools table and the
// location of this entry. Its Order is OrderRemaining.
func ConfigFromRow(row contract.Pool, location failuredomain.Location) Config {
	return Config{Name: row.Name, Location: location, Profile: row.Profile, MaxQueue: row.MaxQueue, Quotas: row.Quotas}
}

// Order selects the order in which queued jobs are served.
type Order uint8

// The orders of queued jobs.
const (
	// OrderRemaining serves the job with the least remaining work first. For
	// each second since its admission, agingRate slot-seconds are subtracted
	// from that work, so that large jobs are not starved.
	OrderRemaining Order = iota
	// OrderFIFO serves jobs in the order of their admission.
	OrderFIFO
	// OrderAttained serves the job with the least attained work first, with
	// the same aging as OrderRemaining.
	OrderAttained
)

// DefaultMaxQueue is the default of Config.MaxQueue, in tasks.
const DefaultMaxQueue = 10_000

// agingRate is the aging rate of queued jobs, in slots: one second of age
// compensates for this many slot-seconds of work.
const agingRate = 2

// Pool is the Scheduler of one pool at one entry. It places tasks only where
// it holds slot credits, so that each start finds a free slot at its worker.
// Agents grant credits (see Shares), and entries lend them to each other;
// docs/design/load.md explains the design.
type Pool struct {
	cfg     Config
	now     time.Time
	actions []Action

	workers        workerSet
	linkedWorkers  int
	servingWorkers int // linked and not draining
	ejected        []*worker
	backedOff      []*worker // workers with health.backingOff set

	jobs map[contract.JobID]*jobState
	// superseded holds closed jobs that were submitted again while some of
	// their tasks were still placed.
	superseded    map[contract.JobID][]*jobState
	lastSeq       uint64   // jobState.seq of the last job
	queue         jobQueue // jobs of teams without a quota
	teamQuotas    []*teamQuota
	quotaByTeam   map[string]*teamQuota
	quotaRows     []contract.Quota
	entriesDigest uint64 // of the entries between which the quotas are split
	queuedTasks   int
	fair          fairShare
	arrivals      arrivals

	self  contract.HostID
	peers []*peer
	ask   askState
	// idleSince is the start of the current delay before idle credits are lent
	// (see delaysLending); zero if there is no delay.
	idleSince time.Time

	estimator estimator
	// logRatio averages the logarithm of actual over estimated run time over
	// the tasks of all workers.
	logRatio    movingAverage
	failureRate float64 // exponential moving average over all workers
	throughput  throughputMeter

	nextWake      time.Time // when the next timer is due; zero if none
	requestedWake time.Time // the time of the last Wake action
}

// NewPool returns a pool without workers.
func NewPool(cfg Config) *Pool {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	p := &Pool{
		cfg:        cfg,
		workers:    workerSet{byRef: make(map[host.Ref]*worker)},
		jobs:       make(map[contract.JobID]*jobState),
		superseded: make(map[contract.JobID][]*jobState),
		estimator:  newEstimator(),
		fair:       newFairShare(),
	}
	p.setQuotas(cfg.Quotas)
	return p
}

// Step implements Scheduler. It handles due timers and the event, and then
// places tasks, lends credits and asks peers for credits as the new state
// requires.
func (p *Pool) Step(now time.Time, ev Event) []Action {
	p.now = now
	p.actions = nil
	p.runTimers()
	p.handleEvent(ev)
	p.placeTasks()
	p.maybeAskForCredits()
	p.requestWake()
	return p.actions
}

// handleEvent updates the state for an event. It places tasks only if a worker
// drains and no other worker is serving (see handOverToDraining).
func (p *Pool) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case WorkerUp:
		p.workerUp(ev.Worker)
	case WorkerDown:
		p.workerDown(ev.Worker)
	case Submit:
		p.submitJob(ev)
	case Requeue:
		p.requeueTask(ev)
	case Finished:
		p.taskFinished(ev)
	case Withdraw:
		p.withdrawJob(ev.Job)
	case PeersChanged:
		p.peersChanged(ev)
	case PoolChanged:
		p.poolChanged(ev.Row)
	case CreditGranted:
		p.creditGranted(ev)
	case CreditAsked:
		p.creditAsked(ev)
	case CreditLent:
		p.creditLent(ev)
	case WorkerSuspected:
		p.workerSuspected(ev.From, ev.Suspect)
	}
}

// runTimers ends the start backoffs and ejections that have expired.
func (p *Pool) runTimers() {
	if p.nextWake.IsZero() || p.now.Before(p.nextWake) {
		return
	}
	p.nextWake = time.Time{}
	p.endBackoffs()
	p.endEjections()
}

// scheduleWake ensures that a step takes place at the given time or soon
// after.
func (p *Pool) scheduleWake(at time.Time) {
	if p.nextWake.IsZero() || at.Before(p.nextWake) {
		p.nextWake = at
	}
}

// requestWake requests a Wake from the driver if the time of the next timer
// has changed.
func (p *Pool) requestWake() {
	if p.nextWake.IsZero() || p.nextWake.Equal(p.requestedWake) {
		return
	}
	p.requestedWake = p.nextWake
	p.actions = append(p.actions, Wake{At: p.nextWake})
}

// poolChanged applies a new version of the pool's row.
func (p *Pool) poolChanged(row contract.Pool) {
	p.cfg.Profile = row.Profile
	p.cfg.MaxQueue = cmp.Or(row.MaxQueue, DefaultMaxQueue)
	if !slices.Equal(p.quotaRows, row.Quotas) {
		p.setQuotas(row.Quotas)
	}
}

// workerUp adds a worker or updates the announcement of a known one.
func (p *Pool) workerUp(announced host.Worker) {
	w := p.workers.byRef[announced.Ref]
	if w == nil {
		w = &worker{heapIndex: -1}
		p.workers.byRef[announced.Ref] = w
	}
	p.workers.detach(w)
	p.markUnlinked(w)
	p.linkedWorkers++
	if !announced.Draining {
		p.servingWorkers++
	}
	w.linked = true
	w.Worker = announced
	w.distance = p.cfg.Location.Distance(announced.Location)
	w.group = p.workers.groupFor(announced.Capacity)
	w.group.linked++
	if !announced.Draining {
		w.group.serving++
	}
	p.workers.attach(w)
	if announced.Draining && p.servingWorkers == 0 {
		p.handOverToDraining()
	}
}

// markUnlinked marks a worker as not linked and updates the counts of linked
// and serving workers.
func (p *Pool) markUnlinked(w *worker) {
	if !w.linked {
		return
	}
	w.linked = false
	w.group.linked--
	p.linkedWorkers--
	if !w.Draining {
		p.servingWorkers--
		w.group.serving--
	}
}

// workerDown voids the credits of a worker that left or stopped responding. Its
// placed tasks stay until they are finished or requeued.
func (p *Pool) workerDown(ref host.Ref) {
	w := p.workers.byRef[ref]
	if w == nil || !w.linked {
		return
	}
	p.workers.detach(w)
	p.markUnlinked(w)
	w.credits, w.granted, w.epoch = 0, 0, 0
	p.forgetIfUnused(w)
	p.probeIfAllEjected()
}

// forgetIfUnused removes a worker that is not linked and has no placed task.
func (p *Pool) forgetIfUnused(w *worker) {
	if w.linked || w.used != (contract.Capacity{}) {
		return
	}
	p.removeEjected(w)
	p.backedOff = slices.DeleteFunc(p.backedOff, func(o *worker) bool { return o == w })
	delete(p.workers.byRef, w.Ref)
}

// enqueue inserts a job with unplaced tasks into its queue.
func (p *Pool) enqueue(j *jobState) {
	j.orderKey = p.orderKey(j)
	j.inQueue = true
	p.queueOf(j).insert(j)
}

// dequeue removes a job from its queue if it is there.
func (p *Pool) dequeue(j *jobState) {
	if j.inQueue {
		p.queueOf(j).remove(j)
		j.inQueue = false
	}
}

// enqueueOrForget inserts a job that was dequeued and changed back into its
// queue, or forgets it if all of its tasks are finished.
func (p *Pool) enqueueOrForget(j *jobState) {
	if len(j.queued) > 0 {
		p.enqueue(j)
		return
	}
	if j.unfinished == 0 {
		p.forgetJob(j)
	}
}

// forgetJob removes a job without unfinished tasks.
func (p *Pool) forgetJob(j *jobState) {
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
		return
	}
	remaining := slices.DeleteFunc(p.superseded[j.id], func(o *jobState) bool { return o == j })
	if len(remaining) == 0 {
		delete(p.superseded, j.id)
		return
	}
	p.superseded[j.id] = remaining
}

// orderKey returns the job's sort key in nanoseconds; the lowest key is served
// first. All jobs age at the same rate, so that time alone doesn't change their
// order, and a key changes only when its job does.
func (p *Pool) orderKey(j *jobState) int64 {
	switch p.cfg.Order {
	case OrderFIFO:
		return j.baseKey
	case OrderAttained:
		return j.baseKey + int64(j.attained/agingRate)
	}
	return j.baseKey + int64(j.remaining/agingRate)
}
