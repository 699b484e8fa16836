// Package standin provides a fake upstream for demonstrations and tests. It works
// on each request for the time that the request specifies, can be configured to
// fail or stall, and counts the starts of each task.
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

// Work is the request body that controls how the upstream handles the request.
type Work struct {
	// WorkMS is the work time in milliseconds.
	WorkMS int `json:"work_ms"`
	// Status is the HTTP status of the answer; zero means 200.
	Status int `json:"status"`
	// Echo is returned unchanged in the answer.
	Echo string `json:"echo"`
	// Drop makes the upstream close the connection after the work without an
	// answer.
	Drop bool `json:"drop"`
}

// Answer is the body of a successful answer.
type Answer struct {
	Task string `json:"task"`
	Echo string `json:"echo"`
}

// Mode controls how the upstream handles all requests.
type Mode struct {
	// FailAll makes the upstream answer each request with status 500 immediately.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies each work time; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// StallMS is added to each work time, in milliseconds.
	StallMS int `json:"stall_ms"`
}

// Count holds how often a task started and ended at an upstream.
type Count struct {
	Starts int `json:"starts"`
	Ends   int `json:"ends"`
}

// Upstream is a fake upstream. Its zero value is ready to use.
type Upstream struct {
	mu     sync.Mutex // guards the fields below
	mode   Mode
	counts map[string]Count
	echoes map[string]int
}

// Handler returns the HTTP handler of the upstream: /_counts, /_echoes and /_mode
// are for tests, and every other path is handled as work.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_counts", u.serveCounts)
	mux.HandleFunc("GET /_echoes", u.serveEchoes)
	mux.HandleFunc("PUT /_mode", u.serveMode)
	mux.HandleFunc("/", u.serveWork)
	return mux
}

// Counts returns a copy of the counts by task ID.
func (u *Upstream) Counts() map[string]Count {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]Count, len(u.counts))
	for id, c := range u.counts {
		out[id] = c
	}
	return out
}

// SetMode replaces the mode; it applies from the next request on.
func (u *Upstream) SetMode(m Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
}

func (u *Upstream) serveCounts(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(u.Counts())
}

// Echoes returns the number of starts by echo text. The echo is chosen by the
// caller, so these counts do not depend on the task IDs that the system assigned.
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
	json.Unmarshal(body, &work) // a body that is not valid JSON means no work
	u.countEcho(work.Echo)
	if mode.FailAll {
		http.Error(w, "configured to fail", http.StatusInternalServerError)
		return
	}
	if !sleepUnlessCanceled(r, workDuration(work, mode)) {
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

func workDuration(work Work, mode Mode) time.Duration {
	d := time.Duration(work.WorkMS) * time.Millisecond
	if mode.SlowFactor > 0 {
		d = time.Duration(float64(d) * mode.SlowFactor)
	}
	return d + time.Duration(mode.StallMS)*time.Millisecond
}

// sleepUnlessCanceled waits for d. It returns false if the request is canceled
// first.
func sleepUnlessCanceled(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// count adds c to the counts of a task and returns the current mode.
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
