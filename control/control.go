// Package control is the role of the hosts with disks: together they agree on
// the two tables.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/quorum"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Peer reaches another control host.
type Peer interface {
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// Config holds a control host's settings.
type Config struct {
	Self contract.HostID
	// Members are all control hosts, this one among them.
	Members []contract.HostID
	// Peers reach the other members.
	Peers map[contract.HostID]Peer
	Store *Store
	// Learned is called with tables that were agreed on.
	Learned func(contract.Tables)
	Log     logr.Logger
}

// Control runs the role.
type Control struct {
	cfg Config

	mu       sync.Mutex // guards the acceptor and its store
	acceptor *quorum.Acceptor

	roundMu sync.Mutex // guards round
	round   uint64
}

// New returns a control host with the state of its store.
func New(cfg Config) (*Control, error) {
	st, err := cfg.Store.Load()
	if err != nil {
		return nil, err
	}
	return &Control{cfg: cfg, acceptor: quorum.NewAcceptor(st), round: st.Promised.Round}, nil
}

// Receive answers a message of the role; it may block for a disk sync or a
// round, so the caller gives it a goroutine.
func (c *Control) Receive(ctx context.Context, m contract.Message) contract.Message {
	switch m := m.(type) {
	case *contract.Prepare:
		return c.prepare(m)
	case *contract.Accept:
		return c.accept(m)
	case *contract.EditRequest:
		v, err := c.Edit(ctx, m.Edit)
		if err != nil {
			return link.NewFault(err)
		}
		return &contract.EditReply{Version: v}
	case *contract.TablesRead:
		t, err := c.Read(ctx)
		if err != nil {
			return link.NewFault(err)
		}
		return tables.Full(t)
	}
	return link.NewFault(contract.ErrInternal.With("message kind %d is not for a control host", m.MessageKind()))
}

func (c *Control) prepare(m *contract.Prepare) contract.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.acceptor.State()
	answer := c.acceptor.Prepare(m)
	if !answer.OK {
		return answer
	}
	if err := c.cfg.Store.Save(c.acceptor.State()); err != nil {
		c.acceptor = quorum.NewAcceptor(before)
		return c.syncFailed(err)
	}
	return answer
}

func (c *Control) accept(m *contract.Accept) contract.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.acceptor.State()
	answer := c.acceptor.Accept(m)
	if !answer.OK {
		return answer
	}
	if err := c.cfg.Store.Save(c.acceptor.State()); err != nil {
		c.acceptor = quorum.NewAcceptor(before)
		return c.syncFailed(err)
	}
	return answer
}

func (c *Control) syncFailed(err error) contract.Message {
	c.cfg.Log.Error(err, "state not synced", "remedy", "free space on the disk of the data folder or replace it")
	return link.NewFault(contract.ErrInternal.With("state not synced: %v", err))
}

// Edit agrees on an edit and returns the version that it made.
func (c *Control) Edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	if e.ID == "" {
		return 0, contract.ErrBadRequest.With("the edit has no ID: give it a unique one")
	}
	var version contract.Version
	_, err := c.change(ctx, func(r Register) (Register, error) {
		next, v, err := r.apply(e)
		version = v
		return next, err
	})
	return version, err
}

// Read returns the tables as agreed by a quorum.
func (c *Control) Read(ctx context.Context) (contract.Tables, error) {
	r, err := c.change(ctx, func(r Register) (Register, error) { return r, nil })
	return r.Tables, err
}

// Bounds of the wait between two rounds.
const (
	minRoundWait = 5 * time.Millisecond
	maxRoundWait = 200 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	changeLimit  = 10 * time.Second
)

// change runs rounds until one is chosen, the change is refused, or the time
// is up. Racing rounds back off at random.
func (c *Control) change(ctx context.Context, f func(Register) (Register, error)) (Register, error) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	for wait := minRoundWait; ; wait = min(2*wait, maxRoundWait) {
		r, err := c.tryChange(ctx, f)
		if err == nil {
			c.cfg.Learned(r.Tables)
			return r, nil
		}
		if err != errRoundLost {
			return r, err
		}
		select {
		case <-ctx.Done():
			return Register{}, contract.ErrNoQuorum.With("no majority of %d control hosts answered", len(c.cfg.Members))
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}
