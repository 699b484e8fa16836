package contract

// QueueChange is a change of the queues. Jobs that were accepted before it are matched
// again to the queues after it.
type QueueChange struct {
	before map[string][]Queue
	byName map[string][]Queue
	byPath map[queuePath]*Queue
}

// queuePath is what a queue matches requests by.
type queuePath struct{ host, prefix string }

// NewQueueChange returns the change from the queues in before to those in after.
func NewQueueChange(before, after []Queue) *QueueChange {
	c := &QueueChange{before: queuesByName(before), byName: queuesByName(after), byPath: make(map[queuePath]*Queue, len(after))}
	for i := range after {
		c.byPath[queuePath{after[i].Host, after[i].PathPrefix}] = &after[i]
	}
	return c
}

func queuesByName(queues []Queue) map[string][]Queue {
	out := make(map[string][]Queue, len(queues))
	for _, q := range queues {
		out[q.Name] = append(out[q.Name], q)
	}
	return out
}

// Rematch makes the job follow its queue: the job takes the name, pool and priority that
// the queue has after the change. Its queue is the one that requests with the job's path
// now match or, if there is none, the one of the same name. A job whose queue is gone
// keeps what it has. MaxAttempts, Slack and Target were promised with the acceptance and
// never change. Rematch reports whether the job has changed.
func (c *QueueChange) Rematch(j *DurableJob) bool {
	q := c.successor(j)
	if q == nil || q.Name == j.Queue && q.Pool == j.Pool && q.Priority == j.Priority {
		return false
	}
	j.Queue, j.Pool, j.Priority = q.Name, q.Pool, q.Priority
	return true
}

func (c *QueueChange) successor(j *DurableJob) *Queue {
	if q := pickQueue(c.before[j.Queue], j.Pool); q != nil {
		if next := c.byPath[queuePath{q.Host, q.PathPrefix}]; next != nil {
			return next
		}
	}
	return pickQueue(c.byName[j.Queue], j.Pool)
}

// pickQueue returns the queue that the pool serves or, if it serves none, the first one.
// Names need not be unique.
func pickQueue(queues []Queue, pool string) *Queue {
	for i := range queues {
		if queues[i].Pool == pool {
			return &queues[i]
		}
	}
	if len(queues) == 0 {
		return nil
	}
	return &queues[0]
}

// DroppedQueues returns the queues in before whose name no queue has after the change.
func (c *QueueChange) DroppedQueues(before []Queue) []Queue {
	var out []Queue
	for _, q := range before {
		if len(c.byName[q.Name]) == 0 {
			out = append(out, q)
		}
	}
	return out
}
