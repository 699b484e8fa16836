package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playSoak submits jobs of all kinds while processes and workers fail at random, and
// checks all rules that the workers and the clients can see. It is no case.
func playSoak(g *rig, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	rnd := rand.New(rand.NewPCG(seed, 1))
	g.workers[0].labels[0], g.workers[1].labels[0] = "b", "b"
	if err := g.up(plainRoute("r1", "/q1/"), plainRoute("r2", "/q2/")); err != nil {
		return err
	}
	const span = 60 * time.Second
	end := time.Now().Add(span)
	if trouble {
		go g.disturb(rnd, kinds, end)
	}
	pause := 15 * time.Millisecond
	if os.Getenv("BULK") != "" {
		pause = 4 * time.Millisecond
	}
	go g.operate(end)
	var sent sync.WaitGroup
	var jobs []*jobRecord
	for time.Now().Before(end) {
		j := g.randomJob(rand.New(rand.NewPCG(seed, uint64(len(jobs)+7))))
		jobs = append(jobs, j)
		sent.Go(func() {
			status, _ := g.submit(j, 1500*time.Millisecond, 4)
			if status == 200 && !j.bestEffort && rand.IntN(12) == 0 {
				time.Sleep(rand.N(800 * time.Millisecond))
				g.cancel(j)
			}
		})
		time.Sleep(pause)
	}
	sent.Wait()
	g.rec.logf("end of the traffic")
	time.Sleep(20 * time.Second)
	g.judge(jobs)
	return nil
}

func (g *rig) cancel(j *jobRecord) {
	for i := range 5 {
		status, _ := g.ask("DELETE", g.edges[(i+1)%len(g.edges)], j.prefix+j.id, nil, 1500*time.Millisecond)
		if status/100 == 2 || status == 410 {
			g.mu.Lock()
			j.cancelledAt = time.Now()
			g.mu.Unlock()
			return
		}
		g.mu.Lock()
		j.cancelTried = true
		g.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
}

func (g *rig) randomJob(rnd *rand.Rand) *jobRecord {
	b := behaviour{duration: time.Duration(30+rnd.IntN(300)) * time.Millisecond}
	if rnd.IntN(20) == 0 {
		b.duration *= 8
	}
	if rnd.IntN(6) == 0 {
		b.failures = 1 + rnd.IntN(2)
	}
	one := func() step {
		st := step{Count: 1 + rnd.IntN(6), CPU: 1000 + rnd.IntN(6000), MemMB: 64, EstimateMS: int(b.duration.Milliseconds()) * (5 + rnd.IntN(8)) / 10}
		switch rnd.IntN(8) {
		case 0:
			st.Requirements = "b"
		case 1:
			st.AntiAffinity = 1
		case 2:
			st.Affinity = "r1-1"
		}
		return st
	}
	steps := []step{one()}
	for len(steps) < 4 && rnd.IntN(3) == 0 {
		st := one()
		st.After = []int{rnd.IntN(len(steps))}
		steps = append(steps, st)
	}
	if os.Getenv("BULK") != "" {
		b.duration = 30 * time.Millisecond
		b.padding = 3900
		return g.newJob("/q1/", b, false, step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 30})
	}
	prefix := "/q1/"
	if rnd.IntN(2) == 0 {
		prefix = "/q2/"
	}
	return g.newJob(prefix, b, rnd.IntN(2) == 0, steps...)
}

// disturb plays disruptions until end. No more than two control hosts are lost at once.
func (g *rig) disturb(rnd *rand.Rand, kinds []string, end time.Time) {
	var wiped time.Time
	for time.Now().Before(end) {
		time.Sleep(time.Duration(800+rnd.IntN(1500)) * time.Millisecond)
		kind := kinds[rnd.IntN(len(kinds))]
		g.rec.logf("trouble: %s", kind)
		switch kind {
		case "leader":
			if m := g.leader(); m != nil {
				m.killAndRestart(500 * time.Millisecond)
			}
		case "core":
			g.cores[rnd.IntN(len(g.cores))].killAndRestart(500 * time.Millisecond)
		case "cores":
			for _, m := range g.cores {
				m.killAndRestart(500 * time.Millisecond)
			}
		case "dark":
			for _, m := range g.cores {
				m.killAndRestart(5 * time.Second)
			}
			time.Sleep(6 * time.Second)
		case "edge":
			g.edges[rnd.IntN(len(g.edges))].killAndRestart(500 * time.Millisecond)
		case "side":
			g.sides[rnd.IntN(len(g.sides))].killAndRestart(500 * time.Millisecond)
		case "term":
			m := g.machines[rnd.IntN(len(g.machines))]
			m.signal(syscall.SIGTERM)
			select {
			case <-m.waited:
			case <-time.After(6 * time.Second):
				m.kill()
			}
			time.AfterFunc(500*time.Millisecond, func() { _ = m.start() })
		case "freeze":
			m := g.machines[rnd.IntN(len(g.machines))]
			m.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rnd.IntN(3500)) * time.Millisecond)
			m.signal(syscall.SIGCONT)
		case "freezeleader":
			if m := g.leader(); m != nil {
				m.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rnd.IntN(3500)) * time.Millisecond)
				m.signal(syscall.SIGCONT)
			}
		case "wipe":
			if time.Since(wiped) > 8*time.Second {
				wiped = time.Now()
				m := g.cores[rnd.IntN(len(g.cores))]
				m.kill()
				os.RemoveAll(m.dataDir)
				time.AfterFunc(500*time.Millisecond, func() { _ = m.start() })
			}
		case "worker":
			w := g.workers[rnd.IntN(len(g.workers))]
			w.crash()
			time.AfterFunc(time.Duration(500+rnd.IntN(3000))*time.Millisecond, func() { _ = w.start() })
		case "hang", "stuck":
			// All calls to a worker stay unanswered for a while. They are carried out at once
			// if it hangs, and some seconds later if it is stuck.
			w := g.workers[rnd.IntN(len(g.workers))]
			w.mu.Lock()
			if kind == "hang" {
				w.lostShare = 1
			} else {
				w.lateShare = 1
			}
			w.mu.Unlock()
			time.AfterFunc(time.Duration(500+rnd.IntN(4500))*time.Millisecond, func() {
				w.mu.Lock()
				w.lostShare, w.lateShare = 0, 0
				w.mu.Unlock()
			})
		case "off":
			for _, m := range g.cores {
				m.killAndRestart(2500 * time.Millisecond)
			}
		case "late":
			for _, w := range g.workers {
				w.mu.Lock()
				w.lateShare, w.lostShare = 0.03, 0.03
				w.mu.Unlock()
			}
			time.AfterFunc(5*time.Second, func() {
				for _, w := range g.workers {
					w.mu.Lock()
					w.lateShare, w.lostShare = 0, 0
					w.mu.Unlock()
				}
			})
		}
	}
}

// judge checks what the clients were told.
func (g *rig) judge(jobs []*jobRecord) {
	counts := map[string]int{}
	for _, j := range jobs {
		g.mu.Lock()
		started, allDone, mostFailed := false, true, 0
		for s, st := range j.steps {
			for i := range st.Count {
				t := g.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)]
				if t == nil || t.done == 0 {
					allDone = false
				}
				if t != nil {
					started = true
					mostFailed = max(mostFailed, t.failed)
				}
			}
		}
		accepted, rejected := j.accepted, j.rejections == j.attempts && j.attempts > 0
		cancelled := !j.cancelledAt.IsZero() || j.cancelTried
		if rejected && started {
			g.brokenf("REFUSED: job %s was rejected each time, and has started", j.id)
		}
		g.mu.Unlock()
		if !accepted {
			counts["not accepted"]++
			continue
		}
		if j.bestEffort {
			switch {
			case strings.Contains(j.answer, "completed") && !allDone:
				g.report("MIXED: job %s was answered as completed, and is not done", j.id)
			case strings.Contains(j.answer, "failed") && mostFailed < 2:
				g.report("MIXED: job %s was answered as failed, and failed %d times", j.id, mostFailed)
			}
			counts["best effort "+j.answer]++
			continue
		}
		status, state := g.state(j, g.edges[0])
		counts[fmt.Sprintf("stored %d %s cancelled %v", status, state, cancelled)]++
		switch {
		case status != 200:
			g.report("LOST: job %s is answered %d", j.id, status)
		case state == "completed" && !allDone:
			g.report("MIXED: job %s is shown as completed, and is not done", j.id)
		case state == "failed" && mostFailed < 2:
			g.report("LOST: job %s is shown as failed, and failed %d times", j.id, mostFailed)
		case state == "cancelled" && !cancelled:
			g.report("LOST: job %s is shown as cancelled", j.id)
		case state == "queued" || state == "running":
			g.report("LOST: job %s is %s", j.id, state)
		}
	}
	for k, n := range counts {
		g.rec.logf("count %s: %d", k, n)
	}
}

// operate sends a new configuration twice a second, reads the newest one at all control
// hosts, and checks that none that was acknowledged is lost.
func (g *rig) operate(end time.Time) {
	type ack struct {
		version int
		at      time.Time
	}
	var mu sync.Mutex
	var acks []ack
	next := 10
	for time.Now().Before(end) {
		next += 1 + rand.IntN(3)
		version := next
		go func() {
			body := g.configBody(version)
			for time.Now().Before(end) {
				status, text, err := g.control("PUT", g.cores[rand.IntN(len(g.cores))], "/config", body)
				if err == nil && status == 200 {
					mu.Lock()
					acks = append(acks, ack{version, time.Now()})
					mu.Unlock()
					return
				}
				if err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
					g.report("CONFIG: version %d is refused with %d %s", version, status, text)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
		for range 3 {
			m := g.cores[rand.IntN(len(g.cores))]
			mu.Lock()
			newest, fresh := 0, 0
			for _, a := range acks {
				newest = max(newest, a.version)
				if time.Since(a.at) > 2*time.Second {
					fresh = max(fresh, a.version)
				}
			}
			mu.Unlock()
			status, text, err := g.control("GET", m, "/config", nil)
			var body struct{ Version int }
			if err == nil && status == 200 && json.Unmarshal([]byte(text), &body) == nil && body.Version < fresh {
				g.report("CONFIG: %s shows version %d, and %d was acknowledged", m.name, body.Version, fresh)
			}
			if status == 404 {
				g.report("CONFIG: %s shows no configuration", m.name)
			}
			time.Sleep(160 * time.Millisecond)
		}
	}
}
