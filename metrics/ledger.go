package metrics

import "expvar"

// The outcome ledger. All but LedgerFilled only grow.
var (
	// OutcomesRecorded counts outcomes that an entry handed to the ledger.
	OutcomesRecorded = expvar.NewInt("caraway_ledger_outcomes_recorded")
	// LedgerAppendsFailed counts appends that a control host did not
	// acknowledge; they are sent again.
	LedgerAppendsFailed = expvar.NewInt("caraway_ledger_appends_failed")
	// LedgerBatchesSynced counts batches that this control host has synced.
	LedgerBatchesSynced = expvar.NewInt("caraway_ledger_batches_synced")
	// LedgerBatchesPulled counts batches that came from another control host.
	LedgerBatchesPulled = expvar.NewInt("caraway_ledger_batches_pulled")
	// LedgerBatchesExpired counts batches removed after the retention time.
	LedgerBatchesExpired = expvar.NewInt("caraway_ledger_batches_expired")
	// LedgerFilled is 1 once this control host's file is filled, so that it
	// answers reads.
	LedgerFilled = expvar.NewInt("caraway_ledger_filled")
	// LedgerConflicts counts rows whose records came to contradict each other.
	LedgerConflicts = expvar.NewInt("caraway_ledger_conflicts")
)
