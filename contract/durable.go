package contract

import "time"

// DurableJobID names a durable job; its caller chooses it.
type DurableJobID string

// Queue is a route whose requests are durable jobs.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Pool is the pool whose workers run the jobs.
	Pool string
	// Priority orders the queues; 0 comes first.
	Priority int
	// MaxAttempts is how often one task may fail.
	MaxAttempts int
	// Slack times the job's own work, and Target more, is the objective for
	// the time from submission to completion.
	Slack  float64
	Target time.Duration
	// NeedsAdvice says that only the policy service knows which workers may
	// run a step.
	NeedsAdvice bool
}

// QueueTables are the queues as of one version.
type QueueTables struct {
	Version uint64
	Queues  []Queue
	// Document is what the operator sent, to be read back unchanged.
	Document []byte
}

// DurableStep is a set of tasks that are alike.
type DurableStep struct {
	Count int
	Need  Demand
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label must be among the worker's labels; empty means any worker.
	Label string
	// Rack is where the step's data is; empty means nowhere in particular.
	Rack string
	// PerWorker bounds the tasks of the step on one worker; zero is no bound.
	PerWorker int
}

// DurableJob is a job that is kept until it has ended, whatever fails.
type DurableJob struct {
	ID    DurableJobID
	Queue string
	Pool  string
	// Priority, MaxAttempts, Slack and Target are those of the queue when the
	// job was accepted.
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

// DurableTask names one task: tasks are numbered through all steps.
type DurableTask struct {
	Job  DurableJobID
	Task uint32
}

// DurableState is how far a durable job has come.
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

// RunEnd is how a run of a task ended.
type RunEnd uint8

// The ends of a run.
const (
	// EndDone: the task did its work.
	EndDone RunEnd = iota + 1
	// EndFailed: the task or its worker failed; it counts as an attempt.
	EndFailed
	// EndStopped: it was stopped on order.
	EndStopped
	// EndLapsed: the worker's lease ran out.
	EndLapsed
	// EndNotStarted: the worker refused the start, or the start was barred
	// before it happened.
	EndNotStarted
)

// String returns the end's name in logs.
func (e RunEnd) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "not-started"}
	if int(e) >= len(names) {
		return names[0]
	}
	return names[e]
}

// WorkerAnnouncement is what a worker says of itself.
type WorkerAnnouncement struct {
	ID HostID
	// Born is when this life of the worker began, in milliseconds since 1970;
	// a worker may start again under its ID.
	Born     int64
	Seq      uint64
	Addr     string
	Pool     string
	Capacity Capacity
	Labels   []string
	Draining bool
}

// SameLife reports whether both come from one life of a worker.
func (a WorkerAnnouncement) SameLife(b WorkerAnnouncement) bool {
	return a.ID == b.ID && a.Born == b.Born
}

// WorkerClockError is how much slower a worker's clock may run than others, as
// one part in this; the users' platform allows 2%.
const WorkerClockError = 50
