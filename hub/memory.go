package hub

import (
	"cmp"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// defaultMemoryBytes applies where the memory of the process is not known.
const defaultMemoryBytes = 512 << 20

// Parts of the memory of the process: the memory divided by each.
const (
	// keptDivisor is the part for jobs that are kept. Each takes memory several times: in the
	// state, the log, the snapshot, and the record that replaces the log.
	keptDivisor = 12
	// transientDivisor is the part for the other jobs, which are held once.
	transientDivisor = 8
	// intakeDivisor is the part for submissions that wait for the event loop.
	intakeDivisor = 12
	// compactDivisor is the part by which the log may outgrow its snapshot.
	compactDivisor = 16
)

// maxKeptBytes limits the jobs that are kept, whatever the memory: their snapshot has to
// fit into one message, with the tables.
const maxKeptBytes = 16 << 20

const (
	// largeJobDivisor and spareJobDivisor: a job of more than one part in largeJobDivisor of
	// the memory leaves one part in spareJobDivisor to the others.
	largeJobDivisor = 64
	spareJobDivisor = 4
	// fullRetryAfter is when a job may be submitted again that found no memory. What frees it
	// are jobs that end.
	fullRetryAfter = 2 * time.Second
	// fullReason is the reason of the refusal.
	fullReason = "the memory for jobs is used up"
)

func (c *Config) memoryBytes() int64 { return cmp.Or(c.MemoryBytes, defaultMemoryBytes) }

// jobMemory accounts for the memory of the jobs at a leader, by contract.DurableJob's
// Footprint.
type jobMemory struct {
	kept, transient memoryPart
	// sizes holds the jobs that have not ended.
	sizes map[contract.DurableJobID]jobSize
}

// memoryPart is the memory of one kind of jobs, in bytes.
type memoryPart struct{ held, limit int64 }

type jobSize struct {
	bytes     int64
	transient bool
}

func newJobMemory(process int64) *jobMemory {
	return &jobMemory{
		kept:      memoryPart{limit: min(process/keptDivisor, maxKeptBytes)},
		transient: memoryPart{limit: process / transientDivisor},
		sizes:     map[contract.DurableJobID]jobSize{},
	}
}

func (m *jobMemory) part(transient bool) *memoryPart {
	if transient {
		return &m.transient
	}
	return &m.kept
}

// hasRoom reports whether there is memory for a job beside ended jobs that are still known.
func (m *jobMemory) hasRoom(bytes int64, transient bool, ended int) bool {
	p := m.part(transient)
	limit := p.limit
	if bytes > limit/largeJobDivisor {
		limit -= limit / spareJobDivisor
	}
	return p.held+int64(ended)*contract.EndedJobBytes+bytes <= limit
}

// add counts a job that has been admitted. It does nothing if the job is counted already.
func (m *jobMemory) add(j *contract.DurableJob, transient bool) {
	if _, ok := m.sizes[j.ID]; ok {
		return
	}
	s := jobSize{j.Footprint(), transient}
	m.sizes[j.ID] = s
	m.part(transient).held += s.bytes
}

// remove stops counting a job that has ended.
func (m *jobMemory) remove(id contract.DurableJobID) {
	s, ok := m.sizes[id]
	if ok {
		delete(m.sizes, id)
		m.part(s.transient).held -= s.bytes
	}
}

// refuseFull returns the refusal of a job for which there is no memory, or nil if there is.
func (h *Hub) refuseFull(j *contract.DurableJob, transient bool) *contract.JobReply {
	ended := len(h.state.EndedJobs)
	if transient {
		ended = len(h.leader.transients.ended)
	}
	if h.leader.memory.hasRoom(j.Footprint(), transient, ended) {
		return nil
	}
	return &contract.JobReply{Verdict: contract.VerdictOverload, RetryAfter: fullRetryAfter, Reason: fullReason}
}
