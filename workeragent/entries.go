package workeragent

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

const (
	// directTick is how often the links to entries and their runs are checked.
	directTick = 20 * time.Millisecond
	// offerBatchTime is the minimum time between two offers on changes. An entry
	// counts its own starts and ends at once, so it needs offers only for those of
	// others. At 45 agents an entry gets up to 1,100 offers a second.
	offerBatchTime = 40 * time.Millisecond
	// offerInterval is the maximum time between two offers: directSilence covers
	// four of them.
	offerInterval = 150 * time.Millisecond
	// entryLinksKept is how long links to entries stay open once a leader is known
	// and no direct run is left.
	entryLinksKept = 2 * time.Second
)

// entryLink is a link to an entry. It is guarded by Agent.mu.
type entryLink struct {
	link *link.Link
	// aliveAt is the latest reading of this process's clock that the entry echoed. It
	// is zero before the first echo, and the entry then counts as lost.
	aliveAt time.Duration
	// downAt is when the link went down; zero while it is up.
	downAt time.Duration
	// taken is the highest number of a start that was handled.
	taken uint64
}

// lostAt returns when the entry was lost, which is after now if it is not lost.
func (e *entryLink) lostAt(now time.Duration) time.Duration {
	at := e.aliveAt + directSilence
	if e.downAt != 0 {
		at = min(at, e.downAt)
	}
	return at
}

// lost reports whether the entry's runs must not go on.
func (e *entryLink) lost(now time.Duration) bool { return e.lostAt(now) <= now }

func (e *entryLink) host() contract.HostID { return e.link.Remote().Host }

// sendEnd reports the end of a run. A report that is lost with the link needs no
// repetition: the entry then counts the run's outcome as unknown.
func (e *entryLink) sendEnd(ref contract.RunRef, kind contract.RunEndKind, noCapacity bool) {
	_ = e.link.Send(&contract.DirectEnd{RunRef: entryRef(ref), Kind: kind, NoCapacity: noCapacity})
}

// entryDialer maintains a link to the entry at an address.
type entryDialer struct {
	cancel context.CancelFunc
	dialer *link.Dialer
}

// runDirect maintains the links to entries, checks the direct runs and sends offers,
// until ctx is done.
func (a *Agent) runDirect(ctx context.Context) error {
	tick := time.NewTicker(directTick)
	defer tick.Stop()
	dialers := map[string]*entryDialer{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := boottime.Now()
		a.updateEntryLinks(ctx, now, dialers)
		a.mu.Lock()
		if a.instance != nil {
			a.instance.checkDirectRuns(now)
		}
		a.sendOffers(now)
		a.mu.Unlock()
	}
}

// updateEntryLinks dials the relays, which are entries, once there has been no leader
// for directAfter, and closes the links when a leader is known and they are not
// needed any more. No entry is dialled while a leader is known.
func (a *Agent) updateEntryLinks(ctx context.Context, now time.Duration, dialers map[string]*entryDialer) {
	a.mu.Lock()
	leaderless, known := a.leaderlessFor(now), a.link != nil
	keep := !known || a.hasDirectRuns() || now-a.leaderFoundAt < entryLinksKept
	dial := !known && a.term != 0 && leaderless >= directAfter
	a.mu.Unlock()
	if dial {
		for _, addr := range a.uplink.Relays() {
			if dialers[addr] == nil {
				dialers[addr] = a.dialEntry(ctx, addr)
			}
		}
	}
	for addr, d := range dialers {
		if !keep || known && d.dialer.Link() == nil {
			d.cancel()
			delete(dialers, addr)
		}
	}
}

func (a *Agent) dialEntry(ctx context.Context, addr string) *entryDialer {
	ctx, cancel := context.WithCancel(ctx)
	d := &link.Dialer{Addr: addr, Local: a.cfg.Uplink.Hello, Config: uplink.DirectLinkConfig, Handler: (*entryHandler)(a)}
	a.group.Go(func() error { return d.Run(ctx) })
	return &entryDialer{cancel, d}
}

// entryHandler handles the events of links to entries.
type entryHandler Agent

// LinkUp records the link and sends an offer.
func (h *entryHandler) LinkUp(l *link.Link) {
	a := (*Agent)(h)
	a.mu.Lock()
	defer a.mu.Unlock()
	e := &entryLink{link: l}
	a.entries[l] = e
	for _, c := range a.recentCrashes(boottime.Now()) {
		e.sendCrash(c)
	}
	a.offeredAt = 0
	a.log.Info("entry connected", "entry", l.Remote().Host)
}

// LinkDown makes the runs of the entry stop.
func (h *entryHandler) LinkDown(l *link.Link, err error) {
	a := (*Agent)(h)
	now := boottime.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.entries[l]; e != nil {
		e.downAt = now
		delete(a.entries, l)
	}
	if a.instance != nil {
		a.instance.checkDirectRuns(now)
	}
	a.log.Info("entry disconnected", "entry", l.Remote().Host, "err", err)
}

// Receive handles a message from an entry.
func (h *entryHandler) Receive(l *link.Link, _ uint64, m contract.Message) {
	a := (*Agent)(h)
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[l]
	if e == nil {
		return
	}
	switch m := m.(type) {
	case *contract.DirectBeat:
		e.aliveAt = max(e.aliveAt, min(time.Duration(m.Stamp), boottime.Now()))
	case *contract.DirectStart:
		a.handleDirectStart(boottime.Now(), e, m)
	case *contract.DirectStop:
		a.handleDirectStop(e, m.RunRef)
	}
}

// sendOffers sends each entry an offer if the last one is older than offerInterval, or
// has changed and is older than offerBatchTime. The caller holds a.mu.
func (a *Agent) sendOffers(now time.Duration) {
	if len(a.entries) == 0 || now-a.offeredAt < offerBatchTime {
		return
	}
	o := a.offer(now)
	if o.Open == a.offered.Open && o.Free == a.offered.Free && o.Pool == a.offered.Pool && now-a.offeredAt < offerInterval {
		return
	}
	a.offered, a.offeredAt = *o, now
	for _, e := range a.entries {
		toEntry := *o
		toEntry.Taken, toEntry.Stamp = e.taken, int64(now)
		if err := e.link.Send(&toEntry); err != nil {
			a.log.V(1).Info("offer not sent", "entry", e.host(), "err", err)
		}
	}
}

// offer returns an offer without Taken and Stamp. The caller holds a.mu.
func (a *Agent) offer(now time.Duration) *contract.DirectOffer {
	o := &contract.DirectOffer{Incarnation: a.cfg.Uplink.Hello.Incarnation, FailureDomain: a.failureDomain()}
	if w := a.instance; w != nil {
		o.Open = w.directOpen(now)
		o.Worker, o.Pool, o.Labels, o.Capacity, o.Free = w.id, w.worker.Pool, w.worker.Labels, w.worker.Capacity, w.freeCapacity()
	}
	return o
}
