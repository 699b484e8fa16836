package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A checker records what workers saw of each run, and the breaks of rules that show there.
type checker struct {
	sys       *system
	mu        sync.Mutex
	live      map[string]map[runKey]string // by task: the live runs and their workers
	count     map[string]int               // starts by task
	failed    map[string]int               // failed ends by task that were taken note of
	done      map[string]bool              // tasks with a done end
	notedDone map[string]bool              // tasks with a done end that was taken note of
	crashes   map[string]int               // crashes of workers under a task
	jobs      map[string]*jobSpec
	load      map[string]int // milli-CPU in use by worker
	breaks    []string
}

type jobSpec struct {
	id     string
	prefix string
	// service is the service to which the newest configuration sends the job's queue.
	service string
	body    submission
	// sent, accepted and cancelled are when it was sent first, acknowledged, and its
	// cancelling acknowledged.
	sent, accepted, cancelled time.Time
	// unclear counts the attempts to hand it in that had no clear answer.
	unclear int
}

type submission struct {
	Spec       string    `json:"spec"`
	Steps      []jobStep `json:"steps"`
	BestEffort bool      `json:"bestEffort,omitempty"`
}

type jobStep struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"memMb,omitempty"`
	EstimateMS   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

func newChecker(s *system) *checker {
	return &checker{
		sys: s, live: map[string]map[runKey]string{}, count: map[string]int{}, failed: map[string]int{}, done: map[string]bool{},
		notedDone: map[string]bool{}, crashes: map[string]int{}, jobs: map[string]*jobSpec{}, load: map[string]int{},
	}
}

// fail records a break of a rule. The caller holds mu.
func (c *checker) fail(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.breaks = append(c.breaks, text)
	c.sys.note("RULE BROKEN", "what", text)
}

func (c *checker) starts(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[task]
}

// step returns the job and the step of a task, or nil.
func (c *checker) step(task string) (*jobSpec, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	j := c.jobs[parts[0]]
	n, _ := strconv.Atoi(parts[2])
	if j == nil || n >= len(j.body.Steps) {
		return nil, 0
	}
	return j, n
}

// started is called with w.mu held.
func (c *checker) started(w *worker, k runKey, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sys.note("run started", "worker", w.name, "task", k.task, "run", k.run)
	c.count[k.task]++
	for other, on := range c.live[k.task] {
		c.fail("TWICE", "task %s run %d started on %s while run %d is alive on %s", k.task, k.run, w.name, other.run, on)
	}
	if c.live[k.task] == nil {
		c.live[k.task] = map[runKey]string{}
	}
	c.live[k.task][k] = w.name
	j, n := c.step(k.task)
	if j == nil {
		c.fail("UNASKED", "task %s was never submitted", k.task)
		return
	}
	if spec != j.body.Spec {
		c.fail("UNASKED", "task %s has another spec", k.task)
	}
	st := j.body.Steps[n]
	if !j.body.BestEffort {
		if c.notedDone[k.task] {
			c.fail("TWICE", "task %s started again on %s after its done end was taken note of", k.task, w.name)
		}
		if c.failed[k.task] >= c.sys.maxAttempts {
			c.fail("BUDGET", "task %s started again on %s after %d failed runs", k.task, w.name, c.failed[k.task])
		}
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
		c.fail("UNASKED", "task %s started %d ms after the cancelling was acknowledged", k.task, time.Since(j.cancelled).Milliseconds())
	}
	for _, a := range st.After {
		for i := range j.body.Steps[a].Count {
			if !c.done[fmt.Sprintf("%s.0.%d.%d", j.id, a, i)] {
				c.fail("ORDER", "task %s started before task %d of step %d was done", k.task, i, a)
			}
		}
	}
	if st.Requirements != "" && !contains(w.labels, st.Requirements) {
		c.fail("ROUTE", "task %s started on %s without the label", k.task, w.name)
	}
	c.load[w.name] += st.CPU
	if c.load[w.name] > w.cpu {
		c.fail("LIMIT", "worker %s has %d of %d", w.name, c.load[w.name], w.cpu)
	}
	if st.AntiAffinity > 0 {
		same := 0
		for i := range st.Count {
			for _, on := range c.live[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)] {
				if on == w.name {
					same++
				}
			}
		}
		if same > st.AntiAffinity {
			c.fail("ROUTE", "%d tasks of step %d of %s run on %s", same, n, j.id, w.name)
		}
	}
}

// ended is called with w.mu held.
func (c *checker) ended(worker string, k runKey, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sys.note("run ended", "worker", worker, "task", k.task, "run", k.run, "how", how)
	delete(c.live[k.task], k)
	if j, n := c.step(k.task); j != nil {
		c.load[worker] -= j.body.Steps[n].CPU
	}
	switch how {
	case "done":
		c.done[k.task] = true
	case "crashed":
		c.crashes[k.task]++
	}
}

func (c *checker) noted(worker string, k runKey, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch how {
	case "done":
		c.notedDone[k.task] = true
		for other, on := range c.live[k.task] {
			c.fail("TWICE", "task %s: run %d is alive on %s when a done end is taken note of", k.task, other.run, on)
		}
	case "failed":
		c.failed[k.task]++
	}
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}
