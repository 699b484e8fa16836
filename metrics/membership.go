package metrics

import "expvar"

// Counters of upstream membership, as seen by this entry.
var (
	// UpstreamsJoined counts announcements of hosts that this entry did not know.
	UpstreamsJoined = expvar.NewInt("caraway_upstreams_joined")
	// UpstreamsRestarted counts announcements of a new incarnation of a known host.
	UpstreamsRestarted = expvar.NewInt("caraway_upstreams_restarted")
	// UpstreamsLost counts upstreams whose link was lost without a drain.
	UpstreamsLost = expvar.NewInt("caraway_upstreams_lost")
	// UpstreamsDrained counts upstreams that announced a drain.
	UpstreamsDrained = expvar.NewInt("caraway_upstreams_drained")
	// UpstreamsDamped counts how often an upstream was damped: it gets no work for a
	// time because it was lost or restarted too often.
	UpstreamsDamped = expvar.NewInt("caraway_upstreams_damped")
)
