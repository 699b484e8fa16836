// Package settings reads a daemon's static settings from flags and CARAWAY_
// environment variables, and checks them all at once.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/record"
)

// EnvPrefix is the prefix of the environment variables: the flag -link-addr can be
// set as CARAWAY_LINK_ADDR.
const EnvPrefix = "CARAWAY"

// Peer is another entry or control host.
type Peer struct {
	Host contract.HostID
	Addr string // link address, IP:port
}

// Settings are a daemon's static settings, which do not change while it runs. The
// usage texts in defineFlags describe each of them.
type Settings struct {
	ID            contract.HostID
	Roles         []contract.Role
	Region        string
	FailureDomain string
	Rack          string

	LinkAddr  string
	HTTPAddr  string
	AdminAddr string

	// Peers are the other entry and control hosts; this host is left out.
	Peers []Peer
	// Control are the first members of the control group. Later changes of the
	// group do not appear here.
	Control []contract.HostID
	DataDir string
	// RecordHolders are the hosts that hold the records of jobs with an idempotency
	// key; those of Control by default.
	RecordHolders []contract.HostID
	// RecordRetention is how long a key is honoured after its job's deadline.
	RecordRetention time.Duration

	// Entries are the link addresses of the entries to which an agent announces
	// itself.
	Entries  []string
	Upstream string
	Pools    []string
	Capacity contract.Capacity

	Heartbeat  time.Duration
	Silence    time.Duration
	DrainDelay time.Duration
	DrainLimit time.Duration
	BodyStall  time.Duration

	// MemoryLimitMB is the memory that the process keeps within, in MiB, and MaxSockets the
	// number of sockets; zero means as many as the operating system allows.
	MemoryLimitMB int
	MaxSockets    int
	// The limits on one caller (entry).
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration

	// Check makes the daemon check its settings and exit.
	Check bool
	// Version makes the daemon print its version and exit.
	Version bool
}

// Defaults of the settings.
const (
	defaultDrainDelay = 2 * time.Second
	defaultDrainLimit = 60 * time.Second
	defaultBodyStall  = 10 * time.Second
	defaultSlots      = 8
	// defaultMemoryLimitMB is in MiB.
	defaultMemoryLimitMB = 512
)

// flagValues holds the flag values that parseValues converts.
type flagValues struct {
	id, roles, peers, control, entries, pools, holders string
}

// Parse reads the settings from the arguments and the environment; arguments take
// precedence. The error joins every problem, each with its remedy. With -version,
// nothing is checked.
func Parse(args []string, usage io.Writer) (Settings, error) {
	var s Settings
	var raw flagValues
	fs := flag.NewFlagSet("carawayd", flag.ContinueOnError)
	fs.SetOutput(usage)
	s.defineFlags(fs, &raw)
	valueErrs := collectValueErrors(fs)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return s, err
	}
	if s.Version {
		return s, nil
	}
	errs := append(*valueErrs, unknownVariables(fs, os.Environ())...)
	if fs.NArg() > 0 {
		errs = append(errs, fmt.Errorf("%q is not a setting: write settings as -name value", fs.Arg(0)))
	}
	errs = append(errs, s.parseValues(raw)...)
	errs = append(errs, s.validate()...)
	return s, errors.Join(errs...)
}

// defineFlags defines the flags. It stores values that need conversion in raw.
func (s *Settings) defineFlags(fs *flag.FlagSet, raw *flagValues) {
	fs.StringVar(&raw.id, "id", "", "stable name of this host")
	fs.StringVar(&raw.roles, "roles", "", "comma-separated roles: entry, control, agent")
	fs.StringVar(&s.Region, "region", "", "region of this host")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this host")
	fs.StringVar(&s.Rack, "rack", "", "rack of this host")
	fs.StringVar(&s.LinkAddr, "link-addr", "", "IP:port that takes links from other processes (entry, control)")
	fs.StringVar(&s.HTTPAddr, "http-addr", "", "IP:port that takes requests: from callers (entry) or entries (agent)")
	fs.StringVar(&s.AdminAddr, "admin-addr", "", "IP:port of the operators' interface; optional for an agent")
	fs.StringVar(&raw.peers, "peers", "", "comma-separated ID=IP:port of the other entry and control hosts")
	fs.StringVar(&raw.control, "control", "", "comma-separated IDs of the first control hosts")
	fs.DurationVar(&s.RecordRetention, "record-retention", record.DefaultRetention, "how long an Idempotency-Key is honoured after its job's deadline, and the longest deadline with a key; the same on every host")
	fs.StringVar(&raw.holders, "record-holders", "", "comma-separated IDs of the entry or control hosts that hold job records; the same on every host; empty means those of -control")
	fs.StringVar(&s.DataDir, "data-dir", "", "folder of the synced state (control)")
	fs.StringVar(&raw.entries, "entries", "", "comma-separated link addresses of the entries (agent)")
	fs.StringVar(&s.Upstream, "upstream", "", "base URL of the upstream beside this agent")
	fs.StringVar(&raw.pools, "pools", "", "comma-separated pools that the upstream belongs to (agent)")
	fs.IntVar(&s.Capacity.Slots, "slots", defaultSlots, "slots of the upstream (agent)")
	fs.IntVar(&s.Capacity.MilliCPU, "milli-cpu", 0, "processors of the upstream in thousandths of a core; 0 is no limit (agent)")
	fs.IntVar(&s.Capacity.MemoryMB, "memory-mb", 0, "memory of the upstream in MiB; 0 is no limit (agent)")
	fs.IntVar(&s.Capacity.Accelerators, "accelerators", 0, "accelerators of the upstream (agent)")
	fs.DurationVar(&s.Heartbeat, "heartbeat", link.DefaultHeartbeatInterval, "how long a link may be idle before a heartbeat")
	fs.DurationVar(&s.Silence, "silence", link.DefaultSilenceTimeout, "how long a link may be silent before it is down")
	fs.DurationVar(&s.DrainDelay, "drain-delay", defaultDrainDelay, "how long listeners stay open after readiness ends")
	fs.DurationVar(&s.DrainLimit, "drain-limit", defaultDrainLimit, "how long a shutdown waits for work in progress")
	fs.DurationVar(&s.BodyStall, "body-stall", defaultBodyStall, "how long a caller may send nothing of a body, or take nothing of an answer (entry)")
	fs.IntVar(&s.MemoryLimitMB, "memory-limit-mb", defaultMemoryLimitMB, "memory that the process keeps within in MiB; requests are refused before it is used up")
	fs.IntVar(&s.MaxSockets, "max-sockets", 0, "sockets that the process may have open; 0 is the limit of the operating system on descriptors")
	fs.Int64Var(&s.MaxHeaderBytes, "max-header-bytes", ingress.DefaultLimits.MaxHeaderBytes, "longest head of a caller's request in bytes, without its first line (entry)")
	fs.Int64Var(&s.MaxBodyBytes, "max-body-bytes", ingress.DefaultMaxStreamBytes, "longest body of a caller's request in bytes; of a job at most 16 MiB (entry)")
	fs.DurationVar(&s.HeaderTimeout, "header-timeout", ingress.DefaultLimits.HeaderTimeout, "how long the head of a caller's request may take (entry)")
	fs.DurationVar(&s.IdleTimeout, "idle-timeout", ingress.DefaultLimits.IdleTimeout, "how long a caller's connection may wait for a request (entry)")
	fs.BoolVar(&s.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&s.Version, "version", false, "print the version and exit")
}

// parseValues converts the values of raw into the settings. It leaves this host out
// of Peers.
func (s *Settings) parseValues(raw flagValues) []error {
	var errs []error
	s.ID = contract.HostID(raw.id)
	s.Pools = splitList(raw.pools)
	s.Entries = splitList(raw.entries)
	for _, name := range splitList(raw.roles) {
		s.Roles = append(s.Roles, contract.Role(name))
	}
	for _, id := range splitList(raw.control) {
		s.Control = append(s.Control, contract.HostID(id))
	}
	s.RecordHolders = s.Control
	if raw.holders != "" {
		s.RecordHolders = nil
	}
	for _, id := range splitList(raw.holders) {
		s.RecordHolders = append(s.RecordHolders, contract.HostID(id))
	}
	for _, p := range splitList(raw.peers) {
		id, addr, ok := strings.Cut(p, "=")
		if !ok {
			errs = append(errs, fmt.Errorf("-peers: %q is not ID=IP:port: write it as a=10.0.0.1:9000", p))
			continue
		}
		if id != raw.id {
			s.Peers = append(s.Peers, Peer{Host: contract.HostID(id), Addr: addr})
		}
	}
	return errs
}

// splitList splits a comma-separated list. Spaces around an item and empty items are
// dropped.
func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
