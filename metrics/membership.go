package metrics

import "expvar"

// Membership of the upstreams, as one entry sees it.
var (
	// UpstreamsJoined counts hosts that announced themselves for the first time.
	UpstreamsJoined = expvar.NewInt("caraway_upstreams_joined")
	// UpstreamsRestarted counts announcements of a new incarnation.
	UpstreamsRestarted = expvar.NewInt("caraway_upstreams_restarted")
	// UpstreamsLost counts upstreams that went silent without a drain.
	UpstreamsLost = expvar.NewInt("caraway_upstreams_lost")
	// UpstreamsDrained counts upstreams that said that they leave.
	UpstreamsDrained = expvar.NewInt("caraway_upstreams_drained")
	// UpstreamsDamped counts upstreams held back since they were lost too often.
	UpstreamsDamped = expvar.NewInt("caraway_upstreams_damped")
)
