package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var testStart = time.Unix(1_700_000_000, 0)

func testWorker(i int, c contract.Capacity) host.Worker {
	ref := host.Ref{Host: contract.HostID(fmt.Sprintf("w%02d", i)), Incarnation: 1}
	return host.Worker{Identity: host.Identity{Ref: ref}, Capacity: c}
}

// poolWith returns a pool with workers of the capacities, all slots granted.
func poolWith(cfg Config, caps ...contract.Capacity) *Pool {
	p := NewPool(cfg)
	for i, c := range caps {
		w := testWorker(i, c)
		p.Step(testStart, WorkerUp{Worker: w})
		p.Step(testStart, CreditGranted{Worker: w.Ref, Epoch: 1, Slots: c.Slots})
	}
	return p
}

func placesOf(actions []Action) []Place {
	var out []Place
	for _, a := range actions {
		if p, ok := a.(Place); ok {
			out = append(out, p)
		}
	}
	return out
}

func refusalOf(t *testing.T, actions []Action) error {
	t.Helper()
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return r.Err
		}
	}
	t.Fatal("no refusal")
	return nil
}

func declared(n, millis int) []contract.Demand {
	out := make([]contract.Demand, n)
	for i := range out {
		out[i] = contract.Demand{Millis: millis}
	}
	return out
}

func TestSmallJobIsNotBehindBigOne(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	p.Step(testStart, Submit{Job: "running", Demands: declared(1, 100)})
	p.Step(testStart, Submit{Job: "big", Demands: declared(100, 500)})
	p.Step(testStart, Submit{Job: "small", Demands: declared(1, 100)})
	out := placesOf(p.Step(testStart.Add(time.Second), Finished{Task: contract.TaskID{Job: "running"}, Worker: testWorker(0, contract.Capacity{}).Ref, Elapsed: time.Second}))
	must.Len(t, 1, out)
	must.Eq(t, "small", out[0].Task.Job)
}

// TestBigJobIsNotStarved offers small jobs without end, and bounds how long
// the big one waits for its last start: only jobs that come while its age makes
// up for less than its work overtake it, and its own tasks take as long as they
// take; a further second covers the task in progress.
func TestBigJobIsNotStarved(t *testing.T) {
	const tasks, millis = 10, 1000
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	ref := testWorker(0, contract.Capacity{}).Ref
	p.Step(testStart, Submit{Job: "big", Demands: declared(tasks, millis)})
	running := contract.TaskID{Job: "big", Index: 0}
	started := 1
	now := testStart
	const work = tasks * millis * time.Millisecond
	bound := testStart.Add(work/agePerSecond + work + time.Second)
	for n := 0; started < tasks; n++ {
		must.True(t, now.Before(bound), must.Sprintf("%d of %d tasks started after %s", started, tasks, now.Sub(testStart)))
		p.Step(now, Submit{Job: contract.JobID(fmt.Sprint("small", n)), Demands: declared(1, 500)})
		now = now.Add(500 * time.Millisecond)
		out := placesOf(p.Step(now, Finished{Task: running, Worker: ref, Elapsed: 500 * time.Millisecond}))
		must.Len(t, 1, out)
		running = out[0].Task
		if running.Job == "big" {
			started++
		}
	}
}

func TestNeverFitsSaysWhy(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 8}, contract.Capacity{Slots: 4, Accelerators: 2})
	err := refusalOf(t, p.Step(testStart, Submit{Job: "a", Demands: []contract.Demand{{Accelerators: 3}}}))
	must.True(t, contract.ErrNeverFits.Is(err))
	must.StrContains(t, err.Error(), "only the declared size is at fault")

	p.Step(testStart, WorkerDown{Worker: testWorker(1, contract.Capacity{}).Ref})
	err = refusalOf(t, p.Step(testStart, Submit{Job: "b", Demands: []contract.Demand{{Accelerators: 2}}}))
	must.True(t, contract.ErrNoUpstream.Is(err))
	typed, _ := contract.AsError(err)
	must.Positive(t, typed.RetryAfter)

	draining := testWorker(1, contract.Capacity{Slots: 4, Accelerators: 2})
	draining.Draining = true
	p.Step(testStart, WorkerUp{Worker: draining})
	err = refusalOf(t, p.Step(testStart, Submit{Job: "c", Demands: []contract.Demand{{Accelerators: 2}}}))
	must.True(t, contract.ErrNoUpstream.Is(err))
}

func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	p.Step(testStart, Submit{Job: "first", Demands: declared(1, 1000)})
	p.Step(testStart, Submit{Job: "ahead", Demands: declared(2, 1000)})
	late := Submit{Job: "late", Demands: declared(3, 1000), Deadline: testStart.Add(4 * time.Second)}
	err := refusalOf(t, p.Step(testStart, late))
	must.True(t, contract.ErrOverload.Is(err))
	typed, _ := contract.AsError(err)
	must.Eq(t, contract.OutcomeNotRun, typed.Outcome)
	must.Positive(t, typed.RetryAfter)
	must.SliceEmpty(t, p.Step(testStart, Submit{Job: "soon", Demands: declared(1, 1000), Deadline: testStart.Add(4 * time.Second)}))
}

// TestFailingWorkerIsEjectedAndProbed fails all that one worker of two starts.
func TestFailingWorkerIsEjectedAndProbed(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 4}, contract.Capacity{Slots: 4})
	bad := testWorker(0, contract.Capacity{}).Ref
	now := testStart
	var onBad int
	for n := range 40 {
		now = now.Add(time.Millisecond)
		job := contract.JobID(fmt.Sprint("j", n))
		for _, pl := range placesOf(p.Step(now, Submit{Job: job, Demands: declared(1, 1)})) {
			failed := pl.Worker == bad
			if failed {
				onBad++
			}
			p.Step(now, Finished{Task: pl.Task, Worker: pl.Worker, Elapsed: time.Millisecond, Failed: failed})
		}
	}
	must.LessEq(t, 2, onBad)

	now = now.Add(firstEjection)
	p.Step(now, Tick{})
	out := placesOf(p.Step(now, Submit{Job: "burst", Demands: declared(8, 1000)}))
	probes := 0
	for _, pl := range out {
		if pl.Worker == bad {
			probes++
		}
	}
	must.Eq(t, 1, probes)
}

// TestLastWorkerIsProbedAtOnce: where only ejected workers are left, waiting for
// the end of an ejection would stop the pool.
func TestLastWorkerIsProbedAtOnce(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 4}, contract.Capacity{Slots: 4})
	bad, good := testWorker(0, contract.Capacity{}).Ref, testWorker(1, contract.Capacity{}).Ref
	now := testStart
	for n := range 40 {
		now = now.Add(time.Millisecond)
		for _, pl := range placesOf(p.Step(now, Submit{Job: contract.JobID(fmt.Sprint("j", n)), Demands: declared(5, 1)})) {
			p.Step(now, Finished{Task: pl.Task, Worker: pl.Worker, Elapsed: time.Millisecond, Failed: pl.Worker == bad})
		}
	}
	must.SliceLen(t, 1, p.ejected)
	must.Positive(t, p.waiting)
	out := placesOf(p.Step(now, WorkerDown{Worker: good}))
	must.SliceLen(t, 1, out)
	must.Eq(t, bad, out[0].Worker)
}

func TestFailuresOfOneJobDoNotEject(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 8}, contract.Capacity{Slots: 8})
	for _, pl := range placesOf(p.Step(testStart, Submit{Job: "poison", Demands: declared(16, 1)})) {
		p.Step(testStart, Finished{Task: pl.Task, Worker: pl.Worker, Elapsed: time.Millisecond, Failed: true})
	}
	must.SliceEmpty(t, p.ejected)
}

func TestDeclaredTimesAreCorrected(t *testing.T) {
	e := newEstimator()
	liar := contract.Demand{Millis: 10}
	honest := contract.Demand{Millis: 1000}
	for range 100 {
		e.learn("liar", "r", liar, time.Second)
		e.learn("honest", "r", honest, time.Second)
	}
	must.Between(t, 900*time.Millisecond, e.estimate("liar", "r", liar), 1100*time.Millisecond)
	must.Between(t, 900*time.Millisecond, e.estimate("honest", "r", honest), 1100*time.Millisecond)
	least := time.Second / maxDeviation * 9 / 10
	must.Greater(t, least, e.estimate("new liar", "r", contract.Demand{Millis: 1}))
}

func TestSharesReturnCreditsOfALostEntry(t *testing.T) {
	s := NewShares(8, 0)
	for _, e := range []contract.HostID{"a", "b", "c"} {
		s.EntryUp(e)
	}
	sum := 0
	for _, g := range s.EntryDown("b", 2) {
		sum += g.Slots
	}
	must.Eq(t, 6, sum)
	for range 2 {
		for _, g := range s.Done("b", 1) {
			must.Eq(t, 4, g.Slots)
		}
	}
	must.SliceEmpty(t, s.Done("b", 1))
	must.SliceEmpty(t, s.Done("a", 1))
}

// TestWithdrawnJobIsTakenAgain submits a job anew while a task of its first
// submission runs: the second is placed, and the first still gives its slot
// back.
func TestWithdrawnJobIsTakenAgain(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 1}, contract.Capacity{Slots: 1})
	s := Submit{Job: "j", Demands: declared(1, 100)}
	first := placesOf(p.Step(testStart, s))
	p.Step(testStart, Withdraw{Job: "j"})
	second := placesOf(p.Step(testStart, s))
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Worker, second[0].Worker)
	p.Step(testStart, Finished{Task: first[0].Task, Worker: first[0].Worker})
	must.Eq(t, 1, p.workers.free)
	p.Step(testStart, Finished{Task: second[0].Task, Worker: second[0].Worker})
	must.Eq(t, 2, p.workers.free)
	must.MapEmpty(t, p.jobs)
	must.MapEmpty(t, p.former)
}

// asksOf returns the asks among the actions.
func asksOf(actions []Action) []*contract.CreditAsk {
	var out []*contract.CreditAsk
	for _, a := range actions {
		if t, ok := a.(Tell); ok {
			if ask, ok := t.Message.(*contract.CreditAsk); ok {
				out = append(out, ask)
			}
		}
	}
	return out
}

// TestAsksForShortWorkWithoutCredits holds that little work is no reason not
// to ask where the entry cannot start it itself.
func TestAsksForShortWorkWithoutCredits(t *testing.T) {
	w := testWorker(0, contract.Capacity{Slots: 8})
	newPool := func(granted int) *Pool {
		p := NewPool(Config{})
		p.Step(testStart, Peers{Self: "a", Peers: []contract.HostID{"b"}})
		p.Step(testStart, WorkerUp{Worker: w})
		p.Step(testStart, CreditGranted{Worker: w.Ref, Epoch: 1, Slots: granted})
		return p
	}
	t.Run("no credit at all", func(t *testing.T) {
		out := newPool(0).Step(testStart, Submit{Job: "j", Demands: declared(1, 1)})
		must.Len(t, 1, asksOf(out))
	})
	t.Run("its credit is busy for long", func(t *testing.T) {
		p := newPool(1)
		p.Step(testStart, Submit{Job: "long", Demands: declared(1, 5000)})
		out := p.Step(testStart, Submit{Job: "j", Demands: declared(1, 1)})
		must.SliceEmpty(t, asksOf(out))
		out = p.Step(testStart.Add(askStuck), Tick{})
		must.Len(t, 1, asksOf(out))
	})
}

// TestOneTeamsFloodLeavesOthersTheirShare submits one team's jobs in a row, and
// then one job of another team.
func TestOneTeamsFloodLeavesOthersTheirShare(t *testing.T) {
	const flood = 50
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	for n := range flood {
		p.Step(testStart, Submit{Job: contract.JobID(fmt.Sprint("flood", n)), Team: "a", Demands: declared(1, 500)})
	}
	p.Step(testStart, Submit{Job: "other", Team: "b", Demands: declared(1, 500)})
	ref := testWorker(0, contract.Capacity{}).Ref
	running := contract.TaskID{Job: "flood0"}
	now := testStart
	before := 0
	for running.Job != "other" {
		now = now.Add(500 * time.Millisecond)
		out := placesOf(p.Step(now, Finished{Task: running, Worker: ref, Elapsed: 500 * time.Millisecond}))
		must.Len(t, 1, out)
		running = out[0].Task
		before++
	}
	must.LessEq(t, 3, before)
}

// TestLastWorkerThatDrainsTakesAdmittedJobs holds that a job in progress is not
// cut off by the drain of the pool's last worker, and that new ones are refused.
func TestLastWorkerThatDrainsTakesAdmittedJobs(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 1}, contract.Capacity{Slots: 1})
	p.Step(testStart, Submit{Job: "j", Demands: declared(5, 100)})
	drain := func(i int) []Place {
		w := testWorker(i, contract.Capacity{Slots: 1})
		w.Draining = true
		return placesOf(p.Step(testStart, WorkerUp{Worker: w}))
	}
	must.SliceEmpty(t, drain(0))
	must.Len(t, 3, drain(1))
	must.SliceEmpty(t, drain(1))
	must.True(t, contract.ErrNoUpstream.Is(refusalOf(t, p.Step(testStart, Submit{Job: "new", Demands: declared(1, 100)}))))
}

// TestPeersLeaveTheProbe holds that an entry that was told of an ejection goes
// on leaving the worker alone while the peer's probes fail.
func TestPeersLeaveTheProbe(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 2}, contract.Capacity{Slots: 2})
	bad := testWorker(0, contract.Capacity{}).Ref
	p.Step(testStart, Peers{Self: "b", Peers: []contract.HostID{"a"}})
	report := WorkerSuspected{From: "a", Suspect: &contract.WorkerSuspect{Worker: bad.Host, Incarnation: bad.Incarnation, Failures: 2, Ejected: true}}
	p.Step(testStart, report)
	p.Step(testStart.Add(firstEjection), report)
	now := testStart.Add(peerFactor*firstEjection + time.Second)
	p.Step(now, Tick{})
	for _, pl := range placesOf(p.Step(now, Submit{Job: "j", Demands: declared(4, 100)})) {
		must.NotEq(t, bad, pl.Worker)
	}
	report.Suspect = &contract.WorkerSuspect{Worker: bad.Host, Incarnation: bad.Incarnation}
	must.Len(t, 2, placesOf(p.Step(now, report)))
}

// TestDoesNotAskForSlotsThatItHas holds that work that waits for memory is no
// reason to ask for slots.
func TestDoesNotAskForSlotsThatItHas(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 8, MemoryMB: 100})
	p.Step(testStart, Peers{Self: "a", Peers: []contract.HostID{"b"}})
	large := []contract.Demand{{MemoryMB: 60, Millis: 5000}, {MemoryMB: 60, Millis: 5000}}
	must.Len(t, 1, placesOf(p.Step(testStart, Submit{Job: "j", Demands: large})))
	must.SliceEmpty(t, asksOf(p.Step(testStart.Add(time.Second), Tick{})))
}
