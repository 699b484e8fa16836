package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// jobState is the state of one job with unfinished tasks.
type jobState struct {
	id         contract.JobID
	team       string
	route      string
	admitted   time.Time
	deadline   time.Time
	seq        uint64 // order of admission
	baseKey    int64  // the constant part of orderKey, in nanoseconds
	orderKey   int64  // see Pool.orderKey
	tasks      []taskState
	queued     []uint32 // indexes of unplaced tasks; see nextTask
	unfinished int      // number of unfinished tasks
	inQueue    bool
	started    bool // a task was placed
	closed     bool // withdrawn or refused: no further task is placed
	node       treapNode

	// remaining is the expected work of the unfinished tasks, queuedWork that
	// of the unplaced ones, and attained that of the placed and finished ones.
	// Work is in slots times nanoseconds.
	remaining  time.Duration
	queuedWork time.Duration
	attained   time.Duration

	failedOn        *worker // the first worker on which a task failed; nil if none
	failedOnSeveral bool
}

// taskState is the state of one task.
type taskState struct {
	demand   contract.Demand
	estimate time.Duration // expected run time
	worker   *worker       // where it is placed; nil if it is not
	placedAt time.Time
}

// work returns the expected work of the task, in slots times nanoseconds.
func (t *taskState) work() time.Duration { return t.estimate * time.Duration(t.demand.Slots) }

// nextTask returns the index of the task to place next, which is the last of
// queued: a requeued task if there is one, and otherwise the task with the
// longest estimated run time. The job must have an unplaced task.
func (j *jobState) nextTask() uint32 { return j.queued[len(j.queued)-1] }

// demand returns the demand of the task at index i.
func (j *jobState) demand(i uint32) contract.Demand { return j.tasks[i].demand }
