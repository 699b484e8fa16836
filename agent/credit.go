package agent

import (
	"hash/fnv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// creditUse is the number of slots that a started or waiting task takes from the
// credits of an entry.
type creditUse struct {
	entry contract.HostID
	pool  string
	slots int
}

// creditShares splits the worker's slots into credits of the entries, for each
// pool. It is guarded by Agent.mu.
type creditShares struct {
	shares map[string]*dispatch.Shares
	uses   map[contract.TaskID]creditUse
}

// creditMessage is a grant to be sent to an entry after Agent.mu is released.
type creditMessage struct {
	to    contract.HostID
	grant *contract.CreditGrant
}

// newCreditShares returns the shares of the worker named self. Its name decides
// which entries get the slots that an even split leaves over, so that workers
// differ in their choice.
func newCreditShares(self contract.HostID, pools []string, slots int) creditShares {
	h := fnv.New32a()
	h.Write([]byte(self))
	remainderOffset := int(h.Sum32() & 0xffff)
	b := creditShares{shares: make(map[string]*dispatch.Shares, len(pools)), uses: make(map[contract.TaskID]creditUse)}
	for _, p := range pools {
		b.shares[p] = dispatch.NewShares(slots, remainderOffset)
	}
	return b
}

// creditMessages returns the messages for a pool's grants.
func creditMessages(pool string, grants []dispatch.Grant) []creditMessage {
	out := make([]creditMessage, 0, len(grants))
	for _, g := range grants {
		out = append(out, creditMessage{to: g.Entry, grant: &contract.CreditGrant{Pool: pool, Epoch: g.Epoch, Slots: g.Slots}})
	}
	return out
}

// entryUp adds an entry whose link came up, and returns the new grants.
func (b *creditShares) entryUp(e contract.HostID) []creditMessage {
	var out []creditMessage
	for pool, s := range b.shares {
		out = append(out, creditMessages(pool, s.EntryUp(e))...)
	}
	return out
}

// entryDown removes an entry whose link went down, and returns the new grants.
// The slots of its tasks in progress stay in use.
func (b *creditShares) entryDown(e contract.HostID) []creditMessage {
	busy := make(map[string]int)
	for _, u := range b.uses {
		if u.entry == e {
			busy[u.pool] += u.slots
		}
	}
	var out []creditMessage
	for pool, s := range b.shares {
		out = append(out, creditMessages(pool, s.EntryDown(e, busy[pool]))...)
	}
	return out
}

// reset begins a new epoch of the pool's credits, unless one began shortly
// before, and returns the new grants.
func (b *creditShares) reset(pool string, now time.Time) []creditMessage {
	s := b.shares[pool]
	if s == nil {
		return nil
	}
	return creditMessages(pool, s.Reset(now))
}

// taskStarted records that a task takes slots from the entry's credits.
func (b *creditShares) taskStarted(s *contract.Start, entry contract.HostID) {
	b.uses[s.Task] = creditUse{entry: entry, pool: s.Pool, slots: s.Demand.Normalized().Slots}
}

// taskEnded removes the use of an ended task, and returns the new grants.
func (b *creditShares) taskEnded(id contract.TaskID) []creditMessage {
	u, ok := b.uses[id]
	if !ok {
		return nil
	}
	delete(b.uses, id)
	s := b.shares[u.pool]
	if s == nil {
		return nil
	}
	return creditMessages(u.pool, s.TaskEnded(u.entry, u.slots))
}

// sendCredits sends the grants to the linked entries. The caller must not hold
// a.mu.
func (a *Agent) sendCredits(messages []creditMessage) {
	for _, m := range messages {
		a.mu.Lock()
		l := a.links[m.to]
		a.mu.Unlock()
		if l != nil && l.Send(m.grant) == nil {
			metrics.CreditGrants.Add(1)
		}
	}
}

// handleCreditReset resets the pool's credits and sends the new grants.
func (a *Agent) handleCreditReset(pool string) {
	a.mu.Lock()
	messages := a.credits.reset(pool, time.Now())
	a.mu.Unlock()
	a.sendCredits(messages)
}
