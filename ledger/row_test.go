package ledger

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/carawaylanding/carawaylanding/contract"
)

// seed makes the random histories identical in every run.
const seed = "20261203"

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

var baseTime = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// newRecord returns a record of task j/0 with the outcome and the worker.
func newRecord(o contract.Outcome, worker contract.HostID) contract.OutcomeRecord {
	return contract.OutcomeRecord{Task: contract.TaskID{Job: "j"}, Team: "t", Outcome: o, Worker: worker, Incarnation: 1, Attempt: 1, At: baseTime}
}

// TestJudge checks the verdict on a row and whether its records conflict.
func TestJudge(t *testing.T) {
	unknown := newRecord(contract.OutcomeUnknown, "w1")
	notRun := newRecord(contract.OutcomeNotRun, "")
	ran1 := newRecord(contract.OutcomeRan, "w1")
	ran2 := newRecord(contract.OutcomeRan, "w2")
	retried := newRecord(contract.OutcomeRan, "w1")
	retried.PossibleDuplicate = true
	round := func(n uint64, r contract.OutcomeRecord) contract.OutcomeRecord {
		r.Round = n
		return r
	}
	by := func(entry contract.HostID, r contract.OutcomeRecord) contract.OutcomeRecord {
		r.Entry = entry
		return r
	}
	cases := []struct {
		name     string
		records  []contract.OutcomeRecord
		want     Verdict
		conflict bool
	}{
		{"no record", nil, Unknown, false},
		{"unknown stays unknown", []contract.OutcomeRecord{unknown, unknown}, Unknown, false},
		{"known replaces unknown", []contract.OutcomeRecord{unknown, ran1}, RanOnce, false},
		{"unknown does not replace known", []contract.OutcomeRecord{ran1, unknown}, RanOnce, false},
		{"never ran", []contract.OutcomeRecord{notRun, unknown}, NeverRan, false},
		{"two entries agree", []contract.OutcomeRecord{ran1, ran1}, RanOnce, false},
		{"not started by one owner", []contract.OutcomeRecord{round(1, notRun)}, NeverRan, false},
		{"reported by its worker", []contract.OutcomeRecord{round(1, notRun), ran1}, RanOnce, false},
		{"unknown to the next owner", []contract.OutcomeRecord{round(1, notRun), round(2, unknown)}, Unknown, false},
		{"started by the next owner, and then fenced", []contract.OutcomeRecord{round(1, notRun), round(2, unknown), round(2, notRun)}, NeverRan, false},
		{"unknown to the owner that won the round", []contract.OutcomeRecord{round(2, notRun), by("hub3", round(2, unknown))}, Unknown, false},
		{"unknown to the owner that lost the round", []contract.OutcomeRecord{by("hub3", round(2, notRun)), round(2, unknown)}, NeverRan, false},
		{"unknown to its worker", []contract.OutcomeRecord{round(1, notRun), unknown}, Unknown, false},
		{"fenced by the next owner", []contract.OutcomeRecord{round(1, unknown), round(2, notRun)}, NeverRan, false},
		{"retried after an unknown attempt", []contract.OutcomeRecord{retried}, Ran, false},
		{"two workers", []contract.OutcomeRecord{ran1, ran2}, Ran, true},
		{"ran against not-run", []contract.OutcomeRecord{notRun, ran1}, Ran, true},
		{"ran after a resubmission", []contract.OutcomeRecord{round(1, notRun), round(2, ran1)}, RanOnce, false},
		{"not-run by a later round", []contract.OutcomeRecord{round(2, notRun), round(1, ran1)}, Ran, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row := Merge(c.records...)
			must.Eq(t, c.want, RowVerdict(row))
			must.Eq(t, c.conflict, HasConflict(row))
		})
	}
}

func drawRecord(t *rapid.T) contract.OutcomeRecord {
	return contract.OutcomeRecord{
		Task:              contract.TaskID{Job: "j"},
		Team:              rapid.SampledFrom([]string{"", "salon"}).Draw(t, "team"),
		Outcome:           rapid.SampledFrom([]contract.Outcome{contract.OutcomeUnknown, contract.OutcomeNotRun, contract.OutcomeRan}).Draw(t, "outcome"),
		Worker:            rapid.SampledFrom([]contract.HostID{"w1", "w2"}).Draw(t, "worker"),
		Incarnation:       contract.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Entry:             rapid.SampledFrom([]contract.HostID{"hub1", "hub2"}).Draw(t, "entry"),
		Round:             rapid.Uint64Range(0, 2).Draw(t, "round"),
		PossibleDuplicate: rapid.Bool().Draw(t, "unsure"),
		Attempt:           uint32(rapid.IntRange(0, 2).Draw(t, "attempt")),
		At:                baseTime.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at"))),
	}
}

// TestMergeIsAJoin checks that Merge does not depend on the order, grouping or
// repetition of records, and that it never loses a known outcome.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
		want := Merge(records...)
		must.Eq(t, want, Merge(rapid.Permutation(records).Draw(t, "order")...))
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		must.Eq(t, want, MergeRows(Merge(records[cut:]...), Merge(records[:cut]...)))
		must.Eq(t, want, MergeRows(want, Merge(records[:cut]...)))
		anyFinal := slices.ContainsFunc(records, final)
		must.Eq(t, anyFinal, slices.ContainsFunc(want.Records, final))
		if slices.ContainsFunc(records, func(r contract.OutcomeRecord) bool { return r.Outcome == contract.OutcomeRan }) {
			must.SliceContains(t, []Verdict{Ran, RanOnce}, RowVerdict(want))
		}
	})
}

func TestSeqSetAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set SeqSet
		model := make(map[uint64]bool)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			n := rapid.Uint64Range(1, 12).Draw(t, "n")
			if rapid.Bool().Draw(t, "add") {
				set = set.Add(n)
				model[n] = true
			} else {
				set = set.Remove(n)
				delete(model, n)
			}
		}
		var want []uint64
		for n := uint64(1); n <= 12; n++ {
			must.Eq(t, model[n], set.Has(n))
			if model[n] && n > 6 {
				want = append(want, n)
			}
		}
		must.Eq(t, want, set.Minus(SeqSet{{First: 1, Last: 6}}, 12))
		for i := 1; i < len(set); i++ {
			must.True(t, set[i-1].Last+1 < set[i].First)
		}
	})
}
