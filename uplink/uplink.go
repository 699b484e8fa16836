// Package uplink maintains links from a process to the hubs, the control hosts of
// durable jobs. It discovers hubs through those that it is connected to, and
// tracks which hub is the leader.
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
	// leaderTimeout is how long a leader may be silent before it no longer counts
	// as the leader. A leader announces itself every 200 ms.
	leaderTimeout = 700 * time.Millisecond
	// leaderLinkTimeout is how long a leader may be silent before its link is
	// closed and dialled again.
	leaderLinkTimeout = 1100 * time.Millisecond
	// checkInterval is how often hubs are checked for timeouts.
	checkInterval = 100 * time.Millisecond
)

// Listener handles the events of an Uplink. Its methods may be called from several
// goroutines.
type Listener interface {
	// LeaderChanged is called when the leader, its link or its term changes. l is
	// the link to the leader, or nil when no leader is known.
	LeaderChanged(l *link.Link, term uint64)
	// Received is called for each message from a hub that is neither a reply nor
	// a HubState.
	Received(l *link.Link, m contract.Message)
}

// Config holds an uplink's settings.
type Config struct {
	Hello contract.Hello
	// Seeds returns the link addresses of hubs that may be running.
	Seeds func() []string
	Link  link.Config
	Log   logr.Logger
}

// hubConn is the connection to one hub, with the state that the hub announced last.
type hubConn struct {
	dialer  *link.Dialer
	cancel  context.CancelFunc
	link    *link.Link
	state   contract.HubState
	stateAt time.Duration
}

// Uplink maintains links to the hubs and tracks the leader. Leader may be called
// from any goroutine.
type Uplink struct {
	cfg        Config
	listener   Listener
	ctx        context.Context
	goroutines *errgroup.Group

	mu     sync.Mutex // guards the fields below
	hubs   map[string]*hubConn
	leader *link.Link
	term   uint64
	// groupAddrs are the hub addresses that a leader announced last.
	groupAddrs []string
}

// New returns an Uplink that notifies l of its events. Run starts it.
func New(cfg Config, l Listener) *Uplink {
	return &Uplink{cfg: cfg, listener: l, hubs: map[string]*hubConn{}}
}

// Run maintains the links until ctx is done.
func (u *Uplink) Run(ctx context.Context) error {
	u.goroutines, u.ctx = errgroup.WithContext(ctx)
	u.goroutines.Go(func() error {
		tick := time.NewTicker(checkInterval)
		defer tick.Stop()
		for {
			u.dialAll(u.cfg.Seeds())
			u.checkHubs(boottime.Now())
			select {
			case <-u.ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
	return u.goroutines.Wait()
}

// Leader returns the link to the leader and its term. The link is nil if no leader
// is known; the term is then that of the last known leader.
func (u *Uplink) Leader() (*link.Link, uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leader, u.term
}

// dialAll starts to maintain a link to each of the addresses that is not dialled
// yet. It does nothing once Run is stopping.
func (u *Uplink) dialAll(addrs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, addr := range addrs {
		if u.hubs[addr] != nil || u.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(u.ctx)
		h := &hubConn{cancel: cancel}
		h.dialer = &link.Dialer{Addr: addr, Local: u.cfg.Hello, Config: u.cfg.Link, Handler: &hubHandler{u, addr}}
		u.hubs[addr] = h
		u.goroutines.Go(func() error { return h.dialer.Run(ctx) })
	}
}

// checkHubs closes the links to silent leaders, so that they are dialled again. It
// removes disconnected hubs that are neither seeds nor among the hubs that the
// leader announced, and then selects the leader.
func (u *Uplink) checkHubs(now time.Duration) {
	seeds := u.cfg.Seeds()
	u.mu.Lock()
	for addr, h := range u.hubs {
		if h.link != nil && h.state.Leads && now-h.stateAt > leaderLinkTimeout {
			h.link.Close()
		}
		if h.link == nil && len(u.groupAddrs) > 0 && !slices.Contains(u.groupAddrs, addr) && !slices.Contains(seeds, addr) {
			h.cancel()
			delete(u.hubs, addr)
		}
	}
	u.mu.Unlock()
	u.selectLeader(now)
}

// selectLeader selects the leader: of the connected hubs that have announced
// within leaderTimeout that they lead, the one with the highest term. It notifies
// the listener of a change.
func (u *Uplink) selectLeader(now time.Duration) {
	u.mu.Lock()
	var best *hubConn
	for _, h := range u.hubs {
		if h.link != nil && h.state.Leads && now-h.stateAt <= leaderTimeout && (best == nil || h.state.Term > best.state.Term) {
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

// hubHandler handles the events of the link to one hub.
type hubHandler struct {
	u    *Uplink
	addr string
}

// LinkUp records the link. The hub's state is unknown until the hub announces it.
func (h *hubHandler) LinkUp(l *link.Link) {
	h.u.mu.Lock()
	if c := h.u.hubs[h.addr]; c != nil {
		c.link, c.state = l, contract.HubState{}
	}
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub connected", "hub", h.addr)
}

// LinkDown removes the link and selects another leader if this hub was the leader.
func (h *hubHandler) LinkDown(l *link.Link, err error) {
	h.u.mu.Lock()
	if c := h.u.hubs[h.addr]; c != nil && c.link == l {
		c.link, c.state = nil, contract.HubState{}
	}
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub disconnected", "hub", h.addr, "err", err)
	h.u.selectLeader(boottime.Now())
}

// Receive records a HubState and passes every other message to the listener.
func (h *hubHandler) Receive(l *link.Link, _ uint64, m contract.Message) {
	s, ok := m.(*contract.HubState)
	if !ok {
		h.u.listener.Received(l, m)
		return
	}
	now := boottime.Now()
	h.u.mu.Lock()
	if c := h.u.hubs[h.addr]; c != nil && c.link == l {
		c.state, c.stateAt = *s, now
	}
	if s.Leads {
		h.u.groupAddrs = s.Hubs
	}
	h.u.mu.Unlock()
	h.u.dialAll(s.Hubs)
	h.u.selectLeader(now)
}
