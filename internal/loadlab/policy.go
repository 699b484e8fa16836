package loadlab

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/failuredomain"
)

// Policy is a scheduling policy under comparison.
type Policy struct {
	Name string
	make func(at failuredomain.Location, seed uint64) dispatch.Scheduler
}

func (p Policy) scheduler(at failuredomain.Location, seed uint64) dispatch.Scheduler {
	return p.make(at, seed)
}

func immediate(name string, c dispatch.Choice) Policy {
	return Policy{Name: name, make: func(_ failuredomain.Location, seed uint64) dispatch.Scheduler {
		return dispatch.NewImmediateScheduler(c, seed)
	}}
}

func credits(name string, change func(*dispatch.Config)) Policy {
	return Policy{Name: name, make: func(at failuredomain.Location, _ uint64) dispatch.Scheduler {
		cfg := dispatch.Config{Name: "pool", Location: at}
		change(&cfg)
		return dispatch.NewPool(cfg)
	}}
}

// Credits is the production policy with ProfileResponse.
var Credits = credits("credits", func(*dispatch.Config) {})

// CreditsMessages is the production policy with ProfileMessages.
var CreditsMessages = credits("credits-messages", func(c *dispatch.Config) { c.Profile = contract.ProfileMessages })

// Policies lists all policies.
var Policies = []Policy{
	immediate("random", dispatch.ChooseRandom),
	immediate("round-robin", dispatch.ChooseRoundRobin),
	immediate("least-outstanding", dispatch.ChooseLeastOutstanding),
	immediate("two-choices", dispatch.ChooseTwoRandom),
	immediate("agent-queue", dispatch.ChooseShortestQueue),
	credits("credits-fifo", func(c *dispatch.Config) { c.Order = dispatch.OrderFIFO }),
	credits("credits-attained", func(c *dispatch.Config) { c.Order = dispatch.OrderAttained }),
	Credits,
	CreditsMessages,
}
