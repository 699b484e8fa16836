// Package durable is the state that the control hosts replicate: the durable
// jobs, the tables of queues, and the agents that may hold runs. It is pure:
// each host applies the same batches in the same order and comes to the same
// state.
package durable

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Batch is what one entry of the log changes, in the order of its fields.
type Batch struct {
	// At is the log's own time in milliseconds; it never goes back.
	At int64
	// ForgetBefore drops jobs that ended before this log time.
	ForgetBefore int64
	Tables       *contract.QueueTables
	Submits      []contract.DurableJob
	Cancels      []contract.DurableJobID
	Ends         []TaskEnd
	// AgentsSeen may hold runs from now on; AgentsGone hold none.
	AgentsSeen []AgentSeen
	AgentsGone []contract.HostID
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool {
	return b.Tables == nil && len(b.Submits) == 0 && len(b.Cancels) == 0 && len(b.Ends) == 0 &&
		len(b.AgentsSeen) == 0 && len(b.AgentsGone) == 0
}

// AgentSeen is an agent with its worker.
type AgentSeen struct {
	Host   contract.HostID
	Worker contract.WorkerAnnouncement
}

// TaskEnd is an end that counts: the task is done, or has failed once more.
type TaskEnd struct {
	contract.DurableTask
	Done bool
}

// Encode returns the batch as the data of a log entry.
func (b *Batch) Encode() ([]byte, error) { return encode(b) }

// DecodeBatch reads the data of a log entry.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	return b, msgpack.Unmarshal(data, b)
}

// Job is a durable job with what is known of its tasks.
type Job struct {
	contract.DurableJob
	State contract.DurableState
	// At is the log time of its acceptance, EndedAt that of its end.
	At, EndedAt int64
	// Done and Failures are by task; both are nil once the job has ended.
	Done     []bool
	Failures []uint8
	Left     int
}

// StepOf returns the step of a task, and the task's index in it.
func (j *Job) StepOf(task uint32) (step, index int) {
	i := int(task)
	for s := range j.Steps {
		if i < j.Steps[s].Count {
			return s, i
		}
		i -= j.Steps[s].Count
	}
	return -1, 0
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	At     int64
	Tables contract.QueueTables
	Jobs   map[contract.DurableJobID]*Job
	// Ended are the jobs that have ended, oldest first.
	Ended []contract.DurableJobID
	// Agents are those that may hold runs, each with its worker.
	Agents map[contract.HostID]contract.WorkerAnnouncement
}

// New returns an empty state.
func New() *State {
	return &State{Jobs: map[contract.DurableJobID]*Job{}, Agents: map[contract.HostID]contract.WorkerAnnouncement{}}
}

// Restore reads a state that Encode returned.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	return s, msgpack.Unmarshal(data, s)
}

// Encode returns the state as the data of a snapshot.
func (s *State) Encode() ([]byte, error) { return encode(s) }

func encode(v any) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf writer
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf, err
}

type writer []byte

func (w *writer) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// Changes is what applying a batch did.
type Changes struct {
	Accepted []*Job
	// Finished are the jobs that ended, by a cancel too.
	Finished []*Job
	// TablesChanged says that a higher version took effect.
	TablesChanged bool
}

// Apply changes the state by one batch.
func (s *State) Apply(b *Batch) Changes {
	var c Changes
	s.At = max(s.At, b.At)
	if b.Tables != nil && b.Tables.Version > s.Tables.Version {
		s.Tables = *b.Tables
		c.TablesChanged = true
	}
	for i := range b.Submits {
		if j := s.submit(&b.Submits[i]); j != nil {
			c.Accepted = append(c.Accepted, j)
		}
	}
	for _, id := range b.Cancels {
		if j := s.Jobs[id]; j != nil && !j.State.Ended() {
			s.finish(j, contract.DurableCancelled, &c)
		}
	}
	for _, e := range b.Ends {
		s.end(e, &c)
	}
	for _, a := range b.AgentsSeen {
		s.Agents[a.Host] = a.Worker
	}
	for _, h := range b.AgentsGone {
		delete(s.Agents, h)
	}
	s.forget(b.ForgetBefore)
	return c
}

// submit stores a job unless one with its ID is known.
func (s *State) submit(d *contract.DurableJob) *Job {
	if s.Jobs[d.ID] != nil {
		return nil
	}
	j := NewJob(d, s.At)
	s.Jobs[d.ID] = j
	return j
}

// NewJob returns a job of which nothing has run.
func NewJob(d *contract.DurableJob, at int64) *Job {
	n := d.Tasks()
	return &Job{DurableJob: *d, State: contract.DurableQueued, At: at, Done: make([]bool, n), Failures: make([]uint8, n), Left: n}
}

// End takes an end that counts. It reports whether the job has ended by it.
func (j *Job) End(task uint32, done bool) bool {
	if j.State.Ended() || int(task) >= len(j.Done) || j.Done[task] {
		return false
	}
	j.State = contract.DurableRunning
	if done {
		j.Done[task] = true
		j.Left--
		if j.Left == 0 {
			j.State = contract.DurableCompleted
		}
	} else {
		j.Failures[task]++
		if int(j.Failures[task]) >= j.MaxAttempts {
			j.State = contract.DurableFailed
		}
	}
	return j.State.Ended()
}

func (s *State) end(e TaskEnd, c *Changes) {
	if j := s.Jobs[e.Job]; j != nil && j.End(e.Task, e.Done) {
		s.finish(j, j.State, c)
	}
}

// finish ends a job and drops what only a job under way needs.
func (s *State) finish(j *Job, state contract.DurableState, c *Changes) {
	j.State = state
	j.EndedAt = s.At
	j.Spec = ""
	j.Steps = nil
	j.Done, j.Failures = nil, nil
	s.Ended = append(s.Ended, j.ID)
	c.Finished = append(c.Finished, j)
}

func (s *State) forget(before int64) {
	n := 0
	for n < len(s.Ended) && s.Jobs[s.Ended[n]].EndedAt < before {
		delete(s.Jobs, s.Ended[n])
		n++
	}
	if n > 0 {
		s.Ended = append([]contract.DurableJobID(nil), s.Ended[n:]...)
	}
}

// Match returns the queue with the longest prefix of the path on the host, and
// what follows the prefix.
func (s *State) Match(host, path string) (*contract.Queue, string) {
	var best *contract.Queue
	for i := range s.Tables.Queues {
		q := &s.Tables.Queues[i]
		if q.Host == host && len(path) >= len(q.PathPrefix) && path[:len(q.PathPrefix)] == q.PathPrefix &&
			(best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}
