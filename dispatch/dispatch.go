// Package dispatch decides, for one pool at one entry, which worker starts
// which task and when. It is pure: typed events and a time go in, typed
// actions come out; it holds no socket, clock or goroutine. It is not safe for
// concurrent use: its driver holds one lock for each Pool.
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

func (WorkerUp) event()   {}
func (WorkerDown) event() {}
func (Submit) event()     {}
func (Requeue) event()    {}
func (Finished) event()   {}
func (Withdraw) event()   {}
func (Tick) event()       {}

// Action is something that the driver must do, in order.
type Action interface{ action() }

// Place asks the driver to send the task's start to the worker.
type Place struct {
	Task   contract.TaskID
	Worker host.Ref
}

// Refuse says that the job is refused and that none of its tasks will be
// placed.
type Refuse struct {
	Job contract.JobID
	Err error
}

func (Place) action()  {}
func (Refuse) action() {}

// Scheduler is what a pool's driver needs of a policy.
type Scheduler interface {
	// Step takes one event at the given time and returns what to do. Times
	// must not go back.
	Step(now time.Time, ev Event) []Action
}
