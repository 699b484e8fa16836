// Package control is the role of the hosts with disks: together they agree on
// the two tables and on which hosts they are.
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

// Store keeps the acceptor's state. Save returns once the state is synced. An
// error of Save leaves open whether it was.
type Store interface {
	Load() (quorum.AcceptorState, error)
	Save(quorum.AcceptorState) error
}

// Config holds a control host's settings.
type Config struct {
	Self contract.HostID
	// First are the hosts that form the first group, this one among them.
	First []contract.HostID
	// Peer reaches another host; it returns nil where none is known.
	Peer  func(contract.HostID) Peer
	Store Store
	// Learned is called with tables that were agreed on.
	Learned func(contract.Tables)
	// InForce returns the tables in force in this process.
	InForce func() contract.Tables
	Log     logr.Logger
}

// Control runs the role.
type Control struct {
	cfg   Config
	nonce uint64
	// turn holds one token: the right to run rounds in this process.
	turn chan struct{}

	mu       sync.Mutex // guards the acceptor, its store and suspect
	acceptor *quorum.Acceptor
	// suspect says that the store must be read again before the next vote.
	suspect bool

	roundMu sync.Mutex // guards round and group
	round   uint64
	group   contract.Group
}

// New returns a control host with the state of its store. A store that can't
// be read makes it refuse to vote; it says so in each answer.
func New(cfg Config) *Control {
	c := &Control{
		cfg:      cfg,
		nonce:    rand.Uint64(),
		turn:     make(chan struct{}, 1),
		acceptor: quorum.NewAcceptor(quorum.AcceptorState{}),
		suspect:  true,
	}
	c.turn <- struct{}{}
	c.mu.Lock()
	err := c.reload()
	st := c.acceptor.State()
	c.mu.Unlock()
	if err != nil {
		cfg.Log.Error(err, "this host does not vote")
	}
	c.round = st.Promised.Round
	return c
}

// Receive answers a message of the role; it may block for a disk sync or a
// round, so the caller gives it a goroutine.
func (c *Control) Receive(ctx context.Context, m contract.Message) contract.Message {
	reply, err := c.receive(ctx, m)
	if err != nil {
		return link.NewFault(err)
	}
	return reply
}

func (c *Control) receive(ctx context.Context, m contract.Message) (contract.Message, error) {
	switch m := m.(type) {
	case *contract.Prepare:
		return c.prepare(m)
	case *contract.Accept:
		return c.accept(m)
	case *contract.Copy:
		return c.copy(m)
	case *contract.VoterQuery:
		return c.voterState(), nil
	case *contract.EditRequest:
		v, err := c.Edit(ctx, m.Edit)
		return &contract.EditReply{Version: v}, err
	case *contract.TablesRead:
		t, err := c.Read(ctx)
		return tables.Since(t, m.Have), err
	case *contract.HistoryRead:
		edits, err := c.History(ctx)
		return &contract.History{Edits: edits}, err
	case *contract.MemberRequest:
		g, err := c.ChangeMembers(ctx, *m)
		return &contract.MemberReply{Group: g}, err
	}
	return nil, contract.ErrInternal.With("message kind %d is not for a control host", m.MessageKind())
}

// Edit agrees on an edit and returns the version that it made.
func (c *Control) Edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	if e.ID == "" {
		return 0, contract.ErrBadRequest.With("the edit has no ID: give it a unique one")
	}
	var version contract.Version
	_, err := c.change(ctx, func(r Register) (Register, error) {
		next, v, err := r.apply(e, time.Now())
		version = v
		return next, err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Read returns the tables as agreed by a quorum.
func (c *Control) Read(ctx context.Context) (contract.Tables, error) {
	v, err := c.read(ctx)
	return v.register.Tables, err
}

func (c *Control) read(ctx context.Context) (chosen, error) {
	return c.change(ctx, func(r Register) (Register, error) { return r, nil })
}

// History returns the last accepted edits, oldest first.
func (c *Control) History(ctx context.Context) ([]contract.EditRecord, error) {
	v, err := c.read(ctx)
	return v.register.Edits, err
}

// learnInterval is how often the host looks for a value that it accepted and
// that no proposer has reported as chosen.
const learnInterval = 500 * time.Millisecond

// Run keeps the process up to date until ctx is done: a value accepted here
// whose proposer died before it told anyone is read by quorum, and a change of
// members that was not finished is settled.
func (c *Control) Run(ctx context.Context) error {
	t := time.NewTicker(learnInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.keepUp(ctx)
		}
	}
}

func (c *Control) keepUp(ctx context.Context) {
	inForce := c.cfg.InForce()
	c.SawGroup(inForce.Group)
	reg, err := decodeRegister(c.accepted().value)
	if err != nil {
		return
	}
	behind := reg.Tables.Version > inForce.Version
	if !behind && !inForce.Group.Joint() {
		return
	}
	c.settled(ctx)
}
