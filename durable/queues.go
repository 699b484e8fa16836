package durable

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Invariant: the Queue, Pool and Priority of a job that has not ended are those of its
// queue in Tables, as long as Tables has that queue.

// DroppedQueue is a queue that is no longer in the tables. A queue that later matches the
// same requests takes over its jobs.
type DroppedQueue struct {
	Queue contract.Queue
	// At is the log time in milliseconds at which the queue was dropped.
	At int64
}

// droppedQueueRetention is how long, in log time, a dropped queue is kept if no job names
// it: a job that was admitted before the change may be stored after it.
const droppedQueueRetention = 20 * time.Second

// replaceTables replaces the tables, and matches the jobs that have not ended to the new
// queues.
func (s *State) replaceTables(t *contract.QueueTables, c *Changes) {
	before := s.Tables.Queues
	s.Tables = *t
	c.Queues = contract.NewQueueChange(slices.Concat(before, s.droppedQueues()), t.Queues)
	c.Rematched = s.rematchJobs(c.Queues)
	for _, q := range c.Queues.DroppedQueues(before) {
		s.Dropped = append(s.Dropped, DroppedQueue{Queue: q, At: s.LogTime})
	}
	s.forgetDroppedQueues()
}

// rematchJobs matches the jobs that have not ended, and returns those that have changed.
func (s *State) rematchJobs(change *contract.QueueChange) []*Job {
	var changed []*Job
	for _, j := range s.Jobs {
		if !j.State.Ended() && change.Rematch(&j.DurableJob) {
			changed = append(changed, j)
		}
	}
	return changed
}

// queuesSeen returns the change from all queues that a job may name to the present ones.
func (s *State) queuesSeen() *contract.QueueChange {
	return contract.NewQueueChange(slices.Concat(s.Tables.Queues, s.droppedQueues()), s.Tables.Queues)
}

func (s *State) droppedQueues() []contract.Queue {
	out := make([]contract.Queue, len(s.Dropped))
	for i, d := range s.Dropped {
		out[i] = d.Queue
	}
	return out
}

// forgetDroppedQueues removes the dropped queues that the tables name again, and the old
// ones that no job names.
func (s *State) forgetDroppedQueues() {
	if len(s.Dropped) == 0 {
		return
	}
	inTables, named := map[string]bool{}, map[string]bool{}
	for i := range s.Tables.Queues {
		inTables[s.Tables.Queues[i].Name] = true
	}
	for _, j := range s.Jobs {
		if !j.State.Ended() {
			named[j.Queue] = true
		}
	}
	oldest := s.LogTime - droppedQueueRetention.Milliseconds()
	s.Dropped = slices.DeleteFunc(s.Dropped, func(d DroppedQueue) bool {
		return inTables[d.Queue.Name] || d.At < oldest && !named[d.Queue.Name]
	})
}
