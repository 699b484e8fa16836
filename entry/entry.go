// Package entry implements the entry role, which serves callers. It admits jobs
// and single requests and places their tasks on workers through the pool's
// scheduler. Each caller gets either the complete answer or an error that
// states what is known of the outcome.
package entry

import (
	"cmp"
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
	Tables   *tables.Store
	// NewScheduler returns a new scheduler for a pool.
	NewScheduler func(contract.Pool) dispatch.Scheduler
	// SendToPeer sends a message to another entry. The message may be lost.
	SendToPeer func(to contract.HostID, m contract.Message)
	// Retention is how long the state of an ended job is kept; zero selects
	// DefaultRetention.
	Retention time.Duration
	// BodyStallTimeout limits each read of a request body and each write of an
	// answer; zero selects DefaultBodyStallTimeout.
	BodyStallTimeout time.Duration
	// ClientLimits are the limits on one caller; zeros mean ingress.DefaultLimits and
	// ingress.DefaultMaxStreamBytes. RequestBytes
	// limits the memory of all requests, and MaxConns the callers' connections; zeros mean the
	// defaults of ingress.
	ClientLimits contract.ClientLimits
	RequestBytes int64
	MaxConns     int
	// CachedAnswerBytes limits the total size of the answer bodies that are kept for
	// resubmissions; zero selects DefaultCachedAnswerBytes. The results that agents keep have
	// a limit of their own.
	CachedAnswerBytes int
	// Records is the client of the record holders. If it is nil, requests with
	// an idempotency key are refused.
	Records *RecordClient
	// Outcomes receives the outcome of each task. If it is nil, outcomes are
	// not recorded.
	Outcomes OutcomeSink
	// Observer receives a sample of each answer. If it is nil, answers are not
	// sampled.
	Observer Observer
	Log      logr.Logger
}

// OutcomeSink stores outcomes. Record must not block.
type OutcomeSink interface {
	Record(contract.OutcomeRecord)
}

// Observer collects measurements of answers. Answered must not block.
type Observer interface {
	Answered(contract.AnswerSample)
}

// DefaultRetention is the default of Config.Retention.
const DefaultRetention = 10 * time.Minute

// Entry implements the entry role. The pools, the jobs and the workers each
// have their own locks. While a run's lock is held, the lock of workers, acks,
// placementQueue, a link or the outcome sink may be acquired. The sink's lock
// may also be acquired while that of acks is held. No other two of these locks
// are held at once.
type Entry struct {
	cfg Config

	poolsMu sync.RWMutex // guards pools
	pools   map[string]*pool

	workersMu sync.RWMutex // guards workers
	workers   map[host.Ref]*workerLink

	jobs           jobShards
	placementQueue placementQueue
	acks           acks
	answerCache    answerCache
	credits        creditState
	members        members

	retryBudget retryBudget

	drainMu        sync.Mutex // guards readinessEnded and draining
	readinessEnded bool
	draining       bool
	inFlight       sync.WaitGroup
}

// workerLink is a worker and the link to its agent. The link is nil while the
// agent is disconnected.
type workerLink struct {
	host.Worker
	link *link.Link
	// linkNumber is the agent's number of the link; a later link has a higher
	// one.
	linkNumber uint64
}

// New returns an entry that follows the tables in cfg.Tables.
func New(cfg Config) *Entry {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.BodyStallTimeout == 0 {
		cfg.BodyStallTimeout = DefaultBodyStallTimeout
	}
	e := &Entry{
		cfg:     cfg,
		pools:   make(map[string]*pool),
		workers: make(map[host.Ref]*workerLink),
	}
	e.answerCache.limit = cmp.Or(cfg.CachedAnswerBytes, DefaultCachedAnswerBytes)
	e.jobs.init()
	e.members.directory = membership.New()
	e.credits.grants = make(map[grantKey]contract.CreditGrant)
	cfg.Tables.Watch(e.handleTables)
	return e
}

// Workers returns the workers whose agents are connected.
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

// sendToWorker sends a message to the worker's agent if it is connected.
func (e *Entry) sendToWorker(ref host.Ref, m contract.Message) {
	if w, ok := e.worker(ref); ok && w.link != nil {
		w.link.Send(m)
	}
}

// hasNewerIncarnation reports whether a later incarnation of the worker has
// announced itself.
func (e *Entry) hasNewerIncarnation(ref host.Ref) bool {
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

// workItem is a job or a single request, as seen by placement.
type workItem interface {
	// place starts the task at the worker, and returns the events to pass to
	// the scheduler.
	place(id contract.TaskID, w workerLink) []dispatch.Event
	// refuse ends the work with err; the scheduler has placed none of its
	// tasks.
	refuse(err error)
}
