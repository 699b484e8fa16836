// Package durable implements the replicated state machine of the control hosts.
// Its state holds the durable jobs, the queue tables, and the agents whose
// workers may have runs. It is deterministic: all hosts apply the same batches
// in the same order and reach the same state.
package durable

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Batch holds the changes of one log entry. They are applied in the order of
// the fields, except that ForgetBefore is applied last.
type Batch struct {
	// LogTime is the leader's log time at the proposal, in milliseconds. It may
	// be lower than in an earlier batch; the log time of the state never goes
	// back.
	LogTime int64
	// ForgetBefore is a log time. Jobs that ended before it are removed.
	ForgetBefore int64
	// Tables, if set, replaces the queue tables if its version is higher.
	Tables  *contract.QueueTables
	Submits []contract.DurableJob
	Cancels []contract.DurableJobID
	Ends    []TaskEnd
	// RegisteredAgents lists agents whose workers may have runs from now on.
	RegisteredAgents []AgentRegistration
	// RemovedAgents lists agents whose workers can no longer have runs.
	RemovedAgents []contract.HostID
	// Evacuations lists operators' orders in the order in which they came.
	Evacuations []EvacuationOrder
	// Crashes lists the crashes of workers that the leader has learned of.
	Crashes []Crash
	// Failed lists the jobs that are given up since a task of them crashes workers.
	Failed []contract.DurableJobID
	// SubmitTables is the version of the tables by which the first of Submits was matched;
	// zero in a batch of an earlier version.
	SubmitTables uint64
}

// Empty reports whether the batch has no other effect than to advance the log
// time and to remove ended jobs.
func (b *Batch) Empty() bool {
	return b.Tables == nil && len(b.Submits) == 0 && len(b.Cancels) == 0 && len(b.Ends) == 0 &&
		len(b.RegisteredAgents) == 0 && len(b.RemovedAgents) == 0 && len(b.Evacuations) == 0 &&
		len(b.Crashes) == 0 && len(b.Failed) == 0
}

// DecodeMsgpack implements msgpack.CustomDecoder. A stored batch of an earlier version
// has fewer fields.
func (b *Batch) DecodeMsgpack(dec *msgpack.Decoder) error { return contract.DecodeArray(dec, b) }

// AgentRegistration is an agent and the announcement of its worker.
type AgentRegistration struct {
	Host   contract.HostID
	Worker contract.WorkerAnnouncement
}

// TaskEnd is the end of a run that counts for its task: if Done is set, the
// task is done, otherwise one attempt has failed.
type TaskEnd struct {
	contract.DurableTask
	Done bool
}

// Encode returns the batch as the data of a log entry.
func (b *Batch) Encode() ([]byte, error) { return encode(b) }

// DecodeBatch decodes a batch from the data of a log entry.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	return b, msgpack.Unmarshal(data, b)
}

// Job is a job and the progress of its tasks.
type Job struct {
	contract.DurableJob
	State contract.DurableState
	// AcceptedAt is the log time in milliseconds at which the job was accepted,
	// and EndedAt that at which it ended.
	AcceptedAt, EndedAt int64
	// Done and Failures are indexed by task. Done tells which tasks are done,
	// Failures counts failed attempts. Both are nil in a job of a State that has
	// ended.
	Done     []bool
	Failures []uint8
	// RemainingTasks is the number of tasks that are not done.
	RemainingTasks int
}

// StepOf returns the index of a task's step and the task's index within that
// step. It returns -1, 0 if the job has no such task.
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
	// LogTime is the log time of the state in milliseconds: the highest of the
	// applied batches.
	LogTime int64
	Tables  contract.QueueTables
	Jobs    map[contract.DurableJobID]*Job
	// EndedJobs lists the jobs that have ended and are still kept, in the order
	// in which they ended.
	EndedJobs []contract.DurableJobID
	// Agents holds the announcement of each worker that may have runs, by the
	// host of its agent.
	Agents map[contract.HostID]contract.WorkerAnnouncement
	// GoneAgents holds, by host, the log time in milliseconds at which an agent was
	// removed from Agents. A later leader can't learn from it which jobs have run.
	GoneAgents map[contract.HostID]int64
	// Evacuated lists the evacuated failure domains in ascending order. Their workers
	// get no new work.
	Evacuated []string
	// Crashes lists the crashes of the last CrashRetention, and the older ones under
	// jobs that have not ended, in the order in which a leader learned of them.
	Crashes []Crash
	// Dropped lists the queues that have left the tables and that jobs may still name.
	Dropped []DroppedQueue
}

// GoneAgentRetention is how long, in log time, the removal of an agent is kept. It
// is longer than callers wait for a job.
const GoneAgentRetention = 20 * time.Second

// DecodeMsgpack implements msgpack.CustomDecoder. A snapshot of an earlier version has
// fewer fields.
func (s *State) DecodeMsgpack(dec *msgpack.Decoder) error { return contract.DecodeArray(dec, s) }

// New returns an empty state.
func New() *State {
	return &State{
		Jobs: map[contract.DurableJobID]*Job{}, Agents: map[contract.HostID]contract.WorkerAnnouncement{},
		GoneAgents: map[contract.HostID]int64{},
	}
}

// Restore decodes a state from the data of a snapshot that Encode returned.
// Empty data gives an empty state. A member of an earlier version does not match jobs to
// new tables, so those of its snapshot are matched here.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	if err := msgpack.Unmarshal(data, s); err != nil {
		return s, err
	}
	s.rematchJobs(s.queuesSeen())
	return s, nil
}

// Encode returns the state as the data of a snapshot.
func (s *State) Encode() ([]byte, error) { return encode(s) }

// encode encodes a Batch or a State with msgpack, structs as arrays: the order,
// types and exportedness of their fields are the stored format.
func encode(v any) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf byteWriter
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf, err
}

// byteWriter is an io.Writer that appends to a byte slice.
type byteWriter []byte

// Write appends p and never fails.
func (w *byteWriter) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// Changes lists what changed when a batch was applied.
type Changes struct {
	// Accepted lists the jobs that were added.
	Accepted []*Job
	// Ended lists the jobs that ended, cancelled ones included.
	Ended []*Job
	// TablesChanged says that queue tables of a higher version took effect.
	TablesChanged bool
	// Queues is the change of the queues, and Rematched lists the jobs that follow it with
	// another queue, pool or priority. Both are nil if the tables have not changed.
	Queues    *contract.QueueChange
	Rematched []*Job
	// Evacuations lists the orders that changed the set of evacuated domains.
	Evacuations []EvacuationOrder
}

// Apply applies one batch to the state.
func (s *State) Apply(b *Batch) Changes {
	var c Changes
	s.LogTime = max(s.LogTime, b.LogTime)
	if b.Tables != nil && b.Tables.Version > s.Tables.Version {
		s.replaceTables(b.Tables, &c)
		c.TablesChanged = true
	}
	s.addJobs(b, &c)
	for _, id := range b.Cancels {
		if j := s.Jobs[id]; j != nil && !j.State.Ended() {
			s.finishJob(j, contract.DurableCancelled, &c)
		}
	}
	for _, e := range b.Ends {
		s.applyTaskEnd(e, &c)
	}
	for _, a := range b.RegisteredAgents {
		s.Agents[a.Host] = a.Worker
		delete(s.GoneAgents, a.Host)
	}
	s.removeAgents(b.RemovedAgents)
	for _, o := range b.Evacuations {
		s.applyEvacuation(o, &c)
	}
	s.applyCrashes(b.Crashes)
	for _, id := range b.Failed {
		if j := s.Jobs[id]; j != nil && !j.State.Ended() {
			s.finishJob(j, contract.DurableFailed, &c)
		}
	}
	s.forgetEndedJobs(b.ForgetBefore)
	return c
}

// removeAgents removes agents, and forgets the removals that are older than
// GoneAgentRetention.
func (s *State) removeAgents(hosts []contract.HostID) {
	for h, at := range s.GoneAgents {
		if at < s.LogTime-GoneAgentRetention.Milliseconds() {
			delete(s.GoneAgents, h)
		}
	}
	for _, h := range hosts {
		delete(s.Agents, h)
		s.GoneAgents[h] = s.LogTime
	}
}

// addJobs adds the submitted jobs. Those that were matched by earlier tables are matched
// again.
func (s *State) addJobs(b *Batch, c *Changes) {
	var change *contract.QueueChange
	if len(b.Submits) > 0 && b.SubmitTables != s.Tables.Version {
		change = s.queuesSeen()
	}
	for i := range b.Submits {
		j := s.addJob(&b.Submits[i])
		if j == nil {
			continue
		}
		if change != nil {
			change.Rematch(&j.DurableJob)
		}
		c.Accepted = append(c.Accepted, j)
	}
}

// addJob adds a job and returns it, or returns nil if the state holds a job
// with the same ID.
func (s *State) addJob(d *contract.DurableJob) *Job {
	if s.Jobs[d.ID] != nil {
		return nil
	}
	j := NewJob(d, s.LogTime)
	s.Jobs[d.ID] = j
	return j
}

// NewJob returns a queued job that was accepted at the log time at. None of its
// tasks has started.
func NewJob(d *contract.DurableJob, at int64) *Job {
	n := d.Tasks()
	return &Job{DurableJob: *d, State: contract.DurableQueued, AcceptedAt: at, Done: make([]bool, n), Failures: make([]uint8, n), RemainingTasks: n}
}

// RecordTaskEnd records that a run of the task succeeded, if done is set, or
// failed. It reports whether this ended the job: all its tasks are done, or one
// has failed MaxAttempts times. Ends of tasks that are done, or of a job that has
// ended, are ignored.
func (j *Job) RecordTaskEnd(task uint32, done bool) bool {
	if j.State.Ended() || int(task) >= len(j.Done) || j.Done[task] {
		return false
	}
	j.State = contract.DurableRunning
	if done {
		j.Done[task] = true
		j.RemainingTasks--
		if j.RemainingTasks == 0 {
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

// applyTaskEnd records the end of a run in its job, and finishes the job if this
// ended it.
func (s *State) applyTaskEnd(e TaskEnd, c *Changes) {
	if j := s.Jobs[e.Job]; j != nil && j.RecordTaskEnd(e.Task, e.Done) {
		s.finishJob(j, j.State, c)
	}
}

// finishJob marks a job as ended in the given final state, and removes the data
// that is only needed until then.
func (s *State) finishJob(j *Job, state contract.DurableState, c *Changes) {
	j.State = state
	j.EndedAt = s.LogTime
	j.Spec = ""
	j.Steps = nil
	j.Done, j.Failures = nil, nil
	s.EndedJobs = append(s.EndedJobs, j.ID)
	c.Ended = append(c.Ended, j)
}

// forgetEndedJobs removes the jobs that ended before the given log time.
func (s *State) forgetEndedJobs(before int64) {
	n := 0
	for n < len(s.EndedJobs) && s.Jobs[s.EndedJobs[n]].EndedAt < before {
		delete(s.Jobs, s.EndedJobs[n])
		n++
	}
	if n > 0 {
		s.EndedJobs = append([]contract.DurableJobID(nil), s.EndedJobs[n:]...)
	}
}

// MatchQueue returns the queue for a request, as contract.MatchQueue does.
func (s *State) MatchQueue(host, path string) (*contract.Queue, string) {
	return contract.MatchQueue(s.Tables.Queues, host, path)
}
