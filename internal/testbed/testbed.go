// Package testbed runs the system's programs as separate processes on
// loopback, for demonstrations and tests. It starts, kills, freezes and stops
// only its own processes.
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

// Bed is a set of processes with one folder for their logs and data.
type Bed struct {
	// Bin holds the built programs.
	Bin string
	// Dir holds logs and data.
	Dir string

	mu     sync.Mutex // guards procs and relays
	procs  map[string]*Process
	relays map[Way]*Relay
}

// Way names the relay from the process that dials to the one that listens.
type Way struct {
	From, To string
}

// New returns a bed without processes.
func New(bin, dir string) *Bed {
	return &Bed{Bin: bin, Dir: dir, procs: make(map[string]*Process), relays: make(map[Way]*Relay)}
}

// Add registers a process without starting it.
func (b *Bed) Add(p *Process, program string, args ...string) {
	p.path = filepath.Join(b.Bin, program)
	p.args = args
	p.log = filepath.Join(b.Dir, p.Name+".log")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs[p.Name] = p
}

// Process returns the named process, or nil.
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

// Await polls until check succeeds, and returns its last error where ctx ends
// first.
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

// Ready checks that the address answers /readyz.
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

// observer bounds what one look at a process may take; a frozen one answers
// nothing.
var observer = &http.Client{Timeout: 5 * time.Second}

// Knows checks that a hub is ready and knows at least the given number of
// workers.
func Knows(h *Process, workers int) error {
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

// GetJSON reads the JSON that the address answers on path.
func GetJSON(addr, path string, into any) error {
	res, err := observer.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s: %s", addr, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// Plan says which processes a system has.
type Plan struct {
	// Domains are the failure domains; hosts are spread over them in turn.
	Domains []string
	// Hubs is the number of hosts that are entry and control at once.
	Hubs int
	// Workers is the number of upstreams, each with an agent.
	Workers int
	// Slots is the number of slots of each worker.
	Slots int
	// Pools are the pools of each worker.
	Pools []string
	// HubArgs and AgentArgs are further settings.
	HubArgs, AgentArgs []string
	// Relayed puts a relay on each link.
	Relayed bool
}

// System is a planned system within a bed.
type System struct {
	*Bed
	Hubs      []*Process
	Agents    []*Process
	Upstreams []*Process
}

// Build registers the processes of a plan without starting them.
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

// peersOf returns the -peers setting of a hub.
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

// linkAddr returns the address through which one process links to a hub.
func (s *System) linkAddr(plan Plan, from, hub *Process) (string, error) {
	if !plan.Relayed {
		return hub.Link, nil
	}
	r, err := NewRelay(hub.Link)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays[Way{From: from.Name, To: hub.Name}] = r
	return r.Addr(), nil
}

// Relay returns the relay of a way, or nil.
func (b *Bed) Relay(w Way) *Relay {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.relays[w]
}

// RelaysOf returns the relays of all ways to and from a process.
func (b *Bed) RelaysOf(name string) []*Relay {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Relay
	for w, r := range b.relays {
		if w.From == name || w.To == name {
			out = append(out, r)
		}
	}
	return out
}

// rackSize is the number of workers in a rack.
const rackSize = 3

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
		"-failure-domain", plan.Domains[i%len(plan.Domains)], "-rack", fmt.Sprintf("rack%d", i/rackSize+1),
		"-http-addr", httpAddr, "-admin-addr", adminAddr, "-entries", strings.Join(links, ","),
		"-upstream", "http://" + upAddr, "-pools", strings.Join(plan.Pools, ","), "-slots", fmt.Sprint(plan.Slots),
	}, plan.AgentArgs...)
	s.Add(agent, "carawayd", args...)
	s.Agents = append(s.Agents, agent)
	return nil
}

// StartAll starts every process and returns once all listen.
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
