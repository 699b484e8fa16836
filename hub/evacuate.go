package hub

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// ErrUnknownDomain is returned for an order to evacuate a failure domain that is not
// known. The error that wraps it names the known ones.
var ErrUnknownDomain = merry.New("the failure domain is unknown")

// BeginEvacuation orders that the workers of a failure domain get no new work. It
// returns nil once a majority has stored the order, whether or not the domain was
// evacuated before. It returns ErrUnknownDomain, or ErrNotLeader if this hub does not
// lead or loses the leadership meanwhile, or ctx.Err() if ctx is done first. In the
// last two cases the order may still take effect; the operator sends it again.
func (h *Hub) BeginEvacuation(ctx context.Context, domain string) error {
	return h.orderEvacuation(ctx, durable.EvacuationOrder{Domain: domain, Begin: true})
}

// EndEvacuation takes an evacuation back. It returns as BeginEvacuation does.
func (h *Hub) EndEvacuation(ctx context.Context, domain string) error {
	return h.orderEvacuation(ctx, durable.EvacuationOrder{Domain: domain})
}

// Evacuations returns the evacuated failure domains in ascending order. It returns
// ErrNotLeader if this hub does not lead, and ctx.Err() if ctx is done first.
func (h *Hub) Evacuations(ctx context.Context) ([]string, error) {
	return readAsLeader(ctx, h, func() []string { return h.state.Evacuated })
}

func (h *Hub) orderEvacuation(ctx context.Context, o durable.EvacuationOrder) error {
	ch := make(chan error, 1)
	h.post(func() { h.proposeEvacuation(o, ch) })
	return awaitCommit(ctx, ch)
}

// proposeEvacuation adds the order to the pending proposal. An order that changes
// nothing is proposed too: an earlier order may still be on its way to a majority.
func (h *Hub) proposeEvacuation(o durable.EvacuationOrder, ch chan error) {
	if !h.holdsLeaderLease(boottime.Now()) {
		ch <- ErrNotLeader
		return
	}
	if known := h.knownDomains(); !slices.Contains(known, o.Domain) {
		ch <- fmt.Errorf("%w: %q: name one of [%s], or wait until its workers have reported", ErrUnknownDomain, o.Domain, strings.Join(known, ", "))
		return
	}
	h.seenDomains[o.Domain] = true
	p := h.leader.pending
	p.batch.Evacuations = append(p.batch.Evacuations, o)
	p.waiters = append(p.waiters, ch)
}

// knownDomains returns the failure domains that can be evacuated, in ascending order:
// those of the settings, of the hubs, of the reported workers, those that are evacuated
// and those of earlier orders.
func (h *Hub) knownDomains() []string {
	domains := append([]string{h.cfg.FailureDomain}, h.state.Evacuated...)
	if h.cfg.FailureDomains != nil {
		domains = append(domains, h.cfg.FailureDomains()...)
	}
	for d := range h.seenDomains {
		domains = append(domains, d)
	}
	for _, w := range h.state.Agents {
		domains = append(domains, w.FailureDomain)
	}
	domains = slices.DeleteFunc(domains, func(d string) bool { return d == "" })
	slices.Sort(domains)
	return slices.Compact(domains)
}

// evacuationsChanged logs the orders that changed the evacuated domains, and passes
// the domains on to the scheduler if this hub leads.
func (h *Hub) evacuationsChanged(orders []durable.EvacuationOrder) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		h.seenDomains[o.Domain] = true
		event := "evacuation ended"
		if o.Begin {
			event = "evacuation begun"
		}
		h.log.Info(event, "domain", o.Domain, "leads", h.leader != nil, "evacuated", len(h.state.Evacuated))
	}
	h.countEvacuated()
	if h.leader != nil {
		h.leader.sched.SetEvacuated(h.state.Evacuated)
	}
}

// recordHubDomain records the failure domain of a hub that has connected. The domain
// stays known while the hub is down: its workers may still be running.
func (h *Hub) recordHubDomain(hello contract.Hello) {
	if slices.Contains(hello.Roles, contract.RoleControl) {
		h.seenDomains[hello.FailureDomain] = true
	}
}

// countEvacuated updates the metric of evacuated domains.
func (h *Hub) countEvacuated() { telemetry.EvacuatedDomains.Set(float64(len(h.state.Evacuated))) }
