package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
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

// ProcessVersion is the version in force at one process, as it last said.
type ProcessVersion struct {
	Host    contract.HostID  `json:"host"`
	Roles   []contract.Role  `json:"roles"`
	Version contract.Version `json:"version"`
}

// versions are the versions in force at the processes linked with this one.
type versions struct {
	mu      sync.Mutex // guards byHost
	byHost  map[contract.HostID]ProcessVersion
	current map[contract.HostID]contract.Incarnation
}

// saw takes the version that a peer says is in force at it.
func (v *versions) saw(l *link.Link, have contract.Version) {
	id := host.FromHello(l.Remote())
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byHost == nil {
		v.byHost = make(map[contract.HostID]ProcessVersion)
		v.current = make(map[contract.HostID]contract.Incarnation)
	}
	p := v.byHost[id.Host]
	if v.current[id.Host] != id.Incarnation {
		v.current[id.Host] = id.Incarnation
		p.Version = 0
	}
	v.byHost[id.Host] = ProcessVersion{Host: id.Host, Roles: id.Roles, Version: max(p.Version, have)}
}

// down forgets a process that is no longer linked.
func (v *versions) down(l *link.Link) {
	id := host.FromHello(l.Remote())
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current[id.Host] == id.Incarnation {
		delete(v.byHost, id.Host)
	}
}

func (v *versions) of(id contract.HostID) contract.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byHost[id].Version
}

// list returns the processes by host.
func (v *versions) list() []ProcessVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := slices.Collect(maps.Values(v.byHost))
	slices.SortFunc(out, func(a, b ProcessVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
