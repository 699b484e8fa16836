package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// ackDelay is how long acknowledgements wait for a start message to the same
// worker that can carry them.
const ackDelay = 100 * time.Millisecond

// orderedSink is an OutcomeSink that reports whether a record is durable, by
// the record's position.
type orderedSink interface {
	// Position returns the position of the last record taken.
	Position() uint64
	// Committed reports whether every record up to the position is durable.
	Committed(position uint64) bool
}

// pendingAck is a result to be acknowledged once its outcome, at a position of
// the ledger, is durable. Until then the agent keeps the result, and can report
// it again if this entry fails.
type pendingAck struct {
	task     contract.TaskID
	position uint64
}

// acks collects the acknowledgements of results by worker, in the order of
// their positions. They are sent with the next start to the worker, or in one
// message after ackDelay.
type acks struct {
	mu             sync.Mutex // guards the fields below
	pending        map[host.Ref][]pendingAck
	flushScheduled bool
}

// add appends an acknowledgement, and reports whether the caller must schedule
// a flush.
func (a *acks) add(ref host.Ref, p pendingAck) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[host.Ref][]pendingAck)
	}
	a.pending[ref] = append(a.pending[ref], p)
	first := !a.flushScheduled
	a.flushScheduled = true
	return first
}

// takeDurable removes and returns the acknowledgements to the worker whose
// outcomes are durable.
func (a *acks) takeDurable(ref host.Ref, durable func(uint64) bool) []contract.TaskID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []contract.TaskID
	remaining := a.pending[ref]
	for len(remaining) > 0 && durable(remaining[0].position) {
		ids = append(ids, remaining[0].task)
		remaining = remaining[1:]
	}
	if len(remaining) == 0 {
		delete(a.pending, ref)
	} else {
		a.pending[ref] = remaining
	}
	return ids
}

// pendingWorkers returns the workers with pending acknowledgements, and reports
// whether there are any. If so, the caller must schedule the next flush.
func (a *acks) pendingWorkers() ([]host.Ref, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]host.Ref, 0, len(a.pending))
	for ref := range a.pending {
		out = append(out, ref)
	}
	a.flushScheduled = len(out) > 0
	return out, a.flushScheduled
}

// remove discards the acknowledgements to a worker that is disconnected.
func (a *acks) remove(ref host.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, ref)
}

func (e *Entry) queueAck(ref host.Ref, id contract.TaskID) {
	p := pendingAck{task: id}
	if s, ok := e.cfg.Outcomes.(orderedSink); ok {
		p.position = s.Position()
	}
	if e.acks.add(ref, p) {
		time.AfterFunc(ackDelay, e.flushAcks)
	}
}

// takeDurableAcks removes and returns the acknowledgements to the worker whose
// outcomes are durable.
func (e *Entry) takeDurableAcks(ref host.Ref) []contract.TaskID {
	s, ok := e.cfg.Outcomes.(orderedSink)
	if !ok {
		return e.acks.takeDurable(ref, func(uint64) bool { return true })
	}
	return e.acks.takeDurable(ref, s.Committed)
}

// flushAcks sends the acknowledgements of results whose outcomes are durable.
// After a lost acknowledgement, the agent sends the result again on its next
// link.
func (e *Entry) flushAcks() {
	refs, more := e.acks.pendingWorkers()
	for _, ref := range refs {
		w, ok := e.worker(ref)
		if !ok || w.link == nil {
			e.acks.remove(ref)
			continue
		}
		if ids := e.takeDurableAcks(ref); len(ids) > 0 {
			metrics.AckMessages.Add(1)
			w.link.Send(&contract.ResultAck{Tasks: ids})
		}
	}
	if more {
		time.AfterFunc(ackDelay, e.flushAcks)
	}
}
