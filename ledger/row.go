// Package ledger stores the outcome of every task. Entries write outcome records in
// batches, control hosts sync and exchange the batches, and a reader merges the
// rows of a majority. Rows, outbox and sequence sets do no I/O; store, writer and
// replica do.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Merge merges the records of one task into its row. The merge is commutative,
// associative and idempotent, so that the order in which records arrive does
// not matter. Records with the same outcome become one, and a final outcome
// replaces an unknown one. All other records are kept, for RowVerdict to decide.
func Merge(records ...contract.OutcomeRecord) contract.OutcomeRow {
	var merged []contract.OutcomeRecord
	var team, route string
	for _, r := range records {
		team = max(team, r.Team)
		route = max(route, r.Route)
		merged = addRecord(merged, r)
	}
	if slices.ContainsFunc(merged, final) {
		merged = slices.DeleteFunc(merged, func(r contract.OutcomeRecord) bool { return r.Outcome == contract.OutcomeUnknown })
	}
	for i := range merged {
		merged[i].Team = team
		merged[i].Route = route
	}
	slices.SortFunc(merged, compareRecords)
	return contract.OutcomeRow{Records: merged}
}

// MergeRows merges two rows of one task.
func MergeRows(a, b contract.OutcomeRow) contract.OutcomeRow {
	return Merge(slices.Concat(a.Records, b.Records)...)
}

// provisional reports whether the record says that an owner of a job with an
// idempotency key did not start the task. The owner of a resubmission may have
// started it.
func provisional(r contract.OutcomeRecord) bool {
	return r.Outcome == contract.OutcomeNotRun && r.Round > 0
}

// final reports whether the record's outcome is known and cannot be changed by
// later records.
func final(r contract.OutcomeRecord) bool {
	return r.Outcome != contract.OutcomeUnknown && !provisional(r)
}

// addRecord merges r into the record that has the same outcome, or appends it.
func addRecord(records []contract.OutcomeRecord, r contract.OutcomeRecord) []contract.OutcomeRecord {
	r.At = r.At.UTC().Round(0)
	for i := range records {
		if sameOutcome(records[i], r) {
			records[i] = mergeSameOutcome(records[i], r)
			return records
		}
	}
	return append(records, r)
}

// sameOutcome reports whether two records have the same outcome, are both
// provisional or both not, and for work that ran, name the same process.
func sameOutcome(a, b contract.OutcomeRecord) bool {
	if a.Outcome != b.Outcome || provisional(a) != provisional(b) {
		return false
	}
	return a.Outcome != contract.OutcomeRan || a.Worker == b.Worker && a.Incarnation == b.Incarnation
}

// mergeSameOutcome merges two records with the same outcome, field by field.
func mergeSameOutcome(a, b contract.OutcomeRecord) contract.OutcomeRecord {
	out := a
	out.Status = max(a.Status, b.Status)
	out.Attempt = max(a.Attempt, b.Attempt)
	out.PossibleDuplicate = a.PossibleDuplicate || b.PossibleDuplicate
	if hasLaterOwner(b, a) {
		out.Round = b.Round
		out.Entry = b.Entry
	}
	out.Reason = max(a.Reason, b.Reason)
	out.At = earlier(a.At, b.At)
	if cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Incarnation, b.Incarnation)) < 0 {
		out.Worker = b.Worker
		out.Incarnation = b.Incarnation
	}
	return out
}

// hasLaterOwner reports whether the owner that wrote a is later than the one that
// wrote b. Owners are ordered by round, and by host for concurrent takeovers in
// one round.
func hasLaterOwner(a, b contract.OutcomeRecord) bool {
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Entry, b.Entry)) > 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compareRecords orders the records of a row, so that equal rows are identical. Of
// the rounds it compares only whether they are zero, which among not-run records
// distinguishes the final one from the provisional one.
func compareRecords(a, b contract.OutcomeRecord) int {
	return cmp.Or(
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(min(a.Round, 1), min(b.Round, 1)),
		cmp.Compare(a.Worker, b.Worker),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Verdict summarizes the ledger's records of one task for the operator.
type Verdict string

// The verdicts.
const (
	// RanOnce means that the task ran in exactly one process.
	RanOnce Verdict = "ran once"
	// Ran means that the task ran, possibly more than once: an idempotent request
	// was retried, or records contradict each other.
	Ran Verdict = "ran"
	// NeverRan means that the task did not run, and never will unless its job is
	// resubmitted with the same idempotency key.
	NeverRan Verdict = "never ran"
	// Unknown means that the task may or may not have run.
	Unknown Verdict = "unknown"
)

// recordsByOutcome holds the records of a row, grouped by outcome. Records that
// say that the task was not run are in provisional or, if final, in notRun.
type recordsByOutcome struct {
	ran, notRun, provisional, unknown []contract.OutcomeRecord
}

// groupByOutcome groups the records of a row.
func groupByOutcome(row contract.OutcomeRow) recordsByOutcome {
	var g recordsByOutcome
	for _, r := range row.Records {
		switch {
		case r.Outcome == contract.OutcomeRan:
			g.ran = append(g.ran, r)
		case r.Outcome == contract.OutcomeUnknown:
			g.unknown = append(g.unknown, r)
		case provisional(r):
			g.provisional = append(g.provisional, r)
		default:
			g.notRun = append(g.notRun, r)
		}
	}
	return g
}

// hasConflict implements HasConflict.
func (g recordsByOutcome) hasConflict() bool {
	if len(g.ran) == 0 {
		return false
	}
	return len(g.ran) > 1 || len(g.notRun) > 0 || g.ran[0].Round > 0 && lastRound(g.provisional) > g.ran[0].Round
}

// lastRound returns the highest round of the records, or zero if there are none.
func lastRound(records []contract.OutcomeRecord) uint64 {
	var last uint64
	for _, r := range records {
		last = max(last, r.Round)
	}
	return last
}

// unresolved reports whether the task may or may not have run. The row must have no
// record in ran or notRun. Every owner after the first records a task as unknown
// before it starts the task, which supersedes the not-run records of earlier
// owners. So the task was not run only if the last owner with an unknown record, or
// a later owner, recorded it as not run.
func (g recordsByOutcome) unresolved() bool {
	if len(g.unknown) == 0 {
		return len(g.provisional) == 0
	}
	last := lastOwnerRecord(g.unknown)
	if last.Round == 0 || len(g.provisional) == 0 {
		return true
	}
	return hasLaterOwner(last, lastOwnerRecord(g.provisional))
}

// lastOwnerRecord returns the record of the latest owner. records must not be
// empty.
func lastOwnerRecord(records []contract.OutcomeRecord) contract.OutcomeRecord {
	last := records[0]
	for _, r := range records[1:] {
		if hasLaterOwner(r, last) {
			last = r
		}
	}
	return last
}

// RowVerdict returns the verdict on the task whose row is given.
func RowVerdict(row contract.OutcomeRow) Verdict {
	g := groupByOutcome(row)
	switch {
	case len(g.ran) > 0 && !g.hasConflict() && !g.ran[0].PossibleDuplicate:
		return RanOnce
	case len(g.ran) > 0:
		return Ran
	case len(g.notRun) == 0 && g.unresolved():
		return Unknown
	}
	return NeverRan
}

// HasConflict reports whether records of the row contradict each other: the task ran
// in two processes, or it ran and either a final record or the owner of a later
// round says that it was not run.
func HasConflict(row contract.OutcomeRow) bool { return groupByOutcome(row).hasConflict() }

// DecisiveRecords returns the records that determine the verdict. These are all
// records of the row if they contradict each other.
func DecisiveRecords(row contract.OutcomeRow) []contract.OutcomeRecord {
	g := groupByOutcome(row)
	switch {
	case g.hasConflict():
		return row.Records
	case len(g.ran) > 0:
		return g.ran
	case len(g.notRun) > 0:
		return g.notRun
	case g.unresolved():
		return g.unknown
	}
	return g.provisional
}

// MergeJob merges the rows of one job that several control hosts returned. The
// result is in the order of the tasks.
func MergeJob(replies ...[]contract.OutcomeRow) []contract.OutcomeRow {
	byTask := make(map[uint32][]contract.OutcomeRecord)
	for _, rows := range replies {
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
