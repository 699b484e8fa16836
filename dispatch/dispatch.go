// Package dispatch schedules the tasks of one pool at one entry: it decides
// which worker starts which task and when. It also splits the slots of one
// agent's worker between the entries.
//
// The package is a pure state machine: events and the current time go in,
// actions come out. It uses no socket, clock, goroutine or global random
// source, and the same sequence of events yields the same actions. Its types
// are not safe for concurrent use: the driver guards each Pool and each Shares
// with a lock of its own.
package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Event is an input of a Scheduler.
type Event interface{ event() }

// WorkerUp reports that a worker joined, or that its announcement changed.
type WorkerUp struct{ Worker host.Worker }

// WorkerDown reports that a worker left or stopped responding.
type WorkerDown struct{ Worker host.Ref }

// Submit requests the placement of a job's tasks, one for each demand.
type Submit struct {
	Job      contract.JobID
	Team     string
	Route    string
	Deadline time.Time
	Demands  []contract.Demand
}

// Requeue reports that a placed task did not start and may be placed again.
type Requeue struct {
	Task   contract.TaskID
	Worker host.Ref
}

// Finished reports that a placed task ended at its worker, or was abandoned.
// Elapsed is its run time; only an event with a positive Elapsed counts for the
// worker's health and for later run time estimates.
type Finished struct {
	Task    contract.TaskID
	Worker  host.Ref
	Elapsed time.Duration
	Failed  bool
}

// Withdraw cancels the job's unplaced tasks. Its placed tasks still end with
// Finished or Requeue.
type Withdraw struct{ Job contract.JobID }

// Tick reports only that time has passed.
type Tick struct{}

// PeersChanged lists the other entries that serve the pool and are currently
// linked to this one. It replaces the previous list.
type PeersChanged struct {
	Self  contract.HostID
	Peers []contract.HostID
}

// PoolChanged reports a new version of the pool's row in the pools table.
type PoolChanged struct{ Row contract.Pool }

// CreditGranted reports an agent's grant of slots: Slots in all under Epoch.
type CreditGranted struct {
	Worker host.Ref
	Epoch  uint64
	Slots  int
}

// CreditAsked reports a peer's request for credits.
type CreditAsked struct {
	From contract.HostID
	Ask  *contract.CreditAsk
}

// CreditLent reports a peer's loan of credits or quota.
type CreditLent struct {
	From contract.HostID
	Lend *contract.CreditLend
}

// WorkerSuspected reports a peer's view of a worker's health.
type WorkerSuspected struct {
	From    contract.HostID
	Suspect *contract.WorkerSuspect
}

// WorkerLoad reports the load of a worker, as counted by the worker: Used is the
// number of slots that its running and queued tasks take. Only
// ImmediateScheduler uses it.
type WorkerLoad struct {
	Worker host.Ref
	Used   int
}

func (WorkerUp) event()        {}
func (WorkerDown) event()      {}
func (Submit) event()          {}
func (Requeue) event()         {}
func (Finished) event()        {}
func (Withdraw) event()        {}
func (Tick) event()            {}
func (PeersChanged) event()    {}
func (PoolChanged) event()     {}
func (CreditGranted) event()   {}
func (CreditAsked) event()     {}
func (CreditLent) event()      {}
func (WorkerSuspected) event() {}
func (WorkerLoad) event()      {}

// Action is an output of a Scheduler. The driver performs the actions of a
// step in order.
type Action interface{ action() }

// Place requests that the task's start be sent to the worker.
type Place struct {
	Task   contract.TaskID
	Worker host.Ref
}

// Refuse reports that the job is refused: none of its tasks was or will be
// placed.
type Refuse struct {
	Job contract.JobID
	Err error
}

// SendMessage requests that a message be sent to a peer entry. The message may
// be lost.
type SendMessage struct {
	To      contract.HostID
	Message contract.Message
}

// Wake requests a Tick at the given time or soon after.
type Wake struct{ At time.Time }

func (Place) action()       {}
func (Refuse) action()      {}
func (SendMessage) action() {}
func (Wake) action()        {}

// Scheduler is a scheduling policy for one pool at one entry.
type Scheduler interface {
	// Step handles one event at the given time and returns the actions to
	// perform. The time must not decrease from one call to the next.
	Step(now time.Time, ev Event) []Action
}
