// Package testbed runs the system's programs as separate processes on
// loopback, for demonstrations and tests. It starts, kills, freezes and stops
// only its own processes.
package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Bed is a set of processes with one folder for their logs and data.
type Bed struct {
	// Bin holds the built programs.
	Bin string
	// Dir holds logs and data.
	Dir string

	mu    sync.Mutex // guards procs
	procs map[string]*Process
}

// New returns a bed without processes.
func New(bin, dir string) *Bed {
	return &Bed{Bin: bin, Dir: dir, procs: make(map[string]*Process)}
}

// Process is one process of the bed.
type Process struct {
	Name string
	// HTTP, Link and Admin are the process's addresses, where it has them.
	HTTP, Link, Admin string

	path string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// FreeAddr returns a loopback address that was free a moment ago.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
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

// Start starts the process, again where it has ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd = cmd
	p.done = done
	go func() {
		cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill kills the process at once and waits for its end.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to drain and waits for its end, or for ctx.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
	}
}

// PID returns the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Close kills all processes.
func (b *Bed) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.procs {
		p.Kill()
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
	// EntryLinks, where set, are the addresses through which agents reach the
	// hubs in place of their own.
	EntryLinks []string
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
	var peers, ids []string
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
		peers = append(peers, p.Name+"="+p.Link)
		ids = append(ids, p.Name)
	}
	for i, p := range s.Hubs {
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
	up := &Process{Name: fmt.Sprintf("upstream%d", i+1), HTTP: upAddr}
	s.Add(up, "standin", "-addr", upAddr)
	s.Upstreams = append(s.Upstreams, up)
	links := plan.EntryLinks
	if links == nil {
		for _, h := range s.Hubs {
			links = append(links, h.Link)
		}
	}
	agent := &Process{Name: fmt.Sprintf("worker%d", i+1), HTTP: httpAddr}
	args := append([]string{
		"-id", agent.Name, "-roles", string(contract.RoleAgent),
		"-failure-domain", plan.Domains[i%len(plan.Domains)], "-rack", fmt.Sprintf("rack%d", i/rackSize+1),
		"-http-addr", httpAddr, "-entries", strings.Join(links, ","),
		"-upstream", "http://" + upAddr, "-pools", strings.Join(plan.Pools, ","), "-slots", fmt.Sprint(plan.Slots),
	}, plan.AgentArgs...)
	s.Add(agent, "carawayd", args...)
	s.Agents = append(s.Agents, agent)
	return nil
}

// StartAll starts every process.
func (s *System) StartAll() error {
	for _, group := range [][]*Process{s.Upstreams, s.Hubs, s.Agents} {
		for _, p := range group {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}
