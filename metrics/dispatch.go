package metrics

import "expvar"

// Messages of slot credits and of workers' health.
var (
	// CreditGrants counts grants sent by an agent.
	CreditGrants = expvar.NewInt("caraway_credit_grants")
	// CreditAsks counts asks sent to peers.
	CreditAsks = expvar.NewInt("caraway_credit_asks")
	// CreditLoans counts loans sent to peers.
	CreditLoans = expvar.NewInt("caraway_credit_loans")
	// CreditResets counts requests for a new epoch of credits.
	CreditResets = expvar.NewInt("caraway_credit_resets")
	// WorkerSuspects counts reports on workers sent to peers.
	WorkerSuspects = expvar.NewInt("caraway_worker_suspects")
	// StartsQueued counts starts that found no free slot at the worker.
	StartsQueued = expvar.NewInt("caraway_starts_queued")
)
