// Package hub runs a control host of the durable jobs: one loop that owns the
// replicated log, the state and, while this host leads, the scheduler; a
// goroutine that syncs the disk; and links to the other hubs, the gateways and
// the agents. All state belongs to the loop, so it needs no lock: others post
// events to it.
package hub

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// Config holds a hub's settings.
type Config struct {
	Host contract.HostID
	// Addr is the IP:port that takes links.
	Addr string
	// Seeds returns the link addresses of hubs that may be up.
	Seeds func() []string
	// First says that the system starts for the first time: a group may form.
	First   bool
	DataDir string
	// Tolerance is how many hubs may lose their disks at once.
	Tolerance int
	// Retain is how long an ended job can be asked for.
	Retain time.Duration
	Log    logr.Logger
}

// Time-outs of the hubs. A change of leader must be over before the authority
// of an agent ends, so that it stops no work.
const (
	heartbeatEvery = 60 * time.Millisecond
	electionAfter  = 300 * time.Millisecond
	// electionStagger covers a tick, a sync of 9 ms and two round trips.
	electionStagger = 50 * time.Millisecond
	tickEvery       = 20 * time.Millisecond
	// AgentAuthority is how long an agent may act after the leader's echo of
	// a beat, from when it sent the beat.
	AgentAuthority = 850 * time.Millisecond
	// agentSilent is when an agent gets no new work: its beats come every
	// 100 ms.
	agentSilent = 320 * time.Millisecond
	// ordersSilent is when an agent that does not acknowledge orders gets no
	// new work: a round trip takes a few milliseconds.
	ordersSilent = 80 * time.Millisecond
	// sessionSlack covers the stop of what a lease held and late timers.
	sessionSlack = 150 * time.Millisecond
	// stateEvery is how often a leader says so on each link.
	stateEvery = 200 * time.Millisecond
	// compactBytes is the size of the log file at which it is compacted.
	compactBytes = 12 << 20
)

// LinkConfig is that of all links to hubs: a connection that went silent is
// found within Silence, heartbeats on idle ones are few, and a host that comes
// back is reached within a few hundred milliseconds.
var LinkConfig = link.Config{
	Idle: 700 * time.Millisecond, Silence: 2 * time.Second,
	Dial: 250 * time.Millisecond, MaxRedial: 150 * time.Millisecond,
}

// Hub is a control host.
type Hub struct {
	cfg    Config
	log    logr.Logger
	events chan func()
	node   *consensus.Node
	store  *store
	disk   *diskWriter
	state  *durable.State
	// stored are the workers that entries on the disk name which are not known
	// to be committed: good enough to tell an agent where to look.
	stored map[contract.HostID]contract.WorkerAnnouncement
	self   contract.LogMember
	// syncing counts work that the disk has not done yet.
	syncing    int
	compacting bool

	peers   map[string]*peer
	inbound map[*link.Link]bool
	ctx     context.Context
	group   *errgroup.Group

	lead      *leadership
	role      consensus.Role
	said      contract.HubState
	saidAt    time.Duration
	groupAt   time.Duration
	joinAsked time.Duration
	logClock  logClock
	formAsked time.Duration
	formed    map[string]contract.DiskReply
}

// logClock gives the log's own time, which never goes back.
type logClock struct {
	at    int64
	since time.Duration
}

func (c *logClock) now(now time.Duration) int64 {
	return c.at + int64((now-c.since)/time.Millisecond)
}

func (c *logClock) set(at int64, now time.Duration) {
	if at >= c.at {
		c.at, c.since = at, now
	}
}

// leadership is what a hub keeps while it leads.
type leadership struct {
	term   uint64
	since  time.Duration
	sched  *schedule.Scheduler
	agents map[contract.HostID]*agent
	// links finds the agent of a link.
	links map[*link.Link]*agent
	// open is the batch that the next turn proposes.
	open *proposal
	// proposed are the batches under way, by log index.
	proposed map[uint64]*proposal
	// submits are the jobs under way to being stored.
	submits map[contract.DurableJobID]*submission
	// transients are the jobs that are not stored.
	transients *transients
	summaryAt  time.Duration
	checkedAt  time.Duration
}

// Run runs a hub until ctx is done.
func Run(ctx context.Context, cfg Config, ln net.Listener, started func(*Hub)) error {
	h, err := open(cfg)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	group, ctx := errgroup.WithContext(ctx)
	h.ctx, h.group = ctx, group
	h.disk = newDiskWriter(cfg.Log, h.store, h.synced)
	group.Go(func() error { h.disk.run(ctx.Done()); return nil })
	server := &link.Server{Local: h.hello(), Config: LinkConfig, Handler: (*inboundHandler)(h)}
	group.Go(func() error { return server.Serve(ctx, ln) })
	group.Go(func() error { return h.loop(ctx) })
	started(h)
	return group.Wait()
}

func open(cfg Config) (*Hub, error) {
	store, stored, fresh, err := openStore(cfg.DataDir, contract.NewDiskID())
	if err != nil {
		return nil, err
	}
	state, err := durable.Restore(stored.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	now := boottime.Now()
	h := &Hub{
		cfg: cfg, log: cfg.Log, events: make(chan func(), 4096), store: store, state: state,
		self:    contract.LogMember{Addr: cfg.Addr, Disk: store.disk},
		stored:  storedWorkers(cfg.Log, stored.Entries),
		peers:   map[string]*peer{},
		inbound: map[*link.Link]bool{},
		formed:  map[string]contract.DiskReply{},
	}
	h.joinAsked = now
	h.logClock.set(state.At, now)
	timing := consensus.Timing{Heartbeat: heartbeatEvery, Election: electionAfter, Stagger: electionStagger}
	h.node = consensus.New(h.self, timing, stored, now, func(d time.Duration) time.Duration { return rand.N(d) })
	cfg.Log.Info("hub opened its disk", "disk", store.disk, "fresh", fresh, "term", h.node.Term(), "last", h.node.LastIndex())
	return h, nil
}

// storedWorkers returns the workers that the entries name.
func storedWorkers(log logr.Logger, entries []contract.LogEntry) map[contract.HostID]contract.WorkerAnnouncement {
	out := map[contract.HostID]contract.WorkerAnnouncement{}
	for _, e := range entries {
		if len(e.Data) == 0 {
			continue
		}
		b, err := durable.DecodeBatch(e.Data)
		if err != nil {
			log.Error(err, "a stored log entry can't be read: run one version on all hubs", "index", e.Index)
			continue
		}
		for _, seen := range b.AgentsSeen {
			out[seen.Host] = seen.Worker
		}
	}
	return out
}

func (h *Hub) hello() contract.Hello {
	return contract.Hello{Host: h.cfg.Host, Incarnation: contract.NewIncarnation(), Roles: []contract.Role{contract.RoleControl}}
}

// post runs f in the loop.
func (h *Hub) post(f func()) {
	select {
	case h.events <- f:
	case <-h.ctx.Done():
	}
}

func (h *Hub) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	h.dialPeers()
	for {
		select {
		case <-ctx.Done():
			return h.store.close()
		case f := <-h.events:
			f()
			h.drainEvents()
		case <-tick.C:
			h.tick(boottime.Now())
		}
		h.turn(boottime.Now())
	}
}

// maxTurn bounds the events of one turn.
const maxTurn = 256

func (h *Hub) drainEvents() {
	for range maxTurn {
		select {
		case f := <-h.events:
			f()
		default:
			return
		}
	}
}

func (h *Hub) tick(now time.Duration) {
	h.node.Tick(now)
	h.form(now)
	h.join(now)
	if h.lead != nil {
		h.tickLead(now)
	}
	h.compact()
}

// turn does what follows from the events: propose, send, sync, apply, order.
func (h *Hub) turn(now time.Duration) {
	h.tellRole()
	h.checkLead(now)
	h.propose(now)
	h.node.Flush(now)
	h.handleReady()
	h.applyCommitted(now)
	h.placeAndOrder(now)
	h.sayState(now)
}

// tellRole logs each change of this hub's role in the group.
func (h *Hub) tellRole() {
	if r := h.node.Role(); r != h.role {
		h.role = r
		h.log.Info("role changed", "role", r.String(), "term", h.node.Term(), "last", h.node.LastIndex(), "voters", len(h.node.Group().Voters))
	}
}

func (h *Hub) handleReady() {
	for {
		r := h.node.Ready()
		if r.Empty() {
			return
		}
		h.sendLog(r.Send)
		if !r.NeedsSync() {
			if h.syncing == 0 {
				h.sendLog(r.AfterSync)
			} else {
				h.syncing++
				h.disk.add(diskWork{after: r.AfterSync})
			}
			continue
		}
		h.syncing++
		if r.Snapshot != nil {
			h.restore(r.Snapshot)
			h.disk.add(diskWork{rewrite: &consensus.Stored{Hard: h.hard(&r), Snapshot: *r.Snapshot, Entries: r.Entries}, after: r.AfterSync})
			continue
		}
		h.disk.add(diskWork{rec: record{Hard: r.Hard, Entries: r.Entries}, after: r.AfterSync})
	}
}

func (h *Hub) hard(r *consensus.Ready) consensus.HardState {
	if r.Hard != nil {
		return *r.Hard
	}
	return h.node.Hard()
}

// restore takes a snapshot that the leader sent.
func (h *Hub) restore(s *consensus.Snapshot) {
	state, err := durable.Restore(s.Data)
	if err != nil {
		h.log.Error(err, "a snapshot of the state can't be read: run one version on all hubs")
		return
	}
	h.state = state
	h.logClock.set(state.At, boottime.Now())
	h.log.Info("state restored from the leader", "index", s.Index, "jobs", len(state.Jobs))
}

// synced is called by the disk's goroutine.
func (h *Hub) synced(work []diskWork) {
	h.post(func() {
		for _, w := range work {
			h.syncing--
			if w.rewrite != nil {
				h.compacting = false
			}
			entries := w.rec.Entries
			if w.rewrite != nil {
				entries = w.rewrite.Entries
			}
			if n := len(entries); n > 0 {
				h.node.Synced(entries[n-1].Index, entries[n-1].Term)
			}
			h.sendLog(w.after)
		}
	})
}

// compact replaces a long log by a snapshot of the state.
func (h *Hub) compact() {
	if h.compacting || h.store.size.Load() < compactBytes {
		return
	}
	data, err := h.state.Encode()
	if err != nil {
		h.log.Error(err, "the state can't be encoded: the log grows until it can")
		return
	}
	h.compacting = true
	at := h.node.Applied()
	snap := consensus.Snapshot{Index: at, Term: h.node.TermAt(at), Group: h.node.GroupAt(at), Data: data}
	h.node.Compact(snap)
	h.syncing++
	h.disk.add(diskWork{rewrite: &consensus.Stored{Hard: h.node.Hard(), Snapshot: snap, Entries: h.node.Tail()}})
	h.log.Info("log compacted", "index", at, "bytes", len(data))
}

func (h *Hub) applyCommitted(now time.Duration) {
	for _, e := range h.node.Committed() {
		if e.Group != nil {
			h.log.Info("group changed", "index", e.Index, "voters", len(e.Group.Voters), "learners", len(e.Group.Learners))
			h.dialPeers()
		}
		if len(e.Data) == 0 {
			continue
		}
		if h.lead != nil && e.Term == h.lead.term {
			if p := h.lead.proposed[e.Index]; p != nil {
				delete(h.lead.proposed, e.Index)
				h.applyProposed(now, p)
				continue
			}
		}
		b, err := durable.DecodeBatch(e.Data)
		if err != nil {
			h.log.Error(err, "a log entry can't be read: run one version on all hubs", "index", e.Index)
			continue
		}
		h.state.Apply(b)
		h.logClock.set(b.At, now)
	}
}
