package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// The bounds of the small deployments.
const (
	catchUp   = 4 * time.Second
	finish    = 14 * time.Second
	deadline  = 1500 * time.Millisecond
	lead      = 10 * time.Second
	restartIn = 300 * time.Millisecond
)

// machine is a machine of the system with its one process.
type machine struct {
	name, class, role, ip string
	args                  []string
	boot, dataDir, log    string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// cluster is a small deployment: machines of the system, workers, clients and an operator.
type cluster struct {
	rec      *recorder
	dir      string
	repo     string
	delay    time.Duration
	proxies  []net.Listener
	prefix   string
	ports    map[string]int
	cores    []*machine
	edges    []*machine
	sides    []*machine
	workers  []*worker
	version  int
	clients  *http.Client
	operator *http.Client

	mu sync.Mutex // guards taskCPU
	// taskCPU holds the CPU of each task of the accepted jobs, in thousandths of a core.
	taskCPU map[string]int
}

type options struct {
	edges, sides int
	behave       func(task string, run uint64, spec string) (time.Duration, string)
	late         func() bool
	// delay is by how much later the messages of core machines reach agents on the paths
	// that the agents' settings name; zero means that there is nothing in between.
	delay time.Duration
}

const service = "desk-7f2"
const maxAttempts = 2
const host = "nony24.example"
const prefixPath = "/lohu930/"

func newCluster(rec *recorder, repo string, o options) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, repo: repo, delay: o.delay, ports: map[string]int{}, taskCPU: map[string]int{}}
	c.clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	c.operator = &http.Client{Timeout: 1500 * time.Millisecond}
	for try := 0; ; try++ {
		c.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.N(200), rand.N(250))
		if c.pickPorts() {
			break
		}
		if try == 20 {
			return c, errors.New("no free ports")
		}
	}
	for i := range 5 {
		c.cores = append(c.cores, c.newMachine(fmt.Sprintf("core-%d", i+1), "core", "control", 11+i, "control"))
	}
	for i := range o.edges {
		c.edges = append(c.edges, c.newMachine(fmt.Sprintf("edge-%d", i+1), "edge", "entry", 31+i, "-direct-starts", "entry"))
	}
	for i := range o.sides {
		m := c.newMachine(fmt.Sprintf("side-%d", i+1), "side", "agent", 51+i, "-direct-starts", "agent")
		c.sides = append(c.sides, m)
		labels := []string{"a", fmt.Sprintf("r1-%d", i/3)}
		c.workers = append(c.workers, &worker{
			name: fmt.Sprintf("w%d", i+1), addr: fmt.Sprintf("%s%d:%d", c.prefix, 151+i, c.ports["app"]), control: fmt.Sprintf("%s:%d", m.ip, c.ports["control"]),
			service: service, labels: labels, cpu: 64000, memMB: 262144, rec: rec, behave: o.behave, late: o.late, failed: map[string]int{},
		})
	}
	return c, nil
}

// pickPorts draws the ports of the day, which are the same on all machines.
func (c *cluster) pickPorts() bool {
	first := 10000 + rand.N(20000)
	for i, name := range []string{"link", "front", "ready", "control", "app"} {
		c.ports[name] = first + 20*i
		ln, err := net.Listen("tcp", fmt.Sprintf("%s11:%d", c.prefix, c.ports[name]))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

func (c *cluster) newMachine(name, class, role string, last int, args ...string) *machine {
	m := &machine{name: name, class: class, role: role, ip: fmt.Sprintf("%s%d", c.prefix, last), args: append([]string{"platform"}, args...)}
	m.boot = filepath.Join(c.dir, name+".conf")
	m.log = filepath.Join(c.dir, name+".log")
	if class == "core" {
		m.dataDir = filepath.Join(c.dir, name+"-data")
	}
	return m
}

// proxyIP returns the address of the proxy in front of a core machine.
func (c *cluster) proxyIP(core int) string { return fmt.Sprintf("%s%d", c.prefix, 21+core) }

// settings writes the settings file of a machine.
func (c *cluster) settings(m *machine, bootstrap bool) error {
	var seeds []string
	for i, s := range c.cores[:3] {
		ip := s.ip
		if m.class == "side" && c.delay > 0 {
			ip = c.proxyIP(i)
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, c.ports["control"]))
	}
	serves := map[string]string{"core": "control", "edge": "edge", "side": "side"}[m.class]
	lines := []string{
		"node=" + m.name, "role=" + m.role, "machineClass=" + m.class, "serves=" + serves, "ip=" + m.ip, "zone=z1", "region=r", "zones.z1=r",
		fmt.Sprintf("portRange=%d,%d", c.ports["link"], c.ports["link"]+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", bootstrap), fmt.Sprintf("faultCounted=%v", m.class == "core"),
		"limits.cores=1", "limits.maxFds=4096", "discovery=local", "entry=vip", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxSkewMs=5000", "bounds.recoveryS=12", "bounds.holdMaxMs=1000", "bounds.stopTimeoutMs=50", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remoteFactor=1.5", "bounds.checkpointIntervalS=2", "bounds.restoreMs=100", "bounds.fencingRequired=true",
		"bounds.leaseMs=3000", "bounds.retransmitMs=1300", "config_mode=highest", "orders=request",
	}
	switch m.class {
	case "core":
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", m.ip, c.ports["control"]), "dataDir="+m.dataDir, "limits.diskMb=128", "limits.memoryMb=280")
	case "edge":
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", m.ip, c.ports["front"]), fmt.Sprintf("listen.ready=%s:%d", m.ip, c.ports["ready"]), "limits.memoryMb=284")
	case "side":
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", m.ip, c.ports["control"]), "limits.memoryMb=152")
	}
	return os.WriteFile(m.boot, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startProcess starts the process of a machine. bootstrap is set at the first start of
// the whole system.
func (c *cluster) startProcess(m *machine, bootstrap bool) error {
	if err := c.settings(m, bootstrap); err != nil {
		return err
	}
	if m.dataDir != "" {
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/carawayd", m.args...)
	cmd.Dir = c.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYLANDING_BOOT=" + m.boot}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() { cmd.Wait(); close(done) }()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.done:
	default:
		m.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// peakMemory returns the largest resident size that the process has had.
func (m *machine) peakMemory() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return "unknown"
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "unknown"
}

// up starts the whole system and its workers, sends the first configuration, and
// returns when jobs complete.
func (c *cluster) up() error {
	if c.delay > 0 {
		for i, m := range c.cores[:3] {
			port := c.ports["link"]
			ln, err := serveDelayed(fmt.Sprintf("%s:%d", c.proxyIP(i), port), fmt.Sprintf("%s:%d", m.ip, port), c.delay)
			if err != nil {
				return err
			}
			c.proxies = append(c.proxies, ln)
		}
	}
	for _, m := range c.machines() {
		if err := c.startProcess(m, true); err != nil {
			return err
		}
	}
	for _, w := range c.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := c.configure(20 * time.Second); err != nil {
		return err
	}
	limit := time.Now().Add(20 * time.Second)
	for {
		ok := 0
		for _, e := range c.edges {
			resp, err := c.operator.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, c.ports["ready"]))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ok++
				}
			}
		}
		if ok == len(c.edges) {
			break
		}
		if time.Now().After(limit) {
			return errors.New("the edges are not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	// Traffic starts lead after the machines do.
	time.Sleep(max(0, lead-c.rec.now()))
	return nil
}

func (c *cluster) machines() []*machine {
	var out []*machine
	for _, list := range [][]*machine{c.cores, c.edges, c.sides} {
		out = append(out, list...)
	}
	return out
}

// configure sends a new configuration until it is acknowledged.
func (c *cluster) configure(limit time.Duration) error {
	c.version += 3
	body, _ := json.Marshal(map[string]any{
		"version": c.version,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": host, "pathPrefix": prefixPath, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 1, "service": service, "maxAttempts": maxAttempts, "slackFactor": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := c.cores[rand.N(len(c.cores))]
		req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/config", m.ip, c.ports["control"]), bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.operator.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		c.rec.printf("operator PUT /config version %d at %s -> %d", c.version, m.name, resp.StatusCode)
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// readConfig asks each core machine once for the configuration, and returns the status of
// the best answer.
func (c *cluster) readConfig() int {
	best := 0
	for _, m := range c.cores {
		resp, err := c.operator.Get(fmt.Sprintf("http://%s:%d/config", m.ip, c.ports["control"]))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if best != 200 {
			best = resp.StatusCode
		}
	}
	return best
}

// down ends all processes and workers.
func (c *cluster) down() {
	for _, ln := range c.proxies {
		ln.Close()
	}
	for _, w := range c.workers {
		w.end()
	}
	for _, m := range c.machines() {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// leader returns the core machine whose process says that it leads.
func (c *cluster) leader() (*machine, error) {
	for _, m := range c.cores {
		resp, err := c.operator.Get(fmt.Sprintf("http://%s:9464/metrics", m.ip))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for line := range strings.SplitSeq(string(data), "\n") {
			if line == "caraway_leads 1" {
				return m, nil
			}
		}
	}
	return nil, errors.New("no core machine says that it leads")
}

// step is a set of tasks of a job, as in the users' protocol.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb"`
	EstimateMS   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request of a client and returns the status, or zero if there was no
// answer, and the body.
func (c *cluster) call(method, path string, body any, wait time.Duration) (int, string) {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	e := c.edges[rand.N(len(c.edges))]
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, c.ports["front"], path), in)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Carawaylanding-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	client := *c.clients
	client.Timeout = wait
	resp, err := client.Do(req)
	if err != nil {
		c.rec.printf("client %s %s at %s -> no answer", method, path, e.name)
		return 0, ""
	}
	data, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.rec.printf("client %s %s at %s -> %d %s", method, path, e.name, resp.StatusCode, bytes.TrimSpace(data))
	return resp.StatusCode, string(data)
}

// submit hands a job in, and sends it again as long as there is no clear answer. It
// reports whether the job was accepted.
func (c *cluster) submit(id, spec string, steps []step) bool {
	for range 8 {
		status, _ := c.call(http.MethodPost, prefixPath+id, map[string]any{"spec": spec, "steps": steps}, deadline)
		switch {
		case status/100 == 2:
			return true
		case status == 429 || status == 503 || status == 404 || status == 400:
			return false
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, several times if there is no answer.
func (c *cluster) state(id string) (int, string) {
	status := 0
	for range 3 {
		s, body := c.call(http.MethodGet, prefixPath+id, nil, deadline)
		var b struct{ State string }
		if s == 200 && json.Unmarshal([]byte(body), &b) == nil {
			return s, b.State
		}
		if s != 0 {
			status = s
		}
		if s == 410 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, ""
}

// mostFailures returns how often the task of the job that failed most has ended failed, on
// all workers.
func (c *cluster) mostFailures(id string) int {
	counts := map[string]int{}
	most := 0
	for _, w := range c.workers {
		w.mu.Lock()
		for task, n := range w.failed {
			if strings.HasPrefix(task, id+".") {
				counts[task] += n
				most = max(most, counts[task])
			}
		}
		w.mu.Unlock()
	}
	return most
}
