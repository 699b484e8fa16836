// Package steward runs beside a worker and is its only caller. It starts and
// stops runs as the leader orders, extends the worker's lease only while it
// has authority from a leader, and tells the leader of each end; an end is
// noted at the worker only after the leader says that it is stored.
//
// Invariant: a session is one unbroken lease of one life of the worker. A new
// session is reported only when nothing of the last one runs, or can start.
package steward

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

// Config holds a steward's settings.
type Config struct {
	Uplink uplink.Config
	// Lease is how far ahead the worker's lease is extended; MaxLease is the
	// most that the worker grants.
	Lease, MaxLease time.Duration
	// Authority is how long the leader's echo of a beat holds.
	Authority time.Duration
	// Connect returns the calls to a worker.
	Connect func(contract.WorkerAnnouncement) Worker
}

// beatEvery is how often the leader is asked for authority.
const beatEvery = 100 * time.Millisecond

// Steward serves the worker beside it.
type Steward struct {
	cfg   Config
	log   logr.Logger
	up    *uplink.Uplink
	ctx   context.Context
	group *errgroup.Group

	mu   sync.Mutex // guards all below, and the fields of life that say so
	link *link.Link
	term uint64
	// authority is when the authority of the leader ends.
	authority time.Duration
	life      *life
	// session is that of the last report; it goes on while there is no worker.
	session contract.WorkerSession
	// draining says that this process is to end: the worker gets no new work.
	draining bool
}

// New returns a steward; Run starts it.
func New(cfg Config) *Steward {
	s := &Steward{cfg: cfg, log: cfg.Uplink.Log}
	s.up = uplink.New(cfg.Uplink, s)
	return s
}

// Run serves until ctx is done.
func (s *Steward) Run(ctx context.Context) error {
	s.group, ctx = errgroup.WithContext(ctx)
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.group.Go(func() error { return s.up.Run(ctx) })
	s.group.Go(func() error { return s.beat(ctx) })
	return s.group.Wait()
}

// Ready reports whether a leader is known that can take a worker's news.
func (s *Steward) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link != nil && s.ctx != nil
}

// Announce takes a worker's news of itself. News of an earlier life, or older
// news of the present one, change nothing.
func (s *Steward) Announce(a contract.WorkerAnnouncement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return
	}
	a.Draining = a.Draining || s.draining
	l := s.life
	if l != nil && l.worker.SameLife(a) {
		if a.Seq < l.worker.Seq {
			return
		}
		changed := a.Draining != l.worker.Draining || a.Capacity != l.worker.Capacity
		l.worker = a
		if changed && l.live {
			s.log.Info("worker changed", "worker", a.ID, "draining", a.Draining)
			s.report(false)
		}
		return
	}
	if l != nil && a.Born < l.worker.Born {
		s.log.Info("news of an earlier life ignored", "worker", a.ID, "born", a.Born, "present", l.worker.Born)
		return
	}
	if l != nil {
		l.end("replaced")
	}
	s.log.Info("worker found", "worker", a.ID, "born", a.Born, "addr", a.Addr, "pool", a.Pool)
	s.life = newLife(s, a)
	s.group.Go(s.life.run)
}

// Leave takes a worker's last word. What runs on it goes on until the worker
// has ended, which shows when nothing listens at its address any more.
func (s *Steward) Leave(id contract.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil || s.life.id != id {
		return
	}
	s.log.Info("worker leaves", "worker", id)
	s.life.worker.Draining = true
	s.life.worker.Seq = math.MaxUint64
	if s.life.live {
		s.report(false)
	}
}

// newSession begins a session in which nothing runs yet. The lock is held.
func (s *Steward) newSession() {
	s.session = contract.WorkerSession(contract.NewIncarnation())
	s.report(true)
}

// LeaderChanged attaches to a new leader.
func (s *Steward) LeaderChanged(l *link.Link, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = l
	s.term = max(s.term, term)
	if l != nil && term == s.term && s.session != 0 {
		s.report(true)
	}
}

// report tells the leader all that is known. The lock is held. Before the
// first session nothing can be said: runs of an earlier process may be alive.
func (s *Steward) report(attach bool) {
	if s.link == nil || s.session == 0 {
		return
	}
	r := &contract.WorkerReport{
		Attach: attach, Term: s.term, Host: s.cfg.Uplink.Hello.Host, Session: s.session, Gone: true,
		Stamp: int64(boottime.Now()),
	}
	if l := s.life; l != nil && l.live {
		l.describe(r)
	}
	s.send(r)
}

// send sends to the leader. The lock is held. What is lost with the link is
// told again when the steward attaches anew.
func (s *Steward) send(m contract.Message) {
	if s.link == nil {
		return
	}
	if err := s.link.Send(m); err != nil {
		s.log.V(1).Info("not sent to the leader", "kind", m.MessageKind(), "err", err)
	}
}

// beat asks for authority until ctx is done.
func (s *Steward) beat(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
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

// Received takes the leader's messages; those of another link are dropped.
func (s *Steward) Received(l *link.Link, m contract.Message) {
	if k, ok := m.(*contract.KnownWorker); ok {
		s.recall(k.Worker)
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
			s.authority = max(s.authority, time.Duration(m.Stamp)+s.cfg.Authority)
		}
	case *contract.WorkerOrders:
		s.send(&contract.OrdersTaken{Number: m.Number})
		s.obey(m)
	}
}

// recall takes up the worker of an earlier process, unless a worker has been
// heard of since. Any heartbeat is newer.
func (s *Steward) recall(a contract.WorkerAnnouncement) {
	s.mu.Lock()
	heard := s.life != nil || s.session != 0
	s.mu.Unlock()
	if !heard {
		a.Seq = 0
		s.Announce(a)
	}
}

// obey carries out the leader's orders. The lock is held.
func (s *Steward) obey(o *contract.WorkerOrders) {
	if o.Term != s.term || o.Session != s.session {
		s.log.Info("orders of another term or session ignored", "term", o.Term, "mine", s.term, "starts", len(o.Starts))
		return
	}
	l := s.life
	if l == nil || !l.live {
		for _, st := range o.Starts {
			s.notStarted(st.RunRef, false)
		}
		return
	}
	if o.Over {
		s.log.Info("session given up by the leader", "session", s.session)
		l.lapse = true
	}
	l.note(o.Noted)
	for _, ref := range o.Stops {
		l.stop(ref)
	}
	for _, st := range o.Starts {
		if s.authority <= boottime.Now() || l.lapse || l.worker.Draining {
			s.log.Info("start refused: no authority, or the worker leaves", "job", st.Job, "task", st.Task, "run", st.Run)
			s.notStarted(st.RunRef, false)
			continue
		}
		if !l.leaseHeld() {
			l.pending = append(l.pending, st)
			l.wakeUp()
			continue
		}
		l.start(st)
	}
}

// notStarted tells the leader that a run will never be. The lock is held.
func (s *Steward) notStarted(ref contract.RunRef, unhealthy bool) {
	s.send(&contract.WorkerEnds{Session: s.session, Ends: []contract.RunEnded{{RunRef: ref, How: contract.EndNotStarted, Unhealthy: unhealthy}}})
}

// Drain takes no new work, and returns when nothing runs any more, or after
// the given time.
func (s *Steward) Drain(limit time.Duration) {
	s.log.Info("drain begins")
	until := boottime.Now() + limit
	for s.drainStep() && boottime.Now() < until {
		time.Sleep(pollEvery)
	}
	s.log.Info("drain ends")
}

// drainStep reports whether something still runs.
func (s *Steward) drainStep() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.life == nil || !s.life.live {
		return false
	}
	if !s.life.worker.Draining {
		s.life.worker.Draining = true
		s.report(false)
	}
	return len(s.life.runs) > 0 || len(s.life.ends) > 0
}
