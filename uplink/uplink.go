// Package uplink maintains links from a process to the hubs, the control hosts of
// durable jobs. It discovers hubs through those that it is connected to, and
// tracks which hub is the leader. A hub that it can't reach directly it reaches
// through a relay.
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
	checkInterval = 50 * time.Millisecond
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
	// RelayAfter is how long the leader may be silent before it is also dialled
	// through a relay; zero means that relays are not used. It should cover two
	// intervals of the leader's messages.
	RelayAfter time.Duration
	// EchoState echoes the clock reading in each HubState, which shows a leader that
	// this process is alive.
	EchoState bool
	Log       logr.Logger
}

// DirectLinkConfig is the configuration of links between agents and entries that are
// open while there is no leader. A link goes down after the silence after which an
// agent stops the runs of the entry.
var DirectLinkConfig = link.Config{
	HeartbeatInterval: 150 * time.Millisecond, SilenceTimeout: 700 * time.Millisecond,
	DialTimeout: 250 * time.Millisecond, MaxRedialBackoff: 300 * time.Millisecond,
	MaxBacklogBytes: 1 << 20,
}

// hubConn is one path to a hub, direct or through a relay, with the state that the
// hub announced last on it.
type hubConn struct {
	path
	addr   string
	cancel context.CancelFunc
	link   *link.Link
	// wantedAt is when a relayed path was last wanted.
	wantedAt time.Duration
}

// Uplink maintains links to the hubs and tracks the leader. Leader may be called
// from any goroutine.
type Uplink struct {
	cfg        Config
	listener   Listener
	ctx        context.Context
	goroutines *errgroup.Group

	// notifyMu is held while a leader is selected and the listener is notified, so
	// that the listener sees the changes in the order in which they were made. It is
	// acquired before mu.
	notifyMu sync.Mutex

	mu sync.Mutex // guards the fields below
	// hubs holds the direct paths and relayed the paths through a relay, by the
	// address of the hub.
	hubs, relayed map[string]*hubConn
	// leader is the selected path to the leader, or nil.
	leader *hubConn
	// notified is the link that the listener knows as that to the leader.
	notified *link.Link
	term     uint64
	// newTerm is the last term that no earlier process of this host can know, by what its
	// leader says; zero if there is none.
	newTerm uint64
	// groupAddrs are the hub addresses that a leader announced last.
	groupAddrs []string
	// relays are the addresses of the relays that a hub announced last.
	relays []string
	// evacuated and clientLimits are the evacuated failure domains and the limits on clients
	// that the leader of evacuatedTerm announced last, when its clock read evacuatedStamp.
	evacuated      []string
	evacuatedTerm  uint64
	evacuatedStamp int64
	clientLimits   contract.ClientLimits
}

// New returns an Uplink that notifies l of its events. Run starts it.
func New(cfg Config, l Listener) *Uplink {
	return &Uplink{cfg: cfg, listener: l, hubs: map[string]*hubConn{}, relayed: map[string]*hubConn{}}
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
	return u.notified, u.term
}

// Relays returns the addresses of the relays that a hub named last.
func (u *Uplink) Relays() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.relays
}

// Connected reports whether a direct link to the hub at addr is open.
func (u *Uplink) Connected(addr string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := u.hubs[addr]
	return h != nil && h.link != nil
}

// LeaderSilence returns how long the leader has been silent, or zero if no leader is
// known.
func (u *Uplink) LeaderSilence(now time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leader == nil {
		return 0
	}
	return now - u.leader.heardAt
}

// UnknownBefore reports whether no earlier process of this host can have known the term of
// a leader, by what the leader says. A leader of an earlier version does not say it.
func (u *Uplink) UnknownBefore(term uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return term != 0 && term == u.newTerm
}

// Evacuated reports whether the failure domain is evacuated, as far as a leader has
// told this process.
func (u *Uplink) Evacuated(domain string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.evacuated, domain)
}

// ClientLimits returns the limits on clients that a leader announced last.
func (u *Uplink) ClientLimits() contract.ClientLimits {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clientLimits
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
		u.hubs[addr] = u.dial(addr, nil)
	}
}

// dial starts to maintain a path to the hub at addr. relay is nil for a direct path.
// The caller holds u.mu.
func (u *Uplink) dial(addr string, relay func() string) *hubConn {
	ctx, cancel := context.WithCancel(u.ctx)
	c := &hubConn{addr: addr, cancel: cancel, path: path{relayed: relay != nil}}
	c.heardAt = boottime.Now()
	d := &link.Dialer{Addr: addr, Local: u.cfg.Hello, Config: u.cfg.Link, Relay: relay, Handler: &hubHandler{u, c}}
	u.goroutines.Go(func() error { return d.Run(ctx) })
	return c
}

// checkHubs closes the links to silent leaders, so that they are dialled again. It
// removes disconnected hubs that are neither seeds nor among the hubs that the
// leader announced, updates the relayed paths, and then selects the leader.
func (u *Uplink) checkHubs(now time.Duration) {
	seeds := u.cfg.Seeds()
	u.mu.Lock()
	for addr, h := range u.hubs {
		if h.link != nil && h.leads && now-h.stateAt > leaderLinkTimeout {
			h.link.Close()
		}
		if h.link == nil && len(u.groupAddrs) > 0 && !slices.Contains(u.groupAddrs, addr) && !slices.Contains(seeds, addr) {
			h.cancel()
			delete(u.hubs, addr)
		}
	}
	u.updateRelayed(now)
	u.mu.Unlock()
	u.selectLeader(now)
}

// paths returns all paths. The caller holds u.mu.
func (u *Uplink) paths() []*hubConn {
	out := make([]*hubConn, 0, len(u.hubs)+len(u.relayed))
	for _, h := range u.hubs {
		out = append(out, h)
	}
	for _, h := range u.relayed {
		out = append(out, h)
	}
	return out
}

// selectLeader selects the path to the leader. It notifies the listener if the link
// to the leader or its term has changed.
func (u *Uplink) selectLeader(now time.Duration) {
	u.notifyMu.Lock()
	defer u.notifyMu.Unlock()
	u.mu.Lock()
	// Between equal paths the present one stays.
	var best *hubConn
	if u.leader != nil && u.leader.mayLead(now) {
		best = u.leader
	}
	for _, h := range u.paths() {
		if h.mayLead(now) && (best == nil || h.betterThan(&best.path, now, u.cfg.RelayAfter)) {
			best = h
		}
	}
	var l *link.Link
	term := u.term
	if best != nil {
		l, term = best.link, best.term
	}
	changed := l != u.notified || term != u.term
	u.leader, u.notified, u.term = best, l, term
	u.mu.Unlock()
	if !changed {
		return
	}
	if l == nil {
		u.cfg.Log.Info("leader lost", "term", term)
	} else {
		u.cfg.Log.Info("leader found", "leader", l.Remote().Host, "term", term, "relayed", best.relayed)
	}
	u.listener.LeaderChanged(l, term)
}

// hubHandler handles the events of one path to a hub.
type hubHandler struct {
	u *Uplink
	c *hubConn
}

// LinkUp records the link. The hub's state is unknown until the hub announces it.
func (h *hubHandler) LinkUp(l *link.Link) {
	now := boottime.Now()
	h.u.mu.Lock()
	h.c.link = l
	h.c.up(now)
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub connected", "hub", h.c.addr, "relayed", h.c.relayed)
}

// LinkDown removes the link and selects another leader if this hub was the leader.
func (h *hubHandler) LinkDown(l *link.Link, err error) {
	now := boottime.Now()
	h.u.mu.Lock()
	if h.c.link == l {
		h.c.link = nil
		h.c.down(now)
	}
	h.u.mu.Unlock()
	h.u.cfg.Log.Info("hub disconnected", "hub", h.c.addr, "relayed", h.c.relayed, "err", err)
	h.u.selectLeader(now)
}

// Receive records a HubState or a RelayList, and passes every other message to the
// listener.
func (h *hubHandler) Receive(l *link.Link, _ uint64, m contract.Message) {
	now := boottime.Now()
	h.u.mu.Lock()
	h.c.heard(now)
	h.u.mu.Unlock()
	switch m := m.(type) {
	case *contract.HubState:
		h.recordState(now, l, m)
	case *contract.RelayList:
		h.u.mu.Lock()
		h.u.relays = m.Addrs
		h.u.mu.Unlock()
	default:
		h.u.listener.Received(l, m)
	}
}

func (h *hubHandler) recordState(now time.Duration, l *link.Link, s *contract.HubState) {
	h.u.mu.Lock()
	if h.c.link == l {
		h.c.announced(now, s.Leads, s.Term)
	}
	if s.Leads {
		h.u.groupAddrs = s.Hubs
		if s.FirstOfHost {
			h.u.newTerm = max(h.u.newTerm, s.Term)
		}
	}
	// Messages on a direct and a relayed path may arrive in another order than they were sent.
	if s.Leads && (s.Term > h.u.evacuatedTerm || s.Term == h.u.evacuatedTerm && s.Stamp >= h.u.evacuatedStamp) {
		h.u.evacuated, h.u.evacuatedTerm, h.u.evacuatedStamp = s.Evacuated, s.Term, s.Stamp
		h.u.clientLimits = s.ClientLimits
	}
	h.u.mu.Unlock()
	if h.u.cfg.EchoState && s.Stamp != 0 {
		// An echo that is lost with the link needs no repetition.
		_ = l.Send(&contract.StateEcho{Stamp: s.Stamp})
	}
	h.u.dialAll(s.Hubs)
	h.u.selectLeader(now)
}
