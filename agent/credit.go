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

// creditShares divides the worker's slots, for each pool, into the credits of the
// entries. It is guarded by Agent.mu.
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
	c := creditShares{shares: make(map[string]*dispatch.Shares, len(pools)), uses: make(map[contract.TaskID]creditUse)}
	for _, p := range pools {
		c.shares[p] = dispatch.NewShares(slots, remainderOffset)
	}
	return c
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
func (c *creditShares) entryUp(e contract.HostID) []creditMessage {
	var out []creditMessage
	for pool, s := range c.shares {
		out = append(out, creditMessages(pool, s.EntryUp(e))...)
	}
	return out
}

// entryDown removes an entry whose link went down, and returns the new grants.
// The slots of its tasks in progress stay in use.
func (c *creditShares) entryDown(e contract.HostID) []creditMessage {
	busy := make(map[string]int)
	for _, u := range c.uses {
		if u.entry == e {
			busy[u.pool] += u.slots
		}
	}
	var out []creditMessage
	for pool, s := range c.shares {
		out = append(out, creditMessages(pool, s.EntryDown(e, busy[pool]))...)
	}
	return out
}

// reset begins a new epoch of the pool's credits, unless one began shortly
// before, and returns the new grants.
func (c *creditShares) reset(pool string, now time.Time) []creditMessage {
	s := c.shares[pool]
	if s == nil {
		return nil
	}
	return creditMessages(pool, s.Reset(now))
}

// taskStarted records that a task takes slots from the entry's credits.
func (c *creditShares) taskStarted(s *contract.Start, entry contract.HostID) {
	c.uses[s.Task] = creditUse{entry: entry, pool: s.Pool, slots: s.Demand.Normalized().Slots}
}

// taskEnded removes the use of an ended task, and returns the new grants.
func (c *creditShares) taskEnded(id contract.TaskID) []creditMessage {
	u, ok := c.uses[id]
	if !ok {
		return nil
	}
	delete(c.uses, id)
	s := c.shares[u.pool]
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
