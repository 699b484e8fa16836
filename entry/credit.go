package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// grantKey names one worker's grant for one pool.
type grantKey struct {
	worker host.Ref
	pool   string
}

// creditState is what pools made later need to know.
type creditState struct {
	mu     sync.Mutex // guards all below
	grants map[grantKey]contract.CreditGrant
	peers  []contract.HostID
}

// granted passes a worker's grant on to its pool, and keeps it for a pool that
// the tables don't name yet, or a worker whose announcement is yet to come.
func (e *Entry) granted(ref host.Ref, m *contract.CreditGrant) {
	e.credits.mu.Lock()
	if key := (grantKey{ref, m.Pool}); e.credits.grants[key].Epoch <= m.Epoch {
		e.credits.grants[key] = *m
	}
	e.credits.mu.Unlock()
	if p := e.pool(m.Pool); p != nil {
		e.step(p, dispatch.CreditGranted{Worker: ref, Epoch: m.Epoch, Slots: m.Slots})
	}
}

// dropGrants forgets the grants of a worker whose link is down.
func (e *Entry) dropGrants(w host.Worker) {
	e.credits.mu.Lock()
	defer e.credits.mu.Unlock()
	for _, pool := range w.Pools {
		delete(e.credits.grants, grantKey{w.Ref, pool})
	}
}

// replayGrant gives the pool the grant that the worker sent before.
func (e *Entry) replayGrant(p *pool, ref host.Ref) {
	e.credits.mu.Lock()
	g, ok := e.credits.grants[grantKey{ref, p.name}]
	e.credits.mu.Unlock()
	if ok {
		e.step(p, dispatch.CreditGranted{Worker: ref, Epoch: g.Epoch, Slots: g.Slots})
	}
}

// PeersChanged takes the other entries that are linked now. Where one has
// gone, credits that it lent may be lost, and the agents begin anew.
func (e *Entry) PeersChanged(peers []contract.HostID) {
	e.credits.mu.Lock()
	fewer := len(peers) < len(e.credits.peers)
	e.credits.peers = peers
	e.credits.mu.Unlock()
	for _, p := range e.allPools() {
		e.step(p, dispatch.PeersChanged{Self: e.cfg.Identity.Host, Peers: peers})
		if fewer {
			e.resetCredits(p)
		}
	}
}

func (e *Entry) currentPeers() []contract.HostID {
	e.credits.mu.Lock()
	defer e.credits.mu.Unlock()
	return e.credits.peers
}

func (e *Entry) resetCredits(p *pool) {
	for _, w := range e.Workers() {
		wl, ok := e.worker(w.Ref)
		if ok && wl.link != nil && wl.link.Send(&contract.CreditReset{Pool: p.name}) == nil {
			metrics.CreditResets.Add(1)
		}
	}
}

// ReceivePeer takes a message from another entry.
func (e *Entry) ReceivePeer(from contract.HostID, m contract.Message) {
	switch m := m.(type) {
	case *contract.CreditAsk:
		e.stepNamed(m.Pool, dispatch.CreditAsked{From: from, Ask: m})
	case *contract.CreditLend:
		e.stepNamed(m.Pool, dispatch.CreditLent{From: from, Lend: m})
	case *contract.WorkerSuspect:
		e.stepNamed(m.Pool, dispatch.WorkerSuspected{From: from, Suspect: m})
	}
}

func (e *Entry) stepNamed(name string, ev dispatch.Event) {
	if p := e.pool(name); p != nil {
		e.step(p, ev)
	}
}

// tellPeer sends a scheduler's message to a peer.
func (e *Entry) tellPeer(t dispatch.SendMessage) {
	if e.cfg.Tell == nil {
		return
	}
	switch t.Message.(type) {
	case *contract.CreditAsk:
		metrics.CreditAsks.Add(1)
	case *contract.CreditLend:
		metrics.CreditLoans.Add(1)
	case *contract.WorkerSuspect:
		metrics.WorkerSuspects.Add(1)
	}
	e.cfg.Tell(t.To, t.Message)
}

// wakeLater gives the pool's scheduler a tick at the time that it asked for.
func (e *Entry) wakeLater(p *pool, at time.Time) {
	time.AfterFunc(time.Until(at), func() { e.step(p, dispatch.Tick{}) })
}
