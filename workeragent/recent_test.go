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
	end := contract.RunEnded{RunRef: contract.RunRef{Job: "j"}, Kind: contract.EndDone}
	r := recentRuns{since: time.Second}
	r.add(3*time.Second, end)
	r.add(3*time.Second+recentRetention, end)
	must.Eq(t, time.Second, r.since, must.Sprint("only the runs of an earlier process are missing"))
	for i := range maxRecentRuns + 1 {
		r.add(10*time.Second+time.Duration(i), end)
	}
	must.Len(t, maxRecentRuns, r.runs)
	must.Eq(t, 10*time.Second, r.since)
}

// TestRecordTellsEndsThatCountFromRunsWithoutResult ends a session in each way. Only
// acknowledged ends have a result, but all other runs may have run.
func TestRecordTellsEndsThatCountFromRunsWithoutResult(t *testing.T) {
	const void = contract.EndLeaseExpired
	want := map[uint64]contract.RunEndKind{1: contract.EndFailed, 2: contract.EndStopped, 3: void, 4: void, 5: void}
	for name, over := range map[string]func(*workerInstance){
		"lease running out": func(w *workerInstance) { w.inSession = false },
		"lease expired":     func(w *workerInstance) { w.awaitLeaseExpiry() },
		"worker replaced":   func(w *workerInstance) { w.stopTracking("test", contract.EndStopped); w.agent.instance = nil },
		"worker exited":     func(w *workerInstance) { w.workerExited("test") },
	} {
		t.Run(name, func(t *testing.T) {
			a, w := newTestInstance(time.Second)
			ref := func(run uint64) contract.RunRef { return contract.RunRef{Job: "j", Task: uint32(run), Run: run} }
			for run := uint64(1); run <= 4; run++ {
				w.start(ref(run))
			}
			w.pendingStarts = []contract.RunStart{{RunRef: ref(5)}}
			w.end(ref(1), contract.EndFailed)
			acked := w.end(ref(2), contract.EndStopped)
			w.end(ref(3), contract.EndDone)
			w.ackEnds(acked)
			over(w)
			r := contract.WorkerReport{}
			a.fillRecent(3*time.Second, &r)
			got := map[uint64]contract.RunEndKind{}
			for _, e := range r.Recent {
				got[e.Run] = e.Kind
			}
			must.Eq(t, want, got)
			must.Eq(t, 2*time.Second, r.RecentSince)
		})
	}
}
