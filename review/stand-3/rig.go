package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// size is how many machines of each class a deployment has.
type size struct{ cores, edges, sides int }

// smallSize is about that of the small deployments.
var smallSize = size{cores: 5, edges: 3, sides: 11}

// rig is a deployment on loopback addresses: the project's processes, and stand-ins of
// workers, clients and the operator.
type rig struct {
	root, dir string
	rec       *recorder
	service   string
	routes    []route
	version   int
	network   string // the first two parts of all addresses
	ports     struct{ control, front, ready, link, worker int }
	machines  []*machine
	cores     []*machine
	edges     []*machine
	sides     []*machine
	workers   []*worker

	mu     sync.Mutex
	tasks  map[string]*taskRecord
	jobs   map[string]*jobRecord
	broken []string
}

// machine is one machine with one process of the project.
type machine struct {
	rig      *rig
	name, ip string
	class    string
	serves   string
	args     []string
	dataDir  string
	started  bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // not to be started again
	waited  chan struct{}
}

// brokenf records that a rule was broken. The caller holds g.mu.
func (g *rig) brokenf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	g.rec.logf("BROKEN %s", text)
	g.broken = append(g.broken, text)
}

func (g *rig) report(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.brokenf(format, args...)
}

// newRig lays out a deployment and starts its processes and workers.
func newRig(root string, rec *recorder, s size) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	g := &rig{root: root, dir: dir, rec: rec, service: "huvo11a", tasks: map[string]*taskRecord{}, jobs: map[string]*jobRecord{}}
	if err := g.choosePorts(s); err != nil {
		return g, err
	}
	for i := range s.cores {
		m := &machine{rig: g, name: fmt.Sprintf("core-%d", i+1), ip: g.ip(1, i+1), class: "core", serves: "control", args: []string{"platform", "control"}}
		m.dataDir = filepath.Join(dir, m.name+"-data")
		g.cores = append(g.cores, m)
	}
	for i := range s.sides {
		m := &machine{rig: g, name: fmt.Sprintf("side-%d", i+1), ip: g.ip(3, i+1), class: "side", serves: "side", args: []string{"platform", "-direct-starts", "agent"}}
		g.sides = append(g.sides, m)
		g.workers = append(g.workers, &worker{
			rig: g, name: fmt.Sprintf("worker-%d", i+1), addr: fmt.Sprintf("%s:%d", g.ip(4, i+1), g.ports.worker),
			agentURL: fmt.Sprintf("http://%s:%d", m.ip, g.ports.control), milliCPU: 64000, memMB: 262144,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)},
		})
	}
	for i := range s.edges {
		g.edges = append(g.edges, &machine{rig: g, name: fmt.Sprintf("edge-%d", i+1), ip: g.ip(2, i+1), class: "edge", serves: "edge", args: []string{"platform", "-direct-starts", "entry"}})
	}
	g.machines = append(append(append(g.machines, g.cores...), g.edges...), g.sides...)
	for _, m := range g.machines {
		if err := m.start(); err != nil {
			return g, err
		}
	}
	return g, nil
}

// startWorkers starts all workers.
func (g *rig) startWorkers() error {
	for _, w := range g.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	return nil
}

func (g *rig) ip(class, i int) string { return fmt.Sprintf("%s.%d.%d", g.network, class, i) }

// choosePorts chooses a part of the loopback range and ports that are free on all its
// addresses.
func (g *rig) choosePorts(s size) error {
	for range 50 {
		g.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + rand.IntN(9000)
		g.ports.control, g.ports.front, g.ports.ready, g.ports.link, g.ports.worker = base, base+1, base+2, base+3, base+4
		if g.portsFree(base, s) {
			return nil
		}
	}
	return fmt.Errorf("no free ports on loopback")
}

func (g *rig) portsFree(base int, s size) bool {
	for class := 1; class <= 4; class++ {
		for i := range max(s.cores, s.edges, s.sides) {
			for p := base; p < base+5; p++ {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", g.ip(class, i+1), p))
				if err != nil {
					return false
				}
				ln.Close()
			}
		}
	}
	return true
}

// settings returns the settings file of the machine.
func (m *machine) settings(first bool) string {
	g := m.rig
	var seeds []string
	for _, c := range g.cores[:min(3, len(g.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, g.ports.control))
	}
	lines := []string{
		"node=" + m.name, "role=" + m.class, "machineClass=" + m.class, "serves=" + m.serves, "ip=" + m.ip,
		"zone=z1", "region=reg", "zones.z1=reg",
		fmt.Sprintf("portRange=%d,%d", g.ports.link, g.ports.link),
		"seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", first), fmt.Sprintf("faultCounted=%v", m.class == "core"),
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4096", "limits.linkMbps=1000.0",
		"discovery=local", "entry=vip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxSkewMs=5000", "bounds.recoveryS=12", "bounds.holdMaxMs=1000", "bounds.stopTimeoutMs=50", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remoteFactor=1.5", "bounds.checkpointIntervalS=2", "bounds.restoreMs=100", "bounds.noticeMs=4500",
		"bounds.fencingRequired=true", "bounds.leaseMs=3000", "bounds.retransmitMs=1300",
		"config_mode=highest", "orders=request", "cloud.duties=",
	}
	switch m.class {
	case "core":
		lines = append(lines, "dataDir="+m.dataDir, "limits.diskMb=128", fmt.Sprintf("listen.control=%s:%d", m.ip, g.ports.control))
	case "side":
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", m.ip, g.ports.control))
	case "edge":
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", m.ip, g.ports.front), fmt.Sprintf("listen.ready=%s:%d", m.ip, g.ports.ready))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's process, unless it runs or the rig is being stopped.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if m.waited != nil {
		select {
		case <-m.waited:
		default:
			return nil
		}
	}
	path := filepath.Join(m.rig.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings(!m.started)), 0o600); err != nil {
		return err
	}
	if m.dataDir != "" {
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.rig.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(m.rig.root, "target", "carawayd"), m.args...)
	cmd.Dir = m.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.dir, "LANG=C", "CARAWAYLANDING_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.started, m.cmd, m.waited = true, cmd, make(chan struct{})
	go func(done chan struct{}) {
		err := cmd.Wait()
		close(done)
		m.rig.rec.logf("proc   %s has ended: %v", m.name, err)
	}(m.waited)
	m.rig.rec.logf("proc   %s starts", m.name)
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.rig.rec.logf("proc   %s gets %v", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.waited
}

// killAndRestart kills the process and starts it again after a pause.
func (m *machine) killAndRestart(pause time.Duration) {
	m.kill()
	time.AfterFunc(pause, func() { _ = m.start() })
}

// stop ends all processes and workers, and removes the folder.
func (g *rig) stop(keep bool) {
	for _, w := range g.workers {
		w.crash()
	}
	for _, m := range g.machines {
		m.mu.Lock()
		m.stopped = true
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		waited := m.waited
		m.mu.Unlock()
		if waited != nil {
			<-waited
		}
	}
	if keep {
		fmt.Println("logs are in", g.dir)
		return
	}
	os.RemoveAll(g.dir)
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	priority     int
	maxAttempts  int
	slack        float64
	targetMS     int
	timeoutMS    int
}

const hostName = "nony24.example"

// putConfig sends a configuration until it is acknowledged.
func (g *rig) putConfig(limit time.Duration) error {
	g.version++
	body := g.configBody(g.version)
	deadline := time.Now().Add(limit)
	for i := 0; time.Now().Before(deadline); i++ {
		status, _, err := g.control(http.MethodPut, g.cores[i%len(g.cores)], "/config", body)
		if err == nil && status == http.StatusOK {
			g.rec.logf("config %d acknowledged", g.version)
			return nil
		}
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// configBody returns a configuration with the rig's routes.
func (g *rig) configBody(version int) []byte {
	var routes []map[string]any
	for _, r := range g.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": hostName, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": r.timeoutMS,
			"targetLatencyMs": r.targetMS, "priority": r.priority, "service": g.service, "maxAttempts": r.maxAttempts, "slackFactor": r.slack,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": g.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

// control calls the operator's API at a machine. It follows redirects twice.
func (g *rig) control(method string, m *machine, path string, body []byte) (int, string, error) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	url := fmt.Sprintf("http://%s:%d%s", m.ip, g.ports.control, path)
	for range 3 {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, "", err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, "", err
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, string(data), nil
		}
		url = resp.Header.Get("Location")
	}
	return 0, "", fmt.Errorf("redirected too often")
}

// leader returns the machine that answers a read of the configuration itself.
func (g *rig) leader() *machine {
	client := &http.Client{Timeout: 300 * time.Millisecond, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 40 {
		for _, m := range g.cores {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/config", m.ip, g.ports.control))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return m
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb"`
	EstimateMS   int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

// jobRecord is a job that a client sends.
type jobRecord struct {
	id, prefix, spec string
	steps            []step
	bestEffort       bool
	accepted         bool
	// rejections counts the attempts that were answered with 404, 429 or 503, and attempts
	// all of them.
	rejections, attempts int
	answer               string
	cancelledAt          time.Time
	cancelTried          bool
}

// newJob makes a job known before it is sent.
func (g *rig) newJob(prefix string, b behaviour, bestEffort bool, steps ...step) *jobRecord {
	j := &jobRecord{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, spec: b.spec(), steps: steps, bestEffort: bestEffort}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[j.id] = j
	return j
}

func (j *jobRecord) body() []byte {
	body := map[string]any{"spec": j.spec, "steps": j.steps}
	if j.bestEffort {
		body["bestEffort"] = true
	}
	data, _ := json.Marshal(body)
	return data
}

// callers is shared by all clients of a rig.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableKeepAlives: false}}

// ask sends a client's request to an edge. A status of 0 means that there was no answer.
func (g *rig) ask(method string, m *machine, path string, body []byte, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, g.ports.front, path), bytes.NewReader(body))
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Carawaylanding-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	g.rec.logf("sent   %s %s to %s", method, path, m.name)
	resp, err := callers.Do(req)
	if err != nil {
		g.rec.logf("answer %s %s from %s: none", method, path, m.name)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		g.rec.logf("answer %s %s from %s: %d, broken off", method, path, m.name, resp.StatusCode)
		return 0, ""
	}
	g.rec.logf("answer %s %s from %s: %d %s", method, path, m.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// submit sends a job, and again after no answer, 502 or 504, each time to another edge,
// with a pause of 1.3 s. It returns the final status.
func (g *rig) submit(j *jobRecord, deadline time.Duration, tries int) (int, string) {
	first := rand.IntN(len(g.edges))
	for i := range tries {
		status, text := g.ask(http.MethodPost, g.edges[(first+i)%len(g.edges)], j.prefix+j.id, j.body(), deadline)
		g.mu.Lock()
		j.attempts++
		if status == http.StatusNotFound || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			j.rejections++
		}
		g.mu.Unlock()
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(1300 * time.Millisecond)
			continue
		case http.StatusOK:
			g.mu.Lock()
			j.accepted, j.answer = true, text
			g.mu.Unlock()
		}
		return status, text
	}
	return 0, ""
}

// state asks for the state of a job. It returns the status and the state.
func (g *rig) state(j *jobRecord, m *machine) (int, string) {
	status, text := g.ask(http.MethodGet, m, j.prefix+j.id, nil, 1500*time.Millisecond)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// awaitReady waits until a job has been run, so that the deployment is up.
func (g *rig) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		j := g.newJob(g.routes[0].prefix, behaviour{duration: 20 * time.Millisecond}, true, step{Count: len(g.workers), CPU: 40000, MemMB: 64, EstimateMS: 20, AntiAffinity: 1})
		if status, _ := g.ask(http.MethodPost, g.edges[0], j.prefix+j.id, j.body(), 1500*time.Millisecond); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no job was served within %s", limit)
}
