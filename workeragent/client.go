package workeragent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Refusal is the reason for which a worker refused to start a run.
type Refusal uint8

// The reasons of a refusal.
const (
	// NotRefused: the run was started by this call or by an earlier one.
	NotRefused Refusal = iota
	// RefusedFenced: the worker has seen a higher fencing token.
	RefusedFenced
	// RefusedStaleRun: a run of the task with this or a higher number was stopped or
	// has ended.
	RefusedStaleRun
	// RefusedExpired: the deadline of the start call had passed.
	RefusedExpired
	// RefusedNoCapacity: the worker has no free capacity.
	RefusedNoCapacity
	// RefusedUnhealthy: the worker can't start any run at present.
	RefusedUnhealthy
	// RefusedInvalid: the worker rejected the call as invalid.
	RefusedInvalid
)

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string {
	return [...]string{"started", "fence", "old", "late", "room", "unhealthy", "bad"}[r]
}

// The errors of calls to a worker. After any other error the result of the call
// is unknown: the worker may have carried it out or may still do so.
var (
	// ErrOtherInstance says that another instance of the worker answered.
	ErrOtherInstance = errors.New("another instance of the worker answered: wait for its announcement")
	// ErrFenced says that the worker has seen a higher fencing token.
	ErrFenced = errors.New("the worker has seen a higher fencing token: wait for the next leader")
	// ErrNoLeader says that no leader is known, so that there is no fencing
	// token to call the worker with.
	ErrNoLeader = errors.New("no leader is known: check that a majority of the control hosts can be reached")
	// ErrNotListening says that no process listens at the worker's address.
	ErrNotListening = errors.New("no process listens at the worker's address: the worker has exited")
)

// StartCall orders a worker to start a run.
type StartCall struct {
	// Name is the task's name at the worker; Run is the number of the run.
	Name string
	Run  uint64
	Spec string
	// DeadlineMS is the end of the lease on the worker's clock, in milliseconds.
	// The worker refuses a start that arrives after it.
	DeadlineMS int64
	// Token is the fencing token: the leader's term.
	Token uint64
}

// PollCall polls a worker: it renews the lease, acknowledges run ends, and asks
// for the lists of running and ended runs.
type PollCall struct {
	// Token is the fencing token: the leader's term.
	Token uint64
	// AckedSeq acknowledges the run ends up to this sequence number; the worker
	// then removes them from its list of ended runs.
	AckedSeq uint64
	// DeadlineMS is the new end of the lease on the worker's clock, in
	// milliseconds; zero leaves the lease as it is.
	DeadlineMS int64
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
}

// NamedRun identifies a run at the worker: the task's name and the number of
// the run.
type NamedRun struct {
	Name string
	Run  uint64
}

// EndedRun is an entry in a worker's list of ended runs.
type EndedRun struct {
	NamedRun
	// Seq is the sequence number of the run end at this worker instance.
	Seq  uint64
	Kind contract.RunEndKind
}

// PollReply is a worker's reply to a PollCall.
type PollReply struct {
	// ClockMS is the worker's clock in milliseconds.
	ClockMS int64
	Running []NamedRun
	Ended   []EndedRun
}

// contains reports whether the run is listed as running or as ended.
func (r *PollReply) contains(name NamedRun) bool {
	return slices.Contains(r.Running, name) ||
		slices.ContainsFunc(r.Ended, func(e EndedRun) bool { return e.NamedRun == name })
}

// WorkerClient is a client of one worker instance. The worker remembers the
// highest fencing token that it has seen and rejects calls with a lower one.
type WorkerClient interface {
	// Start starts a run, or returns why the worker refused it.
	Start(context.Context, StartCall) (Refusal, error)
	// Stop ends a run. If the run has not started yet, the worker refuses a
	// start that arrives later.
	Stop(ctx context.Context, r NamedRun, token uint64) error
	// Poll polls the worker. With ErrFenced the reply still holds the worker's
	// clock.
	Poll(context.Context, PollCall) (PollReply, error)
	// Close closes idle connections.
	Close()
}
