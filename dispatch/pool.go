package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// Config holds a pool's settings.
type Config struct {
	// Name is the pool's name in messages.
	Name string
	// Place is where this entry stands.
	Place failuredomain.Place
	// Profile weighs response time against messages.
	Profile contract.Profile
	// MaxQueue bounds the tasks that wait.
	MaxQueue int
	// Quotas bounds the slots of teams over all entries.
	Quotas []contract.Quota
	// Order is the order of whole jobs.
	Order Order
}

// FromRow returns the settings that a row of the pools table states.
func FromRow(row contract.Pool, place failuredomain.Place) Config {
	return Config{Name: row.Name, Place: place, Profile: row.Profile, MaxQueue: row.MaxQueue, Quotas: row.Quotas}
}

// Order is an order of whole jobs in the queue.
type Order uint8

// The orders.
const (
	// OrderRemaining serves the job with the least remaining work first; each
	// second that a job waits counts as agePerSecond slot-seconds less.
	OrderRemaining Order = iota
	// OrderFIFO serves jobs as they came.
	OrderFIFO
	// OrderAttained serves the job that has had the least service first.
	OrderAttained
)

// DefaultMaxQueue is the default of Config.MaxQueue, in tasks.
const DefaultMaxQueue = 10_000

// agePerSecond is how many slot-seconds of remaining work one second of
// waiting makes up for.
const agePerSecond = 2

// Pool is the Scheduler of one pool at one entry. It starts tasks only on slot
// credits, so that a start finds a free slot; see Shares for where credits
// come from, and docs/design/load.md for why.
type Pool struct {
	cfg Config
	now time.Time
	out []Action

	workers workerSet
	linked  int // workers linked now
	serving int // those of them that do not drain
	ejected []*worker
	held    []*worker

	jobs map[contract.JobID]*jobState
	// former are withdrawn jobs that were submitted again while some of their
	// tasks were placed.
	former  map[contract.JobID][]*jobState
	seq     uint64
	queue   jobQueue // jobs of teams without a quota
	quotas  []*teamQuota
	byTeam  map[string]*teamQuota
	rows    []contract.Quota
	digest  uint64
	waiting int // queued tasks
	fair    fairShare
	arrived arrivals

	self  contract.HostID
	peers []*peer
	ask   askState
	// idleSince is when the first of the idle credits that wait to be lent
	// became idle; zero if none.
	idleSince time.Time

	times       estimator
	speed       average
	failureRate float64
	drain       drainRate

	wakeAt  time.Time // the earliest time that something is due; zero if none
	wakeOut time.Time // the wake that the driver was asked for last
}

// NewPool returns a pool without workers.
func NewPool(cfg Config) *Pool {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	p := &Pool{
		cfg:     cfg,
		workers: workerSet{byRef: make(map[host.Ref]*worker)},
		jobs:    make(map[contract.JobID]*jobState),
		former:  make(map[contract.JobID][]*jobState),
		times:   newEstimator(),
		fair:    newFairShare(),
	}
	p.setQuotas(cfg.Quotas)
	return p
}

// Step implements Scheduler.
func (p *Pool) Step(now time.Time, ev Event) []Action {
	p.now = now
	p.out = nil
	p.timers()
	p.take(ev)
	p.place()
	p.maybeAsk()
	p.flushWake()
	return p.out
}

func (p *Pool) take(ev Event) {
	switch ev := ev.(type) {
	case WorkerUp:
		p.workerUp(ev.Worker)
	case WorkerDown:
		p.workerDown(ev.Worker)
	case Submit:
		p.submit(ev)
	case Requeue:
		p.requeue(ev)
	case Finished:
		p.finished(ev)
	case Withdraw:
		p.withdraw(ev.Job)
	case Peers:
		p.setPeers(ev)
	case PoolChanged:
		p.changeRow(ev.Row)
	case CreditGranted:
		p.granted(ev)
	case CreditAsked:
		p.asked(ev)
	case CreditLent:
		p.lent(ev)
	case WorkerSuspected:
		p.suspected(ev.From, ev.Suspect)
	}
}

// timers does what is due.
func (p *Pool) timers() {
	if p.wakeAt.IsZero() || p.now.Before(p.wakeAt) {
		return
	}
	p.wakeAt = time.Time{}
	p.endHolds()
	p.endEjections()
}

// wake asks for a step at the given time.
func (p *Pool) wake(at time.Time) {
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}

func (p *Pool) flushWake() {
	if p.wakeAt.IsZero() || p.wakeAt.Equal(p.wakeOut) {
		return
	}
	p.wakeOut = p.wakeAt
	p.out = append(p.out, Wake{At: p.wakeAt})
}

func (p *Pool) changeRow(row contract.Pool) {
	p.cfg.Profile = row.Profile
	p.cfg.MaxQueue = cmp.Or(row.MaxQueue, DefaultMaxQueue)
	if !slices.Equal(p.rows, row.Quotas) {
		p.setQuotas(row.Quotas)
	}
}

func (p *Pool) workerUp(nw host.Worker) {
	w := p.workers.byRef[nw.Ref]
	if w == nil {
		w = &worker{pos: -1}
		p.workers.byRef[nw.Ref] = w
	}
	p.workers.detach(w)
	p.unlink(w)
	p.linked++
	if !nw.Draining {
		p.serving++
	}
	w.linked = true
	w.Worker = nw
	w.distance = p.cfg.Place.Distance(nw.Place)
	w.group = p.workers.group(nw.Capacity)
	w.group.linked++
	if !nw.Draining {
		w.group.serving++
	}
	p.workers.attach(w)
	if nw.Draining && p.serving == 0 {
		p.handOver()
	}
}

// unlink takes a worker that is linked out of the counts.
func (p *Pool) unlink(w *worker) {
	if !w.linked {
		return
	}
	w.linked = false
	w.group.linked--
	p.linked--
	if !w.Draining {
		p.serving--
		w.group.serving--
	}
}

func (p *Pool) workerDown(ref host.Ref) {
	w := p.workers.byRef[ref]
	if w == nil || !w.linked {
		return
	}
	p.workers.detach(w)
	p.unlink(w)
	w.allot, w.granted, w.epoch = 0, 0, 0
	p.forget(w)
	p.probeLast()
}

// forget drops a worker that is gone and holds no task.
func (p *Pool) forget(w *worker) {
	if w.linked || w.used != (contract.Capacity{}) {
		return
	}
	p.unlistEjected(w)
	p.held = slices.DeleteFunc(p.held, func(h *worker) bool { return h == w })
	delete(p.workers.byRef, w.Ref)
}

// enqueue puts a job with unplaced tasks into its queue.
func (p *Pool) enqueue(j *jobState) {
	j.key = p.key(j)
	j.inQueue = true
	p.queueOf(j).insert(j)
}

func (p *Pool) dequeue(j *jobState) {
	if j.inQueue {
		p.queueOf(j).remove(j)
		j.inQueue = false
	}
}

// requeued puts a job back after it changed.
func (p *Pool) requeued(j *jobState) {
	if len(j.queued) > 0 {
		p.enqueue(j)
		return
	}
	if j.open == 0 {
		p.forgetJob(j)
	}
}

func (p *Pool) forgetJob(j *jobState) {
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
		return
	}
	rest := slices.DeleteFunc(p.former[j.id], func(f *jobState) bool { return f == j })
	if len(rest) == 0 {
		delete(p.former, j.id)
		return
	}
	p.former[j.id] = rest
}

// key returns the job's place in the order; lower is served first. It changes
// only when the job does, since all jobs age alike.
func (p *Pool) key(j *jobState) int64 {
	switch p.cfg.Order {
	case OrderFIFO:
		return j.base
	case OrderAttained:
		return j.base + int64(j.attained/agePerSecond)
	}
	return j.base + int64(j.remaining/agePerSecond)
}
