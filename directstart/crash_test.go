package directstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// crash reports that the worker of an agent has crashed under the runs that this entry
// started there, and under those of the other jobs.
func (h *harness) crash(l LinkID, others ...string) contract.WorkerCrash {
	c := contract.WorkerCrash{Instance: contract.WorkerInstance{ID: contract.HostID(fmt.Sprint(l)), StartedMillis: int64(h.now)}, Pool: "p"}
	var ends []End
	for ref, t := range h.d.agents[l].runs {
		c.Runs = append(c.Runs, contract.CrashedRun{Ref: ref, Queue: t.job.Queue})
		ends = append(ends, End{l, contract.DirectEnd{RunRef: ref, Kind: contract.EndLost}})
	}
	for _, o := range others {
		c.Runs = append([]contract.CrashedRun{{Ref: contract.RunRef{Job: contract.DurableJobID(o)}, Queue: "other"}}, c.Runs...)
	}
	h.do(Crash{c})
	h.do(Offer{l, contract.DirectOffer{}})
	for _, e := range ends {
		h.do(e)
	}
	return c
}

// agents lets n agents of four cores offer direct starts.
func (h *harness) agents(n int) {
	for l := range LinkID(n) {
		h.do(Offer{l + 1, contract.DirectOffer{Open: true, Pool: "p", Incarnation: contract.Incarnation(l + 1),
			Capacity: contract.Capacity{MilliCPU: 4000, MemoryMB: 1000}, Free: contract.Capacity{MilliCPU: 4000, MemoryMB: 1000}, Taken: 1000}})
	}
}

// TestDeadlyTaskIsGivenUpWithoutALeader: the count holds for direct starts.
func TestDeadlyTaskIsGivenUpWithoutALeader(t *testing.T) {
	h := newHarness(t)
	h.agents(8)
	h.submit("bad", 1, 60)
	crashes := 0
	for range 8 {
		if len(h.starts) <= crashes {
			break
		}
		others := []string{fmt.Sprint("o", crashes)}
		if h.starts[crashes].Alone {
			others = nil
		}
		h.crash(h.starts[crashes].Link, others...)
		crashes++
	}
	must.LessEq(t, quarantine.MaxCrashes, crashes)
	must.Eq(t, Failed, h.answers["bad"].Result)
}

// TestInnocentTaskIsNotFailedForCrashes: crashes beside others are neither failed attempts
// nor evidence.
func TestInnocentTaskIsNotFailedForCrashes(t *testing.T) {
	h := newHarness(t)
	h.agents(8)
	h.submit("a", 1, 600)
	for i := range quarantine.MaxCrashes {
		must.Len(t, i+1, h.starts, must.Sprint("it is started again at once"))
		h.crash(h.starts[i].Link, fmt.Sprint("x", i), fmt.Sprint("y", i))
	}
	must.Len(t, quarantine.MaxCrashes, h.starts)
	must.Eq(t, Unknown, h.answers["a"].Result)
}

func TestLostLeaseIsNoFailedAttempt(t *testing.T) {
	h := newHarness(t)
	h.agents(4)
	h.submit("a", 1, 60)
	h.end(h.starts[0], contract.EndLost)
	h.end(h.starts[1], contract.EndLost)
	must.Len(t, 3, h.starts)
	h.end(h.starts[2], contract.EndDone)
	must.Eq(t, Completed, h.answers["a"].Result)
	h.submit("b", 1, 60)
	for i := range maxLost {
		h.end(h.starts[3+i], contract.EndLost)
	}
	must.Eq(t, Unknown, h.answers["b"].Result, must.Sprint("bounded all the same"))
}

// TestCrashesHoldForAnotherEntry: the caller sends its job to another entry, which has
// learned of the crashes from the agents, also of those under a leader.
func TestCrashesHoldForAnotherEntry(t *testing.T) {
	for name, c := range map[string]struct {
		crashes [][]string
		want    Result
	}{
		"crashed twice, alone": {[][]string{{"a"}, {"a"}}, Failed},
		"three beside others":  {[][]string{{"a", "b"}, {"a", "c"}, {"a", "d"}}, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.agents(4)
			for i, jobs := range c.crashes {
				crash := contract.WorkerCrash{Instance: contract.WorkerInstance{ID: "w", StartedMillis: int64(i)}, Pool: "p", Age: 12 * time.Second}
				for _, j := range jobs {
					crash.Runs = append(crash.Runs, contract.CrashedRun{Ref: contract.RunRef{Job: contract.DurableJobID(j)}, Queue: "q"})
				}
				h.do(Crash{crash})
				h.do(Crash{crash})
			}
			h.submit("a", 1, 60)
			must.SliceEmpty(t, h.starts)
			must.Eq(t, c.want, h.answers["a"].Result)
		})
	}
}

// TestRefusalAfterACrashIsNotThatNothingRan: a crash under an earlier submission shows that
// a task may have run.
func TestRefusalAfterACrashIsNotThatNothingRan(t *testing.T) {
	h := newHarness(t)
	h.agents(1)
	h.do(Crash{contract.WorkerCrash{Instance: contract.WorkerInstance{ID: "w"}, Pool: "p", Runs: []contract.CrashedRun{
		{Ref: contract.RunRef{Job: "a"}, Queue: "q"}, {Ref: contract.RunRef{Job: "b"}, Queue: "q"}}}})
	h.submit("large", 1, 60)
	h.now += 20 * time.Second
	h.submit("a", 1, 60)
	must.Eq(t, Unknown, h.answers["a"].Result)
}

// confine confines the harness' queue "q".
func (h *harness) confine() {
	h.d.confinement.Crashed(h.now, quarantine.Queue{Pool: "p", Queue: "q"})
}

func TestConfinedQueueUsesItsShardOnly(t *testing.T) {
	h, second := newHarness(t), newHarness(t)
	for _, x := range []*harness{h, second} {
		x.agents(8)
		x.confine()
		for i := range 6 {
			x.submit(fmt.Sprint("a", i), 2, 60)
		}
	}
	used := map[LinkID]bool{}
	for _, s := range h.starts {
		must.True(t, s.Alone)
		used[s.Link] = true
	}
	must.MapLen(t, 2, used, must.Sprint("a quarter of eight agents, one job each"))
	must.Len(t, 4, h.starts)
	must.Eq(t, Refused, h.answers["a5"].Result, must.Sprint("what does not fit is refused at once"))
	must.Eq(t, confinedRetryAfter, h.answers["a5"].RetryAfter)
	for _, s := range second.starts {
		must.True(t, used[s.Link], must.Sprint("entries confine a queue to the same agents"))
	}
	before := len(h.starts)
	h.do(Submit{contract.DurableJob{ID: "other", Queue: "x", Pool: "p", MaxAttempts: 2, Slack: 1.6, Target: 60 * ms,
		Steps: []contract.DurableStep{{Count: 12, Demand: contract.Demand{MilliCPU: 1000, MemoryMB: 1, DeclaredMillis: 60}}}}, h.now})
	must.Len(t, before+12, h.starts)
	for _, s := range h.starts[before:] {
		must.False(t, used[s.Link])
	}
}

// TestSuspectIsNotBoundToAShard: the only agent of the shard may be the one whose worker has
// crashed.
func TestSuspectIsNotBoundToAShard(t *testing.T) {
	for first := range LinkID(2) {
		h := newHarness(t)
		h.agents(2)
		h.submit("a", 2, 600)
		must.Len(t, 2, h.starts)
		if h.starts[0].Link == h.starts[1].Link {
			continue
		}
		h.crash(first + 1)
		must.Len(t, 3, h.starts, must.Sprint("beside its own task, on the agent that is left"))
	}
}
