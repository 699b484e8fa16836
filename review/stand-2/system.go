package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A system is one small deployment of the project's own processes on loopback addresses,
// with the stand-ins around it.
type system struct {
	root        string
	dir         string
	began       time.Time
	maxAttempts int
	net         int
	port        int
	recordMu    sync.Mutex
	record      *bufio.Writer
	file        *os.File
	run         map[string][]string
	procs       []*proc
	hubs        []*proc
	entries     []*proc
	agents      []*proc
	workers     []*worker
	check       *checker
	client      *http.Client
	// wipes lets one hub at a time lose its disk.
	wipes sync.Mutex
}

// A proc is one process of the project.
type proc struct {
	sys      *system
	role     string
	name     string
	ip       string
	settings map[string]string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	// down is set when the case is over.
	down bool
}

var runLine = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\s*\nrun = "([^"]+)"`)

func newSystem(root, recordPath string) (*system, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &system{
		root: root, dir: dir, began: time.Now(), maxAttempts: 2,
		record: bufio.NewWriter(f), file: f, run: map[string][]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, CheckRedirect: func(*http.Request, []*http.Request) error { return nil }},
	}
	for _, m := range runLine.FindAllStringSubmatch(string(data), -1) {
		s.run[m[1]] = strings.Fields(m[2])
	}
	s.check = newChecker(s)
	for range 50 {
		s.net, s.port = 20+rand.IntN(200), 21000+40*rand.IntN(250)
		if s.free() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// note writes a line to the record.
func (s *system) note(what string, kv ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s", time.Since(s.began).Seconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(s.record, " %v=%v", kv[i], kv[i+1])
	}
	fmt.Fprintln(s.record)
}

func (s *system) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.net, kind, n) }

func (s *system) addProc(role, name, ip string, settings map[string]string) *proc {
	p := &proc{sys: s, role: role, name: name, ip: ip, settings: settings}
	s.procs = append(s.procs, p)
	return p
}

// build describes a deployment; nothing is started yet.
func (s *system) build(hubs, entries int, workers []*worker, extra map[string]string) {
	var seeds []string
	for i := range min(3, hubs) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(1, i+1), s.port+6))
	}
	common := func(name, ip, class string) map[string]string {
		m := map[string]string{
			"node": name, "role": class, "machineClass": class, "serves": class, "ip": ip, "zone": "z1", "region": "r1", "zones.z1": "r1",
			"portRange": fmt.Sprintf("%d,%d", s.port+20, s.port+35), "seeds": strings.Join(seeds, ","), "bootstrap": "true", "faultCounted": "false",
			"limits.cpuShare": "0.8", "limits.cores": "1", "limits.memoryMb": "280", "limits.maxFds": "4096", "limits.linkMbps": "1000.0", "limits.diskMb": "0",
			"discovery": "local", "entry": "vip", "heartbeatMs": "1500", "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
			"faultTolerance.machines": "2", "faultTolerance.zones": "0", "faultTolerance.regions": "0",
			"bounds.seedLagS": "3", "bounds.reuseAfterS": "2", "bounds.contactMs": "3000", "bounds.ackTimeoutMs": "4000", "bounds.catchUpS": "4",
			"bounds.drainMs": "2000", "bounds.graceS": "6", "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250",
			"bounds.maxSkewMs": "5000", "bounds.recoveryS": "12", "bounds.holdMaxMs": "1000", "bounds.stopTimeoutMs": "50", "bounds.gangTimeoutMs": "3000",
			"bounds.cancel_ms": "3000", "bounds.visible_ms": "3000", "bounds.early_ms": "250", "bounds.finish_s": "14", "bounds.status_s": "120",
			"bounds.remoteFactor": "1.5", "bounds.checkpointIntervalS": "2", "bounds.restoreMs": "100", "bounds.noticeMs": "4500", "bounds.migrateS": "1.5",
			"bounds.maintenanceS": "2", "bounds.fencingRequired": "true", "bounds.leaseMs": "3000", "bounds.thawSlackMs": "300", "bounds.pacingMs": "100",
			"bounds.interferenceMs": "4000", "bounds.retransmitMs": "1300", "config_mode": "highest", "orders": "request",
			"cloud.ratePerS": "60.0", "cloud.duties": "", "cloud.dutyPerS": "60.0",
		}
		for k, v := range extra {
			m[k] = v
		}
		return m
	}
	for i := range hubs {
		ip := s.ip(1, i+1)
		m := common(fmt.Sprintf("core-%d", i+1), ip, "core")
		m["serves"], m["faultCounted"], m["limits.diskMb"] = "control", "true", "128"
		m["listen.control"] = fmt.Sprintf("%s:%d", ip, s.port+6)
		m["dataDir"] = filepath.Join(s.dir, m["node"])
		s.hubs = append(s.hubs, s.addProc("control", m["node"], ip, m))
	}
	for i := range entries {
		ip := s.ip(2, i+1)
		m := common(fmt.Sprintf("edge-%d", i+1), ip, "edge")
		m["listen.front"], m["listen.ready"] = fmt.Sprintf("%s:%d", ip, s.port+1), fmt.Sprintf("%s:%d", ip, s.port+7)
		s.entries = append(s.entries, s.addProc("entry", m["node"], ip, m))
	}
	for i, w := range workers {
		ip := s.ip(3, i+1)
		m := common(fmt.Sprintf("side-%d", i+1), ip, "side")
		m["listen.control"] = fmt.Sprintf("%s:%d", ip, s.port+6)
		s.agents = append(s.agents, s.addProc("agent", m["node"], ip, m))
		w.sys, w.name, w.addr, w.control = s, fmt.Sprintf("w%d", i+1), fmt.Sprintf("%s:%d", ip, s.port+10), m["listen.control"]
		s.workers = append(s.workers, w)
	}
}

// start starts the process.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return fmt.Errorf("%s runs already", p.name)
	}
	var b strings.Builder
	for k, v := range p.settings {
		fmt.Fprintf(&b, "%s=%s\n", k, v)
	}
	path := filepath.Join(p.sys.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.sys.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := p.sys.run[p.role]
	cmd := exec.Command(filepath.Join(p.sys.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.sys.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYLANDING_BOOT=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	if p.down {
		_ = cmd.Process.Kill()
	}
	exited := p.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	p.sys.note("process started", "name", p.name, "pid", cmd.Process.Pid)
	return nil
}

// running reports whether the process runs. The caller holds mu.
func (p *proc) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.sys.note("signal", "name", p.name, "signal", sig)
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restart starts a process that was killed; its settings say that the system has run before.
func (p *proc) restart() error {
	p.settings["bootstrap"] = "false"
	return p.start()
}

// wipe removes the disk of a hub that was killed.
func (p *proc) wipe() { _ = os.RemoveAll(p.settings["dataDir"]) }

// free reports whether no other process uses the ports on the addresses of a deployment.
func (s *system) free() bool {
	for kind := range 3 {
		for n := range 14 {
			for _, port := range []int{s.port + 1, s.port + 6, s.port + 7, s.port + 10, s.port + 20, 9464} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(kind+1, n+1), port))
				if err != nil {
					return false
				}
				ln.Close()
			}
		}
	}
	return true
}

// up starts all processes and workers, sends the configuration and waits until the entries
// are ready.
func (s *system) up(config map[string]any) error {
	for _, p := range s.procs {
		if p.role == "control" {
			if err := os.MkdirAll(p.settings["dataDir"], 0o700); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for i, w := range s.workers {
		if err := w.start(fmt.Sprintf("i-%08d", i+1)); err != nil {
			return err
		}
	}
	if err := s.putConfig(config, 15*time.Second); err != nil {
		return err
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for !s.ready(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The first heartbeats of the workers have arrived by then.
	time.Sleep(2 * time.Second)
	s.note("system up")
	return nil
}

func (s *system) ready(e *proc) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.settings["listen.ready"] + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// putConfig sends a configuration until it is acknowledged.
func (s *system) putConfig(config map[string]any, limit time.Duration) error {
	body, _ := json.Marshal(config)
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		h := s.hubs[i%len(s.hubs)]
		status, _, err := s.call(http.MethodPut, "http://"+h.settings["listen.control"]+"/config", "", body, time.Second)
		if err == nil && status == http.StatusOK {
			s.note("configuration acknowledged", "version", config["version"])
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the configuration is not acknowledged: status %d, %v", status, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// call makes one call and returns the status and the body.
func (s *system) call(method, url, host string, body []byte, timeout time.Duration) (int, string, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Host = host
		req.Header.Set("X-Carawaylanding-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	c := *s.client
	c.Timeout = timeout
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data)), err
}

// down ends all processes and removes the temporary folder, unless keep is set.
func (s *system) down(keep bool) {
	for _, w := range s.workers {
		w.crash()
	}
	for _, p := range s.procs {
		p.mu.Lock()
		p.down = true
		started := p.cmd != nil
		p.mu.Unlock()
		if started {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	s.recordMu.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.record = bufio.NewWriter(io.Discard)
	s.recordMu.Unlock()
	if keep {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// route returns one route of a configuration.
func route(name, prefix, service string, target int, slack float64) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": target,
		"priority": 0, "service": service, "maxAttempts": 2, "slackFactor": slack,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": false, "standby": false}
}

func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands in a job as the protocol says, at the entries in turn, until there is a
// clear answer. It returns the last status.
func (s *system) submit(j *jobSpec, timeout time.Duration) int {
	s.check.mu.Lock()
	s.check.jobs[j.id] = j
	s.check.mu.Unlock()
	body, _ := json.Marshal(j.body)
	j.sent = time.Now()
	first := rand.IntN(len(s.entries))
	for i := 0; ; i++ {
		e := s.entries[(first+i)%len(s.entries)]
		status, text, err := s.call(http.MethodPost, "http://"+e.settings["listen.front"]+j.prefix+j.id, "a.example", body, timeout)
		s.note("submitted", "job", j.id, "entry", e.name, "status", status, "body", text, "err", err)
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			if status < 300 {
				j.accepted = time.Now()
			}
			return status
		}
		j.unclear++
		if i == 20 {
			return 0
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// state returns the state that a GET shows, or the status as text.
func (s *system) state(j *jobSpec) string {
	for i := range 8 {
		e := s.entries[i%len(s.entries)]
		status, text, err := s.call(http.MethodGet, "http://"+e.settings["listen.front"]+j.prefix+j.id, "a.example", nil, 1500*time.Millisecond)
		if err == nil && status == http.StatusOK {
			var b struct{ State string }
			_ = json.Unmarshal([]byte(text), &b)
			return b.State
		}
		if err == nil && status == http.StatusGone {
			return "410"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

// cancel cancels a job.
func (s *system) cancel(j *jobSpec) {
	for i := range 10 {
		e := s.entries[i%len(s.entries)]
		status, _, err := s.call(http.MethodDelete, "http://"+e.settings["listen.front"]+j.prefix+j.id, "a.example", nil, 1500*time.Millisecond)
		if err == nil && (status < 300 || status == http.StatusGone) {
			s.check.mu.Lock()
			j.cancelled = time.Now()
			s.check.mu.Unlock()
			s.note("cancelled", "job", j.id, "status", status)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
