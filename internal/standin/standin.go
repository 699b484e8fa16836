// Package standin is a small upstream for demonstrations and tests: it works
// for the time that a request asks for, can be told to fail or stall, and
// counts the starts of each task.
package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/forward"
)

// Work is the part of a request's body that the stand-in obeys.
type Work struct {
	// WorkMS is how long to work, in milliseconds.
	WorkMS int `json:"work_ms"`
	// Status is the answer's status; zero means 200.
	Status int `json:"status"`
	// Echo is answered as it came.
	Echo string `json:"echo"`
	// Drop closes the connection without an answer after the work.
	Drop bool `json:"drop"`
}

// Answer is the body of the stand-in's answer.
type Answer struct {
	Task string `json:"task"`
	Echo string `json:"echo"`
}

// Mode is how the whole stand-in behaves.
type Mode struct {
	// FailAll answers each request with 500 at once.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies each work time; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// StallMS is added to each work time, in milliseconds.
	StallMS int `json:"stall_ms"`
}

// Count is how often one task started and ended here.
type Count struct {
	Starts int `json:"starts"`
	Ends   int `json:"ends"`
}

// Upstream is a stand-in. Its zero value is ready.
type Upstream struct {
	mu     sync.Mutex // guards all below
	mode   Mode
	counts map[string]Count
	echoes map[string]int
}

// Handler returns the stand-in's interface: /_counts, /_echoes and /_mode are
// for the test, all else is work.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_counts", u.serveCounts)
	mux.HandleFunc("GET /_echoes", u.serveEchoes)
	mux.HandleFunc("PUT /_mode", u.serveMode)
	mux.HandleFunc("/", u.serveWork)
	return mux
}

// Counts returns the counts by task ID.
func (u *Upstream) Counts() map[string]Count {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]Count, len(u.counts))
	for id, c := range u.counts {
		out[id] = c
	}
	return out
}

// SetMode changes how the stand-in behaves from the next request on.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(u.Counts())
}

// Echoes returns the number of starts by what they asked to echo. It counts
// submissions independently of the task IDs that the system gave them.
func (u *Upstream) Echoes() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.echoes)
}

func (u *Upstream) countEcho(echo string) {
	if echo == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.echoes == nil {
		u.echoes = make(map[string]int)
	}
	u.echoes[echo]++
}

func (u *Upstream) serveEchoes(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(u.Echoes())
}

func (u *Upstream) serveMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetMode(m)
}

func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(forward.HeaderTaskID)
	mode := u.count(id, Count{Starts: 1})
	defer u.count(id, Count{Ends: 1})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var work Work
	json.Unmarshal(body, &work) // a body that asks for nothing gets no work
	u.countEcho(work.Echo)
	if mode.FailAll {
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	if !sleep(r, duration(work, mode)) {
		return
	}
	if work.Drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if work.Status != 0 {
		w.WriteHeader(work.Status)
	}
	json.NewEncoder(w).Encode(Answer{Task: id, Echo: work.Echo})
}

func duration(work Work, mode Mode) time.Duration {
	d := time.Duration(work.WorkMS) * time.Millisecond
	if mode.SlowFactor > 0 {
		d = time.Duration(float64(d) * mode.SlowFactor)
	}
	return d + time.Duration(mode.StallMS)*time.Millisecond
}

// sleep reports false when the caller left first.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) count(id string, c Count) Mode {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[string]Count)
	}
	have := u.counts[id]
	u.counts[id] = Count{Starts: have.Starts + c.Starts, Ends: have.Ends + c.Ends}
	return u.mode
}
