// Package directstart decides how an entry runs transient jobs while no control host
// leads: it places their tasks directly on the workers of agents that offer capacity.
// It does no I/O and reads no clock: it takes events and a time and returns actions.
//
// The load pattern: all control hosts are without power for some seconds, while
// nearly all workers and entries run, and several entries compete for the same
// workers. An agent may refuse a start, since only it knows what the other entries
// have started.
//
// Invariants: a task has at most one run that may be alive. A task is started again
// only if its agent has said that the run did not start or that it failed, or that its
// worker was lost. A job of which a start was sent is refused only if all its starts were
// refused. Crashes of workers count as they do for a leader; see package quarantine.
package directstart

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

const (
	// offerLifetime is how long an offer counts. Agents repeat it every 150 ms.
	offerLifetime = 500 * time.Millisecond
	// lossWait is the time after the loss of a link after which all runs on the
	// agent's worker that this entry started are over: 700 ms until the agent counts
	// the entry as lost, 100 ms to stop them, and a lease of 400 ms by a worker's clock
	// that is slow by 2%.
	lossWait = 1250 * time.Millisecond
	// maxJobs is the maximum number of jobs at one time.
	maxJobs = 512
	// maxRefusals is the number of refused starts of one task after which a job that
	// has not begun is refused.
	maxRefusals = 16
	// refusalPause is how long a task that was refused refusalsPerRound times in
	// a row waits for newer offers.
	refusalPause     = 20 * time.Millisecond
	refusalsPerRound = 4
	// noAgentsTime is how long there must have been no open offer for a pool until the
	// jobs that wait for it are given up. Offers are renewed every 150 ms.
	noAgentsTime = 400 * time.Millisecond
	// frozenTime is the time without events after which the entry must have been
	// frozen; a Tick is due every 50 ms. Its callers may have sent their jobs to
	// another entry meanwhile. afterFreeze is how long it then refuses jobs, since
	// requests of that time may still wait in its buffers.
	frozenTime  = 400 * time.Millisecond
	afterFreeze = 500 * time.Millisecond
	// expireInterval is how often the jobs are checked for timeouts. Offers and ends
	// arrive about a thousand times a second.
	expireInterval = 5 * time.Millisecond
	// resultTTL is how long the result of a job is kept for a caller that sends it
	// again, as at a leader.
	resultTTL = 20 * time.Second
	// runBlockBits is the width of the counter in the entry's part of a run number. A
	// random block above it keeps the numbers of two entries apart.
	runBlockBits = 21
	runBlocks    = 1 << (29 - runBlockBits)
)

// LinkID identifies a link to an agent. A new link of the same agent has another ID.
type LinkID uint64

// Event is an input: Offer, End, Crash, LinkLost, Submit, Abandon, QueuesChanged or Tick.
type Event interface{ isEvent() }

// Offer is an agent's offer of capacity.
type Offer struct {
	Link LinkID
	contract.DirectOffer
}

// End is an agent's report that a run has ended.
type End struct {
	Link LinkID
	contract.DirectEnd
}

// Crash is an agent's report that its worker has crashed. It arrives before the ends of
// the runs on the worker.
type Crash struct{ contract.WorkerCrash }

// LinkLost says that a link went down or was silent for too long.
type LinkLost struct{ Link LinkID }

// Submit adds a job of one step. ArrivedAt is when this entry got it.
type Submit struct {
	Job       contract.DurableJob
	ArrivedAt time.Duration
}

// Abandon says that no caller waits for the job any more.
type Abandon struct{ ID contract.DurableJobID }

// QueuesChanged says that a newer list of the queues has arrived.
type QueuesChanged struct{ Change *contract.QueueChange }

// Tick makes time pass without another event.
type Tick struct{}

func (Offer) isEvent()         {}
func (End) isEvent()           {}
func (Crash) isEvent()         {}
func (LinkLost) isEvent()      {}
func (Submit) isEvent()        {}
func (Abandon) isEvent()       {}
func (QueuesChanged) isEvent() {}
func (Tick) isEvent()          {}

// Action is an output: Start, Stop or Answer.
type Action interface{ isAction() }

// Start sends a start to an agent.
type Start struct {
	Link LinkID
	contract.DirectStart
}

// Stop asks an agent to stop a run.
type Stop struct {
	Link LinkID
	Ref  contract.RunRef
}

// Answer is the final answer to the callers of a job, which is then forgotten.
type Answer struct {
	ID     contract.DurableJobID
	Result Result
	// RetryAfter and Reason are set with Refused.
	RetryAfter time.Duration
	Reason     string
	// Tasks is the number of the job's tasks, and Wait the time since it arrived.
	Tasks int
	Wait  time.Duration
}

func (Start) isAction()  {}
func (Stop) isAction()   {}
func (Answer) isAction() {}

// Result is how a job ended.
type Result uint8

// The results of a job.
const (
	Completed Result = iota + 1
	Failed
	// Refused means that no task has run.
	Refused
	// Unknown means that a task may have run whose end is not known.
	Unknown
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"none", "completed", "failed", "refused", "unknown"}[r]
}

// agent is the offer of one agent with what this entry has started there since.
type agent struct {
	link    LinkID
	offer   contract.DirectOffer
	heardAt time.Duration
	// free is the offered capacity less the starts that the offer does not account
	// for, plus what has ended since.
	free contract.Capacity
	// pool is the pool of the last offer that named one: an agent without a worker names
	// none.
	pool string
	// refused is set when the agent refuses a start, until its next offer.
	refused bool
	// lastNumber is the number of the last start sent.
	lastNumber uint64
	runs       map[contract.RunRef]*task
}

// idle reports whether the agent's worker runs nothing, as far as this entry knows.
func (a *agent) idle() bool { return len(a.runs) == 0 && a.free == a.offer.Capacity }

// open reports whether starts may be sent to the agent.
func (a *agent) open(now time.Duration) bool {
	return a.offer.Open && now-a.heardAt <= offerLifetime
}

// Dispatcher holds the jobs that an entry runs by direct starts. It is not safe for
// concurrent use.
type Dispatcher struct {
	rand   *rand.Rand
	agents map[LinkID]*agent
	// order holds the agents in the order of their first offers.
	order []*agent
	jobs  map[contract.DurableJobID]*job
	// waiting holds the jobs with waiting tasks.
	waiting []*job
	results map[contract.DurableJobID]result
	// lastResults lists the jobs in results, oldest first.
	lastResults []contract.DurableJobID
	// freed holds, by pool, the CPU that ends have freed lately.
	freed map[string]*freedRate
	// lastOpen is when a pool last had an open agent.
	lastOpen map[string]time.Duration
	runCount uint64
	// ledger counts the crashes of workers under tasks, and confinement holds the queues
	// that crash workers.
	ledger      *quarantine.Ledger
	confinement *quarantine.Confinement
	// lastEvent is when the last event was handled, and closedUntil the time until
	// which jobs are refused after a freeze.
	lastEvent, closedUntil time.Duration
	// expiredAt is when expire last looked at the jobs.
	expiredAt time.Duration
	actions   []Action
}

// result is the result of an ended job, and when it ended.
type result struct {
	answer Answer
	at     time.Duration
}

// New returns a Dispatcher without agents and jobs. Its random decisions and the
// block of its run numbers come from r.
func New(r *rand.Rand) *Dispatcher {
	return &Dispatcher{
		rand: r, agents: map[LinkID]*agent{}, jobs: map[contract.DurableJobID]*job{},
		results: map[contract.DurableJobID]result{}, freed: map[string]*freedRate{}, lastOpen: map[string]time.Duration{},
		runCount: r.Uint64N(runBlocks) << runBlockBits,
		ledger:   quarantine.NewLedger(), confinement: quarantine.NewConfinement(),
	}
}

// Handle processes an event and returns the actions that follow. Jobs whose time has
// passed are given up first, so that an entry that was frozen starts nothing for them.
func (d *Dispatcher) Handle(now time.Duration, e Event) []Action {
	if d.lastEvent != 0 && now-d.lastEvent > frozenTime {
		d.endFreeze(now)
	}
	d.lastEvent = now
	if now-d.expiredAt >= expireInterval {
		d.expiredAt = now
		d.expire(now)
	}
	switch e := e.(type) {
	case Offer:
		d.handleOffer(now, e)
	case End:
		d.handleEnd(now, e)
	case Crash:
		d.handleCrash(now, &e.WorkerCrash)
	case LinkLost:
		d.handleLinkLost(now, e.Link)
	case Submit:
		d.submit(now, e)
	case Abandon:
		d.abandon(e.ID)
	case QueuesChanged:
		d.rematch(e.Change)
	}
	d.place(now)
	out := d.actions
	d.actions = nil
	return out
}

// Offers reports whether an agent of the pool offers direct starts.
func (d *Dispatcher) Offers(now time.Duration, pool string) bool {
	for _, a := range d.order {
		if a.offer.Pool == pool && a.open(now) {
			return true
		}
	}
	return false
}

// OffersAny reports whether any agent offers direct starts.
func (d *Dispatcher) OffersAny(now time.Duration) bool {
	return slices.ContainsFunc(d.order, func(a *agent) bool { return a.open(now) })
}

// MayHaveRun reports whether a task of a job that is not answered may have run.
func (d *Dispatcher) MayHaveRun(id contract.DurableJobID) bool {
	j := d.jobs[id]
	return j != nil && j.mayHaveRun
}

// Jobs returns the number of jobs that have not been answered.
func (d *Dispatcher) Jobs() int { return len(d.jobs) }

func (d *Dispatcher) handleOffer(now time.Duration, o Offer) {
	a := d.agents[o.Link]
	if a == nil {
		a = &agent{link: o.Link, runs: map[contract.RunRef]*task{}}
		d.agents[o.Link] = a
		d.order = append(d.order, a)
	}
	a.offer, a.heardAt, a.free, a.refused = o.DirectOffer, now, o.Free, false
	if o.Pool != "" {
		a.pool = o.Pool
	}
	for _, t := range a.runs {
		if t.number > o.Taken {
			use(&a.free, t.job.need(), 1)
		}
	}
	if o.Open {
		d.lastOpen[o.Pool] = now
	}
}

// use subtracts n times the demand from the free capacity.
func use(free *contract.Capacity, need contract.Demand, n int) {
	free.MilliCPU -= n * need.MilliCPU
	free.MemoryMB -= n * need.MemoryMB
	free.Accelerators -= n * need.Accelerators
}

// handleLinkLost makes the outcome of the jobs unknown that have a run on the agent.
func (d *Dispatcher) handleLinkLost(now time.Duration, l LinkID) {
	a := d.agents[l]
	if a == nil {
		return
	}
	delete(d.agents, l)
	for i, o := range d.order {
		if o == a {
			d.order = append(d.order[:i:i], d.order[i+1:]...)
			break
		}
	}
	for ref, t := range a.runs {
		delete(a.runs, ref)
		t.phase, t.agent = phaseLost, nil
		d.giveUp(t.job, now+lossWait)
	}
}
