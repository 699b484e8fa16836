package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"disks":   {options{edges: 2, sides: 8, behave: bySpec}, playDisks},
		"foreign": {options{edges: 2, sides: 4, behave: bySpec}, playForeign},
		"spread":  {options{edges: 2, sides: 8, behave: bySpec}, playSpread},
		"failed":  {options{edges: 2, sides: 8, behave: failsFirst(), delay: ackDelay}, playFailed},
		"late":    {options{edges: 2, sides: 8, behave: bySpec, late: lateOrders}, playLate},
		// A finding of the report without a folder of its own.
		"isolate": {options{edges: 2, sides: 8, behave: bySpec}, playIsolate},
	}
}

// bySpec runs a task for the milliseconds at the start of its spec.
func bySpec(_ string, _ uint64, spec string) (time.Duration, string) {
	ms, err := strconv.Atoi(strings.Fields(spec)[0])
	if err != nil {
		return 0, "failed"
	}
	return time.Duration(ms) * time.Millisecond, "done"
}

// longSpec returns a spec of 4,000 bytes, the most that the protocol allows.
func longSpec(ms int) string {
	s := strconv.Itoa(ms) + " "
	return s + strings.Repeat("x", 4000-len(s))
}

// playDisks: many long jobs are in the system, and machines of the core lose their disks,
// one after the other, each after the one before is back and has had its time.
func playDisks(c *cluster, trouble bool) (bool, error) {
	const jobs = 6800
	ids, err := c.submitAll(jobs, 2500*time.Microsecond, longSpec(115_000), []step{{Count: 1, CPU: 20, MemMB: 4, EstimateMS: 115_000}})
	if err != nil {
		return false, err
	}
	for i, m := range c.cores[:3] {
		if i > 0 {
			time.Sleep(2 * catchUp)
		}
		if trouble {
			m.kill()
			if err := os.RemoveAll(m.dataDir); err != nil {
				return false, err
			}
			c.rec.say("%s lost power and its disk", m.name)
			time.Sleep(3 * time.Second)
			if err := c.startProcess(m, false); err != nil {
				return false, err
			}
			c.rec.say("%s is back with an empty disk", m.name)
		}
	}
	time.Sleep(finish)
	for _, m := range c.cores {
		c.rec.say("%s: peak memory %s", m.name, m.peakMemory())
	}
	c.rec.say("GET /config -> %d", c.readConfig())
	unanswered, asked := 0, 0
	for i := 0; i < len(ids); i += len(ids) / 3 {
		asked++
		if status, state := c.state(ids[i]); state == "" {
			unanswered++
			c.rec.say("job %s: asked for it: %d", ids[i], status)
		}
	}
	c.rec.say("%d of %d accepted jobs that were asked for are not known or got no answer", unanswered, asked)
	return unanswered > 0, nil
}

// playForeign: each agent gets one heartbeat from another writer, which names a service
// that no configuration has.
func playForeign(c *cluster, trouble bool) (bool, error) {
	ids, err := c.submitAll(12, 50*time.Millisecond, "4000", []step{{Count: 4, CPU: 500, MemMB: 64, EstimateMS: 4000}})
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for i, w := range c.workers {
			body := w.announcement()
			body["service"], body["address"] = "other-writers-service", fmt.Sprintf("%s%d:%d", c.prefix, 221+i, c.ports["app"])
			body["seq"], body["born"] = 1, time.Now().UnixMilli()
			id := fmt.Sprintf("x-other-%d", i+1)
			status, err := put(context.Background(), c.operator, "http://"+w.control+"/instances/"+id, body)
			c.rec.say("heartbeat of another writer, %s, at %s -> %d %v", id, w.control, status, err)
		}
	}
	time.Sleep(finish)
	return c.unserved(ids) > 0, nil
}

// playSpread: jobs that spread their tasks over all workers, one on each, lose one worker
// for good. Other jobs come when these have run for a while.
func playSpread(c *cluster, trouble bool) (bool, error) {
	if _, err := c.submitAll(14, 40*time.Millisecond, "60000", []step{{Count: 8, CPU: 500, MemMB: 64, EstimateMS: 60000, AntiAffinity: 1}}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		c.workers[7].crash()
	}
	time.Sleep(27 * time.Second)
	plain, err := c.submitAll(20, 100*time.Millisecond, "200", []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 200}})
	if err != nil {
		return false, err
	}
	time.Sleep(finish)
	return c.unserved(plain) > 0, nil
}

// failsFirst returns a behaviour in which the first runs of the first two tasks of a job
// fail by the tasks' own fault, and all other runs succeed.
func failsFirst() func(string, uint64, string) (time.Duration, string) {
	var mu sync.Mutex
	began := map[string]bool{}
	return func(task string, _ uint64, spec string) (time.Duration, string) {
		mu.Lock()
		defer mu.Unlock()
		first := !began[task]
		began[task] = true
		took, how := bySpec("", 0, spec)
		if first && (strings.HasSuffix(task, ".0.0") || strings.HasSuffix(task, ".0.1")) {
			how = "failed"
		}
		return took, how
	}
}

// ackDelay stands for what this machine lacks beside the site: a disk of 9 ms a sync, and
// 0.9 ms from the leader to another core machine, back, and to an agent.
const ackDelay = 12 * time.Millisecond

// playFailed: short jobs come of which some tasks fail once, with two attempts allowed. The
// process that leads is killed, eight times, each after the one before is back and has had its time.
func playFailed(c *cluster, trouble bool) (bool, error) {
	const kills, between = 8, 4500 * time.Millisecond
	const every = 8 * time.Millisecond
	var ids []string
	var submitted error
	var wg sync.WaitGroup
	wg.Go(func() {
		ids, submitted = c.submitAll(int((kills+1)*between/every), every, "100", []step{{Count: 4, CPU: 500, MemMB: 64, EstimateMS: 100}})
	})
	for range kills {
		time.Sleep(between - restartIn)
		if !trouble {
			continue
		}
		m, err := c.leader()
		if err != nil {
			return false, err
		}
		m.kill()
		c.rec.say("%s, which led, was killed", m.name)
		time.Sleep(restartIn)
		if err := c.startProcess(m, false); err != nil {
			return false, err
		}
	}
	wg.Wait()
	if submitted != nil {
		return false, submitted
	}
	time.Sleep(finish)
	wrong := 0
	states := map[string]int{}
	for _, id := range ids {
		_, state := c.state(id)
		states[state]++
		if most := c.mostFailures(id); state == "failed" && most < maxAttempts {
			wrong++
			c.rec.say("job %s is shown as failed, and no task of it has ended failed more than %d time", id, most)
		}
	}
	c.rec.say("states of the jobs: %v", states)
	return wrong > 0, nil
}

// The limits of the disruption applied_late in the site file.
const (
	lateShare = 0.055
	lateFor   = 5500 * time.Millisecond
)

// lateUntil is the time, in Unix nanoseconds, until which workers leave orders unanswered.
var lateUntil atomic.Int64

func lateOrders() bool {
	return time.Now().UnixNano() < lateUntil.Load() && rand.Float64() < lateShare
}

// playLate: workers leave a few orders unanswered and carry them out late, while long jobs
// come.
func playLate(c *cluster, trouble bool) (bool, error) {
	if trouble {
		lateUntil.Store(time.Now().Add(lateFor).UnixNano())
		c.rec.say("workers leave %v of the orders unanswered for %v", lateShare, lateFor)
	}
	ids, err := c.submitAll(1100, 5*time.Millisecond, "45000", []step{{Count: 1, CPU: 100, MemMB: 16, EstimateMS: 45000}})
	if err != nil {
		return false, err
	}
	time.Sleep(finish)
	return c.unserved(ids) > 0, nil
}

// playIsolate: long jobs run on all workers, and two workers are lost for good, one after
// the other. The second one runs tasks that were on the first one.
func playIsolate(c *cluster, trouble bool) (bool, error) {
	ids, err := c.submitAll(60, 30*time.Millisecond, "70000", []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 70000}})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for _, w := range c.workers[:2] {
		if trouble {
			w.crash()
		}
		time.Sleep(8 * time.Second)
	}
	time.Sleep(finish)
	return c.unserved(ids) > 0, nil
}

// submitAll hands equal jobs in at a steady rate and returns the IDs of those accepted. It
// returns an error if fewer than a tenth were.
func (c *cluster) submitAll(n int, every time.Duration, spec string, steps []step) ([]string, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []string
	tick := time.NewTicker(every)
	defer tick.Stop()
	for range n {
		id := newID()
		wg.Go(func() {
			if c.submit(id, spec, steps) {
				mu.Lock()
				out = append(out, id)
				mu.Unlock()
			}
		})
		<-tick.C
	}
	wg.Wait()
	c.mu.Lock()
	for _, id := range out {
		c.taskCPU[id] = steps[0].CPU
	}
	c.mu.Unlock()
	c.rec.say("%d of %d jobs were accepted", len(out), n)
	if len(out) < n/10 {
		return nil, fmt.Errorf("%d of %d jobs were accepted: too few", len(out), n)
	}
	return out, nil
}

// unserved watches the jobs for 3 s and returns how many of them had nothing running at any
// time of it and are neither completed nor failed, while under half of the service's
// capacity was in use and a worker had room for twice the task.
func (c *cluster) unserved(ids []string) int {
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	mostUsed, leastRoom := 0.0, 1<<30
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		used, capacity, room := c.usage(idle)
		mostUsed = max(mostUsed, float64(used)/float64(capacity))
		leastRoom = min(leastRoom, room)
	}
	n := 0
	asked := 0
	for id := range idle {
		// The first fifty answers show enough.
		if asked++; asked > 50 {
			n++
			continue
		}
		status, state := c.state(id)
		if state == "completed" || state == "failed" || state == "cancelled" {
			continue
		}
		n++
		c.rec.say("job %s: nothing of it ran for 3 s; asked for it: %d %s", id, status, state)
	}
	c.rec.say("%d of %d accepted jobs had nothing running for 3 s; at most %.0f%% of the capacity was in use, and the emptiest worker had %d thousandths of a core free at least",
		n, len(ids), 100*mostUsed, leastRoom)
	if mostUsed >= 0.5 || len(ids) > 0 && leastRoom < 2*c.taskCPU[ids[0]] {
		c.rec.say("the service is too full for the rule")
		return 0
	}
	return n
}

// usage removes from idle the jobs that have a run, and returns the CPU in use, the
// capacity, and the most that one worker has free, in thousandths of a core.
func (c *cluster) usage(idle map[string]bool) (used, capacity, room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.mu.Lock()
		if w.up {
			own := 0
			for k := range w.runs {
				id, _, _ := strings.Cut(k.task, ".")
				delete(idle, id)
				own += c.taskCPU[id]
			}
			used, capacity, room = used+own, capacity+w.cpu, max(room, w.cpu-own)
		}
		w.mu.Unlock()
	}
	return used, capacity, room
}
