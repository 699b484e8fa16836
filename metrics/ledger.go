package metrics

import "expvar"

// Metrics of the outcome ledger. All but LedgerFilled are counters.
var (
	// OutcomesRecorded counts outcomes that this entry passed to the ledger.
	OutcomesRecorded = expvar.NewInt("caraway_ledger_outcomes_recorded")
	// LedgerAppendsFailed counts appends that a control host did not
	// acknowledge; they are sent again.
	LedgerAppendsFailed = expvar.NewInt("caraway_ledger_appends_failed")
	// LedgerBatchesSynced counts batches that this control host has synced.
	LedgerBatchesSynced = expvar.NewInt("caraway_ledger_batches_synced")
	// LedgerBatchesPulled counts batches fetched from another control host.
	LedgerBatchesPulled = expvar.NewInt("caraway_ledger_batches_pulled")
	// LedgerBatchesExpired counts batches removed after their retention time.
	LedgerBatchesExpired = expvar.NewInt("caraway_ledger_batches_expired")
	// LedgerFilled is 1 once this control host's ledger file is filled, so that the
	// host answers reads; 0 before.
	LedgerFilled = expvar.NewInt("caraway_ledger_filled")
	// LedgerConflicts counts rows in which a new record contradicts an earlier one.
	LedgerConflicts = expvar.NewInt("caraway_ledger_conflicts")
)
