// Package host describes the hosts of the system: the identity of a process, its
// location, and what a worker offers.
package host

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
)

// Ref identifies one incarnation of a host. Starts are addressed to a Ref, so
// that a restarted host never accepts a start meant for its previous process.
type Ref struct {
	Host        contract.HostID
	Incarnation contract.Incarnation
}

// Identity is the identity of a process, its location, and its roles.
type Identity struct {
	Ref
	Location failuredomain.Location
	Roles    []contract.Role
}

// Hello returns the first message that the process sends on each of its links.
func (id Identity) Hello() contract.Hello {
	return contract.Hello{
		Host:          id.Host,
		Incarnation:   id.Incarnation,
		FailureDomain: string(id.Location.Domain),
		Rack:          string(id.Location.Rack),
		Roles:         id.Roles,
	}
}

// FromHello returns the identity that a peer declares in its hello. Its region is
// empty, since a hello carries none.
func FromHello(h contract.Hello) Identity {
	return Identity{
		Ref:      Ref{Host: h.Host, Incarnation: h.Incarnation},
		Location: failuredomain.Location{Domain: failuredomain.Name(h.FailureDomain), Rack: failuredomain.Rack(h.Rack)},
		Roles:    h.Roles,
	}
}

// HasRole reports whether the process has the role.
func (id Identity) HasRole(r contract.Role) bool {
	for _, role := range id.Roles {
		if role == r {
			return true
		}
	}
	return false
}

// Worker is a host with an upstream, as announced by the agent beside it.
type Worker struct {
	Identity
	Pools    []string
	Capacity contract.Capacity
	// HTTPAddr is the address at which the agent accepts single requests.
	HTTPAddr string
	Draining bool
}

// FromAnnounce returns the worker that an agent announces.
func FromAnnounce(id Identity, a *contract.Announce) Worker {
	return Worker{Identity: id, Pools: a.Pools, Capacity: a.Capacity, HTTPAddr: a.HTTPAddr, Draining: a.Draining}
}
