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
	// slowFactor is how many times longer tasks take on the slow worker.
	slowFactor = 5
	// failTime is how long the failing worker takes to fail a task.
	failTime = time.Millisecond
	// silence is how long it takes to notice that an entry is gone.
	silence = 1800 * time.Millisecond
	// cancelShare is the part of the jobs in progress that a wave cancels.
	cancelShare = 0.5
)

// epoch is the instant at which runs begin.
var epoch = time.Unix(1_700_000_000, 0)

// event is something due in the run.
type event struct {
	at  time.Duration
	seq int
	do  func()
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

// lab is one run.
type lab struct {
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
	count   Counts
	// answered says of each pair of entries whether the last ask of the first
	// has had a loan of the second.
	answered map[pair]bool
}

// pair is a sender and a receiver.
type pair struct{ from, to contract.HostID }

// jobRun is one job in progress or ended.
type jobRun struct {
	*simJob
	entry    *simEntry
	open     int
	placed   map[uint32]*simAgent
	starts   map[uint32]int
	ended    bool
	complete bool
	failed   bool
	refused  bool
	lost     bool
	finish   time.Duration
	bad      bool // failed at the failing worker
	busy     time.Duration
}

type simEntry struct {
	lab    *lab
	id     contract.HostID
	domain int
	sched  dispatch.Scheduler
	dead   bool
}

// simAgent is a worker with its agent: slots and a queue, first in first out.
type simAgent struct {
	lab     *lab
	worker  host.Worker
	domain  int
	used    int
	queue   []*simTask
	running map[*simTask]bool
	shares  *dispatch.Shares
	slow    bool
	failing bool
}

type simTask struct {
	run   *jobRun
	index uint32
	from  *simEntry
	began time.Duration
	over  bool
}

func (l *lab) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, do: do})
}

func (l *lab) latency(a, b int) time.Duration {
	if a == b {
		return l.cfg.Site.Local
	}
	return l.cfg.Site.Latency
}

func newLab(cfg Config) *lab {
	l := &lab{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		byRef:   make(map[host.Ref]*simAgent),
		byHost:  make(map[contract.HostID]*simEntry),
		runs:    make(map[contract.JobID]*jobRun),
		faultAt: cfg.Span / 2,

		answered: make(map[pair]bool),
	}
	for i := range cfg.Site.Entries {
		e := &simEntry{lab: l, id: contract.HostID(fmt.Sprintf("entry%d", i)), domain: i % cfg.Site.Domains}
		e.sched = cfg.Policy.scheduler(place(e.domain, 0), cfg.Seed+uint64(i))
		l.entries = append(l.entries, e)
		l.byHost[e.id] = e
	}
	for i := range cfg.Site.Workers {
		l.addAgent(i)
	}
	return l
}

// rackSize is the number of workers in a rack.
const rackSize = 3

func place(domain, index int) failuredomain.Location {
	return failuredomain.Location{
		Region: "region",
		Domain: failuredomain.Name(fmt.Sprintf("domain%d", domain)),
		Rack:   failuredomain.Rack(fmt.Sprintf("rack%d", index/rackSize)),
	}
}

func (l *lab) addAgent(i int) {
	domain := i % l.cfg.Site.Domains
	ref := host.Ref{Host: contract.HostID(fmt.Sprintf("worker%03d", i)), Incarnation: 1}
	a := &simAgent{
		lab:     l,
		domain:  domain,
		running: make(map[*simTask]bool),
		shares:  dispatch.NewShares(l.cfg.Site.Slots, i),
		worker: host.Worker{
			Identity: host.Identity{Ref: ref, Location: place(domain, i)},
			Capacity: contract.Capacity{Slots: l.cfg.Site.Slots},
		},
	}
	l.agents = append(l.agents, a)
	l.byRef[ref] = a
}

// begin links all processes before the first job.
func (l *lab) begin() {
	for _, e := range l.entries {
		e.step(dispatch.PeersChanged{Self: e.id, Peers: l.peersOf(e)})
		for _, a := range l.agents {
			e.step(dispatch.WorkerUp{Worker: a.worker})
		}
	}
	for _, a := range l.agents {
		var last []dispatch.Grant
		for _, e := range l.entries {
			last = a.shares.EntryUp(e.id)
		}
		a.grant(last)
	}
}

func (l *lab) peersOf(e *simEntry) []contract.HostID {
	var out []contract.HostID
	for _, o := range l.entries {
		if o != e && !o.dead {
			out = append(out, o.id)
		}
	}
	return out
}

func (l *lab) run(jobs []*simJob) {
	l.begin()
	for _, j := range jobs {
		l.after(j.at, func() { l.arrive(j) })
	}
	l.after(l.faultAt, l.fault)
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at > l.cfg.Span+l.cfg.Deadline+maxTail*slowFactor {
			return
		}
		l.now = e.at
		e.do()
	}
}

func (l *lab) fault() {
	switch l.cfg.Fault {
	case FaultSlow:
		l.agents[0].slow = true
	case FaultFailing:
		l.agents[0].failing = true
	case FaultEntry:
		l.loseEntry(l.entries[0])
	case FaultCancel:
		l.cancelWave()
	case FaultTogether:
		l.agents[0].failing = true
		l.agents[1].slow = true
		l.cancelWave()
		l.loseEntry(l.entries[0])
	}
}

func (l *lab) arrive(j *simJob) {
	e := l.entries[l.rng.IntN(len(l.entries))]
	for e.dead {
		e = l.entries[l.rng.IntN(len(l.entries))]
	}
	r := &jobRun{simJob: j, entry: e, open: len(j.work), placed: make(map[uint32]*simAgent), starts: make(map[uint32]int)}
	l.runs[j.id] = r
	l.after(l.cfg.Deadline, func() { l.expire(r) })
	e.step(dispatch.Submit{Job: j.id, Team: j.team, Route: "route", Deadline: epoch.Add(l.now + l.cfg.Deadline), Demands: j.declared})
}

func (l *lab) expire(r *jobRun) {
	if !r.ended && !r.entry.dead {
		r.end(false)
		r.abort()
	}
}

func (l *lab) cancelWave() {
	for _, e := range l.entries {
		for _, r := range l.inProgress(e) {
			if l.rng.Float64() < cancelShare {
				r.end(false)
				r.lost = true
				r.abort()
			}
		}
	}
}

// inProgress returns the entry's open jobs in the order of their arrival.
func (l *lab) inProgress(e *simEntry) []*jobRun {
	var out []*jobRun
	for n := range len(l.runs) {
		r := l.runs[contract.JobID(fmt.Sprintf("j%06d", n))]
		if r != nil && r.entry == e && !r.ended {
			out = append(out, r)
		}
	}
	return out
}

func (l *lab) loseEntry(e *simEntry) {
	for _, r := range l.inProgress(e) {
		r.end(false)
		r.lost = true
	}
	e.dead = true
	l.after(silence, func() {
		for _, a := range l.agents {
			a.entryLost(e)
		}
		for _, o := range l.entries {
			if !o.dead {
				o.step(dispatch.PeersChanged{Self: o.id, Peers: l.peersOf(o)})
			}
		}
	})
}
