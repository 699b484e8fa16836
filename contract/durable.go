package contract

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// DurableJobID identifies a durable job. It is chosen by the caller.
type DurableJobID string

// Queue is a route whose requests are jobs of type DurableJob.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Pool is the name of the pool whose workers run the jobs.
	Pool string
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failures of one task after which the job fails.
	MaxAttempts int
	// Slack and Target define the objective for the time from submission to
	// completion: Slack times the estimated run time of the job, plus Target.
	Slack  float64
	Target time.Duration
	// NeedsAdvice is set if only an external policy service can decide which
	// workers may run a step. Jobs of such a queue are refused, since requests to
	// that service are not implemented.
	NeedsAdvice bool
}

// QueueTables holds all queues as of one version.
type QueueTables struct {
	Version uint64
	Queues  []Queue
	// Document is the document that the operator sent, returned unchanged on
	// reads.
	Document []byte
}

// MatchQueue returns the queue for a request with the given host name and path,
// and the rest of the path after the queue's prefix. If several queues match, the
// one with the longest prefix is chosen; without a match the result is nil.
func MatchQueue(queues []Queue, host, path string) (*Queue, string) {
	var best *Queue
	for i := range queues {
		q := &queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

// JobIDIn returns the ID of the job that a request names: the last segment of its path, or
// of the rest of the path after the prefix of its queue. It does not depend on which queue
// matches, so that a job keeps its ID when that changes.
func JobIDIn(path string) DurableJobID {
	return DurableJobID(path[strings.LastIndexByte(path, '/')+1:])
}

// DurableStep is a set of identical tasks of a durable job.
type DurableStep struct {
	// Count is the number of tasks.
	Count int
	// Demand is the demand of each task.
	Demand Demand
	// After lists the indexes of earlier steps. All of their tasks must be done
	// before a task of this step starts.
	After []int
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// Rack is the rack that stores the step's data; empty means no preference.
	Rack string
	// PerWorker is the maximum number of tasks of the step on one worker; zero
	// means no limit.
	PerWorker int
}

// DurableJob is a job of a queue. Once accepted, it is stored in the replicated log
// and survives the failure of any process until it has ended. A transient job (see
// JobSubmit) has the same type but is not stored.
type DurableJob struct {
	ID    DurableJobID
	Queue string
	Pool  string
	// Priority, MaxAttempts, Slack and Target are copied from the queue when the
	// job is accepted.
	Priority    int
	MaxAttempts int
	Slack       float64
	Target      time.Duration
	Spec        string
	Steps       []DurableStep
}

// Tasks returns the number of tasks of all steps.
func (j *DurableJob) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// DurableTask identifies one task of a durable job. Tasks are numbered
// consecutively across all steps.
type DurableTask struct {
	Job  DurableJobID
	Task uint32
}

// DurableState is the state of a durable job.
type DurableState uint8

// The states of a durable job.
const (
	DurableQueued DurableState = iota + 1
	DurableRunning
	DurableCompleted
	DurableFailed
	DurableCancelled
)

// Ended reports whether the state is final.
func (s DurableState) Ended() bool { return s >= DurableCompleted }

// String returns the state's name.
func (s DurableState) String() string {
	names := [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// RunEndKind is the way in which a run of a task ended.
type RunEndKind uint8

// The ways in which a run can end.
const (
	// EndDone means that the task completed its work.
	EndDone RunEndKind = iota + 1
	// EndFailed means that the task or its worker failed. The run counts against
	// MaxAttempts.
	EndFailed
	// EndStopped means that the run was stopped on an order.
	EndStopped
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired
	// EndNotStarted means that the run never started: the worker refused the
	// start, or the start was prevented first.
	EndNotStarted
	// EndLost means, in a report to an entry, that the run ended with its worker or the
	// worker's lease. It is no failure of the task.
	EndLost
)

// String returns the name used in logs.
func (e RunEndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "not-started", "lost"}
	if int(e) >= len(names) {
		return names[0]
	}
	return names[e]
}

// WorkerAnnouncement describes a worker, as announced by the worker itself.
type WorkerAnnouncement struct {
	ID HostID
	// StartedMillis is the time at which this instance of the worker started, in
	// Unix milliseconds. A restarted worker has the same ID and a new start time.
	StartedMillis int64
	// Seq orders the announcements of one instance.
	Seq      uint64
	Addr     string
	Pool     string
	Capacity Capacity
	Labels   []string
	Draining bool
	// FailureDomain is the failure domain of the worker. If the worker announces
	// none, the hub fills in that of its agent.
	FailureDomain string
	// ColdLeftMillis is for how many milliseconds longer, counted from when the
	// announcement was received, the worker is slower than usual.
	ColdLeftMillis int64
}

// DecodeMsgpack implements msgpack.CustomDecoder. Announcements are part of stored log
// entries, which earlier versions wrote with fewer fields.
func (a *WorkerAnnouncement) DecodeMsgpack(dec *msgpack.Decoder) error { return DecodeArray(dec, a) }

// SameInstance reports whether a and b come from the same instance of a worker.
func (a WorkerAnnouncement) SameInstance(b WorkerAnnouncement) bool {
	return a.ID == b.ID && a.StartedMillis == b.StartedMillis
}

const (
	// MaxResource limits each resource of a worker or task, so that no sum over workers or
	// tasks overflows.
	MaxResource = 1 << 40
	// maxAnnouncementSeq limits Seq to the integers that each JSON implementation keeps.
	maxAnnouncementSeq = 1 << 53
	// maxStartAhead is how far ahead of the local clock the start of an instance may lie. An
	// instance hides all that have started before it.
	maxStartAhead = 24 * time.Hour
)

// Validate returns an error if a number of the announcement can't be true. now is the
// time of day.
func (a WorkerAnnouncement) Validate(now time.Time) error {
	c := a.Capacity
	for _, n := range []int{c.MilliCPU, c.MemoryMB, c.Accelerators} {
		if n < 0 || n > MaxResource {
			return fmt.Errorf("the capacity has a resource of %d: announce 0 to %d", n, int64(MaxResource))
		}
	}
	switch {
	case a.Seq > maxAnnouncementSeq:
		return fmt.Errorf("the sequence number is %d: count from 1", a.Seq)
	case a.StartedMillis < 0 || a.StartedMillis > now.Add(maxStartAhead).UnixMilli():
		return fmt.Errorf("the instance started at %d: send Unix milliseconds", a.StartedMillis)
	}
	return nil
}

// WorkerClockDriftDivisor bounds the clock drift of a worker: its clock may run
// slower than others by one part in WorkerClockDriftDivisor. The platform allows 2%.
const WorkerClockDriftDivisor = 50
