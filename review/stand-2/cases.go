package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// finish is how long after the end of the traffic jobs are asked for (finish_s), and idle
// for how long a job may have nothing running while its turn has come.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// recovery is how long after the final fault requests have to be served again (recoveryS).
	recovery = 12 * time.Second
)

// deployment describes a deployment of five core, two edge and n side machines with one
// service and one route.
func (s *system) deployment(n, target int) map[string]any {
	var ws []*worker
	for range n {
		ws = append(ws, newWorker("svc", 8000, []string{"a", "r1-0"}))
	}
	s.build(5, 2, ws, nil)
	return configuration(1, []map[string]any{route("q1", "/q1/", "svc", target, 1.6)}, []map[string]any{service("svc")})
}

func job(spec string, steps ...jobStep) *jobSpec {
	return &jobSpec{id: newID(), prefix: "/q1/", service: "svc", body: submission{Spec: spec, Steps: steps}}
}

// accept hands in jobs that have to be accepted for the case to go on.
func (s *system) accept(jobs ...*jobSpec) error {
	for _, j := range jobs {
		if status := s.submit(j, 1500*time.Millisecond); status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted: status %d", j.id, status)
		}
	}
	return nil
}

// lost watches an accepted job from finish after the end of the traffic on. It returns a
// break of LOST if for idle the job has nothing running while a task's turn has come, there
// is room for the task twice over, and under half of the service is in use.
func (s *system) lost(j *jobSpec) []string {
	time.Sleep(finish)
	since := time.Now()
	for time.Since(since) < idle+500*time.Millisecond {
		st := s.state(j)
		s.note("asked for the job", "job", j.id, "state", st, "running", s.running(j), "load", s.loads())
		if st == "completed" || st == "failed" || st == "cancelled" {
			return nil
		}
		if s.running(j) > 0 || !s.hasRoom(j) {
			since = time.Now()
		}
		time.Sleep(250 * time.Millisecond)
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted %.1f s ago, is shown as %s, and has had nothing running for %s with room for it",
		j.id, time.Since(j.accepted).Seconds(), s.state(j), idle)}
}

// running returns how many runs of the job are alive.
func (s *system) running(j *jobSpec) int {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	n := 0
	for step, st := range j.body.Steps {
		for i := range st.Count {
			n += len(s.check.live[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)])
		}
	}
	return n
}

// loads returns the use of each worker in thousandths of a core.
func (s *system) loads() string {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	out := ""
	for _, w := range s.workers {
		out += fmt.Sprintf("%s:%d/%d,", w.name, s.check.load[w.name], w.cpu)
	}
	return out
}

// hasRoom reports whether a task's turn has come for which there is room twice over, and
// under half of the service is in use.
func (s *system) hasRoom(j *jobSpec) bool {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	used, total := 0, 0
	for _, w := range s.workers {
		if w.service == j.service && w.up {
			used += s.check.load[w.name]
			total += w.cpu
		}
	}
	if total == 0 || 2*used >= total {
		return false
	}
	for n, st := range j.body.Steps {
		turn := false
		for i := range st.Count {
			turn = turn || !s.check.done[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)]
		}
		for _, a := range st.After {
			for i := range j.body.Steps[a].Count {
				turn = turn && s.check.done[fmt.Sprintf("%s.0.%d.%d", j.id, a, i)]
			}
		}
		if !turn {
			continue
		}
		free := 0
		for _, w := range s.workers {
			if w.service == j.service && w.up && (st.Requirements == "" || contains(w.labels, st.Requirements)) && w.cpu-s.check.load[w.name] >= st.CPU {
				free += (w.cpu - s.check.load[w.name]) / st.CPU
			}
		}
		if free >= 2 {
			return true
		}
	}
	return false
}

// workerOf returns the index of the worker that runs a task of the job, or -1.
func (s *system) workerOf(j *jobSpec) int {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	for step, st := range j.body.Steps {
		for i := range st.Count {
			for _, name := range s.check.live[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)] {
				for n, w := range s.workers {
					if w.name == name {
						return n
					}
				}
			}
		}
	}
	return -1
}

// suspects: all processes are killed and come back. Two of the jobs that come next can never
// be done; their tasks fill all workers.
func suspects(s *system, trouble bool) ([]string, error) {
	cfg := s.deployment(4, 1000)
	for _, w := range s.workers[2:] {
		w.labels = []string{"b", "r1-0"}
	}
	if err := s.up(cfg); err != nil {
		return nil, err
	}
	servedBefore := s.sound(40)
	if trouble {
		for _, p := range s.procs {
			p.kill()
		}
		for _, p := range s.procs {
			if err := p.restart(); err != nil {
				return nil, err
			}
		}
	}
	back := time.Now()
	time.Sleep(3 * time.Second)
	s.sound(20)
	// The estimates are rough: the tasks take three times as long.
	first := job("dur=1300", jobStep{Count: 8, CPU: 2000, MemMB: 100, EstimateMS: 450, Requirements: "a"})
	second := job("dur=1600", jobStep{Count: 8, CPU: 2000, MemMB: 100, EstimateMS: 550, Requirements: "b"})
	if trouble {
		first.body.Spec += ",poison"
		second.body.Spec += ",poison"
	}
	waiting := job("dur=60", jobStep{Count: 1, CPU: 8000, MemMB: 100, EstimateMS: 60, Requirements: "b"})
	if err := s.accept(first, second, waiting); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(back.Add(recovery)))
	const later = 40
	served := s.sound(later)
	s.note("sound jobs", "served before, of 40", servedBefore, "later than recoveryS, of 40", served)
	var out []string
	if 4*served < later && 4*servedBefore >= 40 {
		out = append(out, fmt.Sprintf("RECOVER: %d of %d sound jobs were served later than recoveryS after the processes were back; before it were %d of 40", served, later, servedBefore))
	}
	return append(out, s.lost(waiting)...), nil
}

// sound hands in n small sound jobs, one after the other, and returns how many were served.
func (s *system) sound(n int) int {
	served := 0
	for range n {
		j := job("dur=60", jobStep{Count: 4, CPU: 1000, MemMB: 100, EstimateMS: 60})
		j.body.BestEffort = true
		if s.submit(j, 1500*time.Millisecond) == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}

// reborn: a worker crashes and starts again under its id while the machine of its agent is
// frozen for a moment.
func reborn(s *system, trouble bool) ([]string, error) {
	if err := s.up(s.deployment(7, 3000)); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			j := job("dur=600", jobStep{Count: 4, CPU: 250, MemMB: 100, EstimateMS: 600})
			wg.Go(func() { s.submit(j, 1500*time.Millisecond) })
		}
	})
	var err error
	for round := range 10 {
		time.Sleep(4 * time.Second)
		if !trouble {
			continue
		}
		w, a := s.workers[round%7], s.agents[round%7]
		a.signal(syscall.SIGSTOP)
		time.Sleep(80 * time.Millisecond)
		w.crash()
		time.Sleep(80 * time.Millisecond)
		if err = w.start(w.id); err != nil {
			break
		}
		time.Sleep(80 * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	return s.check.breaks, err
}

// moved: the configuration sends the queue to another service, and the worker of the first
// one is taken away.
func moved(s *system, trouble bool) ([]string, error) {
	var ws []*worker
	for i := range 7 {
		name := "new"
		if i == 0 {
			name = "old"
		}
		ws = append(ws, newWorker(name, 8000, []string{"a", "r1-0"}))
	}
	s.build(5, 2, ws, nil)
	services := []map[string]any{service("old"), service("new")}
	if err := s.up(configuration(1, []map[string]any{route("q1", "/q1/", "old", 1000, 1.6)}, services)); err != nil {
		return nil, err
	}
	st := jobStep{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 3000}
	next := st
	next.After = []int{0}
	last := st
	last.After = []int{1}
	j := job("dur=3000", st, next, last)
	j.service = "old"
	if err := s.accept(j); err != nil {
		return nil, err
	}
	if trouble {
		if err := s.putConfig(configuration(2, []map[string]any{route("q1", "/q1/", "new", 1000, 1.6)}, services), 4*time.Second); err != nil {
			return nil, err
		}
		j.service = "new"
		time.Sleep(2 * time.Second)
		ws[0].leave()
	}
	return s.lost(j), nil
}

// machines: three side machines, each an agent and its worker, are reset in turn, each while
// it runs the job.
func machines(s *system, trouble bool) ([]string, error) {
	if err := s.up(s.deployment(7, 1000)); err != nil {
		return nil, err
	}
	j := job("dur=8000", jobStep{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 8000})
	if err := s.accept(j); err != nil {
		return nil, err
	}
	for range 3 {
		time.Sleep(time.Second)
		if !trouble {
			continue
		}
		n := s.workerOf(j)
		for i := 0; n < 0; i++ {
			if i == 100 {
				return nil, fmt.Errorf("the job does not run")
			}
			time.Sleep(100 * time.Millisecond)
			n = s.workerOf(j)
		}
		time.Sleep(500 * time.Millisecond)
		w, a := s.workers[n], s.agents[n]
		w.crash()
		a.kill()
		if err := a.restart(); err != nil {
			return nil, err
		}
		time.AfterFunc(200*time.Millisecond, func() { _ = w.start("i-" + newID()[:8]) })
	}
	time.Sleep(2 * time.Second)
	return s.lost(j), nil
}

// cancelled: a client cancels a job whose end it waits for.
func cancelled(s *system, trouble bool) ([]string, error) {
	if err := s.up(s.deployment(3, 8000)); err != nil {
		return nil, err
	}
	j := job("dur=1000")
	for i := range 8 {
		st := jobStep{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 1000}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.body.Steps = append(j.body.Steps, st)
	}
	j.body.BestEffort = true
	var wg sync.WaitGroup
	wg.Go(func() { s.submit(j, 12*time.Second) })
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		s.cancel(j)
	}
	wg.Wait()
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	return s.check.breaks, nil
}

// pending: the workers refuse each start for some seconds; the queue is asked how many of
// its jobs have not begun.
func pending(s *system, trouble bool) ([]string, error) {
	if err := s.up(s.deployment(3, 30000)); err != nil {
		return nil, err
	}
	// The workers are full when the jobs come, so that these are accepted and wait.
	full := job("dur=1500", jobStep{Count: 12, CPU: 2000, MemMB: 100, EstimateMS: 1500})
	if err := s.accept(full); err != nil {
		return nil, err
	}
	var jobs []*jobSpec
	for range 8 {
		jobs = append(jobs, job("dur=60", jobStep{Count: 2, CPU: 300, MemMB: 100, EstimateMS: 60}))
	}
	if err := s.accept(jobs...); err != nil {
		return nil, err
	}
	if trouble {
		s.setMode(func(w *worker) { w.busy = true })
		defer s.setMode(func(w *worker) { w.busy = false })
	}
	time.Sleep(5500 * time.Millisecond)
	waiting := 0
	for _, j := range jobs {
		if s.check.starts(j.id+".0.0.0")+s.check.starts(j.id+".0.0.1") == 0 {
			waiting++
		}
	}
	var out []string
	for _, e := range s.entries {
		status, text, err := s.call(http.MethodGet, "http://"+e.settings["listen.front"]+"/q1/", "a.example", nil, time.Second)
		s.note("asked for the queue", "accepted 5 s ago and not begun", waiting, "status", status, "body", text, "err", err)
		var n int
		if _, err := fmt.Sscanf(text, `{"pending":%d}`, &n); err != nil {
			return nil, fmt.Errorf("no answer for the queue: %s", text)
		}
		if 2*n < waiting {
			out = append(out, fmt.Sprintf("MIXED: pending is %d while %d jobs that were accepted over 5 s before have not begun", n, waiting))
		}
	}
	return out, nil
}

// setMode changes how all workers behave.
func (s *system) setMode(f func(*worker)) {
	for _, w := range s.workers {
		w.mu.Lock()
		f(w)
		w.mu.Unlock()
	}
}
