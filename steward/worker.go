package steward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Refusal is why a worker did not start a run.
type Refusal uint8

// The refusals.
const (
	// NotRefused: the run is there.
	NotRefused Refusal = iota
	// RefusedFence: a higher fencing token was seen.
	RefusedFence
	// RefusedOld: a run as high as this one was stopped or has ended.
	RefusedOld
	// RefusedLate: the deadline of the order had passed.
	RefusedLate
	// RefusedRoom: the worker is full.
	RefusedRoom
	// RefusedUnhealthy: the worker itself can't start anything now.
	RefusedUnhealthy
	// RefusedBad: the order was not understood.
	RefusedBad
)

// String returns the refusal's name in logs.
func (r Refusal) String() string {
	return [...]string{"started", "fence", "old", "late", "room", "unhealthy", "bad"}[r]
}

// The errors of a worker's calls. Any other error means that there was no
// answer: the call may be carried out, also later.
var (
	// ErrOtherLife says that another life of the worker answered.
	ErrOtherLife = errors.New("another life of the worker answered: wait for its announcement")
	// ErrFenced says that the worker has seen a higher fencing token.
	ErrFenced = errors.New("the worker has seen a higher fencing token: wait for the next leader")
	// ErrNoLeader says that no leader is known, so that nothing may be ordered.
	ErrNoLeader = errors.New("no leader is known: check that a majority of the control hosts can be reached")
	// ErrNotListening says that no process listens at the worker's address.
	ErrNotListening = errors.New("no worker listens at the address: it has ended")
)

// StartCall orders a worker to start a run.
type StartCall struct {
	Name string
	Run  uint64
	Spec string
	// Deadline is when the lease ends, on the worker's clock in milliseconds;
	// a start that arrives after it is refused.
	Deadline int64
	Token    uint64
}

// HoldCall extends a worker's lease, notes ends, and lists what runs.
type HoldCall struct {
	Token uint64
	// Seen is the number up to which ends are noted for good.
	Seen uint64
	// Deadline is zero where the lease is not to be extended.
	Deadline int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// NamedRun is a run under the task's name at the worker.
type NamedRun struct {
	Name string
	Run  uint64
}

// EndedRun is an end that a worker lists.
type EndedRun struct {
	NamedRun
	Seq uint64
	How contract.RunEnd
}

// Held is a worker's answer to a HoldCall.
type Held struct {
	// Clock is the worker's clock in milliseconds.
	Clock   int64
	Running []NamedRun
	Ended   []EndedRun
}

// lists reports whether the run is among those that run or have ended.
func (h *Held) lists(name NamedRun) bool {
	return slices.Contains(h.Running, name) ||
		slices.ContainsFunc(h.Ended, func(e EndedRun) bool { return e.NamedRun == name })
}

// Worker is one life of a worker. It keeps the highest fencing token that it
// has seen and does nothing for a lower one.
type Worker interface {
	Start(context.Context, StartCall) (Refusal, error)
	// Stop ends a run, and bars it where it is not there yet.
	Stop(ctx context.Context, r NamedRun, token uint64) error
	// Hold returns the worker's clock with ErrFenced too.
	Hold(context.Context, HoldCall) (Held, error)
	// Close drops the connections.
	Close()
}
