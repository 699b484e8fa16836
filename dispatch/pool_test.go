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

// TestMain fixes rapid's seed and limits, so that each run checks the same
// random sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var testStart = time.Unix(1_700_000_000, 0)

// testWorker returns worker i with the given capacity.
func testWorker(i int, c contract.Capacity) host.Worker {
	ref := host.Ref{Host: contract.HostID(fmt.Sprintf("w%02d", i)), Incarnation: 1}
	return host.Worker{Identity: host.Identity{Ref: ref}, Capacity: c}
}

// poolWith returns a pool with workers of the given capacities, whose slots are
// all granted to this entry.
func poolWith(cfg Config, caps ...contract.Capacity) *Pool {
	p := NewPool(cfg)
	for i, c := range caps {
		w := testWorker(i, c)
		p.Step(testStart, WorkerUp{Worker: w})
		p.Step(testStart, CreditGranted{Worker: w.Ref, Epoch: 1, Slots: c.Slots})
	}
	return p
}

// placesOf returns the placements among the actions.
func placesOf(actions []Action) []Place {
	var out []Place
	for _, a := range actions {
		if p, ok := a.(Place); ok {
			out = append(out, p)
		}
	}
	return out
}

// refusalOf returns the error of the first refusal among the actions. It fails
// the test if there is none.
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

// declared returns n demands with the given declared run time.
func declared(n, millis int) []contract.Demand {
	out := make([]contract.Demand, n)
	for i := range out {
		out[i] = contract.Demand{DeclaredMillis: millis}
	}
	return out
}

// TestSmallJobIsNotBehindBigOne checks that a small job is served before a big
// one that was submitted earlier.
func TestSmallJobIsNotBehindBigOne(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	p.Step(testStart, Submit{Job: "running", Demands: declared(1, 100)})
	p.Step(testStart, Submit{Job: "big", Demands: declared(100, 500)})
	p.Step(testStart, Submit{Job: "small", Demands: declared(1, 100)})
	out := placesOf(p.Step(testStart.Add(time.Second), Finished{Task: contract.TaskID{Job: "running"}, Worker: testWorker(0, contract.Capacity{}).Ref, Elapsed: time.Second}))
	must.Len(t, 1, out)
	must.Eq(t, "small", out[0].Task.Job)
}

// TestBigJobIsNotStarved submits small jobs continuously and checks that the
// last task of a big job starts within a bound. Small jobs overtake the big one
// only until its age compensates for its work. To this time the bound adds the
// run time of its own tasks and one second for the task in progress.
func TestBigJobIsNotStarved(t *testing.T) {
	const tasks, millis = 10, 1000
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	ref := testWorker(0, contract.Capacity{}).Ref
	p.Step(testStart, Submit{Job: "big", Demands: declared(tasks, millis)})
	running := contract.TaskID{Job: "big", Index: 0}
	started := 1
	now := testStart
	const work = tasks * millis * time.Millisecond
	bound := testStart.Add(work/agingRate + work + time.Second)
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

// TestNeverFitsSaysWhy checks the refusals of demands that exceed every worker
// and of demands that fit only a worker that is gone or draining.
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

// TestRefusesWhatCannotMeetItsDeadline checks that a job that would end after
// its deadline is refused on submission, and that a smaller one with the same
// deadline is admitted.
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

// TestFailingWorkerIsEjectedAndProbed checks that a worker that fails all of
// its tasks gets at most two tasks before it is ejected, and that it gets a
// single task as a probe once the ejection has expired.
func TestFailingWorkerIsEjectedAndProbed(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 4}, contract.Capacity{Slots: 4})
	bad := testWorker(0, contract.Capacity{}).Ref
	now := testStart
	var placedOnBad int
	for n := range 40 {
		now = now.Add(time.Millisecond)
		job := contract.JobID(fmt.Sprint("j", n))
		for _, place := range placesOf(p.Step(now, Submit{Job: job, Demands: declared(1, 1)})) {
			failed := place.Worker == bad
			if failed {
				placedOnBad++
			}
			p.Step(now, Finished{Task: place.Task, Worker: place.Worker, Elapsed: time.Millisecond, Failed: failed})
		}
	}
	must.LessEq(t, 2, placedOnBad)

	now = now.Add(minEjectionTime)
	p.Step(now, Tick{})
	out := placesOf(p.Step(now, Submit{Job: "burst", Demands: declared(8, 1000)}))
	probes := 0
	for _, place := range out {
		if place.Worker == bad {
			probes++
		}
	}
	must.Eq(t, 1, probes)
}

// TestLastWorkerIsProbedAtOnce checks that an ejection ends at once when the
// last other worker leaves. The pool would otherwise start nothing until the
// ejection expires.
func TestLastWorkerIsProbedAtOnce(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 4}, contract.Capacity{Slots: 4})
	bad, good := testWorker(0, contract.Capacity{}).Ref, testWorker(1, contract.Capacity{}).Ref
	now := testStart
	for n := range 40 {
		now = now.Add(time.Millisecond)
		for _, place := range placesOf(p.Step(now, Submit{Job: contract.JobID(fmt.Sprint("j", n)), Demands: declared(5, 1)})) {
			p.Step(now, Finished{Task: place.Task, Worker: place.Worker, Elapsed: time.Millisecond, Failed: place.Worker == bad})
		}
	}
	must.SliceLen(t, 1, p.ejected)
	must.Positive(t, p.queuedTasks)
	out := placesOf(p.Step(now, WorkerDown{Worker: good}))
	must.SliceLen(t, 1, out)
	must.Eq(t, bad, out[0].Worker)
}

// TestFailuresOfOneJobDoNotEject checks that a job that fails on every worker
// doesn't cause an ejection, since the job itself is the likely cause.
func TestFailuresOfOneJobDoNotEject(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 8}, contract.Capacity{Slots: 8})
	for _, place := range placesOf(p.Step(testStart, Submit{Job: "poison", Demands: declared(16, 1)})) {
		p.Step(testStart, Finished{Task: place.Task, Worker: place.Worker, Elapsed: time.Millisecond, Failed: true})
	}
	must.SliceEmpty(t, p.ejected)
}

// TestDeclaredTimesAreCorrected checks that the estimates for a team that
// declares a hundredth of the actual run times, and for one that declares them
// correctly, come near the actual run time. The declaration of a team without
// observations cannot lower its estimate far below the route's typical run
// time.
func TestDeclaredTimesAreCorrected(t *testing.T) {
	e := newEstimator()
	tooLow := contract.Demand{DeclaredMillis: 10}
	accurate := contract.Demand{DeclaredMillis: 1000}
	for range 100 {
		e.observe("too low", "r", tooLow, time.Second)
		e.observe("accurate", "r", accurate, time.Second)
	}
	must.Between(t, 900*time.Millisecond, e.estimate("too low", "r", tooLow), 1100*time.Millisecond)
	must.Between(t, 900*time.Millisecond, e.estimate("accurate", "r", accurate), 1100*time.Millisecond)
	minEstimate := time.Second / maxDeviationFactor * 9 / 10
	must.Greater(t, minEstimate, e.estimate("new team", "r", contract.Demand{DeclaredMillis: 1}))
}

// TestSharesReturnCreditsOfDepartedEntry checks that the slots of a departed
// entry are granted to the others, and that the slots which its tasks still use
// are granted only when these tasks end.
func TestSharesReturnCreditsOfDepartedEntry(t *testing.T) {
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
		for _, g := range s.TaskEnded("b", 1) {
			must.Eq(t, 4, g.Slots)
		}
	}
	must.SliceEmpty(t, s.TaskEnded("b", 1))
	must.SliceEmpty(t, s.TaskEnded("a", 1))
}

// TestWithdrawnJobIsResubmitted submits a withdrawn job again while a task of
// its first submission is running. It checks that the task of the second
// submission is placed on another worker, and that both release their slots.
func TestWithdrawnJobIsResubmitted(t *testing.T) {
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
	must.MapEmpty(t, p.superseded)
}

// asksOf returns the CreditAsk messages among the actions.
func asksOf(actions []Action) []*contract.CreditAsk {
	var asks []*contract.CreditAsk
	for _, a := range actions {
		if send, ok := a.(SendMessage); ok {
			if ask, ok := send.Message.(*contract.CreditAsk); ok {
				asks = append(asks, ask)
			}
		}
	}
	return asks
}

// TestAsksForShortWorkWithoutCredits checks that an entry asks for credits even
// for little work if it has no free credit to start it with: at once if it has
// no credits, and after askStallTime if they are in use.
func TestAsksForShortWorkWithoutCredits(t *testing.T) {
	w := testWorker(0, contract.Capacity{Slots: 8})
	newPool := func(granted int) *Pool {
		p := NewPool(Config{})
		p.Step(testStart, PeersChanged{Self: "a", Peers: []contract.HostID{"b"}})
		p.Step(testStart, WorkerUp{Worker: w})
		p.Step(testStart, CreditGranted{Worker: w.Ref, Epoch: 1, Slots: granted})
		return p
	}
	t.Run("no credits", func(t *testing.T) {
		out := newPool(0).Step(testStart, Submit{Job: "j", Demands: declared(1, 1)})
		must.Len(t, 1, asksOf(out))
	})
	t.Run("only credit in use", func(t *testing.T) {
		p := newPool(1)
		p.Step(testStart, Submit{Job: "long", Demands: declared(1, 5000)})
		out := p.Step(testStart, Submit{Job: "j", Demands: declared(1, 1)})
		must.SliceEmpty(t, asksOf(out))
		out = p.Step(testStart.Add(askStallTime), Tick{})
		must.Len(t, 1, asksOf(out))
	})
}

// TestOneTeamsFloodLeavesOthersTheirShare submits many jobs of one team, and
// then one job of another team. It checks that the latter is placed after at
// most three of the former.
func TestOneTeamsFloodLeavesOthersTheirShare(t *testing.T) {
	const floodJobs = 50
	p := poolWith(Config{}, contract.Capacity{Slots: 1})
	for n := range floodJobs {
		p.Step(testStart, Submit{Job: contract.JobID(fmt.Sprint("flood", n)), Team: "a", Demands: declared(1, 500)})
	}
	p.Step(testStart, Submit{Job: "other", Team: "b", Demands: declared(1, 500)})
	ref := testWorker(0, contract.Capacity{}).Ref
	running := contract.TaskID{Job: "flood0"}
	now := testStart
	finishedBefore := 0
	for running.Job != "other" {
		now = now.Add(500 * time.Millisecond)
		out := placesOf(p.Step(now, Finished{Task: running, Worker: ref, Elapsed: 500 * time.Millisecond}))
		must.Len(t, 1, out)
		running = out[0].Task
		finishedBefore++
	}
	must.LessEq(t, 3, finishedBefore)
}

// TestLastDrainingWorkerTakesAdmittedJobs checks that the queued tasks of an
// admitted job are placed when the pool's last worker starts to drain, and that
// new jobs are refused from then on.
func TestLastDrainingWorkerTakesAdmittedJobs(t *testing.T) {
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

// TestProbeIsLeftToTheReportingPeer checks that an entry doesn't place tasks on
// a worker that a peer reported as ejected while the peer's probes fail, and
// that it does so again once the peer reports the worker's recovery.
func TestProbeIsLeftToTheReportingPeer(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 2}, contract.Capacity{Slots: 2})
	bad := testWorker(0, contract.Capacity{}).Ref
	p.Step(testStart, PeersChanged{Self: "b", Peers: []contract.HostID{"a"}})
	report := WorkerSuspected{From: "a", Suspect: &contract.WorkerSuspect{Worker: bad.Host, Incarnation: bad.Incarnation, Failures: 2, Ejected: true}}
	p.Step(testStart, report)
	p.Step(testStart.Add(minEjectionTime), report)
	now := testStart.Add(peerEjectionFactor*minEjectionTime + time.Second)
	p.Step(now, Tick{})
	for _, place := range placesOf(p.Step(now, Submit{Job: "j", Demands: declared(4, 100)})) {
		must.NotEq(t, bad, place.Worker)
	}
	report.Suspect = &contract.WorkerSuspect{Worker: bad.Host, Incarnation: bad.Incarnation}
	must.Len(t, 2, placesOf(p.Step(now, report)))
}

// TestDoesNotAskForSlotsWhileSomeAreFree checks that an entry doesn't ask for
// credits for a task that waits for memory.
func TestDoesNotAskForSlotsWhileSomeAreFree(t *testing.T) {
	p := poolWith(Config{}, contract.Capacity{Slots: 8, MemoryMB: 100})
	p.Step(testStart, PeersChanged{Self: "a", Peers: []contract.HostID{"b"}})
	large := []contract.Demand{{MemoryMB: 60, DeclaredMillis: 5000}, {MemoryMB: 60, DeclaredMillis: 5000}}
	must.Len(t, 1, placesOf(p.Step(testStart, Submit{Job: "j", Demands: large})))
	must.SliceEmpty(t, asksOf(p.Step(testStart.Add(time.Second), Tick{})))
}

// TestFitsTheServingOfTwoGroups gives the pool two groups of workers that fit the
// task, the first of which has drained: the task must run on the other one,
// whatever the order of the groups.
func TestFitsTheServingOfTwoGroups(t *testing.T) {
	for _, gone := range []int{0, 1} {
		p := poolWith(Config{}, contract.Capacity{Slots: 4}, contract.Capacity{Slots: 8})
		p.Step(testStart, WorkerDown{Worker: testWorker(gone, contract.Capacity{}).Ref})
		actions := p.Step(testStart, Submit{Job: "a", Demands: []contract.Demand{{Slots: 2}}})
		for _, a := range actions {
			if r, ok := a.(Refuse); ok {
				t.Fatalf("worker %d gone: refused: %v", gone, r.Err)
			}
		}
		must.Len(t, 1, placesOf(actions))
	}
}
