package metrics

import "expvar"

// Counters of upstream membership, as seen by this entry.
var (
	// UpstreamsJoined counts hosts that announced themselves for the first time.
	UpstreamsJoined = expvar.NewInt("caraway_upstreams_joined")
	// UpstreamsRestarted counts announcements of a new incarnation.
	UpstreamsRestarted = expvar.NewInt("caraway_upstreams_restarted")
	// UpstreamsLost counts upstreams whose link was lost without a drain.
	UpstreamsLost = expvar.NewInt("caraway_upstreams_lost")
	// UpstreamsDrained counts upstreams that announced a drain.
	UpstreamsDrained = expvar.NewInt("caraway_upstreams_drained")
	// UpstreamsDamped counts upstreams that get no work for a time because they were
	// lost too often.
	UpstreamsDamped = expvar.NewInt("caraway_upstreams_damped")
)
