package node

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
)

// tell sends a message to a peer; where no link is up it is lost.
func (n *Node) tell(to contract.HostID, m contract.Message) {
	d := n.peers.get(to)
	if d == nil {
		return
	}
	if l := d.Link(); l != nil {
		l.Send(m)
	}
}

// peerChanged tells the entry which other entries are linked now.
func (n *Node) peerChanged(l *link.Link) {
	if n.entry == nil || !host.FromHello(l.Remote()).HasRole(contract.RoleEntry) {
		return
	}
	var peers []contract.HostID
	for id, d := range n.peers.all() {
		p := d.Link()
		if id != n.set.ID && p != nil && p.Err() == nil && host.FromHello(p.Remote()).HasRole(contract.RoleEntry) {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	n.entry.PeersChanged(peers)
}
