package metrics

import "expvar"

// Counters of slot credits and of worker health.
var (
	// CreditGrants counts credit grants that this agent sent.
	CreditGrants = expvar.NewInt("caraway_credit_grants")
	// CreditAsks counts requests for credits sent to other entries.
	CreditAsks = expvar.NewInt("caraway_credit_asks")
	// CreditLoans counts loans of credits sent to other entries.
	CreditLoans = expvar.NewInt("caraway_credit_loans")
	// CreditResets counts requests to agents for a new epoch of credits.
	CreditResets = expvar.NewInt("caraway_credit_resets")
	// WorkerSuspects counts reports of failing workers sent to other entries.
	WorkerSuspects = expvar.NewInt("caraway_worker_suspects")
	// StartsQueued counts starts that had to wait for a free slot at the worker.
	StartsQueued = expvar.NewInt("caraway_starts_queued")
)
