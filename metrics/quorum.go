package metrics

import "expvar"

// Agreement of the control hosts, and the tables in force.
var (
	// TablesVersion is the version in force in this process.
	TablesVersion = expvar.NewInt("caraway_tables_version")
	// QuorumRounds counts rounds that were started.
	QuorumRounds = expvar.NewInt("caraway_quorum_rounds")
	// QuorumRoundsLost counts rounds that were not chosen.
	QuorumRoundsLost = expvar.NewInt("caraway_quorum_rounds_lost")
	// QuorumSaveFailures counts states that could not be synced.
	QuorumSaveFailures = expvar.NewInt("caraway_quorum_save_failures")
	// EditsAccepted counts edits that this host agreed on.
	EditsAccepted = expvar.NewInt("caraway_edits_accepted")
	// TablesDeltasSent counts deltas of the tables sent to other processes.
	TablesDeltasSent = expvar.NewInt("caraway_tables_deltas_sent")
	// StartsRefusedStale counts starts that an agent refused because they were
	// made under older rows.
	StartsRefusedStale = expvar.NewInt("caraway_starts_refused_stale")
)
