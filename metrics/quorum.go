package metrics

import "expvar"

// Metrics of the consensus of the control hosts and of the tables in force.
var (
	// TablesVersion is the version of the tables in force in this process.
	TablesVersion = expvar.NewInt("caraway_tables_version")
	// QuorumRounds counts consensus rounds that this host started.
	QuorumRounds = expvar.NewInt("caraway_quorum_rounds")
	// QuorumRoundsLost counts rounds of this host that failed to get a value chosen.
	QuorumRoundsLost = expvar.NewInt("caraway_quorum_rounds_lost")
	// QuorumSaveFailures counts failures to sync the acceptor state to disk.
	QuorumSaveFailures = expvar.NewInt("caraway_quorum_save_failures")
	// EditsAccepted counts edits of the tables that this host made and acknowledged.
	EditsAccepted = expvar.NewInt("caraway_edits_accepted")
	// TablesDeltasSent counts deltas of the tables sent to other processes.
	TablesDeltasSent = expvar.NewInt("caraway_tables_deltas_sent")
	// StartsRefusedStale counts starts that this agent refused because rows under
	// which they were made have changed since.
	StartsRefusedStale = expvar.NewInt("caraway_starts_refused_stale")
)
