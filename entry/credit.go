package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// grantKey identifies one worker's grant for one pool.
type grantKey struct {
	worker host.Ref
	pool   string
}

// creditState holds the latest grants and peers for pools and workers that are
// added later.
type creditState struct {
	mu     sync.Mutex // guards the fields below
	grants map[grantKey]contract.CreditGrant
	peers  []contract.HostID
}

// handleCreditGrant passes a worker's grant to the pool's scheduler. It also
// stores the grant, since the pool may not be in the tables yet, or the worker
// may not have announced itself yet.
func (e *Entry) handleCreditGrant(ref host.Ref, m *contract.CreditGrant) {
	e.credits.mu.Lock()
	if key := (grantKey{ref, m.Pool}); e.credits.grants[key].Epoch <= m.Epoch {
		e.credits.grants[key] = *m
	}
	e.credits.mu.Unlock()
	if p := e.pool(m.Pool); p != nil {
		e.step(p, dispatch.CreditGranted{Worker: ref, Epoch: m.Epoch, Slots: m.Slots})
	}
}

// removeGrants deletes the grants of a worker whose link is down.
func (e *Entry) removeGrants(w host.Worker) {
	e.credits.mu.Lock()
	defer e.credits.mu.Unlock()
	for _, pool := range w.Pools {
		delete(e.credits.grants, grantKey{w.Ref, pool})
	}
}

// replayGrant passes the worker's stored grant, if there is one, to the pool's
// scheduler.
func (e *Entry) replayGrant(p *pool, ref host.Ref) {
	e.credits.mu.Lock()
	g, ok := e.credits.grants[grantKey{ref, p.name}]
	e.credits.mu.Unlock()
	if ok {
		e.step(p, dispatch.CreditGranted{Worker: ref, Epoch: g.Epoch, Slots: g.Slots})
	}
}

// PeersChanged handles a new list of the other entries that are linked. If the
// list is shorter, credits lent by an entry that left may be lost, so the
// agents are asked to reset the credits.
func (e *Entry) PeersChanged(peers []contract.HostID) {
	e.credits.mu.Lock()
	peerLeft := len(peers) < len(e.credits.peers)
	e.credits.peers = peers
	e.credits.mu.Unlock()
	for _, p := range e.allPools() {
		e.step(p, dispatch.PeersChanged{Self: e.cfg.Identity.Host, Peers: peers})
		if peerLeft {
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
		current, ok := e.worker(w.Ref)
		if ok && current.link != nil && current.link.Send(&contract.CreditReset{Pool: p.name}) == nil {
			metrics.CreditResets.Add(1)
		}
	}
}

// ReceivePeer handles a message from another entry.
func (e *Entry) ReceivePeer(from contract.HostID, m contract.Message) {
	switch m := m.(type) {
	case *contract.CreditAsk:
		e.stepByName(m.Pool, dispatch.CreditAsked{From: from, Ask: m})
	case *contract.CreditLend:
		e.stepByName(m.Pool, dispatch.CreditLent{From: from, Lend: m})
	case *contract.WorkerSuspect:
		e.stepByName(m.Pool, dispatch.WorkerSuspected{From: from, Suspect: m})
	}
}

func (e *Entry) stepByName(name string, ev dispatch.Event) {
	if p := e.pool(name); p != nil {
		e.step(p, ev)
	}
}

// sendToPeer sends a scheduler's message to a peer.
func (e *Entry) sendToPeer(a dispatch.SendMessage) {
	if e.cfg.SendToPeer == nil {
		return
	}
	switch a.Message.(type) {
	case *contract.CreditAsk:
		metrics.CreditAsks.Add(1)
	case *contract.CreditLend:
		metrics.CreditLoans.Add(1)
	case *contract.WorkerSuspect:
		metrics.WorkerSuspects.Add(1)
	}
	e.cfg.SendToPeer(a.To, a.Message)
}

// scheduleTick sends the pool's scheduler a Tick at the time that it requested.
func (e *Entry) scheduleTick(p *pool, at time.Time) {
	time.AfterFunc(time.Until(at), func() { e.step(p, dispatch.Tick{}) })
}
