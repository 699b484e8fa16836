package node

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
)

// sendToPeer sends a message to a peer. The message is lost if the peer is not
// known or has no open link.
func (n *Node) sendToPeer(to contract.HostID, m contract.Message) {
	d := n.peers.get(to)
	if d == nil {
		return
	}
	if l := d.Link(); l != nil {
		l.Send(m)
	}
}

// updateEntryPeers passes to this entry the other entries that are linked now. It
// does nothing unless l, the link that opened or closed, leads to an entry.
func (n *Node) updateEntryPeers(l *link.Link) {
	if n.entry == nil || !host.FromHello(l.Remote()).HasRole(contract.RoleEntry) {
		return
	}
	var peers []contract.HostID
	for id, d := range n.peers.all() {
		p := d.Link()
		if id != n.cfg.ID && p != nil && p.Err() == nil && host.FromHello(p.Remote()).HasRole(contract.RoleEntry) {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	n.entry.PeersChanged(peers)
}
