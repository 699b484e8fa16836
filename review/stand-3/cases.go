package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
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
	"failed-twice": {"LOST", smallSize, playFailedTwice},
	"second-run":   {"TWICE", smallSize, playSecondRun},
	"cancelled":    {"UNASKED", smallSize, playCancelled},
	"halted":       {"LOST", smallSize, playHalted},
	"uncounted":    {"MIXED", smallSize, playUncounted},
	"soak":         {"ANY", smallSize, playSoak},
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

// killLeaders kills the leading control process, which is started again after half a
// second, the given number of times.
func (g *rig) killLeaders(count int, every time.Duration) {
	for range count {
		time.Sleep(every + rand.N(every/4))
		if m := g.leader(); m != nil {
			g.rec.logf("trouble: the leader %s is killed", m.name)
			m.killAndRestart(500 * time.Millisecond)
		}
	}
}

// playFailedTwice submits stored jobs. A quarter of them have tasks whose first run fails
// and whose second run is done, with two attempts allowed. The leader is killed meanwhile.
// No job may be shown as failed.
func playFailedTwice(g *rig, trouble bool) error {
	if err := g.up(plainRoute("r1", "/q1/")); err != nil {
		return err
	}
	const every, span = 10 * time.Millisecond, 75 * time.Second
	var sent sync.WaitGroup
	var mu sync.Mutex
	var accepted []*jobRecord
	end := time.Now().Add(span)
	if trouble {
		go g.killLeaders(28, 2400*time.Millisecond)
	}
	for i := 0; time.Now().Before(end); i++ {
		b := behaviour{duration: 40*time.Millisecond + rand.N(120*time.Millisecond)}
		if i%4 == 0 {
			b.failures = 1
		}
		j := g.newJob("/q1/", b, false, step{Count: 24, CPU: 500, MemMB: 64, EstimateMS: 100})
		sent.Go(func() {
			if status, _ := g.submit(j, 1500*time.Millisecond, 4); status == 200 {
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	sent.Wait()
	g.rec.logf("%d jobs were accepted", len(accepted))
	fmt.Println(len(accepted), "jobs were accepted")
	if len(accepted) < 100 {
		return fmt.Errorf("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(3 * time.Second)
	for _, j := range accepted {
		status, state := g.state(j, g.edges[0])
		if status != 200 || state != "failed" {
			continue
		}
		if most := g.mostFailures(j); most < 2 {
			g.report("LOST: job %s is shown as failed, and no task of it has failed more than %d time(s) of 2", j.id, most)
		}
	}
	return nil
}

// mostFailures returns how often the task of the job has failed that failed most often.
func (g *rig) mostFailures(j *jobRecord) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for s, st := range j.steps {
		for i := range st.Count {
			if t := g.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)]; t != nil {
				most = max(most, t.failed)
			}
		}
	}
	return most
}

// playSecondRun submits jobs that need not be stored, whose data is on one rack. Some take
// longer than their callers wait, who then send them again. The leader is killed
// meanwhile. No task may have two runs at the same time.
func playSecondRun(g *rig, trouble bool) error {
	if err := g.up(plainRoute("r1", "/q1/")); err != nil {
		return err
	}
	const every, span = 80 * time.Millisecond, 50 * time.Second
	var sent sync.WaitGroup
	end := time.Now().Add(span)
	if trouble {
		go g.killLeaders(10, 4*time.Second)
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

// checkWaiting checks the rule on jobs that are asked for finish_s (14 s) after the end of
// the traffic: none may have nothing running for 3 s while there is room for it twice over
// and less than half of the workers' capacity is in use.
func (g *rig) checkWaiting(accepted []*jobRecord) {
	time.Sleep(14 * time.Second)
	waiting := g.notBegun(accepted)
	time.Sleep(3100 * time.Millisecond)
	for _, j := range g.notBegun(accepted) {
		if !slices.Contains(waiting, j) {
			continue
		}
		status, state := g.state(j, g.edges[0])
		if status == 200 && state != "completed" && state != "failed" {
			g.report("LOST: job %s was accepted and is %s 17 s after the end of the traffic; none of its tasks has started, and the workers are idle", j.id, state)
		}
	}
}

// notBegun returns the jobs of which no task has started.
func (g *rig) notBegun(jobs []*jobRecord) []*jobRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*jobRecord
	for _, j := range jobs {
		begun := false
		for s, st := range j.steps {
			for i := range st.Count {
				begun = begun || g.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)] != nil
			}
		}
		if !begun {
			out = append(out, j)
		}
	}
	return out
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

// playHalted submits jobs whose second step needs the only worker with a certain label. That
// worker is lost for good while the first steps run. Jobs that any other worker could run
// are then sent one after the other to a deployment that has nothing else to do.
func playHalted(g *rig, trouble bool) error {
	special := g.workers[len(g.workers)-1]
	special.labels[0] = "b"
	if err := g.up(plainRoute("r1", "/q1/"), plainRoute("r2", "/q2/")); err != nil {
		return err
	}
	var sent sync.WaitGroup
	for range 14 {
		j := g.newJob("/q1/", behaviour{duration: 1500 * time.Millisecond}, false,
			step{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 1500},
			step{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 1500, After: []int{0}, Requirements: "b"})
		sent.Go(func() { g.submit(j, 1500*time.Millisecond, 3) })
	}
	sent.Wait()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		g.rec.logf("trouble: %s is lost for good", special.name)
		special.crash()
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var accepted []*jobRecord
	for range 20 {
		j := g.newJob("/q2/", behaviour{duration: 200 * time.Millisecond}, false, step{Count: 2, CPU: 6200, MemMB: 64, EstimateMS: 200})
		sent.Go(func() {
			if status, _ := g.submit(j, 1500*time.Millisecond, 3); status == 200 {
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	sent.Wait()
	g.rec.logf("end of the traffic; %d jobs were accepted after the loss", len(accepted))
	fmt.Println(len(accepted), "jobs were accepted after the loss")
	g.checkWaiting(accepted)
	return nil
}

// playUncounted submits stored jobs that need the only worker with a certain label, which
// rejects all starts for some seconds. The jobs have to be counted as pending.
func playUncounted(g *rig, trouble bool) error {
	special := g.workers[len(g.workers)-1]
	special.labels[0] = "b"
	if err := g.up(plainRoute("r1", "/q1/"), plainRoute("r2", "/q2/")); err != nil {
		return err
	}
	special.mu.Lock()
	special.busy = trouble
	special.mu.Unlock()
	var sent sync.WaitGroup
	var jobs []*jobRecord
	for range 8 {
		j := g.newJob("/q2/", behaviour{duration: 300 * time.Millisecond}, false, step{Count: 1, CPU: 6200, MemMB: 64, EstimateMS: 300, Requirements: "b"})
		jobs = append(jobs, j)
		sent.Go(func() { g.submit(j, 1500*time.Millisecond, 3) })
	}
	sent.Wait()
	jobs = slices.DeleteFunc(jobs, func(j *jobRecord) bool { return !j.accepted })
	if len(jobs) < 4 {
		return fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	time.Sleep(5200 * time.Millisecond)
	before := g.notBegun(jobs)
	status, text := g.ask("GET", g.edges[0], "/q2/", nil, 1500*time.Millisecond)
	var body struct{ Pending int }
	_ = json.Unmarshal([]byte(text), &body)
	waiting := 0
	for _, j := range g.notBegun(jobs) {
		if slices.Contains(before, j) {
			waiting++
		}
	}
	g.rec.logf("%d jobs have not begun", waiting)
	if status == 200 && 2*body.Pending < waiting {
		g.report("MIXED: %d are given as pending, and %d jobs have waited for over 5 s without a start", body.Pending, waiting)
	}
	for _, j := range jobs {
		g.state(j, g.edges[0])
	}
	return nil
}
