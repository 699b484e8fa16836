package agent

import (
	"hash/fnv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// creditUse is what one task in progress takes, and of whose credits.
type creditUse struct {
	entry contract.HostID
	pool  string
	slots int
}

// creditBook splits the worker's slots between the entries, for each pool. The
// agent's lock guards it.
type creditBook struct {
	shares map[string]*dispatch.Shares
	uses   map[contract.TaskID]creditUse
}

// creditMail is a grant to be sent to an entry once no lock is held.
type creditMail struct {
	to    contract.HostID
	grant *contract.CreditGrant
}

func newCreditBook(self contract.HostID, pools []string, slots int) creditBook {
	h := fnv.New32a()
	h.Write([]byte(self))
	turn := int(h.Sum32() & 0xffff)
	b := creditBook{shares: make(map[string]*dispatch.Shares, len(pools)), uses: make(map[contract.TaskID]creditUse)}
	for _, p := range pools {
		b.shares[p] = dispatch.NewShares(slots, turn)
	}
	return b
}

func mail(pool string, grants []dispatch.Grant) []creditMail {
	out := make([]creditMail, 0, len(grants))
	for _, g := range grants {
		out = append(out, creditMail{to: g.Entry, grant: &contract.CreditGrant{Pool: pool, Epoch: g.Epoch, Slots: g.Slots}})
	}
	return out
}

func (b *creditBook) entryUp(e contract.HostID) []creditMail {
	var out []creditMail
	for pool, s := range b.shares {
		out = append(out, mail(pool, s.EntryUp(e))...)
	}
	return out
}

func (b *creditBook) entryDown(e contract.HostID) []creditMail {
	busy := make(map[string]int)
	for _, u := range b.uses {
		if u.entry == e {
			busy[u.pool] += u.slots
		}
	}
	var out []creditMail
	for pool, s := range b.shares {
		out = append(out, mail(pool, s.EntryDown(e, busy[pool]))...)
	}
	return out
}

func (b *creditBook) reset(pool string, now time.Time) []creditMail {
	s := b.shares[pool]
	if s == nil {
		return nil
	}
	return mail(pool, s.Reset(now))
}

// begin notes that a task holds slots of the entry's credits.
func (b *creditBook) begin(s *contract.Start, entry contract.HostID) {
	b.uses[s.Task] = creditUse{entry: entry, pool: s.Pool, slots: s.Demand.Normalized().Slots}
}

// end notes that a task ended.
func (b *creditBook) end(id contract.TaskID) []creditMail {
	u, ok := b.uses[id]
	if !ok {
		return nil
	}
	delete(b.uses, id)
	s := b.shares[u.pool]
	if s == nil {
		return nil
	}
	return mail(u.pool, s.Done(u.entry, u.slots))
}

// sendCredits sends grants; the caller holds no lock.
func (a *Agent) sendCredits(mails []creditMail) {
	for _, m := range mails {
		a.mu.Lock()
		l := a.links[m.to]
		a.mu.Unlock()
		if l != nil && l.Send(m.grant) == nil {
			metrics.CreditGrants.Add(1)
		}
	}
}

func (a *Agent) resetCredits(pool string) {
	a.mu.Lock()
	mails := a.credits.reset(pool, time.Now())
	a.mu.Unlock()
	a.sendCredits(mails)
}
