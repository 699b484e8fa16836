// Package entry is the role that faces callers: it admits jobs and single
// requests, places their tasks on workers through the pool's scheduler, and
// answers each whole or refuses it truthfully.
package entry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/membership"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Config holds an entry's settings.
type Config struct {
	Identity host.Identity
	Tables   *tables.Holder
	// NewScheduler makes the scheduler of a pool.
	NewScheduler func(contract.Pool) dispatch.Scheduler
	// Tell sends a message to another entry; it may be lost.
	Tell func(to contract.HostID, m contract.Message)
	// Retention is how long an ended job's state is kept.
	Retention time.Duration
	// BodyStall is how long a caller may send nothing of a body, or take
	// nothing of an answer.
	BodyStall time.Duration
	// Records asks the holders of job records; nil refuses idempotency keys.
	Records *Records
	// Outcomes takes the final outcome of each task; nil drops them.
	Outcomes OutcomeSink
	// Observer takes a sample of each answer; nil drops them.
	Observer Observer
	Log      logr.Logger
}

// OutcomeSink keeps outcomes. It must not block.
type OutcomeSink interface {
	Record(contract.OutcomeRecord)
}

// Observer measures answers. It must not block.
type Observer interface {
	Answered(contract.AnswerSample)
}

// DefaultRetention is the default of Config.Retention.
const DefaultRetention = 10 * time.Minute

// Entry runs the role. Its state is in shards, each under its own lock: the
// pools, the jobs and the workers. A run's lock may be held while that of
// workers, acks, plans or a link is taken; no other two are held at once.
type Entry struct {
	cfg Config

	poolsMu sync.RWMutex // guards pools
	pools   map[string]*pool

	workersMu sync.RWMutex // guards workers
	workers   map[host.Ref]*workerLink

	jobs    jobShards
	plans   plans
	acks    acks
	kept    keptAnswers
	credits creditState
	members members

	retries retryBudget

	drainMu  sync.Mutex // guards leaving and draining
	leaving  bool
	draining bool
	active   sync.WaitGroup
}

// workerLink is a worker and the link to its agent; the link is nil while the
// worker is silent.
type workerLink struct {
	host.Worker
	link *link.Link
	// number is the agent's number of the link.
	number uint64
}

// New returns an entry.
func New(cfg Config) *Entry {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.BodyStall == 0 {
		cfg.BodyStall = DefaultBodyStall
	}
	e := &Entry{
		cfg:     cfg,
		pools:   make(map[string]*pool),
		workers: make(map[host.Ref]*workerLink),
	}
	e.jobs.init()
	e.members.dir = membership.New()
	e.credits.grants = make(map[grantKey]contract.CreditGrant)
	cfg.Tables.Watch(e.poolsChanged)
	return e
}

// Workers returns the workers that are linked now.
func (e *Entry) Workers() []host.Worker {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	out := make([]host.Worker, 0, len(e.workers))
	for _, w := range e.workers {
		if w.link != nil {
			out = append(out, w.Worker)
		}
	}
	return out
}

func (e *Entry) worker(ref host.Ref) (workerLink, bool) {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	w, ok := e.workers[ref]
	if !ok {
		return workerLink{}, false
	}
	return *w, true
}

// tell sends a message to a worker that is linked.
func (e *Entry) tell(ref host.Ref, m contract.Message) {
	if w, ok := e.worker(ref); ok && w.link != nil {
		w.link.Send(m)
	}
}

// replaced reports whether a later incarnation of the worker has announced
// itself.
func (e *Entry) replaced(ref host.Ref) bool {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	if _, ok := e.workers[ref]; ok {
		return false
	}
	for other := range e.workers {
		if other.Host == ref.Host {
			return true
		}
	}
	return false
}

// active is a job or single request in progress, as placement sees it.
type active interface {
	// place starts the task at the worker, and returns the events that follow
	// at once.
	place(id contract.TaskID, w workerLink) []dispatch.Event
	// refuse ends it: none of its tasks was placed.
	refuse(err error)
}
