package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/record"
)

// Has reports whether the process plays the role.
func (s *Settings) Has(r contract.Role) bool { return slices.Contains(s.Roles, r) }

func (s *Settings) faults() []error {
	var c checker
	c.require("-id", string(s.ID), "name this host")
	c.check(!strings.ContainsAny(string(s.ID), ",= \t\n/"), "-id %q has a comma, equals sign, slash or space: use letters, digits and dashes", s.ID)
	c.require("-failure-domain", s.FailureDomain, "name the failure domain")
	c.check(len(s.Roles) > 0, "-roles is empty: give entry, control, agent, or several")
	for _, role := range s.Roles {
		known := role == contract.RoleEntry || role == contract.RoleControl || role == contract.RoleAgent
		c.check(known, "-roles: %q is not known: give entry, control or agent", role)
	}
	c.check(s.Heartbeat > 0 && s.Silence >= 2*s.Heartbeat, "-silence %v is under twice -heartbeat %v: raise it", s.Silence, s.Heartbeat)
	c.check(s.RecordRetention > 0 && s.RecordRetention <= record.DefaultRetention, "-record-retention %v is not above 0 and up to %v, as long as agents remember: change it", s.RecordRetention, record.DefaultRetention)
	c.check(s.DrainDelay >= 0 && s.DrainLimit > 0, "-drain-delay or -drain-limit is negative: give a duration such as 2s")
	c.check(s.BodyStall > 0, "-body-stall is %v: give a duration such as 10s", s.BodyStall)
	for _, p := range s.Peers {
		c.addr("-peers "+string(p.Host), p.Addr)
	}
	s.addrFaults(&c)
	s.peerFaults(&c)
	s.roleFaults(&c)
	return c.faults
}

func (s *Settings) roleFaults(c *checker) {
	if s.Has(contract.RoleAgent) {
		s.agentFaults(c)
	}
	if s.Has(contract.RoleEntry) || s.Has(contract.RoleControl) {
		c.addr("-link-addr", s.LinkAddr)
		c.addr("-admin-addr", s.AdminAddr)
		c.check(len(s.Control) > 0, "-control is empty: name the control hosts")
		c.check(!s.Has(contract.RoleAgent), "-roles: agent goes with no other role: run it as its own process")
	}
	if s.Has(contract.RoleEntry) {
		c.addr("-http-addr", s.HTTPAddr)
	}
	if s.Has(contract.RoleControl) {
		info, err := os.Stat(s.DataDir)
		c.check(err == nil && info.IsDir(), "-data-dir %q is not a folder: create it", s.DataDir)
	}
}

func (s *Settings) agentFaults(c *checker) {
	c.addr("-http-addr", s.HTTPAddr)
	if s.AdminAddr != "" {
		c.addr("-admin-addr", s.AdminAddr)
	}
	c.check(len(s.Entries) > 0, "-entries is empty: give the link addresses of the entries")
	for _, e := range s.Entries {
		c.addr("-entries", e)
	}
	c.check(len(s.Pools) > 0, "-pools is empty: name the pools that the upstream belongs to")
	u, err := url.Parse(s.Upstream)
	c.check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "-upstream %q is not a URL: give http://IP:port", s.Upstream)
	c.check(s.Capacity.Slots > 0, "-slots is %d: give one or more", s.Capacity.Slots)
	c.check(s.Capacity.MilliCPU >= 0 && s.Capacity.MemoryMB >= 0 && s.Capacity.Accelerators >= 0, "-milli-cpu, -memory-mb or -accelerators is negative: give zero or more")
}

// addrFaults reports one address that is given to two listeners.
func (s *Settings) addrFaults(c *checker) {
	taken := make(map[string]string)
	for _, a := range []struct{ name, addr string }{{"-link-addr", s.LinkAddr}, {"-http-addr", s.HTTPAddr}, {"-admin-addr", s.AdminAddr}} {
		other, twice := taken[a.addr]
		c.check(!twice || a.addr == "", "%s and %s are both %q: give each its own port", other, a.name, a.addr)
		taken[a.addr] = a.name
	}
}

// maxControlHosts is the most hosts that may be set aside for control.
const maxControlHosts = 7

func (s *Settings) peerFaults(c *checker) {
	known := map[contract.HostID]bool{s.ID: true}
	for _, p := range s.Peers {
		c.check(!known[p.Host], "-peers names %q twice: name each host once", p.Host)
		known[p.Host] = true
	}
	c.check(len(s.Control) <= maxControlHosts, "-control names %d hosts: name at most %d", len(s.Control), maxControlHosts)
	for _, id := range s.RecordHolders {
		c.check(known[id], "-record-holders names %q, which is not among -peers: add its ID=IP:port", id)
	}
	seen := make(map[contract.HostID]bool)
	for _, id := range s.Control {
		c.check(known[id], "-control names %q, which is not among -peers: add its ID=IP:port", id)
		c.check(!seen[id], "-control names %q twice: name each host once", id)
		seen[id] = true
	}
}

// checker collects faults.
type checker struct{ faults []error }

func (c *checker) check(ok bool, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, fmt.Errorf(format, args...))
	}
}

func (c *checker) require(name, value, remedy string) {
	c.check(value != "", "%s is empty: %s", name, remedy)
}

func (c *checker) addr(name, value string) {
	ap, err := netip.ParseAddrPort(value)
	c.check(err == nil && ap.IsValid(), "%s %q is not IP:port: write it as 10.0.0.1:9000", name, value)
}
