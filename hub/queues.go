package hub

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// Queues are sent only to entries that echo this hub's clock, since entries of an earlier
// version close a link on which an unknown message arrives.

// announceQueues sends the queues to these entries if their version has changed since
// the last announcement.
func (h *Hub) announceQueues() {
	if h.queuesAnnounced == h.state.Tables.Version {
		return
	}
	h.queuesAnnounced = h.state.Tables.Version
	for l := range h.entryAliveAt {
		h.sendQueues(l)
	}
}

// sendQueues sends the queues to the entry at the other end of the link if there are
// tables.
func (h *Hub) sendQueues(l *link.Link) {
	if h.state.Tables.Version == 0 {
		return
	}
	m := &contract.QueueList{Version: h.state.Tables.Version, Queues: h.state.Tables.Queues}
	if err := l.Send(m); err != nil {
		h.log.V(1).Info("queues not sent", "peer", l.Remote().Host, "err", err)
	}
}
