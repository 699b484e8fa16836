// Package ledger keeps the outcome of every task: entries write outcomes in
// batches, control hosts sync and exchange them, and a reader merges the rows
// of a majority. The rows, the outbox and the sequence sets are pure; the
// store, the writer and the replica are the I/O around them.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Merge joins the records of one task into its row. The join is commutative,
// associative and idempotent, so that the order in which records arrive does
// not matter. A known outcome replaces an unknown one; records that agree
// become one; known records that contradict each other are all kept.
func Merge(records ...contract.OutcomeRecord) contract.OutcomeRow {
	var claims []contract.OutcomeRecord
	var team, route string
	for _, r := range records {
		team = max(team, r.Team)
		route = max(route, r.Route)
		claims = addClaim(claims, r)
	}
	if slices.ContainsFunc(claims, known) {
		claims = slices.DeleteFunc(claims, func(r contract.OutcomeRecord) bool { return !known(r) })
	}
	claims = dropSuperseded(claims)
	for i := range claims {
		claims[i].Team = team
		claims[i].Route = route
	}
	slices.SortFunc(claims, compareClaims)
	return contract.OutcomeRow{Records: claims}
}

// dropSuperseded drops the not-run of an earlier submission of a key once a
// later one has run the task.
func dropSuperseded(claims []contract.OutcomeRecord) []contract.OutcomeRecord {
	var last uint64
	for _, r := range claims {
		if r.Outcome == contract.OutcomeRan {
			last = max(last, r.Round)
		}
	}
	return slices.DeleteFunc(claims, func(r contract.OutcomeRecord) bool {
		return r.Outcome == contract.OutcomeNotRun && r.Round > 0 && r.Round <= last
	})
}

// MergeRows joins two rows of one task.
func MergeRows(a, b contract.OutcomeRow) contract.OutcomeRow {
	return Merge(slices.Concat(a.Records, b.Records)...)
}

func known(r contract.OutcomeRecord) bool { return r.Outcome != contract.OutcomeUnknown }

func addClaim(claims []contract.OutcomeRecord, r contract.OutcomeRecord) []contract.OutcomeRecord {
	r.At = r.At.UTC().Round(0)
	for i := range claims {
		if agree(claims[i], r) {
			claims[i] = join(claims[i], r)
			return claims
		}
	}
	return append(claims, r)
}

// agree reports whether two records make the same claim: the same outcome, and
// for work that ran, in the same process.
func agree(a, b contract.OutcomeRecord) bool {
	if a.Outcome != b.Outcome {
		return false
	}
	return a.Outcome != contract.OutcomeRan || a.Worker == b.Worker && a.Incarnation == b.Incarnation
}

// join joins two records that agree, field by field.
func join(a, b contract.OutcomeRecord) contract.OutcomeRecord {
	out := a
	out.Status = max(a.Status, b.Status)
	out.Attempt = max(a.Attempt, b.Attempt)
	out.Unsure = a.Unsure || b.Unsure
	out.Round = max(a.Round, b.Round)
	out.Entry = max(a.Entry, b.Entry)
	out.Reason = max(a.Reason, b.Reason)
	out.At = earlier(a.At, b.At)
	if cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Incarnation, b.Incarnation)) < 0 {
		out.Worker = b.Worker
		out.Incarnation = b.Incarnation
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func compareClaims(a, b contract.OutcomeRecord) int {
	return cmp.Or(
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Worker, b.Worker),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Verdict is what the ledger says about one task, for the operator.
type Verdict string

// The verdicts.
const (
	// RanOnce means that the task ran in exactly one process.
	RanOnce Verdict = "ran once"
	// Ran means that the task ran, and that it is not known that it was once:
	// an idempotent request was retried, or records contradict each other.
	Ran Verdict = "ran"
	// NeverRan means that the task did not run and never will.
	NeverRan Verdict = "never ran"
	// Unknown means that the task may or may not have run.
	Unknown Verdict = "unknown"
)

// Judge returns the verdict on a row.
func Judge(row contract.OutcomeRow) Verdict {
	ran := slices.ContainsFunc(row.Records, func(r contract.OutcomeRecord) bool { return r.Outcome == contract.OutcomeRan })
	switch {
	case ran && len(row.Records) == 1 && !row.Records[0].Unsure:
		return RanOnce
	case ran:
		return Ran
	case len(row.Records) == 1 && row.Records[0].Outcome == contract.OutcomeNotRun:
		return NeverRan
	}
	return Unknown
}

// Conflict reports whether known records of the row contradict each other.
func Conflict(row contract.OutcomeRow) bool { return len(row.Records) > 1 }

// MergeJob joins the rows of one job as several control hosts hold them, in
// the order of the tasks.
func MergeJob(answers ...[]contract.OutcomeRow) []contract.OutcomeRow {
	byTask := make(map[uint32][]contract.OutcomeRecord)
	for _, rows := range answers {
		for _, row := range rows {
			for _, r := range row.Records {
				byTask[r.Task.Index] = append(byTask[r.Task.Index], r)
			}
		}
	}
	out := make([]contract.OutcomeRow, 0, len(byTask))
	for _, records := range byTask {
		out = append(out, Merge(records...))
	}
	slices.SortFunc(out, func(a, b contract.OutcomeRow) int {
		return cmp.Compare(a.Records[0].Task.Index, b.Records[0].Task.Index)
	})
	return out
}
