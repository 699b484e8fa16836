package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

const objective = 50 * time.Millisecond

func completeAnswer(route string, lag time.Duration) contract.AnswerSample {
	return contract.AnswerSample{Route: route, Total: time.Second + lag, Work: time.Second, Outcome: contract.OutcomeRan}
}

// addAnswers adds one answer per second, from the second from after epoch until before
// the second to. Of every 100 answers, bad exceed the lag objective.
func addAnswers(t *Tracker, from, to, bad int) {
	for s := from; s < to; s++ {
		lag := objective / 2
		if s%100 < bad {
			lag = 2 * objective
		}
		t.Add(epoch.Add(time.Duration(s)*time.Second), completeAnswer("cards", lag), objective)
	}
}

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func budget(t *testing.T, r Report, name Indicator) Budget {
	t.Helper()
	for _, b := range r.Budgets {
		if b.Indicator == name {
			return b
		}
	}
	t.Fatalf("no budget of %s in %+v", name, r)
	return Budget{}
}

func TestJudge(t *testing.T) {
	for _, tc := range []struct {
		name      string
		sample    contract.AnswerSample
		objective time.Duration
		want      tally
	}{
		{"lag within objective", completeAnswer("r", objective), objective, tally{total: [3]uint32{1, 1, 1}}},
		{"lag over objective", completeAnswer("r", objective+1), objective, tally{total: [3]uint32{1, 1, 1}, bad: [3]uint32{1, 0, 0}}},
		{"no objective", completeAnswer("r", time.Hour), 0, tally{total: [3]uint32{0, 1, 1}}},
		{"refused, known not to have run", contract.AnswerSample{Kind: "overload", Outcome: contract.OutcomeNotRun}, objective, tally{total: [3]uint32{0, 1, 1}, bad: [3]uint32{0, 1, 0}}},
		{"unknown outcome", contract.AnswerSample{Kind: "upstream-lost", Outcome: contract.OutcomeUnknown}, objective, tally{total: [3]uint32{0, 1, 1}, bad: [3]uint32{0, 1, 1}}},
		{"cancelled", contract.AnswerSample{Kind: "cancelled", Outcome: contract.OutcomeUnknown}, objective, tally{}},
		{"over quota", contract.AnswerSample{Kind: "over-quota", Outcome: contract.OutcomeNotRun}, objective, tally{total: [3]uint32{0, 0, 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, classify(tc.sample, tc.objective)) })
	}
}

// A high burn rate raises a page alert. Once the rate falls, the short window clears
// the alert while the rate over the long window is still above the threshold.
func TestFastBurnPagesAndEndsSoonAfter(t *testing.T) {
	tr := New(Config{})
	addAnswers(tr, 0, 4*3600, 0)
	must.Eq(t, "", budget(t, Evaluate(tr.Counts(at(4*3600)), DefaultTargets()), Lag).Alert)
	addAnswers(tr, 4*3600, 5*3600, 20) // burn rate 20
	r := budget(t, Evaluate(tr.Counts(at(5*3600)), DefaultTargets()), Lag)
	must.Eq(t, Page, r.Alert)
	must.InDelta(t, 20, r.Windows[0].Rate, 0.5)
	addAnswers(tr, 5*3600, 5*3600+600, 0)
	r = budget(t, Evaluate(tr.Counts(at(5*3600+600)), DefaultTargets()), Lag)
	must.Eq(t, 0, r.Windows[0].Rate)
	must.Greater(t, 14.4, r.Windows[2].Rate, must.Sprint("the long window alone would still raise the alert"))
}

func TestSlowBurnRaisesATicket(t *testing.T) {
	tr := New(Config{})
	addAnswers(tr, 0, 72*3600, 2) // burn rate 2
	r := budget(t, Evaluate(tr.Counts(at(72*3600)), DefaultTargets()), Lag)
	must.Eq(t, Ticket, r.Alert)
	for _, w := range r.Windows {
		must.InDelta(t, 2, w.Rate, 0.05, must.Sprintf("window %s", w.Window))
	}
}

func TestCountsOlderThanTheWindowsExpire(t *testing.T) {
	tr := New(Config{})
	addAnswers(tr, 0, 3600, 50)
	must.Len(t, 0, Evaluate(tr.Counts(at(3600+73*3600)), DefaultTargets()).Budgets)
}

// A clock that goes back by more than the ring's span must not overwrite newer buckets.
func TestClockGoingBackKeepsNewerCounts(t *testing.T) {
	tr := New(Config{})
	addAnswers(tr, 100*3600, 100*3600+60, 0)
	addAnswers(tr, 0, 60, 0)
	c := tr.Counts(at(100*3600 + 60))
	must.Eq(t, 60, c.Routes[0].Indicators[0].Windows[0].Total)
}

func TestMergeAddsCountsOfHosts(t *testing.T) {
	a, b := New(Config{}), New(Config{})
	addAnswers(a, 0, 300, 0)
	addAnswers(b, 0, 300, 100)
	m := Merge(a.Counts(at(299)), b.Counts(at(299)))
	r := budget(t, Evaluate(m, DefaultTargets()), Lag)
	must.Eq(t, Count{Total: 600, Bad: 300}, r.Windows[0].Count)
	must.Eq(t, Count{Total: 60, Bad: 30}, r.Fine[0].Count)
}

func TestNumberOfRoutesIsBounded(t *testing.T) {
	tr := New(Config{MaxRoutes: 2 * shardCount})
	for i := range 1000 {
		tr.Add(epoch, completeAnswer(fmt.Sprint("route", i), 0), objective)
	}
	c := tr.Counts(epoch)
	must.LessEq(t, 3*shardCount, len(c.Routes))
	must.Eq(t, OtherRoutes, c.Routes[0].Route)
	var total uint64
	for _, r := range c.Routes {
		total += r.Indicators[0].Windows[0].Total
	}
	must.Eq(t, 1000, total)
}

func BenchmarkAdd(b *testing.B) {
	tr := New(Config{})
	s := completeAnswer("cards", 0)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tr.Add(epoch, s, objective)
		}
	})
}
