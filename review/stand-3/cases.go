package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// playedCase is a case of the review.
type playedCase struct {
	// rule is the rule that the case is about.
	rule string
	size size
	play func(g *rig, trouble bool) error
}

var cases = map[string]playedCase{
	"second-run": {"TWICE", smallSize, playSecondRun},
	"isolated":   {"LOST", size{cores: 5, edges: 3, sides: 15}, playIsolated},
	"cancelled":  {"UNASKED", smallSize, playCancelled},
	"soak":       {"ANY", smallSize, playSoak},
}

// up starts the workers, sends the configuration and waits until jobs are served.
func (g *rig) up(routes ...route) error {
	g.routes = routes
	if err := g.startWorkers(); err != nil {
		return err
	}
	if err := g.putConfig(20 * time.Second); err != nil {
		return err
	}
	return g.awaitReady(20 * time.Second)
}

func plainRoute(name, prefix string) route {
	return route{name: name, prefix: prefix, priority: 0, maxAttempts: 2, slack: 1.6, targetMS: 60, timeoutMS: 1500}
}

// playSecondRun submits jobs that need not be stored, whose data is on one rack. They take
// longer than their callers wait, who then send them again. Meanwhile the leader is killed
// nine times, and each time the agent of one worker freezes for a second. No task may have
// two runs at the same time.
func playSecondRun(g *rig, trouble bool) error {
	if err := g.up(plainRoute("r1", "/q1/")); err != nil {
		return err
	}
	const every, span = 80 * time.Millisecond, 50 * time.Second
	var sent sync.WaitGroup
	end := time.Now().Add(span)
	if trouble {
		sent.Go(func() { g.killLeadersAndFreeze(9, 4500*time.Millisecond) })
	}
	for time.Now().Before(end) {
		j := g.newJob("/q1/", behaviour{duration: 3600 * time.Millisecond}, true,
			step{Count: 2, CPU: 2000, MemMB: 64, EstimateMS: 900, Affinity: "r1-1"})
		sent.Go(func() { g.submit(j, 1500*time.Millisecond, 4) })
		time.Sleep(every)
	}
	sent.Wait()
	return nil
}

// killLeadersAndFreeze kills the leading control process, which is started again after half
// a second, the given number of times. FREEZE=0 leaves the freezes out.
func (g *rig) killLeadersAndFreeze(count int, every time.Duration) {
	for range count {
		time.Sleep(every + rand.N(500*time.Millisecond))
		if m := g.leader(); m != nil {
			g.rec.logf("trouble: the leader %s is killed", m.name)
			m.killAndRestart(500 * time.Millisecond)
		}
		if os.Getenv("FREEZE") != "0" {
			time.Sleep(200 * time.Millisecond)
			g.sides[0].signal(syscall.SIGSTOP)
			time.AfterFunc(time.Second, func() { g.sides[0].signal(syscall.SIGCONT) })
		}
	}
}

// playCancelled submits a job of three steps whose caller waits for its end, and cancels it.
// Nothing of it may start later than cancel_ms after the acknowledgement.
func playCancelled(g *rig, trouble bool) error {
	if err := g.up(plainRoute("r1", "/q1/")); err != nil {
		return err
	}
	for range 3 {
		j := g.newJob("/q1/", behaviour{duration: 2500 * time.Millisecond}, true,
			step{Count: 2, CPU: 6200, MemMB: 64, EstimateMS: 2500},
			step{Count: 2, CPU: 6200, MemMB: 64, EstimateMS: 2500, After: []int{0}},
			step{Count: 2, CPU: 6200, MemMB: 64, EstimateMS: 2500, After: []int{1}})
		var sent sync.WaitGroup
		sent.Go(func() { g.submit(j, 12*time.Second, 1) })
		time.Sleep(500 * time.Millisecond)
		if trouble {
			status, _ := g.ask("DELETE", g.edges[1], j.prefix+j.id, nil, 1500*time.Millisecond)
			if status/100 == 2 || status == 410 {
				g.mu.Lock()
				j.cancelledAt = time.Now()
				g.mu.Unlock()
			}
		}
		sent.Wait()
	}
	return nil
}

// playIsolated submits stored jobs of one long task each, which take about a tenth of the
// capacity. Two workers are lost for good, one after the other; the second one runs a task
// that was on the first. No accepted job may then wait without a run, 14 s (finish_s) after
// the end of the traffic.
func playIsolated(g *rig, trouble bool) error {
	if err := g.up(plainRoute("r1", "/q1/")); err != nil {
		return err
	}
	const finish = 14 * time.Second
	var sent sync.WaitGroup
	var jobs []*jobRecord
	for range 150 {
		j := g.newJob("/q1/", behaviour{duration: time.Minute}, false, step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 60000})
		jobs = append(jobs, j)
		sent.Go(func() { g.submit(j, 1500*time.Millisecond, 3) })
		time.Sleep(20 * time.Millisecond)
	}
	sent.Wait()
	jobs = slices.DeleteFunc(jobs, func(j *jobRecord) bool { return !j.accepted })
	if len(jobs) < 100 {
		return fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		first := g.workers[0]
		lost := g.running(jobs, first)
		g.rec.logf("trouble: %s is lost for good, with %d tasks", first.name, len(lost))
		first.crash()
		time.Sleep(4 * time.Second)
		second := slices.MaxFunc(g.workers[1:], func(a, b *worker) int { return len(g.running(lost, a)) - len(g.running(lost, b)) })
		g.rec.logf("trouble: %s is lost for good, with %d of these tasks", second.name, len(g.running(lost, second)))
		second.crash()
	}
	g.rec.logf("end of the traffic; %d jobs were accepted", len(jobs))
	time.Sleep(finish)
	before := g.running(jobs, nil)
	time.Sleep(3100 * time.Millisecond)
	waiting := g.running(jobs, nil)
	g.rec.logf("%d jobs have nothing running", len(waiting))
	for _, j := range waiting {
		status, state := g.state(j, g.edges[0])
		if slices.Contains(before, j) && state != "completed" && state != "failed" {
			g.report("LOST: job %s was accepted, is answered %d %s 17 s after the end of the traffic, and has nothing running; a tenth of the capacity is in use", j.id, status, state)
		}
	}
	return nil
}

// running returns the jobs whose only task runs on the worker, or nowhere if it is nil.
func (g *rig) running(jobs []*jobRecord, on *worker) []*jobRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*jobRecord
	for _, j := range jobs {
		workers := []*worker{}
		if t := g.tasks[j.id+".0.0.0"]; t != nil {
			workers = slices.Collect(maps.Values(t.alive))
		}
		if on == nil && len(workers) == 0 || slices.Contains(workers, on) {
			out = append(out, j)
		}
	}
	return out
}
