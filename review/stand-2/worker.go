package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLease is the longest lease that a worker grants (holdMaxMs).
const maxLease = time.Second

// heartbeatEvery is the interval of a worker's heartbeats (heartbeatMs).
const heartbeatEvery = 1500 * time.Millisecond

// A worker is a stand-in for one worker on a side machine. It follows the section
// "Running tasks" of the protocol. Its tasks do what the spec says: "dur=MS" ends done
// after MS milliseconds, "poison" lets each run end failed then, and "fail=N" lets the
// first N runs of each task fail at once.
type worker struct {
	sys     *system
	name    string
	addr    string
	control string
	service string
	cpu     int
	labels  []string

	mu       sync.Mutex
	up       bool
	id       string
	born     int64
	started  time.Time
	seq      uint64
	token    uint64
	leaseEnd time.Time
	lease    *time.Timer
	runs     map[runKey]*activeRun
	stale    map[string]uint64
	ends     []runEnd
	lastEnd  uint64
	lapses   int
	changed  chan struct{}
	server   *http.Server
	stopBeat chan struct{}
	state    string
	// lateShare of the orders get no answer and are carried out 2 to 12 s later.
	lateShare float64
	// grey lets each run that starts end failed, after its duration.
	grey bool
	// busy answers each start with 503.
	busy bool
	// hung leaves each call unanswered; what runs goes on.
	hung bool
}

type runKey struct {
	task string
	run  uint64
}

type activeRun struct {
	timer *time.Timer
	spec  string
}

type runEnd struct {
	n      uint64
	key    runKey
	how    string
	lapses int
}

// newWorker returns a worker that system.build gives a machine.
func newWorker(service string, cpu int, labels []string) *worker {
	return &worker{service: service, cpu: cpu, labels: labels}
}

// start begins a new incarnation.
func (w *worker) start(id string) error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.id, w.born, w.started = true, id, time.Now().UnixMilli(), time.Now()
	w.seq, w.token, w.leaseEnd, w.lastEnd = 0, 0, time.Time{}, 0
	w.runs, w.stale, w.ends, w.lapses = map[runKey]*activeRun{}, map[string]uint64{}, nil, 0
	w.changed, w.stopBeat, w.state = make(chan struct{}), make(chan struct{}), "ready"
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.runStart))
	mux.HandleFunc("POST /run-stop", w.serve(w.runStop))
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	server, stop := w.server, w.stopBeat
	w.mu.Unlock()
	w.sys.note("worker up", "worker", w.name, "id", id)
	go func() { _ = server.Serve(ln) }()
	go w.beat(stop)
	return nil
}

// crash ends the incarnation at once.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	if w.lease != nil {
		w.lease.Stop()
	}
	for k, r := range w.runs {
		r.timer.Stop()
		w.sys.check.ended(w.name, k, "crashed")
	}
	w.runs = map[runKey]*activeRun{}
	close(w.stopBeat)
	server := w.server
	w.mu.Unlock()
	w.sys.note("worker crashed", "worker", w.name)
	_ = server.Close()
}

func (w *worker) beat(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": w.cpu, "memMb": 262144, "gpu": 0}, "labels": w.labels,
			"clockMs": time.Since(w.started).Milliseconds(), "seq": w.seq, "born": w.born,
		})
		id := w.id
		w.mu.Unlock()
		req, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/instances/"+id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		pause := heartbeatEvery
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func (w *worker) addressed(rw http.ResponseWriter, r *http.Request, o *order) bool {
	w.mu.Lock()
	hung := w.hung
	w.mu.Unlock()
	if hung {
		<-r.Context().Done()
		return false
	}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	if want := r.Header.Get("X-Carawaylanding-Expected-Instance"); want != "" && want != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// serve answers an order that f carries out; f returns the reason of a refusal.
func (w *worker) serve(f func(*order) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if !w.addressed(rw, r, &o) {
			return
		}
		w.mu.Lock()
		late, born := rand.Float64() < w.lateShare, w.born
		w.mu.Unlock()
		if late {
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
				w.mu.Lock()
				same := w.up && w.born == born
				w.mu.Unlock()
				if same {
					w.sys.note("late order", "worker", w.name, "task", o.Task, "run", o.Run, "reason", f(&o))
				}
			})
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
		busy := w.busy && r.URL.Path == "/run-start"
		w.mu.Unlock()
		if busy {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reason := f(&o)
		status, body := http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.bornAt()}
		if reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
		reply(rw, status, body)
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) clock() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.started).Milliseconds()
}

func (w *worker) bornAt() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

func (w *worker) runStart(o *order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := runKey{o.Task, o.Run}
	switch {
	case !w.up:
		return "late"
	case o.FencingToken < w.token:
		return "fence"
	}
	w.token = o.FencingToken
	if o.DeadlineMS < time.Since(w.started).Milliseconds() {
		return "late"
	}
	w.extend(o.DeadlineMS)
	if w.runs[k] != nil {
		return ""
	}
	if o.Run <= w.stale[o.Task] {
		return "old"
	}
	how, dur := "done", time.Duration(0)
	for _, part := range strings.Split(o.Spec, ",") {
		name, value, _ := strings.Cut(part, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "dur":
			dur = time.Duration(n) * time.Millisecond
		case "poison":
			how = "failed"
		case "fail":
			if w.sys.check.starts(o.Task) < n {
				how, dur = "failed", 20*time.Millisecond
			}
		}
	}
	if w.grey {
		how = "failed"
	}
	w.sys.check.started(w, k, o.Spec)
	w.runs[k] = &activeRun{spec: o.Spec, timer: time.AfterFunc(dur, func() { w.end(k, how) })}
	return ""
}

func (w *worker) runStop(o *order) string {
	w.mu.Lock()
	if o.FencingToken < w.token {
		w.mu.Unlock()
		return "fence"
	}
	w.token = o.FencingToken
	w.stale[o.Task] = max(w.stale[o.Task], o.Run)
	w.mu.Unlock()
	w.end(runKey{o.Task, o.Run}, "stopped")
	return ""
}

// extend extends the lease; the caller holds mu.
func (w *worker) extend(deadlineMS int64) {
	end := w.started.Add(min(time.Duration(deadlineMS)*time.Millisecond, time.Since(w.started)+maxLease))
	if !end.After(w.leaseEnd) {
		return
	}
	if !w.leaseEnd.IsZero() && time.Now().After(w.leaseEnd) {
		w.lapses++
	}
	w.leaseEnd = end
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Until(end), w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	var keys []runKey
	if !time.Now().Before(w.leaseEnd) {
		for k := range w.runs {
			keys = append(keys, k)
		}
	}
	w.mu.Unlock()
	for _, k := range keys {
		w.end(k, "lapsed")
	}
}

func (w *worker) end(k runKey, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[k]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, k)
	w.stale[k.task] = max(w.stale[k.task], k.run)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{w.lastEnd, k, how, w.lapses})
	w.sys.check.ended(w.name, k, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.addressed(rw, r, &o) {
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.token {
		body := map[string]any{"clockMs": time.Since(w.started).Milliseconds(), "born": w.born, "reason": "fence"}
		w.mu.Unlock()
		reply(rw, http.StatusConflict, body)
		return
	}
	w.token = o.FencingToken
	expired := !time.Now().Before(w.leaseEnd)
	n := 0
	for n < len(w.ends) && w.ends[n].n <= o.LastSeen {
		if e := w.ends[n]; !expired && e.lapses == w.lapses {
			w.sys.check.noted(w.name, e.key, e.how)
		}
		n++
	}
	w.ends = w.ends[n:]
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	changed, wait := w.changed, o.WaitMS > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, ended := []any{}, []any{}
	for k := range w.runs {
		running = append(running, []any{k.task, k.run, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	body := map[string]any{"clockMs": time.Since(w.started).Milliseconds(), "born": w.born, "running": running, "endedRuns": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// leave ends the worker as planned: it says that it drains, goes on for drainMs and a
// little longer, and then ends.
func (w *worker) leave() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	// The next heartbeat says so; it is acknowledged within a second.
	time.Sleep(heartbeatEvery + 2200*time.Millisecond)
	req, _ := http.NewRequest(http.MethodDelete, "http://"+w.control+"/instances/"+w.id, nil)
	client := &http.Client{Timeout: time.Second}
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
	}
	w.sys.note("worker leaves", "worker", w.name)
	w.crash()
}
