// Package uplink keeps a process in touch with the hubs: it dials all that it
// knows, learns of others from them, and follows the one that leads.
package uplink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

const (
	// leaderSilent is when a leader that says nothing is no longer one: it
	// speaks every 200 ms.
	leaderSilent = 700 * time.Millisecond
	// leaderLost is when the link to a silent leader is closed, to dial anew.
	leaderLost = 1100 * time.Millisecond
	// tendEvery is how often silence is looked for.
	tendEvery = 100 * time.Millisecond
)

// Listener takes an uplink's events. Calls may come from several goroutines.
type Listener interface {
	// LeaderChanged says that l leads to the leader of the term; l is nil when
	// none is known.
	LeaderChanged(l *link.Link, term uint64)
	// Received takes a message that is no reply.
	Received(l *link.Link, m contract.Message)
}

// Config holds an uplink's settings.
type Config struct {
	Hello contract.Hello
	// Seeds returns the addresses of hubs that may be up.
	Seeds func() []string
	Link  link.Config
	Log   logr.Logger
}

// hub is what one hub said last.
type hub struct {
	dialer *link.Dialer
	cancel context.CancelFunc
	link   *link.Link
	state  contract.HubState
	at     time.Duration
}

// Uplink follows the leader.
type Uplink struct {
	cfg      Config
	listener Listener
	ctx      context.Context
	group    *errgroup.Group

	mu     sync.Mutex // guards all below
	hubs   map[string]*hub
	leader *link.Link
	term   uint64
	// agreed are the hubs that the last leader named.
	agreed []string
}

// New returns an uplink; Run starts it.
func New(cfg Config, l Listener) *Uplink {
	return &Uplink{cfg: cfg, listener: l, hubs: map[string]*hub{}}
}

// Run dials until ctx is done.
func (u *Uplink) Run(ctx context.Context) error {
	u.group, u.ctx = errgroup.WithContext(ctx)
	u.group.Go(func() error {
		tick := time.NewTicker(tendEvery)
		defer tick.Stop()
		for {
			u.dialAll(u.cfg.Seeds())
			u.tend(boottime.Now())
			select {
			case <-u.ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
	return u.group.Wait()
}

// Leader returns the link to the leader and its term; nil when none is known.
func (u *Uplink) Leader() (*link.Link, uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leader, u.term
}

func (u *Uplink) dialAll(addrs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range addrs {
		if u.hubs[a] != nil || u.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(u.ctx)
		h := &hub{cancel: cancel}
		h.dialer = &link.Dialer{Addr: a, Local: u.cfg.Hello, Config: u.cfg.Link, Handler: &handler{u, a}}
		u.hubs[a] = h
		u.group.Go(func() error { return h.dialer.Run(ctx) })
	}
}

// tend closes the links to leaders that went silent, and forgets hubs that
// have been replaced.
func (u *Uplink) tend(now time.Duration) {
	seeds := u.cfg.Seeds()
	u.mu.Lock()
	for a, h := range u.hubs {
		if h.link != nil && h.state.Leads && now-h.at > leaderLost {
			h.link.Close()
		}
		if h.link == nil && len(u.agreed) > 0 && !slices.Contains(u.agreed, a) && !slices.Contains(seeds, a) {
			h.cancel()
			delete(u.hubs, a)
		}
	}
	u.mu.Unlock()
	u.elect(now)
}

// elect finds the hub that says that it leads, with the highest term.
func (u *Uplink) elect(now time.Duration) {
	u.mu.Lock()
	var best *hub
	for _, h := range u.hubs {
		if h.link != nil && h.state.Leads && now-h.at <= leaderSilent && (best == nil || h.state.Term > best.state.Term) {
			best = h
		}
	}
	var l *link.Link
	term := u.term
	if best != nil {
		l, term = best.link, best.state.Term
	}
	changed := l != u.leader || term != u.term
	u.leader, u.term = l, term
	u.mu.Unlock()
	if !changed {
		return
	}
	if l == nil {
		u.cfg.Log.Info("leader lost", "term", term)
	} else {
		u.cfg.Log.Info("leader found", "leader", l.Remote().Host, "term", term)
	}
	u.listener.LeaderChanged(l, term)
}

// handler takes the events of the link to one hub.
type handler struct {
	u    *Uplink
	addr string
}

func (h *handler) LinkUp(l *link.Link) {
	h.u.mu.Lock()
	if b := h.u.hubs[h.addr]; b != nil {
		b.link, b.state = l, contract.HubState{}
	}
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub reached", "hub", h.addr)
}

func (h *handler) LinkDown(l *link.Link, err error) {
	h.u.mu.Lock()
	if b := h.u.hubs[h.addr]; b != nil && b.link == l {
		b.link, b.state = nil, contract.HubState{}
	}
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub lost", "hub", h.addr, "err", err)
	h.u.elect(boottime.Now())
}

func (h *handler) Receive(l *link.Link, _ uint64, m contract.Message) {
	s, ok := m.(*contract.HubState)
	if !ok {
		h.u.listener.Received(l, m)
		return
	}
	now := boottime.Now()
	h.u.mu.Lock()
	if b := h.u.hubs[h.addr]; b != nil && b.link == l {
		b.state, b.at = *s, now
	}
	if s.Leads {
		h.u.agreed = s.Hubs
	}
	h.u.mu.Unlock()
	h.u.dialAll(s.Hubs)
	h.u.elect(now)
}
