package schedule

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// crashHost is a worker with its agent. Its runs are those that are really on the worker.
type crashHost struct {
	id       string
	instance int64
	session  contract.WorkerSession
	// downUntil is until when the worker is down after a crash.
	downUntil time.Duration
	runs      map[contract.RunRef]time.Duration
	// crashes is the agent's record; restarted says that the agent's process does not know
	// the worker's present instance from its start on.
	crashes   []contract.WorkerCrash
	restarted bool
	attached  bool
	orders    []Order
}

// crashHistory plays leaders, agents, callers and deadly tasks against the scheduler.
type crashHistory struct {
	*rand.Rand
	t        *testing.T
	seed     uint64
	now      time.Duration
	term     uint64
	state    *durable.State
	sch      *Scheduler
	hosts    []*crashHost
	jobs     map[contract.DurableJobID]*durable.Job
	deadly   map[contract.DurableTask]bool
	crashes  map[contract.DurableTask]int
	extra    map[contract.DurableTask]int
	pending  durable.Batch
	submits  int
	finished map[contract.DurableState]int
}

func (h *crashHistory) at(format string, args ...any) must.Setting {
	return must.Sprint("seed ", h.seed, " at ", h.now, ": ", fmt.Sprintf(format, args...))
}

// newLeader starts the next term. What the last leader had not stored is lost, and entries
// submit their jobs again.
func (h *crashHistory) newLeader() {
	h.term++
	h.pending = durable.Batch{}
	h.state.LogTime = h.now.Milliseconds()
	h.sch = New(h.term, h.state, h.now)
	for _, x := range h.hosts {
		x.attached, x.orders = false, nil
	}
	for _, j := range h.jobs {
		if !j.State.Ended() {
			fresh := durable.NewJob(&j.DurableJob, h.state.LogTime)
			h.jobs[j.ID] = fresh
			h.sch.AddTransient(fresh, h.now, true)
		}
	}
}

// attach reports the state of a worker to the leader.
func (h *crashHistory) attach(x *crashHost) {
	r := &contract.WorkerReport{Attach: true, Host: contract.HostID(x.id), Session: x.session, NoWorker: x.downUntil > h.now}
	if !r.NoWorker {
		r.Worker = announcement(x.id, x.instance)
		for ref := range x.runs {
			r.Running = append(r.Running, contract.PlacedRun{RunRef: ref, Demand: contract.Demand{MilliCPU: 100, MemoryMB: 1}})
		}
	}
	for _, c := range x.crashes {
		c.Age = max(0, h.now-c.Age)
		r.Crashes = append(r.Crashes, c)
	}
	x.attached = true
	for _, e := range h.sch.WorkerReported(h.now, r) {
		h.ended(e)
	}
}

// ended applies the end of a task.
func (h *crashHistory) ended(e TaskEnd) {
	j := h.jobs[e.Job]
	if j == nil || j.State.Ended() {
		return
	}
	if j.RecordTaskEnd(e.Task, e.Done) {
		h.finish(j)
	}
	h.sch.TaskEndApplied(e.DurableTask)
}

func (h *crashHistory) finish(j *durable.Job) {
	h.finished[j.State]++
	h.sch.JobEnded(j.ID)
}

// crash ends the worker under its runs. The crash is recorded with its time in Age.
func (h *crashHistory) crash(x *crashHost) {
	c := contract.WorkerCrash{Instance: announcement(x.id, x.instance).Instance(), Pool: "formula", Partial: x.restarted, Age: h.now}
	for ref := range x.runs {
		task := contract.DurableTask{Job: ref.Job, Task: ref.Task}
		h.crashes[task]++
		if !x.restarted {
			c.Runs = append(c.Runs, contract.CrashedRun{Ref: ref, Queue: h.jobs[ref.Job].Queue})
		}
	}
	x.crashes = append(x.crashes, c)
	clear(x.runs)
	x.downUntil = h.now + time.Duration(500+h.IntN(3000))*ms
	x.session++
	x.attached, x.orders = false, nil
}

// start carries out an order, and checks the budget of its task.
func (h *crashHistory) start(x *crashHost, o Order) {
	task := contract.DurableTask{Job: o.Start.Job, Task: o.Start.Task}
	if h.crashes[task] >= quarantine.MaxCrashes {
		h.extra[task]++
		must.Less(h.t, 3, h.extra[task], h.at("%v is started three times more after three crashes", task))
	}
	x.runs[o.Start.RunRef] = h.now + time.Duration(50+h.IntN(800))*ms
}

func (h *crashHistory) step() {
	h.now += 10 * ms
	if h.IntN(2) == 0 {
		h.submits++
		id := fmt.Sprint("j", h.submits)
		queue := []string{"x", "y", "bad"}[h.IntN(3)]
		j := queued(id, queue, 1+h.IntN(3))
		j.Slack, j.Target, j.MaxAttempts = 20, 2*time.Second, 3
		if queue == "bad" && h.IntN(8) == 0 {
			h.deadly[contract.DurableTask{Job: j.ID, Task: uint32(h.IntN(j.Steps[0].Count))}] = true
		}
		h.jobs[j.ID] = durable.NewJob(&j, h.state.LogTime)
		h.sch.AddTransient(h.jobs[j.ID], h.now, false)
	}
	for _, x := range h.hosts {
		h.stepHost(x)
	}
	allAttached := true
	for _, x := range h.hosts {
		allAttached = allAttached && x.attached
	}
	if allAttached {
		h.sch.Release()
	}
	h.sch.CheckRuns(h.now)
	h.lead()
	if h.IntN(150) == 0 {
		h.newLeader()
	}
}

// lead does what the hub does in a turn of its loop.
func (h *crashHistory) lead() {
	h.state.Apply(&h.pending)
	h.pending = durable.Batch{LogTime: h.now.Milliseconds()}
	for _, c := range h.sch.TakeCrashes() {
		h.pending.Crashes = append(h.pending.Crashes, durable.Crash{WorkerCrash: c.WorkerCrash, At: (h.now - c.Age).Milliseconds()})
	}
	for _, id := range h.sch.TakeGivenUp() {
		j := h.jobs[id]
		if j.State.Ended() {
			continue
		}
		guilty := false
		for i := range j.Done {
			guilty = guilty || h.deadly[contract.DurableTask{Job: id, Task: uint32(i)}]
		}
		must.True(h.t, guilty, h.at("%s is given up, and none of its tasks crashes workers", id))
		j.State = contract.DurableFailed
		h.finish(j)
	}
	h.sch.Place(h.now)
	for _, id := range h.sch.JobsToShed(h.now) {
		if j := h.jobs[id]; j != nil && !j.State.Ended() {
			j.State = contract.DurableCancelled
			h.finish(j)
		}
	}
	for _, o := range h.sch.TakeOrders() {
		for _, x := range h.hosts {
			if x.id == string(o.Host) && x.attached && x.session == o.Session {
				x.orders = append(x.orders, o)
			}
		}
	}
}

// stepHost lets orders arrive, runs end, deadly tasks crash the worker, workers return,
// agents restart and reports come late.
func (h *crashHistory) stepHost(x *crashHost) {
	switch {
	case x.downUntil > 0 && h.now >= x.downUntil:
		x.downUntil = 0
		x.instance++
		x.session++
		x.attached, x.restarted = false, false
	case x.downUntil > 0:
		if !x.attached && h.IntN(5) == 0 {
			h.attach(x)
		}
		return
	}
	if h.IntN(400) == 0 {
		// The agent's process is restarted: its worker's lease expires.
		x.crashes, x.restarted = nil, true
		clear(x.runs)
		x.session++
		x.attached, x.orders = false, nil
	}
	for ref, end := range x.runs {
		if h.deadly[contract.DurableTask{Job: ref.Job, Task: ref.Task}] {
			if h.IntN(2) == 0 {
				h.crash(x)
				return
			}
		} else if h.now >= end && x.attached {
			delete(x.runs, ref)
			if e := h.sch.RunEnded(h.now, contract.HostID(x.id), contract.RunEnded{RunRef: ref, Seq: 1, Kind: contract.EndDone}); e != nil {
				h.ended(*e)
			}
		}
	}
	if !x.attached {
		if h.IntN(5) == 0 {
			// A session that has begun under this process is whole.
			x.restarted = false
			h.attach(x)
		}
		return
	}
	for len(x.orders) > 0 && h.IntN(5) > 0 {
		o := x.orders[0]
		x.orders = x.orders[1:]
		if o.Start != nil {
			h.start(x, o)
		} else if _, ok := x.runs[*o.Stop]; ok {
			delete(x.runs, *o.Stop)
			h.sch.RunEnded(h.now, contract.HostID(x.id), contract.RunEnded{RunRef: *o.Stop, Seq: 1, Kind: contract.EndStopped})
		}
	}
}

// TestRandomCrashHistories plays deadly tasks among sound ones, with changes of leader
// that lose what was not stored, jobs that are submitted again, agents that restart and
// reports that come late. No task is started three times more after three workers have
// crashed under it, and no job is given up without a guilty task. CRASH_SEEDS sets how many
// histories are played.
func TestRandomCrashHistories(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("CRASH_SEEDS")); err == nil {
		seeds = n
	}
	finished, crashed := map[contract.DurableState]int{}, 0
	for seed := range uint64(seeds) {
		h := &crashHistory{
			Rand: rand.New(rand.NewPCG(seed, 3)), t: t, seed: seed, now: time.Minute, state: durable.New(), jobs: map[contract.DurableJobID]*durable.Job{},
			deadly: map[contract.DurableTask]bool{}, crashes: map[contract.DurableTask]int{}, extra: map[contract.DurableTask]int{}, finished: finished,
		}
		for i := range 8 {
			h.hosts = append(h.hosts, &crashHost{id: fmt.Sprint("w", i), instance: 1, session: 1, runs: map[contract.RunRef]time.Duration{}})
		}
		h.newLeader()
		for range 2000 {
			h.step()
		}
		crashed += len(h.crashes)
	}
	must.Greater(t, 4*seeds, finished[contract.DurableFailed], must.Sprint(finished))
	must.Greater(t, 100*seeds, finished[contract.DurableCompleted], must.Sprint(finished))
	must.Greater(t, 20*seeds, crashed)
}
