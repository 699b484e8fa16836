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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holdMax is the longest lease that a worker grants, and heartbeatEvery the interval of its
// heartbeats.
const (
	holdMax        = 1000 * time.Millisecond
	heartbeatEvery = 1500 * time.Millisecond
)

// behaviour says how the tasks of a job run. It is encoded in the job's spec.
type behaviour struct {
	// duration is the work of each run.
	duration time.Duration
	// failures is the number of runs of each task that end as failed before one is done.
	failures int
	// padding is the number of bytes that are added to the spec.
	padding int
}

func (b behaviour) spec() string {
	return fmt.Sprintf("d=%d f=%d ", b.duration.Milliseconds(), b.failures) + strings.Repeat("x", b.padding)
}

func behaviourOf(spec string) behaviour {
	var ms int64
	var b behaviour
	fmt.Sscanf(spec, "d=%d f=%d", &ms, &b.failures)
	b.duration = time.Duration(ms) * time.Millisecond
	return b
}

// worker is one machine with a worker, as the pages describe it. A restart begins a new
// incarnation.
type worker struct {
	rig      *rig
	name     string
	agentURL string
	addr     string
	labels   []string
	milliCPU int
	memMB    int

	mu       sync.Mutex
	id       string
	born     int64
	began    time.Time
	seq      uint64
	alive    bool
	token    uint64
	leaseEnd int64 // on the worker's clock
	runs     map[string]*workerRun
	highest  map[string]uint64 // the highest run that was stopped or has ended, by task
	ended    []workerEnd
	lastEnd  uint64
	lapsedAt time.Time // when the lease was last found expired
	server   *http.Server
	cancel   context.CancelFunc
	// lateShare is the share of the calls that get no answer and are carried out seconds
	// later, and lostShare that of those whose answer is lost.
	lateShare, lostShare float64
	// busy says that the worker rejects all starts as unhealthy.
	busy    bool
	changed chan struct{} // closed and replaced when a run ends
}

type workerRun struct {
	task  string
	run   uint64
	begun time.Time
	end   time.Time
	fails bool
	cpu   int
}

type workerEnd struct {
	n    uint64
	task string
	run  uint64
	how  string
	at   time.Time
}

// start begins a new incarnation of the worker.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.began, w.born = time.Now(), time.Now().UnixMilli()
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.born)
	w.seq, w.token, w.leaseEnd, w.lastEnd, w.lapsedAt, w.alive = 0, 0, 0, 0, time.Time{}, true
	w.runs, w.highest, w.ended = map[string]*workerRun{}, map[string]uint64{}, nil
	w.changed = make(chan struct{})
	w.cancel = cancel
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.disturbed(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.disturbed(w.serveStop))
	mux.HandleFunc("POST /hold", w.disturbed(w.serveHold))
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go server.Serve(ln)
	go w.tick(ctx)
	go w.sendHeartbeats(ctx)
	w.rig.rec.logf("worker %s starts as %s labels %v", w.name, w.id, w.labels)
	return nil
}

// crash ends the incarnation without notice.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return
	}
	w.alive = false
	w.cancel()
	w.server.Close()
	for _, r := range w.runs {
		w.rig.runEnded(w, r, "crashed")
	}
	w.runs = map[string]*workerRun{}
	w.rig.rec.logf("worker %s crashes", w.name)
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// tick ends the runs whose work is done, and all runs once the lease has expired.
func (w *worker) tick(ctx context.Context) {
	t := time.NewTicker(2 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		w.mu.Lock()
		now := time.Now()
		if w.alive {
			expired := w.noteLapse()
			for _, r := range w.runs {
				switch {
				case expired:
					w.endRun(r, "lapsed")
				case now.Before(r.end):
				case r.fails:
					w.endRun(r, "failed")
				default:
					w.endRun(r, "done")
				}
			}
		}
		w.mu.Unlock()
	}
}

// noteLapse reports whether the lease has expired. The caller holds w.mu.
func (w *worker) noteLapse() bool {
	expired := w.clock() > w.leaseEnd
	if expired {
		w.lapsedAt = time.Now()
	}
	return expired
}

// noAnswer is a response that nobody reads.
type noAnswer struct{ header http.Header }

func (n noAnswer) Header() http.Header         { return n.header }
func (n noAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (n noAnswer) WriteHeader(int)             {}

// disturbed leaves some calls without an answer: they are carried out at once, or 2 to
// 12 s later by the same incarnation.
func (w *worker) disturbed(h http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		late, lost, born := rand.Float64() < w.lateShare, rand.Float64() < w.lostShare, w.born
		w.mu.Unlock()
		if !late && !lost {
			h(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(bytes.NewReader(body))
		if late {
			w.rig.rec.logf("late   %s on %s: %s", r.URL.Path, w.name, body)
			time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
				w.mu.Lock()
				same := w.alive && w.born == born
				w.mu.Unlock()
				if same {
					h(noAnswer{http.Header{}}, again)
				}
			})
		} else {
			w.rig.rec.logf("lost   %s on %s: %s", r.URL.Path, w.name, body)
			h(noAnswer{http.Header{}}, again)
		}
		<-r.Context().Done()
	}
}

// endRun lists the end of a run. The caller holds w.mu.
func (w *worker) endRun(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, r.task, r.run, how, time.Now()})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rig.runEnded(w, r, how)
}

// call is the body of each call to a worker.
type call struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// begin decodes a call and applies its fencing token. It returns false if the call is
// answered already. The caller holds w.mu.
func (w *worker) begin(rw http.ResponseWriter, r *http.Request, c *call) bool {
	if want := r.Header.Get("X-Carawaylanding-Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	if c.FencingToken < w.token {
		w.refuse(rw, "fence")
		return false
	}
	w.token = c.FencingToken
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.write(rw, http.StatusConflict, map[string]any{"reason": reason})
}

func (w *worker) write(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.born
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(data)
}

// extend extends the lease; it never shortens it.
func (w *worker) extend(deadline int64) {
	w.noteLapse()
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.begin(rw, r, &c) {
		return
	}
	if w.busy {
		w.rig.rec.logf("busy   %s rejects %s run %d", w.name, c.Task, c.Run)
		w.write(rw, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	if c.DeadlineMS <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(c.DeadlineMS)
	present := w.runs[c.Task]
	switch {
	case present != nil && present.run == c.Run:
		w.write(rw, http.StatusOK, map[string]any{})
		return
	case c.Run <= w.highest[c.Task], present != nil:
		w.refuse(rw, "old")
		return
	}
	run := w.rig.newRun(w, c.Task, c.Run, c.Spec)
	w.runs[c.Task] = run
	w.rig.checkRoom(w)
	w.write(rw, http.StatusOK, map[string]any{})
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.begin(rw, r, &c) {
		return
	}
	if run := w.runs[c.Task]; run != nil && run.run == c.Run {
		w.endRun(run, "stopped")
	} else {
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	}
	w.write(rw, http.StatusOK, map[string]any{})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c call
	if !w.begin(rw, r, &c) {
		return
	}
	if c.DeadlineMS > 0 {
		w.extend(c.DeadlineMS)
	}
	for len(w.ended) > 0 && w.ended[0].n <= c.LastSeen {
		w.rig.endNoted(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && w.alive {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(left):
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.run, "", 50})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.write(rw, http.StatusOK, map[string]any{"running": running, "endedRuns": ended})
}

// sendHeartbeats sends heartbeats to the agent on the same machine.
func (w *worker) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body := map[string]any{
			"service": w.rig.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "capacity": map[string]int{"cpu": w.milliCPU, "memMb": w.memMB, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock(), "seq": w.seq, "born": w.born,
		}
		url := w.agentURL + "/instances/" + w.id
		w.mu.Unlock()
		data, _ := json.Marshal(body)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeatEvery
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		} else {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// taskRecord is what the workers have seen of one task.
type taskRecord struct {
	alive  map[*workerRun]*worker
	starts int
	// failed counts the runs that ended as failed, and done those that ended as done.
	failed, done int
	// failedNoted counts the acknowledged ends as failed.
	failedNoted int
	// doneNoted says that an end as done was acknowledged.
	doneNoted bool
}

// newRun records the start of a run, and checks it against the other runs of the task.
func (g *rig) newRun(w *worker, task string, run uint64, spec string) *workerRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tasks[task]
	if t == nil {
		t = &taskRecord{alive: map[*workerRun]*worker{}}
		g.tasks[task] = t
	}
	job, _, _ := strings.Cut(task, ".")
	j := g.jobs[job]
	if j == nil || j.spec != spec {
		g.brokenf("UNASKED: %s starts task %s that no client sent", w.name, task)
	}
	b := behaviourOf(spec)
	t.starts++
	now := time.Now()
	r := &workerRun{task: task, run: run, begun: now, end: now.Add(b.duration + rand.N(b.duration/4+1)), fails: t.failed < b.failures}
	if j != nil {
		step, _ := strconv.Atoi(strings.Split(task, ".")[2])
		r.cpu = j.steps[min(step, len(j.steps)-1)].CPU
	}
	g.rec.logf("run    %s run %d starts on %s", task, run, w.name)
	for other, on := range t.alive {
		g.brokenf("TWICE: %s run %d starts on %s while run %d has been at work on %s for %.3f s", task, run, w.name, other.run, on.name, time.Since(other.begun).Seconds())
	}
	if t.doneNoted && (j == nil || !j.bestEffort) {
		g.brokenf("TWICE: %s run %d starts on %s after an end as done was acknowledged", task, run, w.name)
	}
	if j != nil && !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > 3*time.Second {
		g.brokenf("UNASKED: %s run %d starts on %s %.3f s after the cancelling was acknowledged", task, run, w.name, now.Sub(j.cancelledAt).Seconds())
	}
	if j != nil {
		g.checkStart(w, t, j, task)
	}
	t.alive[r] = w
	return r
}

// checkStart checks the start of a task against its job. The caller holds g.mu and w.mu.
func (g *rig) checkStart(w *worker, t *taskRecord, j *jobRecord, task string) {
	if !j.bestEffort && t.failedNoted >= g.routes[0].maxAttempts {
		g.brokenf("BUDGET: %s starts again on %s after %d runs that failed", task, w.name, t.failedNoted)
	}
	number, _ := strconv.Atoi(strings.Split(task, ".")[2])
	st := j.steps[number]
	for _, earlier := range st.After {
		for i := range j.steps[earlier].Count {
			if e := g.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, earlier, i)]; e == nil || e.done == 0 {
				g.brokenf("ORDER: %s starts on %s before task %d of step %d is done", task, w.name, i, earlier)
			}
		}
	}
	if st.Requirements != "" && !slices.Contains(w.labels, st.Requirements) {
		g.brokenf("ROUTE: %s starts on %s without label %s", task, w.name, st.Requirements)
	}
	if st.AntiAffinity > 0 {
		n := 1
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, fmt.Sprintf("%s.0.%d.", j.id, number)) {
				n++
			}
		}
		if n > st.AntiAffinity {
			g.brokenf("ROUTE: %d tasks of step %d of %s on %s", n, number, j.id, w.name)
		}
	}
}

// runEnded records the end of a run. The caller holds w.mu.
func (g *rig) runEnded(w *worker, r *workerRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tasks[r.task]
	delete(t.alive, r)
	switch how {
	case "done":
		t.done++
	case "failed":
		t.failed++
	}
	g.rec.logf("run    %s run %d ends %s on %s", r.task, r.run, how, w.name)
}

// endNoted records that an end was acknowledged by lastSeen.
func (g *rig) endNoted(w *worker, e workerEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The rule excepts an end after which the lease lapsed.
	if !w.lapsedAt.After(e.at) {
		switch e.how {
		case "done":
			g.tasks[e.task].doneNoted = true
		case "failed":
			g.tasks[e.task].failedNoted++
		}
	}
	g.rec.logf("noted  %s run %d %s on %s", e.task, e.run, e.how, w.name)
}

// checkRoom checks that the runs on the worker fit into its capacity.
func (g *rig) checkRoom(w *worker) {
	used := 0
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.milliCPU {
		g.mu.Lock()
		g.brokenf("LIMIT: %s runs %d of %d thousandths of a core", w.name, used, w.milliCPU)
		g.mu.Unlock()
	}
}
