package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// fuzz overloads a small system with jobs of many shapes, under one kind of disruption: a
// worker lost for good (1), all workers failing for 5 s (2), restarts of core processes (3),
// workers that crash and return (4), agents that are killed (5), or jobs of which half fail (6).
// The variables KIND and TARGET replace the random choices of the kind and of the target
// latency.
func fuzz(s *system, trouble bool) ([]string, error) {
	var ws []*worker
	for i := range 6 {
		labels := []string{"a", fmt.Sprintf("r1-%d", i/2)}
		if i%2 == 1 {
			labels[0] = "b"
		}
		ws = append(ws, newWorker([]string{"svc", "svc", "svc", "svc", "svc", "two"}[i], 8000, labels))
	}
	s.build(5, 2, ws, nil)
	target := []int{60, 500, 3000}[rand.IntN(3)]
	if t, err := strconv.Atoi(os.Getenv("TARGET")); err == nil {
		target = t
	}
	cfg := configuration(1, []map[string]any{route("q1", "/q1/", "svc", target, 1.6), route("q2", "/q2/", "two", target, 1.6), route("q3", "/q3/", "svc", 10*target, 3)}, []map[string]any{service("svc"), service("two")})
	if err := s.up(cfg); err != nil {
		return nil, err
	}
	kind := 0
	if trouble {
		kind = 1 + rand.IntN(6)
		if k, err := strconv.Atoi(os.Getenv("KIND")); err == nil {
			kind = k
		}
	}
	s.note("trouble", "kind", kind, "target", target)
	fmt.Println("kind", kind, "target", target)
	stop := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*jobSpec
	if kind == 1 {
		time.AfterFunc(8*time.Second, func() { s.workers[rand.IntN(6)].crash() })
	}
	if kind == 2 {
		time.AfterFunc(8*time.Second, func() { s.setMode(func(w *worker) { w.grey = true }) })
		time.AfterFunc(13*time.Second, func() { s.setMode(func(w *worker) { w.grey = false }) })
	}
	if kind == 3 {
		time.AfterFunc(8*time.Second, func() { s.hubs[0].kill(); _ = s.hubs[0].restart() })
		time.AfterFunc(14*time.Second, func() {
			for _, h := range s.hubs {
				h.kill()
				_ = h.restart()
			}
		})
	}
	if kind == 4 {
		for k := range 6 {
			time.AfterFunc(time.Duration(5+3*k)*time.Second, func() {
				w := s.workers[rand.IntN(6)]
				w.crash()
				time.Sleep(time.Second)
				_ = w.start("i-" + newID()[:8])
			})
		}
	}
	if kind == 5 {
		for k := range 6 {
			time.AfterFunc(time.Duration(5+3*k)*time.Second, func() {
				a := s.agents[rand.IntN(6)]
				a.kill()
				time.Sleep(300 * time.Millisecond)
				_ = a.restart()
			})
		}
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
		j := &jobSpec{id: newID(), prefix: []string{"/q1/", "/q1/", "/q2/", "/q3/"}[rand.IntN(4)], service: "svc"}
		if j.prefix == "/q2/" {
			j.service = "two"
		}
		dur := []int{30, 60, 200, 900, 3000, 8000}[rand.IntN(6)]
		est := dur * []int{3, 10, 10, 10, 30}[rand.IntN(5)] / 10
		j.body.Spec = fmt.Sprintf("dur=%d", dur)
		if rand.IntN(8) == 0 || kind == 6 && rand.IntN(2) == 0 {
			j.body.Spec += ",fail=9"
		}
		for i := range 1 + rand.IntN(3) {
			st := jobStep{Count: 1 + rand.IntN(5), CPU: 200 + rand.IntN(3500), MemMB: 100, EstimateMS: est}
			if i > 0 && rand.IntN(3) > 0 {
				st.After = []int{i - 1}
			}
			if rand.IntN(4) == 0 {
				st.AntiAffinity = 1
			}
			if rand.IntN(4) == 0 && j.prefix != "/q2/" {
				st.Requirements = "b"
			}
			j.body.Steps = append(j.body.Steps, st)
		}
		j.body.BestEffort = rand.IntN(3) == 0
		wg.Go(func() {
			if s.submit(j, 2*time.Second) == http.StatusOK && !j.body.BestEffort {
				mu.Lock()
				all = append(all, j)
				mu.Unlock()
			}
		})
	}
	time.Sleep(finish)
	var out []string
	quiet := map[string]time.Time{}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, j := range all {
			st := s.state(j)
			if st == "completed" || st == "failed" {
				continue
			}
			open++
			if s.running(j) > 0 || !s.hasRoom(j) {
				quiet[j.id] = time.Now()
				continue
			}
			if quiet[j.id].IsZero() {
				quiet[j.id] = time.Now()
			}
			if time.Since(quiet[j.id]) > idle {
				out = append(out, fmt.Sprintf("LOST: job %s state %s prefix %s steps %v spec %s loads %s", j.id, st, j.prefix, j.body.Steps, j.body.Spec, s.loads()))
				quiet[j.id] = time.Now().Add(time.Hour)
			}
		}
		s.note("open jobs", "n", open)
	}
	fmt.Println("accepted", len(all))
	return append(out, s.check.breaks...), nil
}

// leaderless plays what issue 26 tells of: the whole core is off for 2.5 s while a worker
// leaves all calls unanswered.
func leaderless(s *system, trouble bool) ([]string, error) {
	if err := s.up(s.deployment(7, 60)); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			st := []jobStep{{Count: 8, CPU: 300, MemMB: 10, EstimateMS: 60}, {Count: 4, CPU: 300, MemMB: 10, EstimateMS: 900}, {Count: 2, CPU: 300, MemMB: 10, EstimateMS: 200}}[rand.IntN(3)]
			j := job(fmt.Sprintf("dur=%d", st.EstimateMS), st)
			j.body.BestEffort = true
			wg.Go(func() { s.submit(j, 4*time.Second) })
		}
	})
	for round := range 9 {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		w := s.workers[round%7]
		hang := func(on bool) {
			w.mu.Lock()
			w.hung = on
			w.mu.Unlock()
		}
		hang(true)
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		for _, h := range s.hubs {
			h.kill()
		}
		time.Sleep(2500 * time.Millisecond)
		for _, h := range s.hubs {
			_ = h.restart()
		}
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		hang(false)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	return s.check.breaks, nil
}
