// Package hub implements the hub, the control host process that accepts and
// schedules durable jobs. The hubs replicate the job state through a consensus
// log, and the leader runs the scheduler.
//
// A hub consists of an event loop that owns the replicated log, the state and,
// on the leader, the scheduler; a goroutine that syncs the log to disk; and
// links to the other hubs, the gateways and the agents. Only the event loop
// accesses the state, so the state needs no lock; other goroutines post events
// to the loop.
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
	// Addr is the IP:port that the hub listens on for links.
	Addr string
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// FailureDomains returns the failure domains that the settings name; nil means
	// none. A domain that neither they, nor a hub, nor a worker has can't be
	// evacuated.
	FailureDomains func() []string
	// Seeds returns the link addresses of hubs that may be running.
	Seeds func() []string
	// AllowGroupFormation allows the hub to form the initial consensus group. It
	// is set only on the first start of the system.
	AllowGroupFormation bool
	DataDir             string
	// MaxLostDisks is the number of hubs that may lose their disks at the same
	// time without loss of committed state.
	MaxLostDisks int
	// MemoryBytes is the memory of the process, which limits what jobs may take; zero means
	// defaultMemoryBytes.
	MemoryBytes int64
	// ReadClientLimits returns the limits on the clients of entries in the document of an
	// operator; nil means that documents set none.
	ReadClientLimits func(document []byte) contract.ClientLimits
	// JobRetention is how long the state of an ended job can be queried.
	JobRetention time.Duration
	Log          logr.Logger
}

// Intervals and timeouts of the hubs. An election must complete before the
// authority of the agents expires, so that a change of leader stops no running
// task.
const (
	heartbeatInterval = 60 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	// electionStagger covers a tick, a disk sync of 9 ms and two round trips.
	electionStagger = 50 * time.Millisecond
	tickInterval    = 20 * time.Millisecond
	// AgentAuthorityTTL is how long an agent may act on the leader's behalf. The
	// period starts when the agent sends a heartbeat and is granted when the
	// leader returns the heartbeat's stamp.
	AgentAuthorityTTL = 850 * time.Millisecond
	// agentTimeout is the time without messages after which an agent gets no
	// new work. Agents send a heartbeat every 100 ms.
	agentTimeout = 320 * time.Millisecond
	// orderAckTimeout is the time without acknowledgement of its orders after
	// which an agent gets no new work. A round trip takes a few milliseconds.
	orderAckTimeout = 80 * time.Millisecond
	// sessionMargin is the part of sessionTTL that covers timers that fire late
	// and the time to stop the runs of an expired lease.
	sessionMargin = 150 * time.Millisecond
	// stateBroadcastInterval is how often a leader announces its leadership on
	// each link.
	stateBroadcastInterval = 200 * time.Millisecond
	// compactThresholdBytes is by how much the log file may outgrow its snapshot until it
	// is compacted; see also compactDivisor.
	compactThresholdBytes = 12 << 20
)

// LinkConfig is the configuration of all links to hubs. With it, a link detects
// a silent connection within SilenceTimeout, sends few heartbeats while idle, and
// is open again within a few hundred milliseconds of the restart of a host.
var LinkConfig = link.Config{
	HeartbeatInterval: 700 * time.Millisecond, SilenceTimeout: 2 * time.Second,
	DialTimeout: 250 * time.Millisecond, MaxRedialBackoff: 150 * time.Millisecond,
	MaxBacklogBytes: maxLinkBacklogBytes,
}

// BoundRelayAfter replaces RelayAfter for an entry whose jobs are bound to it: the leader
// sends it its clock every stampInterval, and holds its jobs contract.BoundSilence after
// the last echo. The relayed path must be up before that.
const BoundRelayAfter = 2*stampInterval + 50*time.Millisecond

// RelayAfter returns how long the leader may be silent towards a process of the role
// before the process also dials it through a relay. The leader answers the heartbeats
// of agents, and announces itself to entries every stateBroadcastInterval.
func RelayAfter(role contract.Role) time.Duration {
	if role == contract.RoleAgent {
		return agentTimeout
	}
	return 2*stateBroadcastInterval + 50*time.Millisecond
}

// maxLinkBacklogBytes bounds the memory of the messages that wait for one slow peer.
// It covers the entries that may be in flight to one hub, and for an agent some
// seconds of orders.
const maxLinkBacklogBytes = 8 << 20

// Hub accepts and schedules durable jobs on one control host. The event loop owns
// its mutable state.
type Hub struct {
	cfg Config
	log logr.Logger
	// events queues the functions that the event loop runs.
	events chan event
	// eventAt is when the event that is being handled was posted. handledUntil is a
	// time up to which all events have been handled: silence after it may only mean
	// that this hub is behind.
	eventAt, handledUntil time.Duration
	node                  *consensus.Node
	store                 *logStore
	writer                *diskWriter
	state                 *durable.State
	// uncommittedWorkers holds, by host of their agent, the workers named by log
	// entries that were read from disk and may not be committed. sendKnownWorker
	// uses them for agents that state does not list.
	uncommittedWorkers map[contract.HostID]contract.WorkerAnnouncement
	// self identifies this hub in the consensus group.
	self contract.LogMember
	// pendingWrites counts the queued writes that are not synced yet.
	pendingWrites int
	// compacting says that a compaction of the log file is queued or in progress.
	compacting bool

	// peers holds the hubs that this hub dials, by link address; inbound holds
	// the links that other processes have dialled.
	peers   map[string]*peer
	inbound map[*link.Link]bool
	// seenDomains holds, since this hub started, the failure domains of the hubs that
	// have dialled it and of the evacuations that were ordered. An order that was
	// accepted may be sent again when no worker of the domain is left.
	seenDomains map[string]bool
	// intake limits the bytes of the submissions in events.
	intake     *intake
	ctx        context.Context
	goroutines *errgroup.Group

	// leader is nil while this hub does not lead.
	leader *leaderState
	// role is the role that logRoleChange logged last.
	role consensus.Role
	// lastBroadcast is the state that was last broadcast, and lastBroadcastAt is
	// when that was.
	lastBroadcast   contract.HubState
	lastBroadcastAt time.Duration
	// relaysChanged says that a relay has come or gone since the relays were last
	// announced, at relaysAnnouncedAt.
	relaysChanged     bool
	relaysAnnouncedAt time.Duration
	// entryAliveAt holds, by inbound link, the latest reading of this hub's clock that
	// the entry has echoed.
	entryAliveAt map[*link.Link]time.Duration
	// stampedAt is when the entries that echo it were last sent this hub's clock.
	stampedAt time.Duration
	// clientLimits are the limits on clients in the tables of clientLimitsVersion.
	clientLimits        contract.ClientLimits
	clientLimitsVersion uint64
	// queuesAnnounced is the version of the queues that entries were sent last.
	queuesAnnounced uint64
	groupCheckedAt  time.Duration
	joinRequestedAt time.Duration
	logClock        logClock
	disksQueriedAt  time.Duration
	// diskReplies holds the other seeds' replies while the group is formed, by
	// link address.
	diskReplies map[string]contract.DiskReply
}

// logClock estimates the log time, in milliseconds: the log time of the last
// applied batch plus the time since the batch was applied. A reading can be
// behind an earlier one, by the time that the batch took to be committed.
// durable.State keeps the log time of the replicated state from going back.
type logClock struct {
	logTime int64
	// setAt is the boot time at which logTime was set.
	setAt time.Duration
}

// now returns the log time at the boot time now.
func (c *logClock) now(now time.Duration) int64 {
	return c.logTime + int64((now-c.setAt)/time.Millisecond)
}

// set sets the log time at the boot time now to at. It ignores a log time before
// the one that was set last.
func (c *logClock) set(at int64, now time.Duration) {
	if at >= c.logTime {
		c.logTime, c.setAt = at, now
	}
}

// leaderState is the state that a hub keeps for one term as leader.
type leaderState struct {
	term      uint64
	startedAt time.Duration
	sched     *schedule.Scheduler
	agents    map[contract.HostID]*agent
	// agentByLink holds the agents that have reported on a link that is up, by
	// that link.
	agentByLink map[*link.Link]*agent
	// toldFirst holds, by host, the first process that was told that this hub leads the
	// term.
	toldFirst map[contract.HostID]contract.Incarnation
	// withOrders lists the agents whose queued orders are to be sent.
	withOrders []*agent
	// pending collects the changes for the next proposal.
	pending *proposal
	// proposed holds the proposed batches that are not applied yet, by log
	// index.
	proposed map[uint64]*proposal
	// memory accounts for the jobs that have not ended.
	memory *jobMemory
	// submissions holds the submitted jobs that are not committed yet.
	submissions map[contract.DurableJobID]*submission
	// transients holds the jobs that are not replicated.
	transients    *transientJobs
	lastSummaryAt time.Duration
	// poolFields holds, by pool, the log fields of refusalFields as of poolFieldsAt.
	poolFields   map[string][]any
	poolFieldsAt time.Duration
	// refusedWait is the predicted wait of the job that was refused last, for its log line.
	refusedWait time.Duration
	lastCheckAt time.Duration
}

// Run runs a hub that accepts links on ln until ctx is done. It passes the hub to
// started as soon as the hub's goroutines run. It returns an error if the stored
// state can't be read or the log file can't be closed.
func Run(ctx context.Context, cfg Config, ln net.Listener, started func(*Hub)) error {
	h, err := newHub(cfg)
	if err != nil {
		return err
	}
	goroutines, ctx := errgroup.WithContext(ctx)
	h.ctx, h.goroutines = ctx, goroutines
	h.writer = newDiskWriter(cfg.Log, h.store, h.handleSynced)
	goroutines.Go(func() error { h.writer.run(ctx.Done()); return nil })
	server := &link.Server{Local: h.hello(), Config: LinkConfig, Handler: (*inboundHandler)(h)}
	goroutines.Go(func() error { return server.Serve(ctx, ln) })
	goroutines.Go(func() error { return h.loop(ctx) })
	started(h)
	return goroutines.Wait()
}

func newHub(cfg Config) (*Hub, error) {
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
		cfg: cfg, log: cfg.Log, events: make(chan event, 4096), store: store, state: state,
		self:               contract.LogMember{Addr: cfg.Addr, Disk: store.disk},
		uncommittedWorkers: workersInEntries(cfg.Log, stored.Entries),
		peers:              map[string]*peer{},
		inbound:            map[*link.Link]bool{},
		seenDomains:        map[string]bool{},
		entryAliveAt:       map[*link.Link]time.Duration{},
		diskReplies:        map[string]contract.DiskReply{},
		intake:             newIntake(cfg.memoryBytes() / intakeDivisor),
	}
	h.joinRequestedAt = now
	h.logClock.set(state.LogTime, now)
	h.countEvacuated()
	timing := consensus.Timing{HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, ElectionStagger: electionStagger}
	h.node = consensus.New(h.self, timing, stored, now, func(d time.Duration) time.Duration { return rand.N(d) })
	cfg.Log.Info("log store opened", "disk", store.disk, "fresh", fresh, "term", h.node.Term(), "last", h.node.LastIndex())
	return h, nil
}

// workersInEntries returns the workers named by the entries, by the host of
// their agent. It skips entries that can't be decoded.
func workersInEntries(log logr.Logger, entries []contract.LogEntry) map[contract.HostID]contract.WorkerAnnouncement {
	out := map[contract.HostID]contract.WorkerAnnouncement{}
	for _, e := range entries {
		if len(e.Data) == 0 {
			continue
		}
		b, err := durable.DecodeBatch(e.Data)
		if err != nil {
			log.Error(err, "cannot decode stored log entry: run the same version on all hubs", "index", e.Index)
			continue
		}
		for _, seen := range b.RegisteredAgents {
			out[seen.Host] = seen.Worker
		}
	}
	return out
}

func (h *Hub) hello() contract.Hello {
	return contract.Hello{
		Host: h.cfg.Host, Incarnation: contract.NewIncarnation(), FailureDomain: h.cfg.FailureDomain, Roles: []contract.Role{contract.RoleControl},
	}
}

// event is a function for the event loop, with the time at which it was posted.
type event struct {
	f  func()
	at time.Duration
}

// post queues f to run in the event loop, and blocks while the queue is full. It
// may drop f once the hub stops.
func (h *Hub) post(f func()) {
	select {
	case h.events <- event{f, boottime.Now()}:
	case <-h.ctx.Done():
	}
}

func (h *Hub) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	h.dialPeers()
	for {
		select {
		case <-ctx.Done():
			return h.store.close()
		case e := <-h.events:
			h.handle(e)
			h.drainEvents()
		case <-tick.C:
			h.drainEvents()
			h.tick(boottime.Now())
		}
		h.advance(boottime.Now())
	}
}

// maxEventsPerIteration is the maximum number of queued events that drainEvents
// handles in one loop iteration.
const maxEventsPerIteration = 256

func (h *Hub) drainEvents() {
	for range maxEventsPerIteration {
		select {
		case e := <-h.events:
			h.handle(e)
		default:
			h.handledUntil = boottime.Now()
			return
		}
	}
}

func (h *Hub) handle(e event) {
	h.eventAt, h.handledUntil = e.at, e.at
	e.f()
}

func (h *Hub) tick(now time.Duration) {
	h.node.Tick(now)
	h.formGroup(now)
	h.requestJoin(now)
	if h.leader != nil {
		h.tickLeader(now)
	}
	h.compact()
	h.announceRelays(now)
}

// advance acts on the events that the loop iteration has handled: it proposes
// the pending batch, sends consensus messages, queues writes of the log, applies
// committed entries, and sends orders to the agents.
func (h *Hub) advance(now time.Duration) {
	h.logRoleChange()
	h.updateLeadership(now)
	h.propose(now)
	h.node.Flush(now)
	h.handleReady()
	h.applyCommitted(now)
	h.announceQueues()
	h.placeAndSendOrders(now)
	h.broadcastState(now)
	h.stampEntries(now)
}

// logRoleChange logs a change of this hub's role in the consensus group.
func (h *Hub) logRoleChange() {
	if r := h.node.Role(); r != h.role {
		h.role = r
		h.log.Info("role changed", "role", r.String(), "term", h.node.Term(), "last", h.node.LastIndex(), "voters", len(h.node.Group().Voters))
	}
}

// handleReady sends the consensus messages that are due, and queues writes for
// the disk writer. Messages that depend on a write are sent after its sync.
func (h *Hub) handleReady() {
	for {
		r := h.node.Ready()
		if r.Empty() {
			return
		}
		h.sendConsensusMessages(r.Send)
		if !r.NeedsSync() {
			if h.pendingWrites == 0 {
				h.sendConsensusMessages(r.AfterSync)
			} else {
				h.pendingWrites++
				h.writer.enqueue(writeRequest{afterSync: r.AfterSync})
			}
			continue
		}
		h.pendingWrites++
		if r.Snapshot != nil {
			h.restoreSnapshot(r.Snapshot)
			h.writer.enqueue(writeRequest{rewrite: &consensus.StoredState{Hard: h.hardState(&r), Snapshot: *r.Snapshot, Entries: r.Entries}, afterSync: r.AfterSync})
			continue
		}
		h.writer.enqueue(writeRequest{record: logRecord{Hard: r.Hard, Entries: r.Entries}, afterSync: r.AfterSync})
	}
}

// hardState returns the hard state in r, or the current one if r has none because
// it has not changed.
func (h *Hub) hardState(r *consensus.Ready) consensus.HardState {
	if r.Hard != nil {
		return *r.Hard
	}
	return h.node.HardState()
}

// restoreSnapshot replaces the state by a snapshot from the leader.
func (h *Hub) restoreSnapshot(s *consensus.Snapshot) {
	state, err := durable.Restore(s.Data)
	if err != nil {
		h.log.Error(err, "cannot decode state snapshot: run the same version on all hubs")
		return
	}
	h.state = state
	h.logClock.set(state.LogTime, boottime.Now())
	h.countEvacuated()
	h.log.Info("state restored from the leader's snapshot", "index", s.Index, "jobs", len(state.Jobs))
}

// handleSynced posts an event that marks the writes as synced and sends the
// messages that depend on them. The disk writer's goroutine calls it.
func (h *Hub) handleSynced(writes []writeRequest) {
	h.post(func() {
		for _, w := range writes {
			h.pendingWrites--
			if w.rewrite != nil {
				h.compacting = false
			}
			entries := w.record.Entries
			if w.rewrite != nil {
				entries = w.rewrite.Entries
				h.node.Synced(w.rewrite.Snapshot.Index, w.rewrite.Snapshot.Term)
			}
			if n := len(entries); n > 0 {
				h.node.Synced(entries[n-1].Index, entries[n-1].Term)
			}
			h.sendConsensusMessages(w.afterSync)
		}
	})
}

// compact replaces the log by a snapshot of the state once the log file has
// outgrown the last one by compactThresholdBytes.
func (h *Hub) compact() {
	if h.compacting || h.store.growth() < min(compactThresholdBytes, h.cfg.memoryBytes()/compactDivisor) {
		return
	}
	data, err := h.state.Encode()
	if err != nil {
		h.log.Error(err, "cannot encode state: log is not compacted and keeps growing")
		return
	}
	h.compacting = true
	applied := h.node.Applied()
	snap := consensus.Snapshot{Index: applied, Term: h.node.TermAt(applied), Group: h.node.GroupAt(applied), Data: data}
	h.node.Compact(snap)
	h.pendingWrites++
	h.writer.enqueue(writeRequest{rewrite: &consensus.StoredState{Hard: h.node.HardState(), Snapshot: snap, Entries: h.node.EntriesSinceSnapshot()}})
	h.log.Info("log compacted", "index", applied, "bytes", len(data))
}

// applyCommitted applies the newly committed log entries to the state.
func (h *Hub) applyCommitted(now time.Duration) {
	for _, e := range h.node.Committed() {
		if e.Group != nil {
			h.log.Info("group changed", "index", e.Index, "voters", len(e.Group.Voters), "learners", len(e.Group.Learners))
			h.dialPeers()
		}
		if len(e.Data) == 0 {
			continue
		}
		if h.leader != nil && e.Term == h.leader.term {
			if p := h.leader.proposed[e.Index]; p != nil {
				delete(h.leader.proposed, e.Index)
				h.applyProposed(now, p)
				continue
			}
		}
		b, err := durable.DecodeBatch(e.Data)
		if err != nil {
			h.log.Error(err, "cannot decode log entry: run the same version on all hubs", "index", e.Index)
			continue
		}
		h.evacuationsChanged(h.state.Apply(b).Evacuations)
		h.logClock.set(b.LogTime, now)
	}
}
