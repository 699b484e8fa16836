// Package testbed runs the system's programs as separate processes on loopback
// for demonstrations and tests. It signals only processes that it has started.
package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Bed is a set of processes that share a directory for their logs and data.
type Bed struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir is the directory of the logs and data.
	Dir string

	mu     sync.Mutex // guards procs and relays
	procs  map[string]*Process
	relays map[RelayKey]*Relay
}

// RelayKey identifies a relay by the process that dials, From, and the process that
// listens, To.
type RelayKey struct {
	From, To string
}

// New returns a Bed without processes; bin is the directory of the built programs
// and dir the directory of logs and data.
func New(bin, dir string) *Bed {
	return &Bed{Bin: bin, Dir: dir, procs: make(map[string]*Process), relays: make(map[RelayKey]*Relay)}
}

// Add registers a process, which runs a program from Bin with the given arguments,
// without starting it.
func (b *Bed) Add(p *Process, program string, args ...string) {
	p.binary = filepath.Join(b.Bin, program)
	p.args = args
	p.logFile = filepath.Join(b.Dir, p.Name+".log")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs[p.Name] = p
}

// Process returns the process with the given name, or nil.
func (b *Bed) Process(name string) *Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.procs[name]
}

// Close kills all processes and closes the relays.
func (b *Bed) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.procs {
		p.Kill()
	}
	for _, r := range b.relays {
		r.Close()
	}
}

// Await polls check until it succeeds. If ctx ends first, Await returns the last
// error of check.
func Await(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

const pollInterval = 20 * time.Millisecond

// Ready returns an error unless /readyz at the address answers with status 200.
func Ready(addr string) error {
	res, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", addr, res.Status)
	}
	return nil
}

// statusClient bounds the time of a status request, because a frozen process does
// not answer.
var statusClient = &http.Client{Timeout: 5 * time.Second}

// ReadyWithWorkers returns an error unless a hub is ready and knows at least the given
// number of workers.
func ReadyWithWorkers(h *Process, workers int) error {
	if err := Ready(h.HTTP); err != nil {
		return err
	}
	var known []host.Worker
	if err := GetJSON(h.Admin, "/admin/upstreams", &known); err != nil {
		return err
	}
	if len(known) < workers {
		return fmt.Errorf("%s knows %d of %d workers", h.Name, len(known), workers)
	}
	return nil
}

// GetJSON decodes the JSON answer to a GET request for path at the address.
func GetJSON(addr, path string, into any) error {
	res, err := statusClient.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s: %s", addr, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// Plan describes the processes of a System.
type Plan struct {
	// Domains are the failure domains, which are assigned to hosts round robin.
	Domains []string
	// Hubs is the number of hosts with both the entry and the control role.
	Hubs int
	// Workers is the number of upstreams; each has its own agent.
	Workers int
	// Slots is the number of slots of each worker.
	Slots int
	// Pools are the pools of each worker.
	Pools []string
	// HubArgs and AgentArgs are further command-line arguments.
	HubArgs, AgentArgs []string
	// WithRelays puts a Relay on each link.
	WithRelays bool
}

// System is the set of processes that a Plan describes, in a Bed.
type System struct {
	*Bed
	Hubs      []*Process
	Agents    []*Process
	Upstreams []*Process
}

// Build registers the processes that plan describes without starting them.
func (b *Bed) Build(plan Plan) (*System, error) {
	s := &System{Bed: b}
	if err := s.addHubs(plan); err != nil {
		return nil, err
	}
	for i := range plan.Workers {
		if err := s.addWorker(plan, i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *System) addHubs(plan Plan) error {
	var ids []string
	for i := range plan.Hubs {
		p := &Process{Name: fmt.Sprintf("hub%d", i+1)}
		for _, addr := range []*string{&p.HTTP, &p.Link, &p.Admin} {
			free, err := FreeAddr()
			if err != nil {
				return err
			}
			*addr = free
		}
		s.Hubs = append(s.Hubs, p)
		ids = append(ids, p.Name)
	}
	for i, p := range s.Hubs {
		peers, err := s.peersOf(plan, p)
		if err != nil {
			return err
		}
		data := filepath.Join(s.Dir, p.Name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		args := append([]string{
			"-id", p.Name, "-roles", string(contract.RoleEntry) + "," + string(contract.RoleControl),
			"-failure-domain", plan.Domains[i%len(plan.Domains)],
			"-link-addr", p.Link, "-http-addr", p.HTTP, "-admin-addr", p.Admin,
			"-peers", strings.Join(peers, ","), "-control", strings.Join(ids, ","), "-data-dir", data,
		}, plan.HubArgs...)
		s.Add(p, "carawayd", args...)
	}
	return nil
}

// peersOf returns the elements of a hub's -peers option, which have the form NAME=ADDR.
func (s *System) peersOf(plan Plan, p *Process) ([]string, error) {
	var out []string
	for _, other := range s.Hubs {
		if other == p {
			continue
		}
		addr, err := s.linkAddr(plan, p, other)
		if err != nil {
			return nil, err
		}
		out = append(out, other.Name+"="+addr)
	}
	return out, nil
}

// linkAddr returns the address that a process dials to link to a hub. With
// WithRelays it is the address of a new relay.
func (s *System) linkAddr(plan Plan, from, hub *Process) (string, error) {
	if !plan.WithRelays {
		return hub.Link, nil
	}
	r, err := NewRelay(hub.Link)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays[RelayKey{From: from.Name, To: hub.Name}] = r
	return r.Addr(), nil
}

// Relay returns the relay with the given key, or nil.
func (b *Bed) Relay(key RelayKey) *Relay {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.relays[key]
}

// RelaysOf returns the relays of all links to and from a process.
func (b *Bed) RelaysOf(name string) []*Relay {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Relay
	for key, r := range b.relays {
		if key.From == name || key.To == name {
			out = append(out, r)
		}
	}
	return out
}

const workersPerRack = 3

// addWorker registers worker i: an upstream and its agent.
func (s *System) addWorker(plan Plan, i int) error {
	upAddr, err := FreeAddr()
	if err != nil {
		return err
	}
	httpAddr, err := FreeAddr()
	if err != nil {
		return err
	}
	adminAddr, err := FreeAddr()
	if err != nil {
		return err
	}
	up := &Process{Name: fmt.Sprintf("upstream%d", i+1), HTTP: upAddr}
	s.Add(up, "standin", "-addr", upAddr)
	s.Upstreams = append(s.Upstreams, up)
	agent := &Process{Name: fmt.Sprintf("worker%d", i+1), HTTP: httpAddr, Admin: adminAddr}
	var links []string
	for _, h := range s.Hubs {
		addr, err := s.linkAddr(plan, agent, h)
		if err != nil {
			return err
		}
		links = append(links, addr)
	}
	args := append([]string{
		"-id", agent.Name, "-roles", string(contract.RoleAgent),
		"-failure-domain", plan.Domains[i%len(plan.Domains)], "-rack", fmt.Sprintf("rack%d", i/workersPerRack+1),
		"-http-addr", httpAddr, "-admin-addr", adminAddr, "-entries", strings.Join(links, ","),
		"-upstream", "http://" + upAddr, "-pools", strings.Join(plan.Pools, ","), "-slots", fmt.Sprint(plan.Slots),
	}, plan.AgentArgs...)
	s.Add(agent, "carawayd", args...)
	s.Agents = append(s.Agents, agent)
	return nil
}

// StartAll starts all processes, upstreams first and agents last, and returns once
// all of them listen.
func (s *System) StartAll() error {
	for _, group := range [][]*Process{s.Upstreams, s.Hubs, s.Agents} {
		var g errgroup.Group
		for _, p := range group {
			g.Go(p.Start)
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}
