// Package workeragent is the agent that runs beside a worker and is its only
// caller. It starts and stops runs on the leader's orders, renews the worker's
// lease only while a leader grants it authority, and reports the end of each
// run to the leader. It acknowledges an end to the worker only after the leader
// has confirmed that the end is stored.
//
// Invariant: a session is one unbroken lease of one worker instance. A new
// session is reported only when no run of the previous session is running or
// can still start.
package workeragent

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// Config holds the settings of a Steward.
type Config struct {
	Uplink uplink.Config
	// Lease is the duration for which each renewal extends the worker's lease;
	// MaxLease is the longest lease that the worker grants.
	Lease, MaxLease time.Duration
	// Authority is how long the leader's authority lasts, counted from the
	// sending of the heartbeat that the leader echoed.
	Authority time.Duration
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
	ctx    context.Context
	group  *errgroup.Group

	mu   sync.Mutex // guards the fields below and those marked so in workerInstance
	link *link.Link
	term uint64
	// authorityEnd is the boot time at which the leader's authority expires.
	authorityEnd time.Duration
	instance     *workerInstance
	// session is the session of the last report; it is kept while there is no
	// worker.
	session contract.WorkerSession
	// draining is set when this process shuts down: the worker gets no new runs.
	draining bool
}

// New returns a Steward that does nothing until Run is called.
func New(cfg Config) *Agent {
	s := &Agent{cfg: cfg, log: cfg.Uplink.Log}
	s.uplink = uplink.New(cfg.Uplink, s)
	return s
}

// Run manages the worker until ctx is done.
func (s *Agent) Run(ctx context.Context) error {
	s.group, ctx = errgroup.WithContext(ctx)
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.group.Go(func() error { return s.uplink.Run(ctx) })
	s.group.Go(func() error { return s.sendHeartbeats(ctx) })
	return s.group.Wait()
}

// Ready reports whether Run has started and a leader is connected.
func (s *Agent) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link != nil && s.ctx != nil
}

// Announce handles an announcement of the worker. An announcement of an earlier
// instance, or an older one of the current instance, changes nothing.
func (s *Agent) Announce(a contract.WorkerAnnouncement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return
	}
	a.Draining = a.Draining || s.draining
	w := s.instance
	if w != nil && w.worker.SameInstance(a) {
		if a.Seq < w.worker.Seq {
			return
		}
		changed := a.Draining != w.worker.Draining || a.Capacity != w.worker.Capacity
		w.worker = a
		if changed && w.inSession {
			s.log.Info("worker changed", "worker", a.ID, "draining", a.Draining)
			s.report(false)
		}
		return
	}
	if w != nil && a.StartedMillis < w.worker.StartedMillis {
		s.log.Info("announcement of an earlier worker instance ignored", "worker", a.ID, "born", a.StartedMillis, "present", w.worker.StartedMillis)
		return
	}
	if w != nil {
		w.end("replaced")
	}
	s.log.Info("new worker instance", "worker", a.ID, "born", a.StartedMillis, "addr", a.Addr, "pool", a.Pool)
	s.instance = newWorkerInstance(s, a)
	s.group.Go(s.instance.run)
}

// Leave handles a worker's notice that it is shutting down. Its runs continue
// until the worker process exits, which is detected when no process listens at
// its address any more. Later announcements of the instance are ignored.
func (s *Agent) Leave(id contract.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == nil || s.instance.id != id {
		return
	}
	s.log.Info("worker shutting down", "worker", id)
	s.instance.worker.Draining = true
	s.instance.worker.Seq = math.MaxUint64
	if s.instance.inSession {
		s.report(false)
	}
}

// newSession starts a session without runs and reports it. The caller holds
// s.mu.
func (s *Agent) newSession() {
	s.session = contract.WorkerSession(contract.NewIncarnation())
	s.report(true)
}

// LeaderChanged implements uplink.Listener: it sends the new leader a full
// report of the worker.
func (s *Agent) LeaderChanged(l *link.Link, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
	s.term = max(s.term, term)
	if l != nil && term == s.term && s.session != 0 {
		s.report(true)
	}
}

// report sends the leader the full state of the worker. It sends nothing before
// the first session, since runs of an earlier agent process may still be
// running. The caller holds s.mu.
func (s *Agent) report(attach bool) {
	if s.link == nil || s.session == 0 {
		return
	}
	r := &contract.WorkerReport{
		Attach: attach, Term: s.term, Host: s.cfg.Uplink.Hello.Host, Session: s.session, NoWorker: true,
		Stamp: int64(boottime.Now()),
	}
	if w := s.instance; w != nil && w.inSession {
		w.fillReport(r)
	}
	s.send(r)
}

// send sends a message to the leader. What is lost with the link is covered by
// the full report to the next leader link. The caller holds s.mu.
func (s *Agent) send(m contract.Message) {
	if s.link == nil {
		return
	}
	if err := s.link.Send(m); err != nil {
		s.log.V(1).Info("sending to the leader failed", "kind", m.MessageKind(), "err", err)
	}
}

// sendHeartbeats sends heartbeats, which renew the leader's authority, until ctx
// is done.
func (s *Agent) sendHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		s.mu.Lock()
		if s.session != 0 {
			s.send(&contract.AgentBeat{Session: s.session, Stamp: int64(boottime.Now())})
		}
		s.mu.Unlock()
	}
}

// Received implements uplink.Listener. It handles the leader's messages and
// ignores those of other links, except KnownWorker.
func (s *Agent) Received(l *link.Link, m contract.Message) {
	if k, ok := m.(*contract.KnownWorker); ok {
		s.restoreWorker(k.Worker)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.link {
		return
	}
	switch m := m.(type) {
	case *contract.AgentAuthority:
		if m.Term == s.term {
			s.authorityEnd = max(s.authorityEnd, time.Duration(m.Stamp)+s.cfg.Authority)
		}
	case *contract.WorkerOrders:
		s.send(&contract.OrdersTaken{Number: m.Number})
		s.handleOrders(m)
	}
}

// restoreWorker resumes the worker that an earlier agent process managed, unless
// a worker has announced itself since. Seq 0 makes every announcement of the
// worker newer.
func (s *Agent) restoreWorker(a contract.WorkerAnnouncement) {
	s.mu.Lock()
	announced := s.instance != nil || s.session != 0
	s.mu.Unlock()
	if !announced {
		a.Seq = 0
		s.Announce(a)
	}
}

// handleOrders carries out the leader's orders. The caller holds s.mu.
func (s *Agent) handleOrders(o *contract.WorkerOrders) {
	if o.Term != s.term || o.Session != s.session {
		s.log.Info("orders of another term or session ignored", "term", o.Term, "mine", s.term, "starts", len(o.Starts))
		return
	}
	w := s.instance
	if w == nil || !w.inSession {
		for _, st := range o.Starts {
			s.reportNotStarted(st.RunRef, false)
		}
		return
	}
	if o.EndSession {
		s.log.Info("session ended by the leader", "session", s.session)
		w.sessionEnding = true
	}
	w.ackEnds(o.AckedEndSeq)
	for _, ref := range o.Stops {
		w.handleStop(ref)
	}
	for _, st := range o.Starts {
		if s.authorityEnd <= boottime.Now() || w.sessionEnding || w.worker.Draining {
			s.log.Info("start refused: no authority, session ending or worker draining", "job", st.Job, "task", st.Task, "run", st.Run)
			s.reportNotStarted(st.RunRef, false)
			continue
		}
		if !w.leaseConfirmed() {
			w.pendingStarts = append(w.pendingStarts, st)
			w.wakeUp()
			continue
		}
		w.startRun(st)
	}
}

// reportNotStarted tells the leader that a run did not start and never will. The
// caller holds s.mu.
func (s *Agent) reportNotStarted(ref contract.RunRef, unhealthy bool) {
	s.send(&contract.WorkerEnds{Session: s.session, Ends: []contract.RunEnded{{RunRef: ref, Kind: contract.EndNotStarted, Unhealthy: unhealthy}}})
}

// Drain refuses new starts and returns once no run is left and all ends are
// acknowledged, or when the limit has passed.
func (s *Agent) Drain(limit time.Duration) {
	s.log.Info("drain started")
	deadline := boottime.Now() + limit
	for s.drainStep() && boottime.Now() < deadline {
		time.Sleep(shortPollInterval)
	}
	s.log.Info("drain finished")
}

// drainStep marks the process and the worker as draining. It reports whether
// runs or unacknowledged ends are left.
func (s *Agent) drainStep() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.instance == nil || !s.instance.inSession {
		return false
	}
	if !s.instance.worker.Draining {
		s.instance.worker.Draining = true
		s.report(false)
	}
	return len(s.instance.runs) > 0 || len(s.instance.unackedEnds) > 0
}
