package metrics

import "expvar"

// Metrics of job records, resubmissions and retries.
var (
	// RecordRequests counts requests about job records that were sent to all holders
	// to get the replies of a quorum.
	RecordRequests = expvar.NewInt("caraway_record_writes")
	// RecordMessages counts messages sent to holders in other processes.
	RecordMessages = expvar.NewInt("caraway_record_messages")
	// RecordNoQuorum counts requests that reached no quorum.
	RecordNoQuorum = expvar.NewInt("caraway_record_no_quorum")
	// RecordsHeld is the number of job records that this process holds.
	RecordsHeld = expvar.NewInt("caraway_records_held")
	// Resubmissions counts submissions that joined an earlier one with the same
	// idempotency key.
	Resubmissions = expvar.NewInt("caraway_resubmissions")
	// Takeovers counts attempts of this entry to take over a job from its previous
	// owner.
	Takeovers = expvar.NewInt("caraway_takeovers")
	// OutcomesResolved counts task outcomes that became known after the job's
	// answer.
	OutcomesResolved = expvar.NewInt("caraway_outcomes_resolved")
	// SingleRetries counts single requests that were retried.
	SingleRetries = expvar.NewInt("caraway_single_retries")
	// RetriesDenied counts retries that the retry budget did not allow.
	RetriesDenied = expvar.NewInt("caraway_retries_denied")
	// AckMessages counts messages that carry only acknowledgements of results.
	AckMessages = expvar.NewInt("caraway_ack_messages")
)
