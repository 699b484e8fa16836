package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func chaosTroublers(trouble bool) int {
	if trouble {
		return 3
	}
	return 0
}

// chaos submits random jobs under random disruptions.
func chaos(s *system, trouble bool) ([]string, error) {
	var ws []*worker
	for i := range 6 {
		labels := []string{"a", fmt.Sprintf("r1-%d", i/2)}
		if i%2 == 1 {
			labels[0] = "b"
		}
		ws = append(ws, newWorker("svc", 8000, labels))
	}
	s.build(5, 2, ws, nil)
	cfg := configuration(1, []map[string]any{route("q1", "/q1/", "svc", 3000, 20)}, []map[string]any{service("svc")})
	if err := s.up(cfg); err != nil {
		return nil, err
	}
	stop := time.Now().Add(50 * time.Second)
	var wg sync.WaitGroup
	for range chaosTroublers(trouble) {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
				n := rand.IntN(14)
				if n == 11 {
					n = 13 * rand.IntN(2)
				}
				s.note("trouble", "n", n)
				switch n {
				case 0, 1:
					h := s.hubs[rand.IntN(5)]
					h.kill()
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					_ = h.restart()
				case 2:
					h := s.hubs[rand.IntN(5)]
					h.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					h.signal(syscall.SIGCONT)
				case 3:
					a := s.agents[rand.IntN(len(s.agents))]
					a.kill()
					time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
					_ = a.restart()
				case 4:
					a := s.agents[rand.IntN(len(s.agents))]
					a.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					a.signal(syscall.SIGCONT)
				case 5:
					e := s.entries[rand.IntN(2)]
					e.kill()
					time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
					_ = e.restart()
				case 6:
					w := s.workers[rand.IntN(len(s.workers))]
					w.crash()
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					id := w.id
					if rand.IntN(2) == 0 {
						id = "i-" + newID()[:8]
					}
					_ = w.start(id)
				case 7:
					w := s.workers[rand.IntN(len(s.workers))]
					w.mu.Lock()
					w.lateShare = 0.3
					w.mu.Unlock()
					time.Sleep(2 * time.Second)
					w.mu.Lock()
					w.lateShare = 0
					w.mu.Unlock()
				case 9:
					// The entries and a hub at once.
					h := s.hubs[rand.IntN(5)]
					e := s.entries[rand.IntN(2)]
					h.kill()
					e.kill()
					time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
					_ = e.restart()
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
					_ = h.restart()
				case 10:
					e := s.entries[rand.IntN(2)]
					e.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					e.signal(syscall.SIGCONT)
				case 11:
					// An agent is stopped while its worker crashes and returns.
					i := rand.IntN(len(s.workers))
					a, w := s.agents[i], s.workers[i]
					a.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
					w.crash()
					_ = w.start(w.id)
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					a.signal(syscall.SIGCONT)
				case 12:
					s.wipes.Lock()
					h := s.hubs[rand.IntN(5)]
					h.kill()
					h.wipe()
					_ = os.MkdirAll(h.settings["dataDir"], 0o700)
					time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
					_ = h.restart()
					time.Sleep(6 * time.Second)
					s.wipes.Unlock()
				case 13:
					i := rand.IntN(len(s.workers))
					a, w := s.agents[i], s.workers[i]
					a.kill()
					w.crash()
					_ = a.restart()
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					_ = w.start("i-" + newID()[:8])
				case 8:
					for _, h := range s.hubs {
						h.kill()
					}
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					for _, h := range s.hubs {
						_ = h.restart()
					}
				}
			}
		})
	}
	var mu sync.Mutex
	var all []*jobSpec
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
		j := &jobSpec{id: newID(), prefix: "/q1/"}
		dur := []int{30, 60, 200, 900, 3000}[rand.IntN(5)]
		j.body.Spec = fmt.Sprintf("dur=%d", dur)
		j.body.BestEffort = rand.IntN(3) == 0
		if rand.IntN(6) == 0 {
			j.body.Spec += ",fail=1"
		}
		steps := 1 + rand.IntN(3)
		for i := range steps {
			st := jobStep{Count: 1 + rand.IntN(5), CPU: 200 + rand.IntN(1500), MemMB: 100, EstimateMS: dur}
			if i > 0 {
				st.After = []int{i - 1}
			}
			if rand.IntN(4) == 0 {
				st.AntiAffinity = 1
			}
			if rand.IntN(4) == 0 {
				st.Requirements = "b"
			}
			j.body.Steps = append(j.body.Steps, st)
		}
		wg.Go(func() {
			if s.submit(j, 4*time.Second) < 300 && !j.body.BestEffort {
				mu.Lock()
				all = append(all, j)
				mu.Unlock()
				if rand.IntN(8) == 0 {
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
					s.cancel(j)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(14 * time.Second)
	s.check.mu.Lock()
	for _, j := range s.check.jobs {
		for n, st := range j.body.Steps {
			for i := range st.Count {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, n, i)
				if j.accepted.IsZero() && j.unclear == 0 && s.check.count[task] > 0 {
					s.check.fail("REFUSED", "task %s was started, and all attempts were rejected", task)
				}
			}
		}
	}
	s.check.mu.Unlock()
	s.note("asking for jobs", "accepted", len(all))
	for _, j := range all {
		st := s.state(j)
		if st == "completed" || !j.cancelled.IsZero() && st == "cancelled" || st == "failed" && s.mayBeGivenUp(j) {
			continue
		}
		s.check.mu.Lock()
		s.check.fail("LOST", "job %s is %s, spec %s, steps %v", j.id, st, j.body.Spec, j.body.Steps)
		s.check.mu.Unlock()
	}
	fmt.Println("accepted", len(all))
	return s.check.breaks, nil
}

// mayBeGivenUp reports whether two workers have crashed under a task of the job.
func (s *system) mayBeGivenUp(j *jobSpec) bool {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	for n, st := range j.body.Steps {
		for i := range st.Count {
			if s.check.crashes[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)] >= 2 {
				return true
			}
		}
	}
	return false
}
