package workeragent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// usedMilliCPU returns the CPU of the runs that are or may be on the instance.
func (w *workerInstance) usedMilliCPU() int {
	return w.worker.Capacity.MilliCPU - w.freeCapacity().MilliCPU
}

// announceCPU lets the worker announce another capacity.
func announceCPU(a *Agent, milliCPU int) {
	ann := a.instance.worker
	ann.Seq++
	ann.Capacity = contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1000}
	a.HandleAnnouncement(ann)
}

func startOf(job string, milliCPU int) contract.RunStart {
	return contract.RunStart{RunRef: contract.RunRef{Job: contract.DurableJobID(job), Run: 1}, Name: job + ".0.0.0", Demand: contract.Demand{MilliCPU: milliCPU}}
}

// TestStartOnItsWayMeetsAShrunkWorker covers the ways in which a start can reach the agent
// after the worker has announced less capacity.
func TestStartOnItsWayMeetsAShrunkWorker(t *testing.T) {
	ordered := func(a *Agent, w *workerInstance, _ *entryLink) {
		a.handleOrders(&contract.WorkerOrders{Term: a.term, Session: a.session, Starts: []contract.RunStart{startOf("new", 600)}})
	}
	for name, start := range map[string]func(*Agent, *workerInstance, *entryLink){
		"ordered by the leader": ordered,
		"waiting for the lease": func(a *Agent, w *workerInstance, e *entryLink) {
			w.pendingStarts = []contract.RunStart{startOf("new", 600)}
			w.startPending()
		},
		"a direct start": func(a *Agent, w *workerInstance, e *entryLink) {
			a.handleDirectStart(boottime.Now(), e, &contract.DirectStart{Start: startOf("new", 600)})
		},
	} {
		for _, c := range []struct {
			milliCPU int
			starts   bool
		}{{2000, true}, {1400, true}, {1399, false}, {700, false}, {0, false}} {
			t.Run(fmt.Sprint(name, " at ", c.milliCPU), func(t *testing.T) {
				a, w, e := newDirectAgent(t)
				a.authorityEnd = boottime.Now() + time.Minute
				w.runs[NamedRun{Name: "old", Run: 1}] = &run{need: contract.Demand{MilliCPU: 800}, stopping: true}
				announceCPU(a, c.milliCPU)
				a.mu.Lock()
				defer a.mu.Unlock()
				start(a, w, e)
				must.Eq(t, c.starts, len(w.runs) == 2)
			})
		}
	}
}

func TestWorkerThatGrowsAgainTakesStarts(t *testing.T) {
	a, w, _ := newDirectAgent(t)
	a.authorityEnd = boottime.Now() + time.Minute
	announceCPU(a, 100)
	announceCPU(a, 2000)
	a.mu.Lock()
	a.handleOrders(&contract.WorkerOrders{Term: a.term, Session: a.session, Starts: []contract.RunStart{startOf("new", 2000)}})
	a.mu.Unlock()
	must.NoError(t, a.group.Wait())
	must.MapLen(t, 1, w.runs)
	old := w.worker
	old.Seq, old.Capacity.MilliCPU = old.Seq-1, 100
	a.HandleAnnouncement(old)
	must.Eq(t, 2000, w.worker.Capacity.MilliCPU, must.Sprint("an announcement that arrives late changes nothing"))
}

// capacityHost is an agent with its worker, and what is under way to and from a leader.
type capacityHost struct {
	id      contract.HostID
	agent   *Agent
	worker  *workerInstance
	orders  []*contract.WorkerOrders
	reports []*contract.WorkerReport
}

// TestStartsNeverExceedAChangingCapacity plays random histories of capacities that shrink
// and grow, orders and reports that are late, runs that end and that are being stopped,
// and changes of leader. No start may bring a worker over what it has announced last.
func TestStartsNeverExceedAChangingCapacity(t *testing.T) {
	starts, refused := 0, 0
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 2))
		now, term := time.Minute, uint64(6)
		state := durable.New()
		sched := schedule.New(term, state, now)
		sched.Release()
		var hosts []*capacityHost
		for i := range 2 {
			a, w, _ := newDirectAgent(t)
			a.authorityEnd, a.term = boottime.Now()+time.Hour, term
			w.confirmedLeaseEndMS = 1 << 40
			hosts = append(hosts, &capacityHost{id: contract.HostID(fmt.Sprint("w", i)), agent: a, worker: w})
		}
		report := func(x *capacityHost, attach bool) {
			x.agent.mu.Lock()
			defer x.agent.mu.Unlock()
			m := &contract.WorkerReport{Attach: attach, Term: term, Host: x.id, Session: x.agent.session}
			x.worker.fillReport(m)
			m.Worker.Pool = "p"
			x.reports = append(x.reports, m)
		}
		for _, x := range hosts {
			report(x, true)
		}
		for i := range 400 {
			now += 5 * time.Millisecond
			x := hosts[r.IntN(len(hosts))]
			switch n := r.IntN(100); {
			case n < 15:
				announceCPU(x.agent, r.IntN(21)*100)
				report(x, false)
			case n < 40:
				j := contract.DurableJob{ID: contract.DurableJobID(fmt.Sprint(i)), Pool: "p", MaxAttempts: 2, Slack: 100, Target: time.Hour,
					Steps: []contract.DurableStep{{Count: 1 + r.IntN(3), Demand: contract.Demand{MilliCPU: 100 * (1 + r.IntN(6)), DeclaredMillis: 100}}}}
				sched.AddTransient(durable.NewJob(&j, 0), now, false)
			case n < 60 && len(x.reports) > 0:
				sched.WorkerReported(now, x.reports[0])
				x.reports = x.reports[1:]
			case n < 75 && len(x.orders) > 0:
				x.agent.mu.Lock()
				before := len(x.worker.runs)
				x.agent.handleOrders(x.orders[0])
				x.orders = x.orders[1:]
				if len(x.worker.runs) > before {
					starts++
					must.LessEq(t, x.worker.worker.Capacity.MilliCPU, x.worker.usedMilliCPU(), must.Sprint("seed ", seed, " step ", i))
				} else {
					refused++
				}
				x.agent.mu.Unlock()
			case n < 92:
				x.agent.mu.Lock()
				for name, run := range x.worker.runs {
					if r.IntN(3) == 0 {
						run.stopping = true
						continue
					}
					x.worker.removeRun(name, run)
					sched.RunEnded(now, x.id, contract.RunEnded{RunRef: run.ref, Seq: 1, Kind: contract.EndDone})
					break
				}
				x.agent.mu.Unlock()
			case n < 94:
				// Orders of the earlier leader are ignored after the report to the next one.
				term++
				sched = schedule.New(term, state, now)
				sched.Release()
				for _, x := range hosts {
					x.agent.term, x.orders, x.reports = term, nil, nil
					report(x, true)
				}
			}
			sched.Place(now)
			for _, o := range sched.TakeOrders() {
				for _, x := range hosts {
					if x.id == o.Host && o.Start != nil {
						x.orders = append(x.orders, &contract.WorkerOrders{Term: term, Session: o.Session, Starts: []contract.RunStart{*o.Start}})
					}
				}
			}
		}
	}
	must.Greater(t, 1000, starts)
	must.Greater(t, 100, refused)
}
