package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// announcement returns that of the worker's instance n.
func announcement(host string, n int64) contract.WorkerAnnouncement {
	return contract.WorkerAnnouncement{
		ID: contract.HostID(host), StartedMillis: n, Pool: "formula", Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000},
	}
}

// instance attaches instance n of a worker.
func (h *harness) instance(host string, n int64) {
	h.sch.WorkerReported(h.now, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: contract.WorkerSession(2 * n), Worker: announcement(host, n),
	})
}

// crash reports that instance n of a worker has crashed with the runs that the scheduler
// has placed on it, and handles what follows as the hub does. It returns the notices.
func (h *harness) crash(host string, n int64) []CrashNotice {
	w := h.sch.workers[contract.HostID(host)]
	return h.crashed(host, &contract.WorkerReport{
		Attach: true, Host: contract.HostID(host), Session: contract.WorkerSession(2*n + 1), NoWorker: true,
		Crashes: []contract.WorkerCrash{{Instance: announcement(host, n).Instance(), Pool: "formula", Runs: w.crashedRuns(h.sch)}},
	})
}

func (h *harness) crashed(host string, r *contract.WorkerReport) []CrashNotice {
	h.sch.WorkerReported(h.now, r)
	notices := h.sch.TakeCrashes()
	var b durable.Batch
	b.LogTime = h.now.Milliseconds()
	for _, c := range notices {
		b.Crashes = append(b.Crashes, durable.Crash{WorkerCrash: c.WorkerCrash, At: b.LogTime - c.Age.Milliseconds()})
	}
	b.Failed = h.sch.TakeGivenUp()
	h.apply(b)
	return notices
}

// crashHarness returns a harness with n workers w0 to wn of ten slots, and jobs of one
// slot a task.
func crashHarness(t *testing.T, n int) *harness {
	h := newHarness(t)
	for i := range n {
		h.instance(fmt.Sprint("w", i), 1)
	}
	return h
}

// queued returns a job of n tasks of one slot in the named queue.
func queued(id, queue string, n int) contract.DurableJob {
	j := testJob(id, step(n, 100, 100))
	j.Queue = queue
	return j
}

// hostOf returns the host on which the orders start a task of the job, or "".
func hostOf(orders []Order, job string) string {
	for _, o := range orders {
		if o.Start != nil && o.Start.Job == contract.DurableJobID(job) {
			return string(o.Host)
		}
	}
	return ""
}

// TestTaskThatCrashesItsWorkersIsGivenUp guards against issue 30: a task was started on
// worker after worker.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	h := crashHarness(t, 8)
	h.submit(queued("sound", "x", 3))
	h.submit(queued("bad", "q", 1))
	crashes := 0
	for range 8 {
		host := hostOf(h.place(), "bad")
		if host == "" {
			break
		}
		h.crash(host, 1)
		crashes++
	}
	must.LessEq(t, quarantine.MaxCrashes, crashes)
	must.Eq(t, contract.DurableFailed, h.state.Jobs["bad"].State)
	must.NotNil(t, h.sch.jobs["sound"], must.Sprint("the innocent job goes on"))
}

func TestInnocentTasksStartApartAfterACrash(t *testing.T) {
	h := crashHarness(t, 4)
	for i := range 4 {
		h.submit(queued(fmt.Sprint("j", i), "q", 1))
	}
	for _, o := range h.place() {
		h.end(o, contract.EndDone)
	}
	h.sch.workers["w1"].unreachable, h.sch.workers["w2"].unreachable, h.sch.workers["w3"].unreachable = true, true, true
	for _, id := range []string{"a", "b", "c"} {
		h.submit(queued(id, "q", 1))
	}
	must.Len(t, 3, h.place())
	for _, w := range h.sch.workers {
		w.unreachable = false
	}
	notices := h.crash("w0", 1)
	must.Len(t, 1, notices)
	must.Len(t, 3, notices[0].Tasks)
	must.Eq(t, map[contract.HostID]int{"w1": 1, "w2": 1, "w3": 1}, hosts(h.place()))
}

func TestSuspectOfTwoCrashesRunsAlone(t *testing.T) {
	h := crashHarness(t, 4)
	h.submit(queued("bad", "q", 1))
	h.submit(queued("x", "x", 4))
	h.crash(hostOf(h.place(), "bad"), 1)
	h.crash(hostOf(h.place(), "bad"), 1)
	must.Eq(t, quarantine.Isolate, h.sch.jobs["bad"].verdict)
	h.now += 2 * time.Second
	host := ""
	for range 3 {
		orders := h.place()
		if host = hostOf(orders, "bad"); host != "" {
			break
		}
		for _, w := range h.sch.workerList {
			for ref := range w.runs {
				h.end(Order{Host: w.Host, Start: &contract.RunStart{RunRef: ref}}, contract.EndDone)
			}
		}
	}
	must.NotEq(t, "", host)
	must.MapLen(t, 1, h.sch.workers[contract.HostID(host)].runs)
	h.submit(queued("y", "x", 20))
	must.MapNotContainsKey(t, hosts(h.place()), contract.HostID(host), must.Sprint("nothing starts beside it"))
}

// TestCrashesBesideOthersAreNoEvidence guards the innocent: three crashes beside a deadly
// task end their starts, but not with a failure.
func TestCrashesBesideOthersAreNoEvidence(t *testing.T) {
	h := crashHarness(t, 2)
	h.sch.AddTransient(durable.NewJob(ref(queued("a", "q", 1)), 0), h.now, false)
	must.NotEq(t, "", hostOf(h.place(), "a"))
	for n := range int64(3) {
		// Agents report late what they have seen under earlier leaders.
		h.crashed("w9", &contract.WorkerReport{Attach: true, Host: "w9", Session: contract.WorkerSession(n + 1), NoWorker: true, Crashes: []contract.WorkerCrash{{
			Instance: contract.WorkerInstance{ID: "w9", StartedMillis: n}, Pool: "formula",
			Runs: []contract.CrashedRun{{Ref: contract.RunRef{Job: "a", Run: uint64(n)}, Queue: "q"}, {Ref: contract.RunRef{Job: "b", Run: uint64(n)}, Queue: "q"}},
		}}})
	}
	must.Eq(t, quarantine.Exhausted, h.sch.jobs["a"].verdict)
	must.SliceEmpty(t, h.sch.TakeGivenUp())
	for _, host := range []contract.HostID{"w0", "w1", "w9"} {
		h.sch.SessionEnded(host)
	}
	h.instance("w5", 1)
	must.Eq(t, "", hostOf(h.place(), "a"), must.Sprint("it is not started a fourth time"))
	h.now += time.Second
	must.Eq(t, []contract.DurableJobID{"a"}, h.sch.JobsToShed(h.now), must.Sprint("its caller is told so"))
}

func ref(j contract.DurableJob) *contract.DurableJob { return &j }

// nextLeader replaces the scheduler by that of another term, to which the given workers
// attach.
func (h *harness) nextLeader(term uint64, reports ...*contract.WorkerReport) {
	h.sch = New(term, h.state, h.now)
	for _, r := range reports {
		h.sch.WorkerReported(h.now, r)
	}
	h.sch.Release()
}

func TestCrashesHoldForTheNextLeader(t *testing.T) {
	for name, stored := range map[string]bool{"stored in the log": true, "reported again by the agents": false} {
		t.Run(name, func(t *testing.T) {
			h := crashHarness(t, 4)
			h.submit(queued("bad", "q", 1))
			var crashes []contract.WorkerCrash
			for range 2 {
				for _, c := range h.crash(hostOf(h.place(), "bad"), 1) {
					crashes = append(crashes, c.WorkerCrash)
				}
			}
			if !stored {
				h.state.Crashes = nil
			}
			h.state.Jobs["bad"].State = contract.DurableRunning
			h.nextLeader(2, &contract.WorkerReport{Attach: true, Host: "w9", Session: 1, NoWorker: true, Crashes: crashes})
			must.Eq(t, 2, h.sch.ledger.Crashes(contract.DurableTask{Job: "bad"}))
			must.True(t, h.sch.confined(h.sch.jobs["bad"]) || h.sch.GivenUp("bad"))
		})
	}
}

// TestResubmittedJobKeepsItsCrashes: an entry, or the caller through another entry, sends
// a transient job again to the next leader.
func TestResubmittedJobKeepsItsCrashes(t *testing.T) {
	h := crashHarness(t, 4)
	h.sch.AddTransient(durable.NewJob(ref(queued("bad", "q", 1)), 0), h.now, false)
	h.crash(hostOf(h.place(), "bad"), 1)
	h.nextLeader(2)
	must.True(t, h.sch.MayHaveBegun("bad"), must.Sprint("a refusal must not say that it has not run"))
	h.instance("w3", 1)
	h.sch.AddTransient(durable.NewJob(ref(queued("bad", "q", 1)), 0), h.now, true)
	h.crash(hostOf(h.place(), "bad"), 1)
	must.Eq(t, 2, h.sch.ledger.Crashes(contract.DurableTask{Job: "bad"}))
	h.nextLeader(3)
	must.True(t, h.sch.GivenUp("bad"), must.Sprint("it ran alone in both crashes"))
}

// TestRestartedAgentReportsACrash: the agent does not know the runs of its earlier
// process, so those that the leader has ordered count, but are no evidence.
func TestRestartedAgentReportsACrash(t *testing.T) {
	for name, expired := range map[string]bool{"before its session has ended": false, "after its session has ended": true} {
		t.Run(name, func(t *testing.T) {
			h := crashHarness(t, 2)
			h.submit(queued("a", "q", 1))
			host := hostOf(h.place(), "a")
			if expired {
				h.sch.SessionEnded(contract.HostID(host))
			}
			h.crashed(host, &contract.WorkerReport{Attach: true, Host: contract.HostID(host), Session: 77, Worker: announcement(host, 2),
				Crashes: []contract.WorkerCrash{{Instance: announcement(host, 1).Instance(), Pool: "formula", Partial: true}}})
			must.Eq(t, 1, h.sch.ledger.Crashes(contract.DurableTask{Job: "a"}))
			must.Eq(t, quarantine.Separate, h.sch.jobs["a"].verdict)
		})
	}
}
