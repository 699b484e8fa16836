package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// ackDelay is how long an acknowledgement waits for a start to travel with.
const ackDelay = 100 * time.Millisecond

// orderedSink is an OutcomeSink that can say whether a record is safe by its
// position.
type orderedSink interface {
	// Position returns the position of the last record taken.
	Position() uint64
	// Safe reports whether every record up to the position is safe.
	Safe(position uint64) bool
}

// pendingAck is a result that is to be acknowledged once its outcome, at a
// position of the ledger, is safe. Until then its agent keeps it, and can
// report it should this entry die.
type pendingAck struct {
	task     contract.TaskID
	position uint64
}

// acks collects the acknowledgements of results by worker, in the order of
// their positions. They go with the next start to the worker, or together
// after ackDelay.
type acks struct {
	mu      sync.Mutex // guards all below
	pending map[host.Ref][]pendingAck
	timed   bool
}

// add notes an acknowledgement, and reports whether a flush must be timed.
func (a *acks) add(ref host.Ref, p pendingAck) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[host.Ref][]pendingAck)
	}
	a.pending[ref] = append(a.pending[ref], p)
	first := !a.timed
	a.timed = true
	return first
}

// take returns what can be acknowledged to the worker.
func (a *acks) take(ref host.Ref, safe func(uint64) bool) []contract.TaskID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []contract.TaskID
	left := a.pending[ref]
	for len(left) > 0 && safe(left[0].position) {
		ids = append(ids, left[0].task)
		left = left[1:]
	}
	if len(left) == 0 {
		delete(a.pending, ref)
	} else {
		a.pending[ref] = left
	}
	return ids
}

// workers returns the workers with acknowledgements pending, and reports
// whether there are any; the next flush must be timed then.
func (a *acks) workers() ([]host.Ref, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]host.Ref, 0, len(a.pending))
	for ref := range a.pending {
		out = append(out, ref)
	}
	a.timed = len(out) > 0
	return out, a.timed
}

// drop forgets the acknowledgements to a worker that is gone.
func (a *acks) drop(ref host.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, ref)
}

func (e *Entry) ack(ref host.Ref, id contract.TaskID) {
	p := pendingAck{task: id}
	if s, ok := e.cfg.Outcomes.(orderedSink); ok {
		p.position = s.Position()
	}
	if e.acks.add(ref, p) {
		time.AfterFunc(ackDelay, e.flushAcks)
	}
}

// takeAcks returns the results whose outcomes are safe.
func (e *Entry) takeAcks(ref host.Ref) []contract.TaskID {
	s, ok := e.cfg.Outcomes.(orderedSink)
	if !ok {
		return e.acks.take(ref, func(uint64) bool { return true })
	}
	return e.acks.take(ref, s.Safe)
}

// flushAcks sends the acknowledgements of results whose outcomes are safe. One
// that is lost is asked for again: the agent sends the result on its next link.
func (e *Entry) flushAcks() {
	refs, more := e.acks.workers()
	for _, ref := range refs {
		w, ok := e.worker(ref)
		if !ok || w.link == nil {
			e.acks.drop(ref)
			continue
		}
		if ids := e.takeAcks(ref); len(ids) > 0 {
			metrics.AckMessages.Add(1)
			w.link.Send(&contract.ResultAck{Tasks: ids})
		}
	}
	if more {
		time.AfterFunc(ackDelay, e.flushAcks)
	}
}
