package entry

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// AgentLinks returns the link to each known worker's agent; the link is nil
// while the worker is silent.
func (e *Entry) AgentLinks() map[contract.HostID]*link.Link {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	out := make(map[contract.HostID]*link.Link, len(e.workers))
	for ref, w := range e.workers {
		out[ref.Host] = w.link
	}
	return out
}
