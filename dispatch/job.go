package dispatch

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// jobState is one job with unfinished tasks.
type jobState struct {
	id       contract.JobID
	team     string
	route    string
	admitted time.Time
	deadline time.Time
	seq      uint64
	base     int64 // the key's part that doesn't change, in nanoseconds
	key      int64
	tasks    []taskState
	queued   []uint32 // unplaced tasks, the longest last
	open     int      // tasks not finished
	inQueue  bool
	started  bool
	closed   bool // withdrawn
	node     treapNode

	// remaining is the expected work of unfinished tasks, queuedWork of
	// unplaced ones, attained of placed ones, in slots times time.
	remaining  time.Duration
	queuedWork time.Duration
	attained   time.Duration

	failedOn *worker
	cleared  bool
}

type taskState struct {
	demand contract.Demand
	est    time.Duration
	worker *worker // where it is placed; nil otherwise
	placed time.Time
}

func (t *taskState) work() time.Duration { return t.est * time.Duration(t.demand.Slots) }

func (j *jobState) nextTask() uint32 { return j.queued[len(j.queued)-1] }

func (j *jobState) demand(i uint32) contract.Demand { return j.tasks[i].demand }
