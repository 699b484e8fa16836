package hub

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// announceQueues sends the queues to all entries if their version has changed since
// the last announcement.
func (h *Hub) announceQueues() {
	if h.queuesAnnounced == h.state.Tables.Version {
		return
	}
	h.queuesAnnounced = h.state.Tables.Version
	for l := range h.inbound {
		h.sendQueues(l)
	}
}

// sendQueues sends the queues to the process at the other end of the link if it is an
// entry and there are tables.
func (h *Hub) sendQueues(l *link.Link) {
	if h.state.Tables.Version == 0 || !slices.Contains(l.Remote().Roles, contract.RoleEntry) {
		return
	}
	m := &contract.QueueList{Version: h.state.Tables.Version, Queues: h.state.Tables.Queues}
	if err := l.Send(m); err != nil {
		h.log.V(1).Info("queues not sent", "peer", l.Remote().Host, "err", err)
	}
}
