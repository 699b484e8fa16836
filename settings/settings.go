// Package settings reads a daemon's static settings from flags and CARAWAY_
// environment variables, and checks them all at once.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// EnvPrefix begins the name of each environment variable: the flag -link-addr
// is CARAWAY_LINK_ADDR.
const EnvPrefix = "CARAWAY"

// Peer is another entry or control host.
type Peer struct {
	Host contract.HostID
	Addr string
}

// Settings are a daemon's static settings.
type Settings struct {
	ID            contract.HostID
	Roles         []contract.Role
	Region        string
	FailureDomain string
	Rack          string

	LinkAddr  string
	HTTPAddr  string
	AdminAddr string

	// Peers are the other entry and control hosts.
	Peers []Peer
	// Control are the first members of the agreement.
	Control []contract.HostID
	DataDir string
	// RecordHolders hold the records of jobs with an idempotency key.
	RecordHolders []contract.HostID

	// Entries are the link addresses that an agent announces itself to.
	Entries  []string
	Upstream string
	Pools    []string
	Capacity contract.Capacity

	Heartbeat  time.Duration
	Silence    time.Duration
	DrainDelay time.Duration
	DrainLimit time.Duration

	// Check asks only to check the settings.
	Check bool
	// Version asks only for the version.
	Version bool
}

// The defaults of the settings.
const (
	defaultDrainDelay = 2 * time.Second
	defaultDrainLimit = 60 * time.Second
	defaultSlots      = 8
)

// raw are the settings as written.
type raw struct {
	id, roles, peers, control, entries, pools, holders string
}

// Parse reads the settings from the arguments and the environment. The error
// names every fault with its remedy.
func Parse(args []string, usage io.Writer) (Settings, error) {
	var s Settings
	var r raw
	fs := flag.NewFlagSet("carawayd", flag.ContinueOnError)
	fs.SetOutput(usage)
	s.bind(fs, &r)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return s, err
	}
	if s.Version {
		return s, nil
	}
	faults := s.fill(r)
	faults = append(faults, s.faults()...)
	return s, errors.Join(faults...)
}

func (s *Settings) bind(fs *flag.FlagSet, r *raw) {
	fs.StringVar(&r.id, "id", "", "stable name of this host")
	fs.StringVar(&r.roles, "roles", "", "comma-separated roles: entry, control, agent")
	fs.StringVar(&s.Region, "region", "", "region of this host")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this host")
	fs.StringVar(&s.Rack, "rack", "", "rack of this host")
	fs.StringVar(&s.LinkAddr, "link-addr", "", "IP:port that takes links from other processes (entry, control)")
	fs.StringVar(&s.HTTPAddr, "http-addr", "", "IP:port that takes requests: from callers (entry) or entries (agent)")
	fs.StringVar(&s.AdminAddr, "admin-addr", "", "IP:port of the operators' interface")
	fs.StringVar(&r.peers, "peers", "", "comma-separated ID=IP:port of the other entry and control hosts")
	fs.StringVar(&r.control, "control", "", "comma-separated IDs of the first control hosts")
	fs.StringVar(&r.holders, "record-holders", "", "comma-separated IDs of the entry or control hosts that hold job records; the same on every host; empty means those of -control")
	fs.StringVar(&s.DataDir, "data-dir", "", "folder of the synced state (control)")
	fs.StringVar(&r.entries, "entries", "", "comma-separated link addresses of the entries (agent)")
	fs.StringVar(&s.Upstream, "upstream", "", "base URL of the upstream beside this agent")
	fs.StringVar(&r.pools, "pools", "", "comma-separated pools that the upstream belongs to (agent)")
	fs.IntVar(&s.Capacity.Slots, "slots", defaultSlots, "slots of the upstream (agent)")
	fs.IntVar(&s.Capacity.MilliCPU, "milli-cpu", 0, "processors of the upstream in thousandths of a core; 0 is no limit (agent)")
	fs.IntVar(&s.Capacity.MemoryMB, "memory-mb", 0, "memory of the upstream in MiB; 0 is no limit (agent)")
	fs.IntVar(&s.Capacity.Accelerators, "accelerators", 0, "accelerators of the upstream (agent)")
	fs.DurationVar(&s.Heartbeat, "heartbeat", link.DefaultIdle, "how long a link may be idle before a heartbeat")
	fs.DurationVar(&s.Silence, "silence", link.DefaultSilence, "how long a link may be silent before it is down")
	fs.DurationVar(&s.DrainDelay, "drain-delay", defaultDrainDelay, "how long listeners stay open after readiness ends")
	fs.DurationVar(&s.DrainLimit, "drain-limit", defaultDrainLimit, "how long a shutdown waits for work in progress")
	fs.BoolVar(&s.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&s.Version, "version", false, "print the version and exit")
}

func (s *Settings) fill(r raw) []error {
	var faults []error
	s.ID = contract.HostID(r.id)
	s.Pools = split(r.pools)
	s.Entries = split(r.entries)
	for _, name := range split(r.roles) {
		s.Roles = append(s.Roles, contract.Role(name))
	}
	for _, id := range split(r.control) {
		s.Control = append(s.Control, contract.HostID(id))
	}
	s.RecordHolders = s.Control
	if r.holders != "" {
		s.RecordHolders = nil
	}
	for _, id := range split(r.holders) {
		s.RecordHolders = append(s.RecordHolders, contract.HostID(id))
	}
	for _, p := range split(r.peers) {
		id, addr, ok := strings.Cut(p, "=")
		if !ok {
			faults = append(faults, fmt.Errorf("-peers: %q is not ID=IP:port: write it so", p))
			continue
		}
		if id != r.id {
			s.Peers = append(s.Peers, Peer{Host: contract.HostID(id), Addr: addr})
		}
	}
	return faults
}

func split(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Has reports whether the process plays the role.
func (s *Settings) Has(r contract.Role) bool { return slices.Contains(s.Roles, r) }

func (s *Settings) faults() []error {
	var c checker
	c.require("-id", string(s.ID), "name this host")
	c.require("-failure-domain", s.FailureDomain, "name the failure domain")
	c.check(len(s.Roles) > 0, "-roles is empty: give entry, control, agent, or several")
	for _, role := range s.Roles {
		known := role == contract.RoleEntry || role == contract.RoleControl || role == contract.RoleAgent
		c.check(known, "-roles: %q is not known: give entry, control or agent", role)
	}
	c.check(s.Heartbeat > 0 && s.Silence >= 2*s.Heartbeat, "-silence %v is under twice -heartbeat %v: raise it", s.Silence, s.Heartbeat)
	c.check(s.DrainDelay >= 0 && s.DrainLimit > 0, "-drain-delay or -drain-limit is negative: give a duration such as 2s")
	for _, p := range s.Peers {
		c.addr("-peers "+string(p.Host), p.Addr)
	}
	s.roleFaults(&c)
	return c.faults
}

func (s *Settings) holderFaults(c *checker) {
	for _, id := range s.RecordHolders {
		known := id == s.ID || slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Host == id })
		c.check(known, "-record-holders: host %q is not among -peers: add it there", id)
	}
}

func (s *Settings) roleFaults(c *checker) {
	if s.Has(contract.RoleAgent) {
		s.agentFaults(c)
	}
	if s.Has(contract.RoleEntry) || s.Has(contract.RoleControl) {
		c.addr("-link-addr", s.LinkAddr)
		c.addr("-admin-addr", s.AdminAddr)
		s.holderFaults(c)
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
	host, _, err := net.SplitHostPort(value)
	c.check(err == nil && (host == "" || net.ParseIP(host) != nil), "%s %q is not IP:port: write it so", name, value)
}
