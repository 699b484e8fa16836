// Package host describes the machines of the system: who a process is, where
// it stands, and what a worker offers.
package host

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
)

// Ref names one incarnation of a host. Starts are addressed to a Ref, so that
// a restarted host never takes a start meant for the process before it.
type Ref struct {
	Host        contract.HostID
	Incarnation contract.Incarnation
}

// Identity is who a process is and where it stands.
type Identity struct {
	Ref
	Place failuredomain.Place
	Roles []contract.Role
}

// Hello returns the hello that the process opens its links with.
func (id Identity) Hello() contract.Hello {
	return contract.Hello{
		Host:          id.Host,
		Incarnation:   id.Incarnation,
		FailureDomain: string(id.Place.Domain),
		Rack:          string(id.Place.Rack),
		Roles:         id.Roles,
	}
}

// FromHello returns the identity that a peer's hello states.
func FromHello(h contract.Hello) Identity {
	return Identity{
		Ref:   Ref{Host: h.Host, Incarnation: h.Incarnation},
		Place: failuredomain.Place{Domain: failuredomain.Name(h.FailureDomain), Rack: failuredomain.Rack(h.Rack)},
		Roles: h.Roles,
	}
}

// Has reports whether the process plays the role.
func (id Identity) Has(r contract.Role) bool {
	for _, have := range id.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Worker is an upstream host as its agent announces it.
type Worker struct {
	Identity
	Pools    []string
	Capacity contract.Capacity
	// HTTPAddr is where the agent takes single requests.
	HTTPAddr string
	Draining bool
}

// FromAnnounce returns the worker that an agent's announcement states.
func FromAnnounce(id Identity, a *contract.Announce) Worker {
	return Worker{Identity: id, Pools: a.Pools, Capacity: a.Capacity, HTTPAddr: a.HTTPAddr, Draining: a.Draining}
}
