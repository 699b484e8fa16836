package node

import (
	"maps"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// peers are the dialers to the other entry and control hosts.
type peers struct {
	mu      sync.Mutex // guards dialers
	dialers map[contract.HostID]*link.Dialer
}

func (p *peers) get(id contract.HostID) *link.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialers[id]
}

// add adds a dialer unless the host has one, and reports whether it did.
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

func (p *peers) all() map[contract.HostID]*link.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.dialers)
}

func (n *Node) dialer(addr string) *link.Dialer {
	return &link.Dialer{Addr: addr, Local: n.identity.Hello(), Config: n.linkConfig(), Handler: n}
}

// dialMembers opens links to control hosts that the settings do not name.
func (n *Node) dialMembers(g contract.Group) {
	for _, m := range g.Members {
		if m.Addr == "" || m.Host == n.set.ID {
			continue
		}
		d := n.dialer(m.Addr)
		if n.peers.add(m.Host, d) {
			go d.Run(n.linkCtx)
		}
	}
}

// dialJoining opens a link to a host that is to become a member.
func (n *Node) dialJoining(id contract.HostID, addr string) {
	n.dialMembers(contract.Group{Members: []contract.Member{{Host: id, Addr: addr}}})
}

// versions are the versions in force at the processes linked with this one, as
// they last said.
type versions struct {
	mu     sync.Mutex // guards byHost
	byHost map[contract.HostID]processVersion
}

// processVersion is the version in force at one incarnation of a host.
type processVersion struct {
	incarnation contract.Incarnation
	version     contract.Version
}

// saw takes the version that a peer says is in force at it.
func (v *versions) saw(l *link.Link, have contract.Version) {
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

// down forgets a process that is no longer linked.
func (v *versions) down(l *link.Link) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byHost, l.Remote().Host)
}

func (v *versions) of(id contract.HostID) contract.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byHost[id].version
}
