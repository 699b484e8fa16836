// Package metrics counts what a process does, by expvar. Counts only grow.
package metrics

import "expvar"

// Messages between processes, by kind of traffic.
var (
	// StartsSent counts starts sent to agents.
	StartsSent = expvar.NewInt("caraway_starts_sent")
	// StartsRefused counts starts that an agent refused.
	StartsRefused = expvar.NewInt("caraway_starts_refused")
	// ResultsTaken counts results that found their job.
	ResultsTaken = expvar.NewInt("caraway_results_taken")
	// ResultsStray counts results that no job took.
	ResultsStray = expvar.NewInt("caraway_results_stray")
	// HeartbeatsSent counts heartbeats on idle links.
	HeartbeatsSent = expvar.NewInt("caraway_heartbeats_sent")
	// LinkBytesSent counts bytes written to links.
	LinkBytesSent = expvar.NewInt("caraway_link_bytes_sent")
	// LinkBytesReceived counts bytes read from links.
	LinkBytesReceived = expvar.NewInt("caraway_link_bytes_received")
	// AnswersWhole counts whole answers to callers.
	AnswersWhole = expvar.NewInt("caraway_answers_whole")
	// Refusals counts refusals by kind.
	Refusals = expvar.NewMap("caraway_refusals")
)
