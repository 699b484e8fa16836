// Package gateway sends callers' durable jobs and queries to the leader of the
// hubs, which are the control hosts of durable jobs, and sends them again when
// the leader changes. While there is no leader it can run transient jobs at agents.
package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// readyWithoutLeader is how long the gateway stays ready after it has lost the
// leader. A change of leader takes less than a second.
const readyWithoutLeader = 4 * time.Second

// Gateway is an entry's client of the hubs.
type Gateway struct {
	uplink *uplink.Uplink
	log    logr.Logger
	// direct runs jobs while there is no leader; nil if that is switched off.
	direct *directStarts

	mu sync.Mutex // guards the fields below
	// leaderChanged is closed and replaced when the leader changes.
	leaderChanged chan struct{}
	// leaderLostAt is the time since boot at which the last leader was lost, or
	// at which the gateway was created. It is zero while there is a leader.
	leaderLostAt time.Duration
	hadLeader    bool
	draining     bool
}

// New returns a gateway that connects to the hubs once Run is called. directStarts lets
// it run transient jobs at agents while there is no leader.
func New(cfg uplink.Config, directStarts bool) *Gateway {
	cfg.EchoState = directStarts
	g := &Gateway{log: cfg.Log, leaderChanged: make(chan struct{}), leaderLostAt: boottime.Now()}
	g.uplink = uplink.New(cfg, g)
	if directStarts {
		g.direct = newDirectStarts(cfg, g.uplink.Evacuated)
	}
	return g
}

// Run maintains the links to the hubs until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.uplink.Run(ctx) })
	if g.direct != nil {
		group.Go(func() error { return g.direct.run(ctx) })
	}
	return group.Wait()
}

// LeaderChanged records the new leader, and wakes all calls that wait for a
// leader or for its answer. The link is nil if there is no leader.
func (g *Gateway) LeaderChanged(l *link.Link, _ uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
	if l != nil {
		g.hadLeader = true
		g.leaderLostAt = 0
	} else {
		g.leaderLostAt = boottime.Now()
	}
}

// Received keeps the list of the queues, and ignores other messages that are not
// replies.
func (g *Gateway) Received(_ *link.Link, m contract.Message) {
	if q, ok := m.(*contract.QueueList); ok && g.direct != nil {
		g.direct.setQueues(q)
	}
}

// Connected reports whether a direct link to the hub at addr is open.
func (g *Gateway) Connected(addr string) bool { return g.uplink.Connected(addr) }

// ClientLimits returns the limits on callers that the leader announced last.
func (g *Gateway) ClientLimits() contract.ClientLimits { return g.uplink.ClientLimits() }

// Drain makes Ready return false.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Ready reports whether the gateway should get new connections: it has had a
// leader, is not draining, and has not been without a leader for
// readyWithoutLeader, unless agents offer direct starts.
func (g *Gateway) Ready() bool {
	offers := g.direct != nil && g.direct.offersAny()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hadLeader && !g.draining && (g.leaderLostAt == 0 || boottime.Now()-g.leaderLostAt < readyWithoutLeader || offers)
}

// Answer is the result of a request to the hubs.
type Answer struct {
	contract.JobReply
	// PossiblyAccepted is false if no hub can have accepted the request: none was
	// asked, each replied that it is not the leader, or the link went down before the
	// request was sent.
	PossiblyAccepted bool
	// Direct is set if the job was given to direct starts. PossiblyAccepted then says
	// that a task may have run.
	Direct bool
	// Answered is false if the leader gave no answer before ctx was done, or no
	// leader was known.
	Answered bool
}

// Ask sends a JobSubmit or JobQuery to the leader, and sends it again when the
// leader changes, which is safe for both. It returns when there is an answer,
// when ctx is done, or when there has been no leader for longer than
// maxLeaderlessWait and no hub can have accepted the request. A transient job that no
// hub can have accepted is given to direct starts if agents offer them; it is then
// never sent to a hub. It is held back while the leader is silent for longer than
// maxLeaderSilence.
func (g *Gateway) Ask(ctx context.Context, m contract.Message) Answer {
	a := g.ask(ctx, m)
	if sub, ok := m.(*contract.JobSubmit); ok && g.bound(m) && !a.Direct && !a.Answered && a.PossiblyAccepted {
		// The caller may send the job to an entry without a leader next.
		g.SendToLeader(&contract.JobQuery{Action: contract.JobAbandon, Host: sub.Host, Path: sub.Path})
	}
	return a
}

// bound reports whether m is a job that might be started directly.
func (g *Gateway) bound(m contract.Message) bool {
	sub, ok := m.(*contract.JobSubmit)
	return ok && g.direct != nil && bindable(sub)
}

func (g *Gateway) ask(ctx context.Context, m contract.Message) Answer {
	var a Answer
	var lastTerm uint64
	began := boottime.Now()
	bound := g.bound(m)
	for {
		if bound && ctx.Err() != nil {
			return a
		}
		g.mu.Lock()
		changed := g.leaderChanged
		g.mu.Unlock()
		pause := askRetryInterval
		hold := bound && !a.PossiblyAccepted && g.leaderSilent()
		if hold {
			pause = heldRetryInterval
		}
		if l, term := g.uplink.Leader(); l != nil && !hold {
			r, sent := g.askHub(ctx, l, g.forTerm(m, term, lastTerm, boottime.Now()-began), changed)
			switch {
			case r == nil && sent:
				a.PossiblyAccepted, lastTerm = true, term
			case r != nil && r.Verdict != contract.VerdictNotLeader:
				a.JobReply, a.Answered = *r, true
				if g.direct != nil {
					g.direct.sawVersion(r.TablesVersion)
				}
				return a
			}
		} else if !a.PossiblyAccepted {
			wait := maxLeaderlessWait
			if bound {
				if j, ok := g.direct.job(m.(*contract.JobSubmit)); ok {
					return g.direct.ask(ctx, j, began)
				}
				wait = maxWaitForOffers
			}
			if g.leaderlessFor() > wait {
				return a
			}
		}
		select {
		case <-ctx.Done():
			return a
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// maxLeaderSilence is the silence of the leader from which on jobs that might be
// started directly are held back: sent to a leader that is gone, it would stay unknown
// whether they have run. The leader announces itself every 100 ms to such entries.
const maxLeaderSilence = 250 * time.Millisecond

// leaderSilent reports whether the leader has been silent for longer than
// maxLeaderSilence.
func (g *Gateway) leaderSilent() bool {
	return g.uplink.LeaderSilence(boottime.Now()) > maxLeaderSilence
}

// maxLeaderlessWait is how long there must have been no leader before requests
// are refused at once. A change of leader takes less than half a second, also
// after a restart of all processes.
const maxLeaderlessWait = 700 * time.Millisecond

// maxWaitForOffers replaces maxLeaderlessWait for jobs that can be started directly.
// Agents offer direct starts 0.5 s after they have noticed that a leader is silent, and
// 1 s after its links were reset, since their authority goes on until then.
const maxWaitForOffers = 1200 * time.Millisecond

// leaderlessFor returns how long there has been no leader, or zero if there is
// one.
func (g *Gateway) leaderlessFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderLostAt == 0 {
		return 0
	}
	return boottime.Now() - g.leaderLostAt
}

// forTerm returns a copy of a JobSubmit that is addressed to the leader of the term,
// with the time that its caller has waited. lastTerm is the term of the last leader
// that may have accepted the job, or zero if none has. The age must have been read
// after the term, since the leader derives from it when the job was first sent.
// Other messages are returned unchanged.
func (g *Gateway) forTerm(m contract.Message, term, lastTerm uint64, age time.Duration) contract.Message {
	sub, ok := m.(*contract.JobSubmit)
	if !ok {
		return m
	}
	out := *sub
	out.Resubmitted, out.Age, out.Bound = lastTerm != 0, age, g.bound(m)
	out.Term, out.LastTerm = term, lastTerm
	return &out
}

// SendToLeader sends a message to the leader without waiting for a reply. The
// message may be lost.
func (g *Gateway) SendToLeader(m contract.Message) {
	if l, _ := g.uplink.Leader(); l != nil {
		if err := l.Send(m); err != nil {
			g.log.V(1).Info("message to the leader not sent", "kind", m.MessageKind(), "err", err)
		}
	}
}

// askRetryInterval is how long to wait after an attempt without an answer,
// unless the leader changes before.
const askRetryInterval = 100 * time.Millisecond

// heldRetryInterval is how long to wait until a job that is held back for a silent
// leader is examined again.
const heldRetryInterval = 20 * time.Millisecond

// askHub asks one hub until it answers, the leader changes, or ctx is done. It
// returns nil if there was no answer, and whether the message may have been sent.
func (g *Gateway) askHub(ctx context.Context, l *link.Link, m contract.Message, changed <-chan struct{}) (reply *contract.JobReply, sent bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	r, err := l.Call(ctx, m)
	if err != nil {
		g.log.V(1).Info("hub did not answer", "hub", l.Remote().Host, "err", err)
		return nil, !errors.Is(err, link.ErrDown) && !errors.Is(err, link.ErrBacklogFull)
	}
	reply, ok := r.(*contract.JobReply)
	if !ok {
		g.log.Info("hub sent an unexpected message type: run the same version on all hosts", "hub", l.Remote().Host, "kind", r.MessageKind())
		return nil, true
	}
	return reply, true
}
