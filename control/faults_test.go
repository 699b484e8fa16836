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

// fakeDisk is a Store whose writes can fail or be lost.
type fakeDisk struct {
	mu     sync.Mutex // guards all below
	synced quorum.AcceptorState
	// full makes Save fail without writing; torn makes it write and then
	// fail, as when the sync reports an error; corrupt makes Load fail.
	// amnesia makes Save forget what it was given, once the disk has a vote.
	full, torn, corrupt, amnesia bool
}

var errDisk = errors.New("no space left on device")

func (d *fakeDisk) Load() (quorum.AcceptorState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.corrupt {
		return quorum.AcceptorState{}, &CorruptError{Path: "control.db", Cause: errors.New("checksum")}
	}
	return d.synced, nil
}

// save does Save's work; the caller holds d.mu.
func (d *fakeDisk) save(st quorum.AcceptorState) error {
	if d.full {
		return errDisk
	}
	if d.amnesia && d.synced.Voter {
		return nil
	}
	d.synced = st
	if d.torn {
		return errDisk
	}
	return nil
}

func (d *fakeDisk) set(f func(*fakeDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// openFile is one process's use of a disk: it ends with the process.
type openFile struct {
	disk   *fakeDisk
	closed *atomic.Bool
}

var errProcessEnded = errors.New("the process has ended")

func (f openFile) Load() (quorum.AcceptorState, error) {
	if f.closed.Load() {
		return quorum.AcceptorState{}, errProcessEnded
	}
	return f.disk.Load()
}

func (f openFile) Save(st quorum.AcceptorState) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed.Load() {
		return errProcessEnded
	}
	return f.disk.save(st)
}

// verdict is what the network does with a message.
type verdict uint8

const (
	deliver verdict = iota
	dropRequest
	dropReply
)

// network carries messages between the control hosts of a test.
type network struct {
	t *testing.T

	mu    sync.Mutex // guards all below
	hosts map[contract.HostID]*testHost
	rule  func(from, to contract.HostID, m contract.Message) verdict
}

// testHost is one control host of a test.
type testHost struct {
	*Control
	id     contract.HostID
	disk   *fakeDisk
	tables *tables.Holder
	ended  atomic.Bool
}

// end ends the process: it writes to its disk no more.
func (h *testHost) end() {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	h.ended.Store(true)
}

type netPeer struct {
	net      *network
	from, to contract.HostID
}

// Call implements Peer.
func (p netPeer) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	p.net.mu.Lock()
	to := p.net.hosts[p.to]
	rule := p.net.rule
	p.net.mu.Unlock()
	v := deliver
	if rule != nil {
		v = rule(p.from, p.to, m)
	}
	if to == nil || v == dropRequest {
		return nil, link.ErrDown
	}
	reply := to.Receive(ctx, m)
	if f, ok := reply.(*contract.Fault); ok {
		return nil, errors.New(f.Message)
	}
	if v == dropReply {
		return nil, link.ErrDown
	}
	return reply, nil
}

func newNetwork(t *testing.T, ids ...contract.HostID) *network {
	t.Helper()
	n := &network{t: t, hosts: make(map[contract.HostID]*testHost)}
	for _, id := range ids {
		n.start(id, &fakeDisk{}, ids...)
	}
	return n
}

// start starts a host, again where it runs already: its memory is lost.
func (n *network) start(id contract.HostID, disk *fakeDisk, first ...contract.HostID) *testHost {
	h := &testHost{id: id, disk: disk, tables: tables.NewHolder()}
	if old := n.host(id); old != nil {
		old.end()
	}
	h.Control = New(Config{
		Self:    id,
		First:   first,
		Peer:    func(to contract.HostID) Peer { return netPeer{n, id, to} },
		Store:   openFile{disk, &h.ended},
		Learned: func(t contract.Tables) { h.tables.Offer(t) },
		InForce: func() contract.Tables { return h.tables.View().Tables },
		Log:     logr.Discard(),
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	return h
}

func (n *network) host(id contract.HostID) *testHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[id]
}

// set changes the network's rule once what is on the way has arrived.
func (n *network) set(rule func(from, to contract.HostID, m contract.Message) verdict) {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// heal delivers everything.
func (n *network) heal() { n.set(nil) }

// isolate cuts the hosts off from all others.
func (n *network) isolate(ids ...contract.HostID) {
	cut := make(map[contract.HostID]bool)
	for _, id := range ids {
		cut[id] = true
	}
	n.set(func(from, to contract.HostID, _ contract.Message) verdict {
		if cut[from] != cut[to] {
			return dropRequest
		}
		return deliver
	})
}

// stop ends a host once what is on the way has arrived.
func (n *network) stop(id contract.HostID) {
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}
