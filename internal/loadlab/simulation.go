package loadlab

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

const (
	// slowFactor is the factor by which tasks take longer on the slow worker.
	slowFactor = 5
	// failureTime is the time after which the failing worker fails a task.
	failureTime = time.Millisecond
	// entryLossDelay is the time until agents and other entries detect the loss of an
	// entry.
	entryLossDelay = 1800 * time.Millisecond
	// cancelShare is the share of the jobs in progress that cancelWave cancels.
	cancelShare = 0.5
)

// epoch is the simulated time at which runs begin.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function that is called at a simulated time. Events at the same time are
// run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	if q[i].at != q[k].at {
		return q[i].at < q[k].at
	}
	return q[i].seq < q[k].seq
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is a discrete-event simulation of one run. Times are relative to epoch.
type simulation struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	seq     int
	events  eventQueue
	entries []*simEntry
	agents  []*simAgent
	byRef   map[host.Ref]*simAgent
	byHost  map[contract.HostID]*simEntry
	runs    map[contract.JobID]*jobRun
	faultAt time.Duration
	counts  Counts
	// loanReceived holds, for each entry that asked another for credits, whether a loan
	// has followed its last request.
	loanReceived map[entryPair]bool
}

// entryPair is the sender and the receiver of credit requests.
type entryPair struct{ from, to contract.HostID }

// jobRun is the state of a job after its submission.
type jobRun struct {
	*simJob
	entry         *simEntry
	unfinished    int // number of tasks without a result
	placed        map[uint32]*simAgent
	starts        map[uint32]int
	ended         bool
	complete      bool
	failed        bool
	refused       bool
	interrupted   bool // cancelled by cancelWave, or its entry was lost
	endedAt       time.Duration
	failedByFault bool // a task failed on the failing worker
	busyTime      time.Duration
}

// simEntry is an entry with the scheduler under test.
type simEntry struct {
	sim    *simulation
	id     contract.HostID
	domain int
	sched  dispatch.Scheduler
	dead   bool
}

// simAgent is a worker and its agent, with slots and a FIFO queue.
type simAgent struct {
	sim       *simulation
	worker    host.Worker
	domain    int
	usedSlots int
	queue     []*simTask
	running   map[*simTask]bool
	shares    *dispatch.Shares
	slow      bool
	failing   bool
}

// simTask is one start of a task at a worker.
type simTask struct {
	run       *jobRun
	index     uint32
	entry     *simEntry
	startedAt time.Duration
	ended     bool
}

// schedule schedules a call of fn after d.
func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, fn: fn})
}

// latency returns the one-way latency between two failure domains.
func (sim *simulation) latency(a, b int) time.Duration {
	if a == b {
		return sim.cfg.Site.LocalLatency
	}
	return sim.cfg.Site.Latency
}

func newSimulation(cfg Config) *simulation {
	sim := &simulation{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		byRef:   make(map[host.Ref]*simAgent),
		byHost:  make(map[contract.HostID]*simEntry),
		runs:    make(map[contract.JobID]*jobRun),
		faultAt: cfg.Span / 2,

		loanReceived: make(map[entryPair]bool),
	}
	for i := range cfg.Site.Entries {
		e := &simEntry{sim: sim, id: contract.HostID(fmt.Sprintf("entry%d", i)), domain: i % cfg.Site.Domains}
		e.sched = cfg.Policy.scheduler(location(e.domain, 0), cfg.Seed+uint64(i))
		sim.entries = append(sim.entries, e)
		sim.byHost[e.id] = e
	}
	for i := range cfg.Site.Workers {
		sim.addAgent(i)
	}
	return sim
}

// rackSize is the number of workers in a rack.
const rackSize = 3

func location(domain, index int) failuredomain.Location {
	return failuredomain.Location{
		Region: "region",
		Domain: failuredomain.Name(fmt.Sprintf("domain%d", domain)),
		Rack:   failuredomain.Rack(fmt.Sprintf("rack%d", index/rackSize)),
	}
}

func (sim *simulation) addAgent(i int) {
	domain := i % sim.cfg.Site.Domains
	ref := host.Ref{Host: contract.HostID(fmt.Sprintf("worker%03d", i)), Incarnation: 1}
	a := &simAgent{
		sim:     sim,
		domain:  domain,
		running: make(map[*simTask]bool),
		shares:  dispatch.NewShares(sim.cfg.Site.Slots, i),
		worker: host.Worker{
			Identity: host.Identity{Ref: ref, Location: location(domain, i)},
			Capacity: contract.Capacity{Slots: sim.cfg.Site.Slots},
		},
	}
	sim.agents = append(sim.agents, a)
	sim.byRef[ref] = a
}

// connect connects all processes before the first job.
func (sim *simulation) connect() {
	for _, e := range sim.entries {
		e.step(dispatch.PeersChanged{Self: e.id, Peers: sim.peersOf(e)})
		for _, a := range sim.agents {
			e.step(dispatch.WorkerUp{Worker: a.worker})
		}
	}
	for _, a := range sim.agents {
		var grants []dispatch.Grant
		for _, e := range sim.entries {
			grants = a.shares.EntryUp(e.id)
		}
		a.sendGrants(grants)
	}
}

func (sim *simulation) peersOf(e *simEntry) []contract.HostID {
	var out []contract.HostID
	for _, o := range sim.entries {
		if o != e && !o.dead {
			out = append(out, o.id)
		}
	}
	return out
}

// run simulates until no event is left, or until all jobs must have ended.
func (sim *simulation) run(jobs []*simJob) {
	sim.connect()
	for _, j := range jobs {
		sim.schedule(j.at, func() { sim.submit(j) })
	}
	sim.schedule(sim.faultAt, sim.injectFault)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at > sim.cfg.Span+sim.cfg.Deadline+maxTailTime*slowFactor {
			return
		}
		sim.now = e.at
		e.fn()
	}
}

func (sim *simulation) injectFault() {
	switch sim.cfg.Fault {
	case FaultSlow:
		sim.agents[0].slow = true
	case FaultFailing:
		sim.agents[0].failing = true
	case FaultEntryLost:
		sim.killEntry(sim.entries[0])
	case FaultCancel:
		sim.cancelWave()
	case FaultCombined:
		sim.agents[0].failing = true
		sim.agents[1].slow = true
		sim.cancelWave()
		sim.killEntry(sim.entries[0])
	}
}

func (sim *simulation) submit(j *simJob) {
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	for e.dead {
		e = sim.entries[sim.rng.IntN(len(sim.entries))]
	}
	r := &jobRun{simJob: j, entry: e, unfinished: len(j.work), placed: make(map[uint32]*simAgent), starts: make(map[uint32]int)}
	sim.runs[j.id] = r
	sim.schedule(sim.cfg.Deadline, func() { sim.expire(r) })
	e.step(dispatch.Submit{Job: j.id, Team: j.team, Route: "route", Deadline: epoch.Add(sim.now + sim.cfg.Deadline), Demands: j.declared})
}

func (sim *simulation) expire(r *jobRun) {
	if !r.ended && !r.entry.dead {
		r.end(false)
		r.abort()
	}
}

func (sim *simulation) cancelWave() {
	for _, e := range sim.entries {
		for _, r := range sim.inProgress(e) {
			if sim.rng.Float64() < cancelShare {
				r.end(false)
				r.interrupted = true
				r.abort()
			}
		}
	}
}

// inProgress returns the entry's jobs that have not ended, in the order of their arrival.
func (sim *simulation) inProgress(e *simEntry) []*jobRun {
	var out []*jobRun
	for n := range len(sim.runs) {
		r := sim.runs[contract.JobID(fmt.Sprintf("j%06d", n))]
		if r != nil && r.entry == e && !r.ended {
			out = append(out, r)
		}
	}
	return out
}

func (sim *simulation) killEntry(e *simEntry) {
	for _, r := range sim.inProgress(e) {
		r.end(false)
		r.interrupted = true
	}
	e.dead = true
	sim.schedule(entryLossDelay, func() {
		for _, a := range sim.agents {
			a.reclaimCredits(e)
		}
		for _, o := range sim.entries {
			if !o.dead {
				o.step(dispatch.PeersChanged{Self: o.id, Peers: sim.peersOf(o)})
			}
		}
	})
}
