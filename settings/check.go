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

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(r contract.Role) bool { return slices.Contains(s.Roles, r) }

// validate checks each setting and the combinations of settings, and returns every
// error.
func (s *Settings) validate() []error {
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
	c.check(s.RecordRetention > 0 && s.RecordRetention <= record.DefaultRetention, "-record-retention %v is out of range: give more than 0 and at most %v, as long as agents remember tasks", s.RecordRetention, record.DefaultRetention)
	c.check(s.DrainDelay >= 0 && s.DrainLimit > 0, "-drain-delay is negative, or -drain-limit is not above 0: give durations such as 2s and 60s")
	c.check(s.BodyStall > 0, "-body-stall %v is not above 0: give a duration such as 10s", s.BodyStall)
	c.check(s.MemoryLimitMB >= minMemoryLimitMB, "-memory-limit-mb is %d: give %d or more", s.MemoryLimitMB, minMemoryLimitMB)
	c.check(s.MaxSockets == 0 || s.MaxSockets >= minSockets, "-max-sockets is %d: give %d or more, or 0", s.MaxSockets, minSockets)
	c.check(s.MaxHeaderBytes > 0 && s.MaxBodyBytes > 0, "-max-header-bytes or -max-body-bytes is not above 0: give a number of bytes")
	c.check(s.HeaderTimeout > 0 && s.IdleTimeout > 0, "-header-timeout or -idle-timeout is not above 0: give durations such as 10s and 2m")
	for _, p := range s.Peers {
		c.addr("-peers "+string(p.Host), p.Addr)
	}
	s.validateListenAddrs(&c)
	s.validatePeers(&c)
	s.validateRoles(&c)
	return c.errs
}

const (
	// minMemoryLimitMB leaves room for requests beside the process itself.
	minMemoryLimitMB = 64
	// minSockets leaves room for callers beside the links of a few hosts.
	minSockets = 32
)

// validateRoles checks the settings that the roles require.
func (s *Settings) validateRoles(c *checker) {
	if s.HasRole(contract.RoleAgent) {
		s.validateAgent(c)
	}
	if s.HasRole(contract.RoleEntry) || s.HasRole(contract.RoleControl) {
		c.addr("-link-addr", s.LinkAddr)
		c.addr("-admin-addr", s.AdminAddr)
		c.check(len(s.Control) > 0, "-control is empty: name the control hosts")
		c.check(!s.HasRole(contract.RoleAgent), "-roles: agent can't be combined with another role: run it as its own process")
	}
	if s.HasRole(contract.RoleEntry) {
		c.addr("-http-addr", s.HTTPAddr)
	}
	if s.HasRole(contract.RoleControl) {
		info, err := os.Stat(s.DataDir)
		c.check(err == nil && info.IsDir(), "-data-dir %q is not a folder: create it", s.DataDir)
	}
}

// validateAgent checks the settings of the agent role.
func (s *Settings) validateAgent(c *checker) {
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

// validateListenAddrs reports an address that is given to two listeners.
func (s *Settings) validateListenAddrs(c *checker) {
	usedBy := make(map[string]string)
	for _, a := range []struct{ name, addr string }{{"-link-addr", s.LinkAddr}, {"-http-addr", s.HTTPAddr}, {"-admin-addr", s.AdminAddr}} {
		other, twice := usedBy[a.addr]
		c.check(!twice || a.addr == "", "%s and %s are both %q: give each its own port", other, a.name, a.addr)
		usedBy[a.addr] = a.name
	}
}

// maxControlHosts is the largest number of hosts that -control may name.
const maxControlHosts = 7

// validatePeers reports hosts that are named twice, too many control hosts, and
// control hosts and record holders that are not peers.
func (s *Settings) validatePeers(c *checker) {
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

// checker collects the errors of failed checks. Each message names the setting and
// says what is wrong and, after a colon, what to do.
type checker struct{ errs []error }

// check adds an error unless ok.
func (c *checker) check(ok bool, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, fmt.Errorf(format, args...))
	}
}

// require adds an error if the value is empty.
func (c *checker) require(name, value, remedy string) {
	c.check(value != "", "%s is empty: %s", name, remedy)
}

// addr adds an error unless the value is an IP address with a port.
func (c *checker) addr(name, value string) {
	ap, err := netip.ParseAddrPort(value)
	c.check(err == nil && ap.IsValid(), "%s %q is not IP:port: write it as 10.0.0.1:9000", name, value)
}
