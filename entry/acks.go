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

// acks collects the acknowledgements of results by worker. They go with the
// next start to the worker, or together after ackDelay.
type acks struct {
	mu      sync.Mutex // guards all below
	pending map[host.Ref][]contract.TaskID
	timed   bool
}

// add notes an acknowledgement, and reports whether a flush must be timed.
func (a *acks) add(ref host.Ref, id contract.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[host.Ref][]contract.TaskID)
	}
	a.pending[ref] = append(a.pending[ref], id)
	first := !a.timed
	a.timed = true
	return first
}

// take returns what is to be acknowledged to the worker.
func (a *acks) take(ref host.Ref) []contract.TaskID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := a.pending[ref]
	delete(a.pending, ref)
	return ids
}

func (a *acks) takeAll() map[host.Ref][]contract.TaskID {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.pending
	a.pending = nil
	a.timed = false
	return all
}

func (e *Entry) ack(ref host.Ref, id contract.TaskID) {
	if e.acks.add(ref, id) {
		time.AfterFunc(ackDelay, e.flushAcks)
	}
}

// flushAcks sends all acknowledgements. One that is lost is asked for again:
// the agent sends the result on its next link.
func (e *Entry) flushAcks() {
	for ref, ids := range e.acks.takeAll() {
		if w, ok := e.worker(ref); ok && w.link != nil {
			metrics.AckMessages.Add(1)
			w.link.Send(&contract.ResultAck{Tasks: ids})
		}
	}
}
