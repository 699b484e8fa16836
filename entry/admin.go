package entry

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// AgentLinks returns the link to the agent of each known worker. The link is
// nil while the agent is disconnected.
func (e *Entry) AgentLinks() map[contract.HostID]*link.Link {
	e.workersMu.RLock()
	defer e.workersMu.RUnlock()
	out := make(map[contract.HostID]*link.Link, len(e.workers))
	for ref, w := range e.workers {
		out[ref.Host] = w.link
	}
	return out
}
