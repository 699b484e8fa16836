package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/quorum"
	"github.com/carawaylanding/carawaylanding/tables"
)

// fakeDisk holds the state of a Store in memory. Its reads and writes can be made
// to fail, and its writes to be lost.
type fakeDisk struct {
	mu     sync.Mutex // guards all fields below
	synced quorum.AcceptorState
	// failSave makes Save fail without writing. failAfterWrite makes it write and
	// then fail, as when the sync reports an error. failLoad makes Load fail.
	// loseWrites makes Save succeed without writing once the disk holds a voter's
	// state.
	failSave, failAfterWrite, failLoad, loseWrites bool
}

var errDisk = errors.New("no space left on device")

func (d *fakeDisk) Load() (quorum.AcceptorState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failLoad {
		return quorum.AcceptorState{}, &CorruptError{Path: "control.db", Cause: errors.New("checksum")}
	}
	return d.synced, nil
}

// save implements Save; the caller must hold d.mu.
func (d *fakeDisk) save(st quorum.AcceptorState) error {
	if d.failSave {
		return errDisk
	}
	if d.loseWrites && d.synced.Voter {
		return nil
	}
	d.synced = st
	if d.failAfterWrite {
		return errDisk
	}
	return nil
}

// set calls f, which may change the fields, with d locked.
func (d *fakeDisk) set(f func(*fakeDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// diskHandle is the Store of one process. It fails once the process has ended, so
// that the old process of a restarted host cannot write to the disk any more.
type diskHandle struct {
	disk   *fakeDisk
	closed *atomic.Bool
}

var errProcessEnded = errors.New("the process has ended")

func (f diskHandle) Load() (quorum.AcceptorState, error) {
	if f.closed.Load() {
		return quorum.AcceptorState{}, errProcessEnded
	}
	return f.disk.Load()
}

func (f diskHandle) Save(st quorum.AcceptorState) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed.Load() {
		return errProcessEnded
	}
	return f.disk.save(st)
}

// delivery is what the network does with a request and its reply.
type delivery uint8

const (
	deliver delivery = iota
	dropRequest
	dropReply
)

// network carries messages between the control hosts of a test.
type network struct {
	t *testing.T

	mu    sync.Mutex // guards all fields below
	hosts map[contract.HostID]*testHost
	// rule decides about each request; nil delivers all.
	rule func(from, to contract.HostID, m contract.Message) delivery
}

// testHost is one control host of a test.
type testHost struct {
	*Control
	id         contract.HostID
	disk       *fakeDisk
	tables     *tables.Store
	diskClosed atomic.Bool
}

// closeDisk makes all further reads and writes of this process fail.
func (h *testHost) closeDisk() {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	h.diskClosed.Store(true)
}

// netPeer is the Peer for calls from one host to another.
type netPeer struct {
	net      *network
	from, to contract.HostID
}

// Call passes the request to the other host, as the rule of the network says.
func (p netPeer) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	p.net.mu.Lock()
	to := p.net.hosts[p.to]
	rule := p.net.rule
	p.net.mu.Unlock()
	d := deliver
	if rule != nil {
		d = rule(p.from, p.to, m)
	}
	if to == nil || d == dropRequest {
		return nil, link.ErrDown
	}
	reply := to.Receive(ctx, m)
	if f, ok := reply.(*contract.Fault); ok {
		return nil, errors.New(f.Message)
	}
	if d == dropReply {
		return nil, link.ErrDown
	}
	return reply, nil
}

// newNetwork returns a network with a running host for each ID, each with an
// empty disk.
func newNetwork(t *testing.T, ids ...contract.HostID) *network {
	t.Helper()
	n := &network{t: t, hosts: make(map[contract.HostID]*testHost)}
	for _, id := range ids {
		n.start(id, &fakeDisk{}, ids...)
	}
	return n
}

// start starts a host, or restarts it if it is running; it then keeps only what is
// on the given disk.
func (n *network) start(id contract.HostID, disk *fakeDisk, firstGroup ...contract.HostID) *testHost {
	h := &testHost{id: id, disk: disk, tables: tables.NewStore()}
	if previous := n.host(id); previous != nil {
		previous.closeDisk()
	}
	h.Control = New(Config{
		Self:            id,
		FirstGroupHosts: firstGroup,
		Peer:            func(to contract.HostID) Peer { return netPeer{n, id, to} },
		Store:           diskHandle{disk, &h.diskClosed},
		OnTablesChosen:  func(t contract.Tables) { h.tables.Update(t) },
		TablesInForce:   func() contract.Tables { return h.tables.View().Tables },
		Log:             logr.Discard(),
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	return h
}

// host returns the running host with the ID, or nil.
func (n *network) host(id contract.HostID) *testHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[id]
}

// setRule changes the rule of the network once all messages in flight have arrived.
func (n *network) setRule(rule func(from, to contract.HostID, m contract.Message) delivery) {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// heal makes the network deliver all messages.
func (n *network) heal() { n.setRule(nil) }

// isolate makes the network drop the requests between the given hosts and all
// others.
func (n *network) isolate(ids ...contract.HostID) {
	isolated := make(map[contract.HostID]bool)
	for _, id := range ids {
		isolated[id] = true
	}
	n.setRule(func(from, to contract.HostID, _ contract.Message) delivery {
		if isolated[from] != isolated[to] {
			return dropRequest
		}
		return deliver
	})
}

// stop removes a host from the network once all messages in flight have arrived.
func (n *network) stop(id contract.HostID) {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}
