package directstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

const ms = time.Millisecond

// harness drives a Dispatcher and sorts its actions.
type harness struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Duration
	starts  []Start
	stops   []Stop
	answers map[contract.DurableJobID]Answer
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, d: New(rand.New(rand.NewPCG(1, 2))), now: time.Second, answers: map[contract.DurableJobID]Answer{}}
}

func (h *harness) do(e Event) {
	for _, a := range h.d.Handle(h.now, e) {
		switch a := a.(type) {
		case Start:
			h.starts = append(h.starts, a)
		case Stop:
			h.stops = append(h.stops, a)
		case Answer:
			must.MapNotContainsKey(h.t, h.answers, a.ID, must.Sprint("a job is answered once"))
			h.answers[a.ID] = a
		}
	}
}

// offer sends an offer of a worker with the given cores, of which some are free.
func (h *harness) offer(l LinkID, cores, free int, taken uint64) {
	c := func(n int) contract.Capacity { return contract.Capacity{MilliCPU: n * 1000, MemoryMB: 1000} }
	h.do(Offer{l, contract.DirectOffer{Open: true, Pool: "p", Capacity: c(cores), Free: c(free), Taken: taken}})
}

// submit submits a job with an objective of 1.6 times its run time plus 60 ms.
func (h *harness) submit(id string, count, millis int) {
	h.do(Submit{contract.DurableJob{
		ID: contract.DurableJobID(id), Queue: "q", Pool: "p", MaxAttempts: 2, Slack: 1.6, Target: 60 * ms,
		Steps: []contract.DurableStep{{Count: count, Demand: contract.Demand{MilliCPU: 1000, MemoryMB: 1, DeclaredMillis: millis}}},
	}, h.now})
}

// end reports the end of a start.
func (h *harness) end(s Start, k contract.RunEndKind) {
	h.do(End{s.Link, contract.DirectEnd{RunRef: s.Start.RunRef, Kind: k, NoCapacity: k == contract.EndNotStarted}})
}

// advance lets time pass with an offer of each link at intervals, as agents send them.
func (h *harness) advance(d time.Duration, cores, free int, links ...LinkID) {
	for end := h.now + d; h.now < end; {
		h.now = min(h.now+50*ms, end)
		h.do(Tick{})
		for _, l := range links {
			h.offer(l, cores, free, 1000)
		}
	}
}

// TestTasksAreSpreadOverAgents covers a job of eight tasks and eight idle agents: a
// lost worker should not take all tasks with it.
func TestTasksAreSpreadOverAgents(t *testing.T) {
	h := newHarness(t)
	for l := range LinkID(8) {
		h.offer(l+1, 32, 32, 0)
	}
	h.submit("a", 8, 60)
	must.Len(t, 8, h.starts)
	per := map[LinkID]int{}
	for _, s := range h.starts {
		per[s.Link]++
		must.Greater(t, 0, s.Number)
	}
	must.Greater(t, 3, len(per))
	for _, s := range h.starts {
		h.end(s, contract.EndDone)
	}
	must.Eq(t, Completed, h.answers["a"].Result)
	must.Eq(t, 0, h.d.Jobs())
}

// TestEnds lists what an entry does with each end of a job's only run.
func TestEnds(t *testing.T) {
	cases := []struct {
		name  string
		kinds []contract.RunEndKind
		want  Result
		// starts is the number of starts in all.
		starts int
	}{
		{"done", []contract.RunEndKind{contract.EndDone}, Completed, 1},
		{"failed, then done", []contract.RunEndKind{contract.EndFailed, contract.EndDone}, Completed, 2},
		{"out of attempts", []contract.RunEndKind{contract.EndFailed, contract.EndFailed}, Failed, 2},
		{"not started, then done", []contract.RunEndKind{contract.EndNotStarted, contract.EndDone}, Completed, 2},
		{"stopped by the agent", []contract.RunEndKind{contract.EndStopped}, Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.offer(1, 4, 4, 0)
			h.offer(2, 4, 4, 0)
			h.submit("a", 1, 60)
			for _, k := range c.kinds {
				must.MapEmpty(t, h.answers)
				h.end(h.starts[len(h.starts)-1], k)
			}
			must.Eq(t, c.want, h.answers["a"].Result)
			must.Len(t, c.starts, h.starts)
		})
	}
}

// TestRefusalsAreBounded replays agents whose room other entries have taken: the job
// is refused after a bounded number of starts, and the refusal is right that nothing
// ran.
func TestRefusalsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.submit("none", 1, 900)
	must.Eq(t, Refused, h.answers["none"].Result, must.Sprint("no agent offers anything"))
	h.offer(1, 4, 4, 0)
	h.submit("large", 1, 900)
	for i := 0; h.answers["large"].Result == 0; i++ {
		must.Less(t, 2*maxRefusals, i)
		h.end(h.starts[len(h.starts)-1], contract.EndNotStarted)
		h.now += refusalPause
		h.offer(1, 4, 4, 1000)
	}
	must.Eq(t, Refused, h.answers["large"].Result)
	must.Len(t, maxRefusals, h.starts)
}

// TestBurstBeyondCapacity replays a burst of twenty times the capacity of one worker.
// Jobs that can't begin in time are refused at once, the others wait and begin as
// runs end; no start exceeds the capacity.
func TestBurstBeyondCapacity(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 4, 4, 0)
	for i := range 80 {
		h.submit(fmt.Sprint("j", i), 1, 60)
	}
	must.Len(t, 4, h.starts)
	refused := len(h.answers)
	must.Between(t, 65, refused, 76)
	for _, a := range h.answers {
		must.Between(t, minRetryAfter, a.RetryAfter, maxRetryAfter)
	}
	for i := 0; i < len(h.starts); i++ {
		if i%4 == 0 {
			h.now += 20 * ms
		}
		h.end(h.starts[i], contract.EndDone)
		must.LessEq(t, i+5, len(h.starts), must.Sprint("more than four runs at once"))
	}
	must.Eq(t, 0, h.d.Jobs())
	must.Greater(t, 4, len(h.starts))
}

// TestWaitingJobsAreGivenUp covers jobs that wait while other entries keep the workers
// busy: their callers get a refusal once their result would be of no use.
func TestWaitingJobsAreGivenUp(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 4, 0, 0)
	h.submit("a", 2, 60)
	must.MapEmpty(t, h.answers)
	h.advance(500*ms, 4, 0, 1)
	must.Eq(t, Refused, h.answers["a"].Result)
	must.SliceEmpty(t, h.starts)
}

// TestLostLinkMakesTheOutcomeUnknown covers an agent that is lost with one of two
// tasks: the other one is stopped, nothing starts again, and the answer comes only when
// the lost run is certainly over.
func TestLostLinkMakesTheOutcomeUnknown(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 1, 1, 0)
	h.offer(2, 1, 1, 0)
	h.submit("a", 2, 900)
	must.Len(t, 2, h.starts)
	h.do(LinkLost{1})
	must.Len(t, 1, h.stops)
	must.Eq(t, LinkID(2), h.stops[0].Link)
	h.advance(lossWait-expireInterval, 1, 1, 2)
	must.MapEmpty(t, h.answers)
	h.advance(expireInterval, 1, 1, 2)
	must.Eq(t, Unknown, h.answers["a"].Result)
	must.Len(t, 2, h.starts)
}

// TestAgentsThatCloseLeaveNoJobBehind covers a leader that is back: agents withdraw
// their offers. A job that has not begun is refused; of one that has, the rest can't
// start any more.
func TestAgentsThatCloseLeaveNoJobBehind(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 2, 2, 0)
	h.submit("runs", 1, 60)
	h.submit("half", 2, 900)
	h.submit("waits", 1, 900)
	must.Len(t, 2, h.starts)
	for range 12 {
		h.now += 50 * ms
		h.do(Offer{1, contract.DirectOffer{Pool: "p", Taken: 2}})
	}
	must.Eq(t, Refused, h.answers["waits"].Result)
	must.Eq(t, Unknown, h.answers["half"].Result)
	must.Len(t, 1, h.stops)
	must.MapNotContainsKey(t, h.answers, "runs")
	h.end(h.starts[0], contract.EndDone)
	must.Eq(t, Completed, h.answers["runs"].Result)
}

// TestAbandonedJobIsStopped covers a caller that goes away, and one that sends its job
// again after the answer.
func TestAbandonedJobIsStopped(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 4, 4, 0)
	h.submit("a", 2, 60)
	h.do(Abandon{"a"})
	must.Len(t, 2, h.stops)
	must.MapEmpty(t, h.answers)
	h.submit("a", 2, 60)
	must.Eq(t, Unknown, h.answers["a"].Result, must.Sprint("the runs of the first submission may be alive"))
	must.Len(t, 2, h.starts)
	h.submit("b", 1, 60)
	h.submit("b", 1, 60)
	must.Len(t, 3, h.starts, must.Sprint("the second caller waits for the same run"))
	h.end(h.starts[2], contract.EndDone)
	delete(h.answers, "b")
	h.submit("b", 1, 60)
	must.Eq(t, Completed, h.answers["b"].Result)
	must.Len(t, 3, h.starts, must.Sprint("a completed job is not run again"))
}

// TestFrozenEntryStartsNothing covers an entry that was frozen while its callers sent
// their jobs to another one.
func TestFrozenEntryStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 1, 1, 0)
	h.submit("runs", 1, 5000)
	h.submit("waits", 1, 5000)
	must.Len(t, 1, h.starts)
	h.now += 3 * time.Second
	h.offer(1, 4, 4, 1)
	h.submit("buffered", 1, 5000)
	must.Len(t, 1, h.starts)
	must.Eq(t, Unknown, h.answers["runs"].Result)
	must.Eq(t, Refused, h.answers["waits"].Result)
	must.Eq(t, Refused, h.answers["buffered"].Result)
	h.advance(afterFreeze, 4, 4, 1)
	h.submit("later", 1, 60)
	must.Len(t, 2, h.starts)
}

// TestWaitingTasksFollowTheQueues guards against a job that waits for agents of a pool that
// its route has left.
func TestWaitingTasksFollowTheQueues(t *testing.T) {
	h := newHarness(t)
	h.offer(1, 1, 1, 0)
	h.submit("j", 2, 100)
	must.Len(t, 1, h.starts)
	capacity := contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}
	h.do(Offer{2, contract.DirectOffer{Open: true, Pool: "p2", Capacity: capacity, Free: capacity}})
	must.Len(t, 1, h.starts, must.Sprint("an agent of another pool"))
	queues := func(pool string) []contract.Queue {
		return []contract.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool}}
	}
	h.do(QueuesChanged{contract.NewQueueChange(queues("p"), queues("p2"))})
	must.Len(t, 2, h.starts)
	must.Eq(t, 2, h.starts[1].Link)
	h.end(h.starts[0], contract.EndDone)
	h.end(h.starts[1], contract.EndDone)
	must.Eq(t, Completed, h.answers["j"].Result)
}
