package workeragent

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
)

// quietClient starts every run and answers no poll.
type quietClient struct{ absentClient }

func (quietClient) Start(context.Context, StartCall) (Refusal, error) { return NotRefused, nil }

// reported returns the crashes in the next report to a leader.
func (a *Agent) reported() []contract.WorkerCrash { return a.recentCrashes(boottime.Now()) }

func TestCrashIsReportedWithItsRuns(t *testing.T) {
	a, w := newInstanceInSession(t, quietClient{})
	w.hadSession, w.confirmedLeaseEndMS = true, 1<<40
	for i := range 3 {
		st := startOf(fmt.Sprint("j", i), 0)
		st.Queue = "q"
		w.startRun(st, nil)
		must.NoError(t, a.group.Wait())
	}
	w.pendingStarts = []contract.RunStart{startOf("pending", 0)}
	w.workerExited("test")
	got := a.reported()
	must.Len(t, 1, got)
	must.Eq(t, contract.WorkerInstance{ID: "w"}, got[0].Instance)
	must.False(t, got[0].Partial)
	must.Len(t, 3, got[0].Runs, must.Sprint("a start that was not sent is under no crash"))
	for i, r := range got[0].Runs {
		must.Eq(t, contract.DurableJobID(fmt.Sprint("j", i)), r.Ref.Job, must.Sprint("in the order of their starts"))
		must.Eq(t, "q", r.Queue)
	}
	must.False(t, got[0].Alone())
	a.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w", StartedMillis: 5, Pool: "p"})
	must.Len(t, 1, a.reported(), must.Sprint("the next instance reports it too"))
}

func TestWorkerThatLeavesHasNotCrashed(t *testing.T) {
	for name, leave := range map[string]func(*Agent){
		"after its notice":        func(a *Agent) { a.HandleLeave("w") },
		"after it began to drain": func(a *Agent) { a.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w", Seq: 1, Draining: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			a, w := newInstanceInSession(t, quietClient{})
			w.startRun(startOf("j", 0), nil)
			must.NoError(t, a.group.Wait())
			leave(a)
			w.workerExited("test")
			must.SliceEmpty(t, a.reported())
		})
	}
}

// TestCrashOfADrainingAgentsWorker: the process of the agent ends, the worker does not
// leave.
func TestCrashOfADrainingAgentsWorker(t *testing.T) {
	a, w := newInstanceInSession(t, quietClient{})
	w.startRun(startOf("j", 0), nil)
	must.NoError(t, a.group.Wait())
	a.drainStep()
	w.workerExited("test")
	must.Len(t, 1, a.reported())
}

func TestRestartedAgentReportsAPartialCrash(t *testing.T) {
	a, w := newInstanceInSession(t, quietClient{})
	w.inSession = false
	a.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w", StartedMillis: 5, Pool: "p"})
	got := a.reported()
	must.Len(t, 1, got)
	must.True(t, got[0].Partial)
}

// exitedClient is a client of a worker whose process has exited.
type exitedClient struct{ absentClient }

func (exitedClient) Start(context.Context, StartCall) (Refusal, error) { return 0, ErrNotListening }

func TestStartThatFoundNoProcessIsUnderNoCrash(t *testing.T) {
	a, w := newInstanceInSession(t, exitedClient{})
	w.hadSession = true
	a.mu.Lock()
	w.startRun(startOf("j", 0), nil)
	a.mu.Unlock()
	must.NoError(t, a.group.Wait())
	must.MapEmpty(t, w.runs)
	w.workerExited("test")
	must.SliceEmpty(t, a.reported()[0].Runs)
}

// TestEntriesLearnOfACrashBeforeTheEnds: an entry that learned the end first would start
// the task again uncounted.
func TestEntriesLearnOfACrashBeforeTheEnds(t *testing.T) {
	a, w, e := newDirectAgent(t)
	var received chan contract.Message
	e.link, received = newLeaderLink(t)
	a.mu.Lock()
	a.entries[e.link] = e
	w.hadSession = true
	a.handleDirectStart(boottime.Now(), e, directStart("a"))
	w.stopTracking("test", contract.EndLost)
	a.mu.Unlock()
	crash, ok := (<-received).(*contract.DirectCrash)
	must.True(t, ok)
	must.True(t, crash.Crash.Alone())
	end, ok := (<-received).(*contract.DirectEnd)
	must.True(t, ok)
	must.Eq(t, contract.EndLost, end.Kind)
	later, received := newLeaderLink(t)
	(*entryHandler)(a).LinkUp(later)
	must.Eq(t, contract.KindDirectCrash, (<-received).MessageKind(), must.Sprint("and on each new link"))
}

func TestDirectStartOfAJobThatRunsAlone(t *testing.T) {
	for name, c := range map[string]struct {
		running      string
		runningAlone bool
		alone        bool
		starts       bool
	}{
		"on an idle worker":                    {"", false, true, true},
		"beside another job":                   {"b", false, true, false},
		"beside its own":                       {"a", true, true, true},
		"another job beside one that is alone": {"b", true, false, false},
		"another job beside another":           {"b", false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, w, e := newDirectAgent(t)
			if c.running != "" {
				w.runs[NamedRun{Name: "x", Run: 1}] = &run{ref: contract.RunRef{Job: contract.DurableJobID(c.running), Task: 1}, alone: c.runningAlone}
			}
			before := len(w.runs)
			st := directStart("a")
			st.Alone = c.alone
			a.mu.Lock()
			a.handleDirectStart(boottime.Now(), e, st)
			must.Eq(t, c.starts, len(w.runs) > before)
			a.mu.Unlock()
		})
	}
}
