// Package dispatch decides, for one pool at one entry, which worker starts
// which task and when, and for one agent, which entry may use its slots. It is
// pure: typed events and a time go in, typed actions come out; it holds no
// socket, clock, goroutine or global random source, and the same history gives
// the same actions. It is not safe for concurrent use: its driver holds one
// lock for each Pool and each Shares.
package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Event is something that happened.
type Event interface{ event() }

// WorkerUp says that a worker joined, or that what it offers changed.
type WorkerUp struct{ Worker host.Worker }

// WorkerDown says that a worker left or fell silent.
type WorkerDown struct{ Worker host.Ref }

// Submit asks for a job's tasks to be placed.
type Submit struct {
	Job      contract.JobID
	Team     string
	Route    string
	Deadline time.Time
	Demands  []contract.Demand
}

// Requeue says that a placed task did not start and may be placed again.
type Requeue struct {
	Task   contract.TaskID
	Worker host.Ref
}

// Finished says that a placed task ended at its worker, or was given up.
type Finished struct {
	Task    contract.TaskID
	Worker  host.Ref
	Elapsed time.Duration
	Failed  bool
}

// Withdraw drops the job's unplaced tasks.
type Withdraw struct{ Job contract.JobID }

// Tick lets time pass.
type Tick struct{}

// Peers says which other entries serve the pool and are linked now.
type Peers struct {
	Self  contract.HostID
	Peers []contract.HostID
}

// PoolChanged says that the pool's row changed.
type PoolChanged struct{ Row contract.Pool }

// CreditGranted is an agent's grant of slots.
type CreditGranted struct {
	Worker host.Ref
	Epoch  uint64
	Slots  int
}

// CreditAsked is a peer's want of credits.
type CreditAsked struct {
	From contract.HostID
	Ask  *contract.CreditAsk
}

// CreditLent is a peer's loan.
type CreditLent struct {
	From contract.HostID
	Lend *contract.CreditLend
}

// WorkerSuspected is a peer's report on a worker.
type WorkerSuspected struct {
	From    contract.HostID
	Suspect *contract.WorkerSuspect
}

// WorkerLoad is a worker's own report of the slots that are in use or waited
// for there. Only baselines use it.
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
func (Peers) event()           {}
func (PoolChanged) event()     {}
func (CreditGranted) event()   {}
func (CreditAsked) event()     {}
func (CreditLent) event()      {}
func (WorkerSuspected) event() {}
func (WorkerLoad) event()      {}

// Action is something that the driver must do, in order.
type Action interface{ action() }

// Place asks the driver to send the task's start to the worker.
type Place struct {
	Task   contract.TaskID
	Worker host.Ref
}

// Refuse says that the job is refused and that none of its tasks was or will
// be placed.
type Refuse struct {
	Job contract.JobID
	Err error
}

// Tell asks the driver to send a message to a peer entry. It may be lost.
type Tell struct {
	To      contract.HostID
	Message contract.Message
}

// Wake asks the driver for a Tick at the given time or soon after.
type Wake struct{ At time.Time }

func (Place) action()  {}
func (Refuse) action() {}
func (Tell) action()   {}
func (Wake) action()   {}

// Scheduler is what a pool's driver needs of a policy.
type Scheduler interface {
	// Step takes one event at the given time and returns what to do. Times
	// must not go back.
	Step(now time.Time, ev Event) []Action
}
