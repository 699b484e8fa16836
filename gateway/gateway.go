// Package gateway hands callers' durable jobs to the hub that leads, and their
// questions, across changes of the leader.
package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// readyFor is how long a gateway calls itself ready after it last had a
// leader: a change of leader takes under a second.
const readyFor = 4 * time.Second

// Gateway is the entry's way to the hubs.
type Gateway struct {
	up  *uplink.Uplink
	log logr.Logger

	mu sync.Mutex // guards all below
	// changed is closed when the leader changes.
	changed chan struct{}
	// lostAt is when the last leader was lost, or the process started; zero
	// while there is a leader.
	lostAt   time.Duration
	hadOne   bool
	draining bool
}

// New returns a gateway; Run starts it.
func New(cfg uplink.Config) *Gateway {
	g := &Gateway{log: cfg.Log, changed: make(chan struct{}), lostAt: boottime.Now()}
	g.up = uplink.New(cfg, g)
	return g
}

// Run keeps the links until ctx is done.
func (g *Gateway) Run(ctx context.Context) error { return g.up.Run(ctx) }

// LeaderChanged wakes all calls that wait for a leader or for its answer.
func (g *Gateway) LeaderChanged(l *link.Link, _ uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
	if l != nil {
		g.hadOne = true
		g.lostAt = 0
	} else {
		g.lostAt = boottime.Now()
	}
}

// Received drops what is no reply.
func (g *Gateway) Received(*link.Link, contract.Message) {}

// Drain makes the gateway call itself not ready.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Ready reports whether the gateway should get new connections.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hadOne && !g.draining && (g.lostAt == 0 || boottime.Now()-g.lostAt < readyFor)
}

// Answer is what came of a request.
type Answer struct {
	contract.JobReply
	// Reached is false when no hub can have taken the request: none was asked,
	// or each said that it does not lead.
	Reached bool
	// Answered is false when a hub was asked and no answer came in time.
	Answered bool
}

// Ask hands a JobSubmit or JobQuery to the leader, and to the next one when it
// changes: both may be asked again without harm. It returns when there is an
// answer or ctx is done.
func (g *Gateway) Ask(ctx context.Context, m contract.Message) Answer {
	var a Answer
	began := boottime.Now()
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if l, _ := g.up.Leader(); l != nil {
			r := g.askOne(ctx, l, aged(m, a.Reached, boottime.Now()-began), changed)
			switch {
			case r == nil:
				a.Reached = true
			case r.Verdict != contract.VerdictNotLeader:
				a.JobReply, a.Answered = *r, true
				return a
			}
		} else if !a.Reached && g.leaderless() > leaderWait {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-changed:
		case <-time.After(askAgain):
		}
	}
}

// leaderWait is how long there must have been no leader before requests are
// refused at once: a change of leader takes under half a second, also after a
// restart of all processes.
const leaderWait = 700 * time.Millisecond

// leaderless returns how long there has been no leader.
func (g *Gateway) leaderless() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostAt == 0 {
		return 0
	}
	return boottime.Now() - g.lostAt
}

// aged returns the message with how long its caller has waited. again says that
// an earlier leader may have taken it.
func aged(m contract.Message, again bool, age time.Duration) contract.Message {
	sub, ok := m.(*contract.JobSubmit)
	if !ok {
		return m
	}
	out := *sub
	out.Again, out.Age = again, age
	return &out
}

// Tell sends the leader a message without waiting for a reply; it may be lost.
func (g *Gateway) Tell(m contract.Message) {
	if l, _ := g.up.Leader(); l != nil {
		if err := l.Send(m); err != nil {
			g.log.V(1).Info("not sent to the leader", "kind", m.MessageKind(), "err", err)
		}
	}
}

// askAgain is the wait after a hub that does not lead any more.
const askAgain = 100 * time.Millisecond

// askOne asks one hub until it answers or the leader changes.
func (g *Gateway) askOne(ctx context.Context, l *link.Link, m contract.Message, changed <-chan struct{}) *contract.JobReply {
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
		g.log.V(1).Info("hub gave no answer", "hub", l.Remote().Host, "err", err)
		return nil
	}
	reply, ok := r.(*contract.JobReply)
	if !ok {
		g.log.Info("hub gave an answer of another kind: run one version on all hosts", "hub", l.Remote().Host, "kind", r.MessageKind())
		return nil
	}
	return reply
}
