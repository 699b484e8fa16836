package metrics

import "expvar"

// Job records and resubmissions.
var (
	// RecordWrites counts quorum requests for records.
	RecordWrites = expvar.NewInt("caraway_record_writes")
	// RecordMessages counts messages to other holders.
	RecordMessages = expvar.NewInt("caraway_record_messages")
	// RecordNoQuorum counts requests that found no quorum.
	RecordNoQuorum = expvar.NewInt("caraway_record_no_quorum")
	// RecordsHeld is the number of records that this process holds.
	RecordsHeld = expvar.NewInt("caraway_records_held")
	// Resubmissions counts submissions that attached to an earlier one.
	Resubmissions = expvar.NewInt("caraway_resubmissions")
	// Takeovers counts jobs taken over from another owner.
	Takeovers = expvar.NewInt("caraway_takeovers")
	// OutcomesResolved counts outcomes that became known after the answer.
	OutcomesResolved = expvar.NewInt("caraway_outcomes_resolved")
	// SingleRetries counts single requests that were sent again.
	SingleRetries = expvar.NewInt("caraway_single_retries")
	// RetriesDenied counts retries that the budget forbade.
	RetriesDenied = expvar.NewInt("caraway_retries_denied")
	// AckMessages counts messages that only acknowledge results.
	AckMessages = expvar.NewInt("caraway_ack_messages")
)
