package node

import (
	"maps"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// peers holds the dialers to the other entry and control hosts.
type peers struct {
	mu      sync.Mutex // guards dialers
	dialers map[contract.HostID]*link.Dialer
}

// get returns the dialer to the host, or nil if there is none.
func (p *peers) get(id contract.HostID) *link.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialers[id]
}

// add adds the dialer unless the host already has one. It reports whether it was
// added.
func (p *peers) add(id contract.HostID, d *link.Dialer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialers == nil {
		p.dialers = make(map[contract.HostID]*link.Dialer)
	}
	if p.dialers[id] != nil {
		return false
	}
	p.dialers[id] = d
	return true
}

// all returns a copy of the dialers by host.
func (p *peers) all() map[contract.HostID]*link.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.dialers)
}

func (n *Node) dialer(addr string) *link.Dialer {
	return &link.Dialer{Addr: addr, Local: n.identity.Hello(), Config: n.linkConfig(), Handler: n}
}

// dialMembers starts dialers to the members that have an address and no dialer
// yet. These are control hosts that the settings do not name.
func (n *Node) dialMembers(g contract.Group) {
	for _, m := range g.Members {
		if m.Addr == "" || m.Host == n.cfg.ID {
			continue
		}
		d := n.dialer(m.Addr)
		if n.peers.add(m.Host, d) {
			go d.Run(n.linkCtx)
		}
	}
}

// dialNewMember starts a dialer to a host that is about to become a member.
func (n *Node) dialNewMember(id contract.HostID, addr string) {
	n.dialMembers(contract.Group{Members: []contract.Member{{Host: id, Addr: addr}}})
}

// peerVersions holds the version in force at each linked process, as last
// reported.
type peerVersions struct {
	mu     sync.Mutex // guards byHost
	byHost map[contract.HostID]processVersion
}

// processVersion is the version in force at one incarnation of a host.
type processVersion struct {
	incarnation contract.Incarnation
	version     contract.Version
}

// observe records the version that a peer reported. The version of one
// incarnation never decreases.
func (v *peerVersions) observe(l *link.Link, have contract.Version) {
	id := l.Remote()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byHost == nil {
		v.byHost = make(map[contract.HostID]processVersion)
	}
	p := v.byHost[id.Host]
	if p.incarnation == id.Incarnation {
		have = max(have, p.version)
	}
	v.byHost[id.Host] = processVersion{incarnation: id.Incarnation, version: have}
}

// remove removes the version of a process that is no longer linked.
func (v *peerVersions) remove(l *link.Link) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byHost, l.Remote().Host)
}

// get returns the last reported version, or zero if none is known.
func (v *peerVersions) get(id contract.HostID) contract.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byHost[id].version
}
