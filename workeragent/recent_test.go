package workeragent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// newTestInstance returns an agent with a worker instance that calls no worker.
func newTestInstance(now time.Duration) (*Agent, *workerInstance) {
	a := New(Config{Uplink: uplink.Config{Log: logr.Discard()}, Connect: func(contract.WorkerAnnouncement) WorkerClient { return noClient{} }})
	a.ctx = context.Background()
	a.recent.begin(now)
	a.instance = newWorkerInstance(a, contract.WorkerAnnouncement{ID: "w"})
	a.instance.inSession = true
	return a, a.instance
}

// start makes the run one that may be alive on the worker.
func (w *workerInstance) start(ref contract.RunRef) {
	name := NamedRun{Name: fmt.Sprint(ref.Job, ".", ref.Task), Run: ref.Run}
	w.runs[name] = &run{ref: ref, phase: phaseRunning}
	w.nameByRef[ref] = name
}

// end makes the worker list the run as ended, and returns its sequence number.
func (w *workerInstance) end(ref contract.RunRef, kind contract.RunEndKind) uint64 {
	w.recordEnds([]EndedRun{{NamedRun: w.nameByRef[ref], Seq: w.lastSeq + 1, Kind: kind}})
	return w.lastSeq
}

// TestRecordIsBoundedAndSaysSinceWhenItIsComplete guards against a record that loses
// runs without saying so: a leader would take their jobs for jobs that never began.
func TestRecordIsBoundedAndSaysSinceWhenItIsComplete(t *testing.T) {
	end := func(run int) contract.RunEnded {
		return contract.RunEnded{RunRef: contract.RunRef{Job: "j", Run: uint64(run)}, Kind: contract.EndDone}
	}
	r := recentRuns{}
	r.begin(time.Second)
	r.begin(2 * time.Second)
	r.add(3*time.Second, end(1))
	r.add(3*time.Second+recentRetention, end(2))
	must.Len(t, 2, r.runs)
	must.Eq(t, time.Second, r.since, must.Sprint("only the runs of an earlier process are missing"))
	r.add(4*time.Second+recentRetention, end(3))
	must.Len(t, 2, r.runs)
	must.Eq(t, 3*time.Second, r.since)
	for i := range maxRecentRuns {
		r.add(10*time.Second+time.Duration(i), end(i))
	}
	must.Len(t, maxRecentRuns, r.runs)
	r.add(11*time.Second, end(1))
	must.Len(t, maxRecentRuns, r.runs)
	must.Eq(t, 10*time.Second, r.since)
}

// TestRecordTellsEndsThatCountFromRunsWithoutResult takes runs to their ends in the
// ways in which a session can end. Only acknowledged ends have a result, but all other
// runs may have run.
func TestRecordTellsEndsThatCountFromRunsWithoutResult(t *testing.T) {
	kinds := func(a *Agent) map[uint64]contract.RunEndKind {
		r := contract.WorkerReport{}
		a.fillRecent(3*time.Second, &r)
		must.Eq(t, 2*time.Second, r.RecentSince)
		m := map[uint64]contract.RunEndKind{}
		for _, e := range r.Recent {
			m[e.Run] = e.Kind
		}
		return m
	}
	want := map[uint64]contract.RunEndKind{
		1: contract.EndDone, 2: contract.EndFailed, 3: contract.EndStopped,
		4: contract.EndLeaseExpired, 5: contract.EndLeaseExpired, 6: contract.EndLeaseExpired,
	}
	for name, over := range map[string]func(*workerInstance){
		"lease running out": func(w *workerInstance) { w.inSession = false },
		"lease expired":     func(w *workerInstance) { w.awaitLeaseExpiry() },
		"worker replaced":   func(w *workerInstance) { w.stopTracking("test"); w.agent.instance = nil },
		"worker exited":     func(w *workerInstance) { w.workerExited("test") },
	} {
		t.Run(name, func(t *testing.T) {
			a, w := newTestInstance(time.Second)
			ref := func(run uint64) contract.RunRef { return contract.RunRef{Job: "j", Task: uint32(run), Run: run} }
			for run := uint64(1); run <= 5; run++ {
				w.start(ref(run))
			}
			w.pendingStarts = []contract.RunStart{{PlacedRun: contract.PlacedRun{RunRef: ref(6)}}}
			w.end(ref(1), contract.EndDone)
			w.end(ref(2), contract.EndFailed)
			acked := w.end(ref(3), contract.EndStopped)
			w.end(ref(4), contract.EndDone)
			w.ackEnds(acked)
			must.MapLen(t, 3, kinds(a), must.Sprint("the others are in Running or Ends"))
			over(w)
			must.Eq(t, want, kinds(a))
		})
	}
}
