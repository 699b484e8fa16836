// Package metrics publishes the metrics of a process through expvar. Counters only
// grow and start at zero with the process.
package metrics

import "expvar"

// Counters of traffic on links and of answers to callers.
var (
	// StartsSent counts starts sent to agents.
	StartsSent = expvar.NewInt("caraway_starts_sent")
	// StartsRefused counts starts that an agent refused.
	StartsRefused = expvar.NewInt("caraway_starts_refused")
	// ResultsMatched counts results that were matched to a task of a job.
	ResultsMatched = expvar.NewInt("caraway_results_taken")
	// ResultsUnmatched counts results that no task was waiting for.
	ResultsUnmatched = expvar.NewInt("caraway_results_stray")
	// HeartbeatsSent counts heartbeats on idle links.
	HeartbeatsSent = expvar.NewInt("caraway_heartbeats_sent")
	// LinkBytesSent counts bytes written to links.
	LinkBytesSent = expvar.NewInt("caraway_link_bytes_sent")
	// LinkBytesReceived counts bytes read from links.
	LinkBytesReceived = expvar.NewInt("caraway_link_bytes_received")
	// MalformedMessages counts messages whose bodies were refused before they were decoded.
	MalformedMessages = expvar.NewInt("caraway_malformed_messages")
	// AnswersComplete counts complete answers to callers.
	AnswersComplete = expvar.NewInt("caraway_answers_whole")
	// Refusals counts error answers by the kind of error.
	Refusals = expvar.NewMap("caraway_refusals")
)
