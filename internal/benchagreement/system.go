package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// Size of the measured system.
const (
	controlHosts = 3
	entryHosts   = 3
	agentCount   = 11
)

// system is a testbed with control hosts, entries and agents as separate processes. The
// upstreams of the agents are not started, because no work is sent.
type system struct {
	bed              *testbed.Bed
	control, entries []*testbed.Process
	agents           []*testbed.Process
}

func newSystem(bin, dir string) (*system, error) {
	s := &system{bed: testbed.New(bin, dir)}
	var peers, ids, links []string
	for i := range controlHosts {
		p, err := newProcess(fmt.Sprintf("control%d", i+1), func(p *testbed.Process) []*string { return []*string{&p.Link, &p.Admin} })
		if err != nil {
			return nil, err
		}
		s.control = append(s.control, p)
		ids = append(ids, p.Name)
	}
	for i := range entryHosts {
		p, err := newProcess(fmt.Sprintf("entry%d", i+1), func(p *testbed.Process) []*string { return []*string{&p.HTTP, &p.Link, &p.Admin} })
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
		links = append(links, p.Link)
	}
	for _, p := range s.hubs() {
		peers = append(peers, p.Name+"="+p.Link)
	}
	for i, p := range s.hubs() {
		role, extraArgs := contract.RoleControl, []string{"-data-dir", filepath.Join(dir, p.Name)}
		if i >= controlHosts {
			role = contract.RoleEntry
			extraArgs = append(extraArgs, "-http-addr", p.HTTP)
		}
		if err := os.MkdirAll(filepath.Join(dir, p.Name), 0o755); err != nil {
			return nil, err
		}
		s.bed.Add(p, "carawayd", append(extraArgs, "-id", p.Name, "-roles", string(role), "-failure-domain", fmt.Sprint("d", i%controlHosts),
			"-link-addr", p.Link, "-admin-addr", p.Admin, "-peers", strings.Join(peers, ","), "-control", strings.Join(ids, ","))...)
	}
	return s, s.addAgents(links)
}

// hubs returns the control hosts, followed by the entries.
func (s *system) hubs() []*testbed.Process {
	return append(append([]*testbed.Process{}, s.control...), s.entries...)
}

func (s *system) all() []*testbed.Process { return append(s.hubs(), s.agents...) }

// newProcess returns a process with a free address in each field that pick returns.
// The process has no program yet.
func newProcess(name string, pick func(*testbed.Process) []*string) (*testbed.Process, error) {
	p := &testbed.Process{Name: name}
	for _, addr := range pick(p) {
		free, err := testbed.FreeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return p, nil
}

func (s *system) addAgents(links []string) error {
	for i := range agentCount {
		p, err := newProcess(fmt.Sprintf("worker%d", i+1), func(p *testbed.Process) []*string { return []*string{&p.HTTP, &p.Admin} })
		if err != nil {
			return err
		}
		s.bed.Add(p, "carawayd", "-id", p.Name, "-roles", string(contract.RoleAgent), "-failure-domain", fmt.Sprint("d", i%controlHosts),
			"-http-addr", p.HTTP, "-admin-addr", p.Admin, "-entries", strings.Join(links, ","), "-upstream", "http://127.0.0.1:9", "-pools", "formula")
		s.agents = append(s.agents, p)
	}
	return nil
}

func (s *system) start() error {
	for _, p := range s.all() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// getJSON decodes the answer to a GET request to the admin address of a process.
func getJSON(ctx context.Context, p *testbed.Process, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin+path, nil)
	if err != nil {
		return err
	}
	return doJSON(req, into)
}

// doJSON sends a request and decodes the JSON answer, whose status must be 200.
func doJSON(req *http.Request, into any) error {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", req.URL, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// sendEdit sends an edit through a process and returns the accepted version.
func sendEdit(ctx context.Context, p *testbed.Process, e contract.Edit) (contract.Version, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Admin+"/admin/edits", strings.NewReader(string(raw)))
	if err != nil {
		return 0, err
	}
	var a node.EditAnswer
	err = doJSON(req, &a)
	return a.Version, err
}

// pollInterval is the interval at which the version of a process is polled.
const pollInterval = 2 * time.Millisecond

// awaitInForce waits until the version is in force on all processes except absent.
func (s *system) awaitInForce(ctx context.Context, v contract.Version, absent string) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range s.all() {
		if p.Name != absent {
			g.Go(func() error { return awaitVersion(ctx, p, v) })
		}
	}
	return g.Wait()
}

func awaitVersion(ctx context.Context, p *testbed.Process, v contract.Version) error {
	for ctx.Err() == nil {
		var vars struct {
			Version contract.Version `json:"caraway_tables_version"`
		}
		if err := getJSON(ctx, p, "/debug/vars", &vars); err != nil {
			return err
		}
		if vars.Version >= v {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("version %d is not in force at %s: %w", v, p.Name, ctx.Err())
}
