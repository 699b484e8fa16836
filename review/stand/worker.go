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
	"sync"
	"time"
)

const (
	holdMax    = time.Second
	heartbeat  = 1500 * time.Millisecond
	clockBase  = 480000
	endsAtOnce = 500
)

type runKey struct {
	task string
	run  uint64
}

type activeRun struct {
	key   runKey
	timer *time.Timer
}

type endedRun struct {
	seq uint64
	key runKey
	how string
}

// worker is a stand-in for an application worker, as the users' protocol page
// describes it. It does not guard its capacity.
type worker struct {
	name, addr, control string
	service             string
	labels              []string
	cpu, memMB          int
	rec                 *recorder
	// behave returns how long a run takes, and how it ends.
	behave func(task string, run uint64, spec string) (time.Duration, string)
	// late returns whether an order gets no answer and is carried out late.
	late func() bool

	mu       sync.Mutex
	server   *http.Server
	id       string
	life     int
	born     int64
	bornAt   time.Time
	seq      int
	state    string
	up       bool
	token    uint64
	lease    time.Time
	leaseTmr *time.Timer
	runs     map[runKey]*activeRun
	blocked  map[string]uint64
	ends     []endedRun
	lastEnd  uint64
	changed  chan struct{}
	stopBeat context.CancelFunc

	// failed counts the ends failed of each task.
	failed map[string]int
}

func (w *worker) clock() int64 { return clockBase + time.Since(w.bornAt).Milliseconds() }

// start begins a new life of the worker.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.life)
	w.bornAt = time.Now()
	w.born = w.bornAt.UnixMilli()
	w.seq, w.state, w.up = 0, "ready", true
	w.token, w.lease, w.lastEnd = 0, time.Time{}, 0
	w.runs, w.blocked, w.ends = map[runKey]*activeRun{}, map[string]uint64{}, nil
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	life := w.life
	handle := func(path string, f func(http.ResponseWriter, *order)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life, f) })
	}
	handle("/run-start", w.runStart)
	handle("/run-stop", w.runStop)
	handle("/hold", w.hold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, r *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(ln)
	ctx, cancel := context.WithCancel(context.Background())
	w.stopBeat = cancel
	go w.beat(ctx)
	w.rec.printf("worker %s up as %s at %s", w.name, w.id, w.addr)
	return nil
}

// crash ends the worker's process: it answers nothing more, and all that runs ends.
func (w *worker) crash() {
	w.rec.say("worker %s crashes", w.name)
	w.end()
}

// end ends the worker's process.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.stopBeat()
	w.server.Close()
	if w.leaseTmr != nil {
		w.leaseTmr.Stop()
	}
	for k, r := range w.runs {
		r.timer.Stop()
		w.rec.printf("worker %s run %s %d gone with the worker", w.name, k.task, k.run)
	}
	w.runs = map[runKey]*activeRun{}
}

func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body := w.announcementLocked()
		id := w.id
		w.mu.Unlock()
		status, err := put(ctx, client, "http://"+w.control+"/instances/"+id, body)
		w.rec.printf("worker %s heartbeat %v seq %v -> %d %v", w.name, id, body["seq"], status, err)
		pause := heartbeat
		if err != nil || status != 200 {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// announcement returns the body of a heartbeat.
func (w *worker) announcement() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.announcementLocked()
}

func (w *worker) announcementLocked() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": w.labels, "clockMs": w.clock(),
		"seq": w.seq, "born": w.born,
	}
}

func put(ctx context.Context, c *http.Client, url string, body any) (int, error) {
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode, nil
}

// order is the body of any call to a worker.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	path         string
	ctx          context.Context
	life         int
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, life int, f func(http.ResponseWriter, *order)) {
	o := &order{path: r.URL.Path, ctx: r.Context(), life: life}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		rw.WriteHeader(400)
		return
	}
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	if want := r.Header.Get("X-Carawaylanding-Expected-Instance"); want != "" && want != id {
		rw.WriteHeader(421)
		return
	}
	if o.path != "/hold" && w.late != nil && w.late() {
		delay := 2*time.Second + rand.N(10*time.Second)
		w.rec.printf("worker %s %s %s %d gets no answer, carried out in %v", w.name, o.path, o.Task, o.Run, delay.Round(time.Millisecond))
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			same := w.up && w.life == life
			w.mu.Unlock()
			if same {
				f(discard{}, o)
			}
		})
		<-r.Context().Done()
		return
	}
	f(rw, o)
}

// discard is the response of an order that is carried out late.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.born
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(data)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.answer(rw, 409, map[string]any{"reason": reason})
}

// fenced applies the fencing token. The caller holds w.mu.
func (w *worker) fenced(o *order) bool {
	if o.FencingToken < w.token {
		return true
	}
	w.token = o.FencingToken
	return false
}

// extend extends the lease of all that runs. The caller holds w.mu.
func (w *worker) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	end := w.bornAt.Add(time.Duration(deadlineMS-clockBase) * time.Millisecond)
	if limit := time.Now().Add(holdMax); end.After(limit) {
		end = limit
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	if w.leaseTmr != nil {
		w.leaseTmr.Stop()
	}
	life := w.life
	w.leaseTmr = time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || !w.up || time.Now().Before(w.lease) {
			return
		}
		for k := range w.runs {
			w.endLocked(k, "lapsed")
		}
	})
}

func (w *worker) runStart(rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		w.refuse(rw, "fence")
		return
	}
	k := runKey{o.Task, o.Run}
	if o.DeadlineMS <= w.clock() {
		w.rec.printf("worker %s start %s %d refused: late", w.name, o.Task, o.Run)
		w.refuse(rw, "late")
		return
	}
	w.extend(o.DeadlineMS)
	if w.runs[k] != nil {
		w.answer(rw, 200, map[string]any{})
		return
	}
	if o.Run <= w.blocked[o.Task] {
		w.rec.printf("worker %s start %s %d refused: old", w.name, o.Task, o.Run)
		w.refuse(rw, "old")
		return
	}
	took, how := w.behave(o.Task, o.Run, o.Spec)
	life := w.life
	w.runs[k] = &activeRun{key: k, timer: time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up && w.life == life {
			w.endLocked(k, how)
		}
	})}
	w.rec.printf("worker %s run %s %d started", w.name, o.Task, o.Run)
	w.answer(rw, 200, map[string]any{})
}

// endLocked ends a run. The caller holds w.mu.
func (w *worker) endLocked(k runKey, how string) {
	r := w.runs[k]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, k)
	w.blocked[k.task] = max(w.blocked[k.task], k.run)
	w.lastEnd++
	if how == "failed" {
		w.failed[k.task]++
	}
	w.ends = append(w.ends, endedRun{w.lastEnd, k, how})
	w.rec.printf("worker %s run %s %d ended %s", w.name, k.task, k.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStop(rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		w.refuse(rw, "fence")
		return
	}
	w.blocked[o.Task] = max(w.blocked[o.Task], o.Run)
	for k := range w.runs {
		if k.task == o.Task && k.run <= o.Run {
			w.endLocked(k, "stopped")
		}
	}
	w.answer(rw, 200, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	if w.fenced(o) {
		defer w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	for len(w.ends) > 0 && w.ends[0].seq <= o.LastSeen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.rec.printf("worker %s end %d of %s %d (%s) taken note of", w.name, e.seq, e.key.task, e.key.run, e.how)
	}
	w.extend(o.DeadlineMS)
	changed := w.changed
	wait := min(o.WaitMS, 2000) > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-o.ctx.Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != o.life {
		return
	}
	running, ended := [][]any{}, [][]any{}
	for k := range w.runs {
		running = append(running, []any{k.task, k.run, "", 100, 0})
	}
	for i, e := range w.ends {
		if i == endsAtOnce {
			break
		}
		ended = append(ended, []any{e.seq, e.key.task, e.key.run, e.how, ""})
	}
	w.answer(rw, 200, map[string]any{"running": running, "endedRuns": ended})
}
