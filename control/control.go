// Package control implements the control hosts: hosts with persistent storage that
// agree by quorum on the route and pool tables and on their own group of members.
// It drives package quorum: it carries the messages between the hosts and syncs
// the acceptor's state. Names in capitals in comments, such as COPY, are actions
// of the formal specification, spec/agreement.pml.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/quorum"
	"github.com/carawaylanding/carawaylanding/tables"
)

// Peer sends requests to another control host.
type Peer interface {
	// Call sends m and waits for the reply.
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// Store persists the acceptor's state. Save returns once the state is synced. If
// Save fails, the stored state may be the old one or the new one.
type Store interface {
	Load() (quorum.AcceptorState, error)
	Save(quorum.AcceptorState) error
}

// Config holds a control host's settings.
type Config struct {
	Self contract.HostID
	// FirstGroupHosts lists the hosts that form the first group, including this one.
	FirstGroupHosts []contract.HostID
	// Peer returns the peer for another host, or nil if the host is not known.
	Peer  func(contract.HostID) Peer
	Store Store
	// OnTablesChosen is called with the tables of a value each time this host learns
	// that the value is chosen.
	OnTablesChosen func(contract.Tables)
	// TablesInForce returns the tables in force in this process.
	TablesInForce func() contract.Tables
	Log           logr.Logger
}

// Control is one control host: an acceptor with its store, and a proposer.
type Control struct {
	cfg   Config
	nonce uint64
	// roundToken holds a single token. Only its owner may run rounds, so that the
	// rounds of this process do not compete with each other.
	roundToken chan struct{}

	mu       sync.Mutex // guards acceptor, cfg.Store and needsReload
	acceptor *quorum.Acceptor
	// needsReload is set if acceptor may differ from the stored state, which must
	// then be loaded before the next vote.
	needsReload bool

	roundMu      sync.Mutex     // guards highestRound and group
	highestRound uint64         // highest round number seen in a ballot
	group        contract.Group // latest group known to this host
}

// New returns a control host that resumes from the state in its store. If the store
// cannot be read, the host refuses to vote and gives the reason in each reply.
func New(cfg Config) *Control {
	c := &Control{
		cfg:         cfg,
		nonce:       rand.Uint64(),
		roundToken:  make(chan struct{}, 1),
		acceptor:    quorum.NewAcceptor(quorum.AcceptorState{}),
		needsReload: true,
	}
	c.roundToken <- struct{}{}
	c.mu.Lock()
	err := c.ensureLoaded()
	st := c.acceptor.State()
	c.mu.Unlock()
	if err != nil {
		cfg.Log.Error(err, "this host does not vote")
	}
	c.highestRound = st.Promised.Round
	return c
}

// Receive handles a request to this control host and returns the reply, which is a
// Fault if the request fails. It may block for a disk sync or a round, so it must
// be called in a goroutine of its own.
func (c *Control) Receive(ctx context.Context, m contract.Message) contract.Message {
	reply, err := c.handleMessage(ctx, m)
	if err != nil {
		return link.NewFault(err)
	}
	return reply
}

func (c *Control) handleMessage(ctx context.Context, m contract.Message) (contract.Message, error) {
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
		return tables.DeltaSince(t, m.Have), err
	case *contract.HistoryRead:
		edits, err := c.History(ctx)
		return &contract.History{Edits: edits}, err
	case *contract.MemberRequest:
		g, err := c.ChangeMembers(ctx, *m)
		return &contract.MemberReply{Group: g}, err
	}
	return nil, contract.ErrInternal.With("message kind %d is not a request to a control host", m.MessageKind())
}

// Edit applies an edit by agreement of a quorum and returns the version of the
// tables that it produced. An edit whose ID was applied before is not applied
// again; Edit then returns the version that it produced the first time.
// ErrConflict and ErrInvalidTables mean that the edit was not applied; after
// ErrEditUnknown it may have been applied, or may still be applied later.
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
	metrics.EditsAccepted.Add(1)
	return version, nil
}

// Read returns the tables as agreed by a quorum. It is linearizable.
func (c *Control) Read(ctx context.Context) (contract.Tables, error) {
	v, err := c.read(ctx)
	return v.register.Tables, err
}

func (c *Control) read(ctx context.Context) (chosenValue, error) {
	return c.change(ctx, func(r Register) (Register, error) { return r, nil })
}

// History returns the most recent accepted edits and membership changes, oldest
// first.
func (c *Control) History(ctx context.Context) ([]contract.EditRecord, error) {
	v, err := c.read(ctx)
	return v.register.Edits, err
}

// catchUpInterval is how often Run checks for changes that a failed proposer left
// unfinished.
const catchUpInterval = 500 * time.Millisecond

// Run completes changes that a failed proposer left unfinished, until ctx is done.
// If this host has accepted a value but has not learned that it was chosen, Run
// reads the register by quorum. If a membership change is unfinished, Run settles
// the group.
func (c *Control) Run(ctx context.Context) error {
	t := time.NewTicker(catchUpInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.catchUp(ctx)
		}
	}
}

// catchUp does one check of Run: it reads the register if this host has accepted a
// later version than the one in force, or if a membership change is unfinished.
func (c *Control) catchUp(ctx context.Context) {
	inForce := c.cfg.TablesInForce()
	c.ObserveGroup(inForce.Group)
	reg, err := decodeRegister(c.accepted().value)
	if err != nil {
		return
	}
	behind := reg.Tables.Version > inForce.Version
	if !behind && !inForce.Group.Joint() {
		return
	}
	c.readSettled(ctx)
}
