// Package workeragent is the agent that runs beside a worker and is its only
// caller. It starts and stops runs on the leader's orders, renews the worker's
// lease only while a leader grants it authority, and reports the end of each
// run to the leader. It acknowledges a run end to the worker only after the leader
// has confirmed that the run end is stored. While no leader is known it can start runs
// for entries instead; direct.go has the conditions.
//
// Invariant: a session is one unbroken lease of one worker instance. A new
// session is reported only when no run of the previous session is running or
// can still start.
package workeragent

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// Config holds the settings of an Agent.
type Config struct {
	Uplink uplink.Config
	// Lease is the duration for which each renewal extends the worker's lease;
	// MaxLease is the longest lease that the worker grants.
	Lease, MaxLease time.Duration
	// AuthorityTTL is how long the leader's authority lasts, counted from the
	// sending of the heartbeat that the leader echoed.
	AuthorityTTL time.Duration
	// DirectStarts lets entries start runs while no leader is known.
	DirectStarts bool
	// MaxLeaderless ends direct starts once no leader has been known for this long: the
	// agent may have missed an evacuation. Zero means no limit.
	MaxLeaderless time.Duration
	// Evacuated reports whether no run may start in a failure domain; nil means as the
	// leader has announced.
	Evacuated func(domain string) bool
	// Connect returns a client of the announced worker instance.
	Connect func(contract.WorkerAnnouncement) WorkerClient
}

// heartbeatInterval is the interval of the heartbeats that renew the leader's
// authority.
const heartbeatInterval = 100 * time.Millisecond

// Agent manages the worker on the same host on behalf of the leader.
type Agent struct {
	cfg    Config
	log    logr.Logger
	uplink *uplink.Uplink
	// unknownBefore is Uplink.UnknownBefore.
	unknownBefore func(term uint64) bool
	ctx           context.Context
	group         *errgroup.Group

	mu sync.Mutex // guards the fields below and those marked so in workerInstance
	// link is the link to the leader, or nil if no leader is known. attachID
	// identifies the attachment on it.
	link     *link.Link
	attachID int64
	// term is the highest term of a leader so far.
	term uint64
	// authorityEnd is the boot time at which the leader's authority expires.
	authorityEnd time.Duration
	instance     *workerInstance
	// exited is the ID of the last instance that has certainly exited after a session with
	// this process; empty if there is none.
	exited contract.HostID
	// session is the latest session, which may be one without a worker; it is zero
	// before the first session.
	session contract.WorkerSession
	// sessionReported is set once a report of the session was sent to a leader, which
	// may then order runs in it.
	sessionReported bool
	// leaderLostAt and leaderFoundAt are when a leader was last lost and found.
	// leaderLostAt is when the process started if there has been none.
	leaderLostAt, leaderFoundAt time.Duration
	// entries holds the links to entries that are up.
	entries map[*link.Link]*entryLink
	// offered is the last offer to entries, sent at offeredAt.
	offered   contract.DirectOffer
	offeredAt time.Duration
	// draining is set when this process shuts down: the worker gets no new runs.
	draining bool
	// recent records the runs that have ended lately.
	recent recentRuns
	// crashes records the crashes of the worker, oldest first.
	crashes []recordedCrash
}

// New returns an Agent that does nothing until Run is called.
func New(cfg Config) *Agent {
	a := &Agent{cfg: cfg, log: cfg.Uplink.Log, entries: map[*link.Link]*entryLink{}, leaderLostAt: boottime.Now()}
	a.uplink = uplink.New(cfg.Uplink, a)
	a.unknownBefore = a.uplink.UnknownBefore
	if a.cfg.Evacuated == nil {
		a.cfg.Evacuated = a.uplink.Evacuated
	}
	return a
}

// Run manages the worker until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	a.group, ctx = errgroup.WithContext(ctx)
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.group.Go(func() error { return a.uplink.Run(ctx) })
	a.group.Go(func() error { return a.sendHeartbeats(ctx) })
	if a.cfg.DirectStarts {
		a.group.Go(func() error { return a.runDirect(ctx) })
	}
	return a.group.Wait()
}

// Ready reports whether Run has started and a leader is connected.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.link != nil && a.ctx != nil
}

// HandleAnnouncement handles an announcement of the worker. An announcement of an earlier
// instance, or an older one of the current instance, changes nothing.
func (a *Agent) HandleAnnouncement(ann contract.WorkerAnnouncement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil {
		return
	}
	leaving := ann.Draining
	ann.Draining = ann.Draining || a.draining
	w := a.instance
	if w != nil && w.worker.SameInstance(ann) {
		if ann.Seq < w.worker.Seq {
			return
		}
		w.leaving = leaving
		changed := ann.Draining != w.worker.Draining || ann.Capacity != w.worker.Capacity || ann.FailureDomain != w.worker.FailureDomain ||
			ann.Pool != w.worker.Pool || !slices.Equal(ann.Labels, w.worker.Labels)
		changed = w.updateCold(ann) || changed
		w.worker = ann
		if changed && w.inSession {
			a.log.Info("worker changed", "worker", ann.ID, "pool", ann.Pool, "labels", len(ann.Labels), "draining", ann.Draining, "domain", ann.FailureDomain, "cold_ms", ann.ColdLeftMillis)
			a.report(false)
		}
		return
	}
	if w != nil && ann.StartedMillis < w.worker.StartedMillis {
		a.log.Info("announcement of an earlier worker instance ignored", "worker", ann.ID, "born", ann.StartedMillis, "present", w.worker.StartedMillis)
		return
	}
	a.log.Info("new worker instance", "worker", ann.ID, "born", ann.StartedMillis, "addr", ann.Addr, "pool", ann.Pool)
	a.instance = newWorkerInstance(a, ann)
	a.instance.leaving = leaving
	a.instance.fresh = w == nil && a.exited != "" && a.exited != ann.ID
	if w != nil {
		a.instance.inheritRuns(w)
		w.stopTracking("replaced", contract.EndStopped)
	}
	a.group.Go(a.instance.sessionLoop)
}

// HandleLeave handles a worker's notice that it is shutting down. Its runs continue
// until the worker process exits, which is detected when no process listens at
// its address any more. Later announcements of the instance are ignored.
func (a *Agent) HandleLeave(id contract.HostID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.instance == nil || a.instance.id != id {
		return
	}
	a.log.Info("worker shutting down", "worker", id)
	a.instance.worker.Draining = true
	a.instance.leaving = true
	a.instance.worker.Seq = math.MaxUint64
	if a.instance.inSession {
		a.report(false)
	}
}

// newSession starts a session without runs and reports it. The caller holds
// a.mu.
func (a *Agent) newSession() {
	a.session = contract.WorkerSession(contract.NewIncarnation())
	a.recent.begin(boottime.Now())
	a.sessionReported = false
	a.report(true)
}

// LeaderChanged implements uplink.Listener: it sends the new leader a full
// report of the worker.
func (a *Agent) LeaderChanged(l *link.Link, term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l != a.link {
		a.attachID = max(a.attachID+1, int64(boottime.Now()))
	}
	switch {
	case l == nil && a.link != nil:
		a.leaderLostAt = boottime.Now()
	case l != nil && a.link == nil:
		a.leaderFoundAt = boottime.Now()
	}
	a.link = l
	if term > a.term && a.instance != nil {
		// The session may wait for a token that the worker accepts.
		a.instance.wakeUp()
	}
	a.term = max(a.term, term)
	if l != nil && term == a.term && a.session != 0 {
		a.report(true)
	}
}

// report sends the leader the full state of the worker. attach marks the first
// report on a link or of a session. Nothing is sent before the first session,
// since runs of an earlier agent process may still be running. The caller holds
// a.mu.
func (a *Agent) report(attach bool) {
	if a.link == nil || a.session == 0 {
		return
	}
	a.sessionSeenByLeader()
	r := &contract.WorkerReport{
		Attach: attach, Term: a.term, Host: a.cfg.Uplink.Hello.Host, Session: a.session, NoWorker: true,
		Stamp: int64(boottime.Now()), AttachID: a.attachID,
	}
	if w := a.instance; w != nil && (w.inSession || w.leaseRunsOut || w.hasInheritedRuns()) {
		w.fillReport(r)
	}
	if attach {
		a.fillRecent(boottime.Now(), r)
		r.Crashes = a.recentCrashes(boottime.Now())
	}
	a.send(r)
}

// send sends a message to the leader. A message that is lost with the link is not
// sent again, since the next link to a leader begins with a full report. The
// caller holds a.mu.
func (a *Agent) send(m contract.Message) {
	if a.link == nil {
		return
	}
	if err := a.link.Send(m); err != nil {
		a.log.V(1).Info("sending to the leader failed", "kind", m.MessageKind(), "err", err)
	}
}

// sendHeartbeats sends heartbeats, which renew the leader's authority, until ctx
// is done.
func (a *Agent) sendHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		a.mu.Lock()
		if a.session != 0 {
			a.send(&contract.AgentBeat{Session: a.session, Stamp: int64(boottime.Now())})
		}
		a.mu.Unlock()
	}
}

// Received implements uplink.Listener. It handles the leader's messages and
// ignores those of other links, except KnownWorker.
func (a *Agent) Received(l *link.Link, m contract.Message) {
	if k, ok := m.(*contract.KnownWorker); ok {
		a.restoreWorker(k.Worker)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l != a.link {
		return
	}
	switch m := m.(type) {
	case *contract.AgentAuthority:
		if m.Term == a.term {
			a.authorityEnd = max(a.authorityEnd, time.Duration(m.Stamp)+a.cfg.AuthorityTTL)
		}
	case *contract.WorkerOrders:
		// Hubs of an earlier version send no attachment.
		if m.AttachID != 0 && m.AttachID != a.attachID {
			a.log.Info("orders of an earlier attachment ignored", "attachment", m.AttachID, "present", a.attachID, "starts", len(m.Starts), "stops", len(m.Stops))
			return
		}
		a.send(&contract.OrdersTaken{Number: m.Number, AttachID: m.AttachID})
		a.handleOrders(m)
	}
}

// restoreWorker resumes the worker that an earlier agent process managed, unless
// a worker has announced itself since. Seq 0 makes every announcement of the
// worker newer.
func (a *Agent) restoreWorker(ann contract.WorkerAnnouncement) {
	if err := ann.Validate(time.Now()); err != nil {
		a.log.Info("known worker ignored", "worker", ann.ID, "err", err)
		return
	}
	a.mu.Lock()
	announced := a.instance != nil || a.session != 0
	a.mu.Unlock()
	if !announced {
		ann.Seq = 0
		a.HandleAnnouncement(ann)
	}
}

// handleOrders carries out the leader's orders. The caller holds a.mu.
func (a *Agent) handleOrders(o *contract.WorkerOrders) {
	if o.Term != a.term || o.Session != a.session {
		a.log.Info("orders of another term or session ignored", "term", o.Term, "mine", a.term, "starts", len(o.Starts))
		return
	}
	w := a.instance
	if w == nil || !w.inSession {
		for _, st := range o.Starts {
			a.reportNotStarted(contract.RunEnded{RunRef: st.RunRef})
		}
		return
	}
	if o.EndSession {
		a.log.Info("session ended by the leader", "session", a.session)
		w.sessionEnding = true
	}
	w.ackEnds(o.AckedEndSeq)
	for _, ref := range o.Stops {
		w.handleStop(ref)
	}
	for _, st := range o.Starts {
		if a.authorityEnd <= boottime.Now() || w.sessionEnding || w.worker.Draining {
			a.log.Info("start refused: no authority, session ending or worker draining", "job", st.Job, "task", st.Task, "run", st.Run)
			a.reportNotStarted(contract.RunEnded{RunRef: st.RunRef})
			continue
		}
		if !w.leaseConfirmed() {
			w.pendingStarts = append(w.pendingStarts, st)
			w.wakeUp()
			continue
		}
		w.startOrdered(st)
	}
}

// reportNotStarted tells the leader that the run of e did not start and never will.
// The caller holds a.mu.
func (a *Agent) reportNotStarted(e contract.RunEnded) {
	e.Kind = contract.EndNotStarted
	a.send(&contract.WorkerEnds{Session: a.session, Ends: []contract.RunEnded{e}})
}

// Drain refuses new starts and returns once no run is left and all run ends are
// acknowledged, or when the limit has passed.
func (a *Agent) Drain(limit time.Duration) {
	a.log.Info("drain started")
	deadline := boottime.Now() + limit
	for a.drainStep() && boottime.Now() < deadline {
		time.Sleep(shortPollInterval)
	}
	a.log.Info("drain finished")
}

// drainStep marks the process and the worker as draining. It reports whether
// runs or unacknowledged run ends are left.
func (a *Agent) drainStep() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	if a.instance == nil || !a.instance.inSession {
		return false
	}
	if !a.instance.worker.Draining {
		a.instance.worker.Draining = true
		a.report(false)
	}
	return len(a.instance.runs) > 0 || len(a.instance.unackedEnds) > 0
}
