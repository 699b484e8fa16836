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
// not matter. Records that agree become one, and a final outcome replaces an
// unknown one; all else is kept for Judge to weigh.
func Merge(records ...contract.OutcomeRecord) contract.OutcomeRow {
	var claims []contract.OutcomeRecord
	var team, route string
	for _, r := range records {
		team = max(team, r.Team)
		route = max(route, r.Route)
		claims = addClaim(claims, r)
	}
	if slices.ContainsFunc(claims, final) {
		claims = slices.DeleteFunc(claims, func(r contract.OutcomeRecord) bool { return r.Outcome == contract.OutcomeUnknown })
	}
	for i := range claims {
		claims[i].Team = team
		claims[i].Route = route
	}
	slices.SortFunc(claims, compareClaims)
	return contract.OutcomeRow{Records: claims}
}

// MergeRows joins two rows of one task.
func MergeRows(a, b contract.OutcomeRow) contract.OutcomeRow {
	return Merge(slices.Concat(a.Records, b.Records)...)
}

// provisional reports whether the record says that one owner of a keyed job
// did not start the task: the owner of a resubmission may have.
func provisional(r contract.OutcomeRecord) bool {
	return r.Outcome == contract.OutcomeNotRun && r.Round > 0
}

// final reports whether nothing that comes later can change what the record
// says.
func final(r contract.OutcomeRecord) bool {
	return r.Outcome != contract.OutcomeUnknown && !provisional(r)
}

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
	if a.Outcome != b.Outcome || provisional(a) != provisional(b) {
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
	if owns(b, a) {
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

// owns reports whether a's owner came after b's: by round, and for takeovers
// that raced in one round, by host.
func owns(a, b contract.OutcomeRecord) bool {
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Entry, b.Entry)) > 0
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
		cmp.Compare(min(a.Round, 1), min(b.Round, 1)),
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
	// NeverRan means that the task did not run, and never will unless its job
	// is resubmitted by its key.
	NeverRan Verdict = "never ran"
	// Unknown means that the task may or may not have run.
	Unknown Verdict = "unknown"
)

// claims are a row's records by what they say.
type claims struct {
	ran, never, provisional, unknown []contract.OutcomeRecord
}

func claimsOf(row contract.OutcomeRow) claims {
	var c claims
	for _, r := range row.Records {
		switch {
		case r.Outcome == contract.OutcomeRan:
			c.ran = append(c.ran, r)
		case r.Outcome == contract.OutcomeUnknown:
			c.unknown = append(c.unknown, r)
		case provisional(r):
			c.provisional = append(c.provisional, r)
		default:
			c.never = append(c.never, r)
		}
	}
	return c
}

// conflict reports whether records contradict each other: work that ran in
// two processes, or that a final record, or the owner of a later round than
// the one that ran it, calls not run.
func (c claims) conflict() bool {
	if len(c.ran) == 0 {
		return false
	}
	return len(c.ran) > 1 || len(c.never) > 0 || c.ran[0].Round > 0 && lastRound(c.provisional) > c.ran[0].Round
}

func lastRound(records []contract.OutcomeRecord) uint64 {
	var last uint64
	for _, r := range records {
		last = max(last, r.Round)
	}
	return last
}

// unresolved reports whether neither the last owner for which the outcome is
// unknown nor a later one has called the task not run. An owner after the first
// calls a task unknown before it starts it, so that what the ones before called
// not run counts no more.
func (c claims) unresolved() bool {
	if len(c.unknown) == 0 {
		return len(c.provisional) == 0
	}
	last := lastOwner(c.unknown)
	if last.Round == 0 || len(c.provisional) == 0 {
		return true
	}
	return owns(last, lastOwner(c.provisional))
}

// lastOwner returns the record of the owner that came last.
func lastOwner(records []contract.OutcomeRecord) contract.OutcomeRecord {
	last := records[0]
	for _, r := range records[1:] {
		if owns(r, last) {
			last = r
		}
	}
	return last
}

// Judge returns the verdict on a row.
func Judge(row contract.OutcomeRow) Verdict {
	c := claimsOf(row)
	switch {
	case len(c.ran) > 0 && !c.conflict() && !c.ran[0].Unsure:
		return RanOnce
	case len(c.ran) > 0:
		return Ran
	case len(c.never) == 0 && c.unresolved():
		return Unknown
	}
	return NeverRan
}

// Conflict reports whether records of the row contradict each other.
func Conflict(row contract.OutcomeRow) bool { return claimsOf(row).conflict() }

// Decisive returns the records that the verdict rests on: all of them where
// they contradict each other.
func Decisive(row contract.OutcomeRow) []contract.OutcomeRecord {
	c := claimsOf(row)
	switch {
	case c.conflict():
		return row.Records
	case len(c.ran) > 0:
		return c.ran
	case len(c.never) > 0:
		return c.never
	case c.unresolved():
		return c.unknown
	}
	return c.provisional
}

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
