package dispatch

import (
	"hash/fnv"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// teamQuota holds a team's queue and this entry's share of the team's quota.
// The shares of all entries add up to the quota; entries lend parts of their
// shares to each other.
type teamQuota struct {
	team  string
	share int // slots
	used  int // slots of the team's tasks placed by this entry
	queue jobQueue
}

// idleSlots returns the part of the share that is not in use.
func (q *teamQuota) idleSlots() int { return max(0, q.share-q.used) }

// unmetSlots returns the number of slots by which the demand of the queued
// tasks exceeds the idle share.
func (q *teamQuota) unmetSlots() int {
	n := 0
	q.queue.walk(func(j *jobState) bool {
		n += len(j.queued) * j.demand(j.nextTask()).Slots
		return n < contract.MaxTasks
	})
	return max(0, n-q.idleSlots())
}

// evenShare returns the share of slots for the entry at index among n entries.
// Entries with a low index get the remainder.
func evenShare(slots, index, n int) int {
	share := slots / n
	if index < slots%n {
		share++
	}
	return share
}

// sortedEntries returns the IDs of this entry and its peers in sorted order,
// and this entry's index among them.
func (p *Pool) sortedEntries() ([]contract.HostID, int) {
	all := []contract.HostID{p.self}
	for _, peer := range p.peers {
		all = append(all, peer.id)
	}
	slices.Sort(all)
	return all, slices.Index(all, p.self)
}

// digestEntries returns a hash of a list of entries.
func digestEntries(ids []contract.HostID) uint64 {
	h := fnv.New64a()
	for _, id := range ids {
		h.Write([]byte(id))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// setQuotas replaces the quotas, splits them between the entries, and moves the
// queued jobs to the queues of their teams.
func (p *Pool) setQuotas(rows []contract.Quota) {
	var queued []*jobState
	p.eachQueue(func(q *jobQueue) {
		q.walk(func(j *jobState) bool {
			queued = append(queued, j)
			return true
		})
	})
	for _, j := range queued {
		p.queueOf(j).remove(j)
	}
	old := p.teamQuotas
	p.teamQuotas = nil
	p.quotaByTeam = make(map[string]*teamQuota, len(rows))
	for _, row := range rows {
		q := &teamQuota{team: row.Team}
		for _, o := range old {
			if o.team == row.Team {
				q.used = o.used
			}
		}
		p.teamQuotas = append(p.teamQuotas, q)
		p.quotaByTeam[row.Team] = q
	}
	p.quotaRows = slices.Clone(rows)
	p.recountQuotaUse()
	p.splitQuotas()
	for _, j := range queued {
		p.queueOf(j).insert(j)
	}
}

// recountQuotaUse counts the slots that the placed tasks of each team with a
// quota use. It is needed for teams that had no quota before, since the use of
// teams without a quota is not tracked.
func (p *Pool) recountQuotaUse() {
	for _, q := range p.teamQuotas {
		q.used = 0
	}
	for _, j := range p.jobs {
		p.countJobUse(j)
	}
	for _, jobs := range p.superseded {
		for _, j := range jobs {
			p.countJobUse(j)
		}
	}
}

// countJobUse adds the slots of a job's placed tasks to the use of its team.
func (p *Pool) countJobUse(j *jobState) {
	q := p.quotaByTeam[j.team]
	if q == nil {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].worker != nil {
			q.used += j.tasks[i].demand.Slots
		}
	}
}

// splitQuotas sets this entry's share of each quota to its part of an even
// split. Entries that see the same peers compute the same split.
func (p *Pool) splitQuotas() {
	all, index := p.sortedEntries()
	p.entriesDigest = digestEntries(all)
	for i, row := range p.quotaRows {
		p.teamQuotas[i].share = evenShare(row.Slots, index, len(all))
	}
}

// eachQueue visits the queue of teams without a quota and then that of each
// team with one.
func (p *Pool) eachQueue(visit func(*jobQueue)) {
	visit(&p.queue)
	for _, q := range p.teamQuotas {
		visit(&q.queue)
	}
}

// queueOf returns the queue that the job belongs to.
func (p *Pool) queueOf(j *jobState) *jobQueue {
	if q := p.quotaByTeam[j.team]; q != nil {
		return &q.queue
	}
	return &p.queue
}

// quotaWants returns the number of slots that this entry wants from its peers'
// shares of each team's quota.
func (p *Pool) quotaWants() []contract.TeamSlots {
	var wants []contract.TeamSlots
	for _, q := range p.teamQuotas {
		if n := q.unmetSlots(); n > 0 {
			wants = append(wants, contract.TeamSlots{Team: q.team, Slots: n})
		}
	}
	return wants
}

// lendQuota lends the idle parts of this entry's shares to a peer, up to the
// slots that the peer wants, and returns the loans. If jobs of a team are queued
// at this entry, it lends at most half of the idle part of that team's share.
func (p *Pool) lendQuota(wants []contract.TeamSlots) []contract.TeamSlots {
	var loans []contract.TeamSlots
	for _, w := range wants {
		q := p.quotaByTeam[w.Team]
		if q == nil || w.Slots <= 0 {
			continue
		}
		spare := q.idleSlots()
		if q.queue.root != nil {
			spare /= 2
		}
		if n := min(spare, w.Slots); n > 0 {
			q.share -= n
			loans = append(loans, contract.TeamSlots{Team: w.Team, Slots: n})
		}
	}
	return loans
}

// acceptQuotaLoan adds a peer's loan of quota to this entry's shares. It ignores
// the loan if the peer has split the quotas between a different set of entries.
func (p *Pool) acceptQuotaLoan(loan *contract.CreditLend) {
	if loan.EntriesDigest != p.entriesDigest {
		return
	}
	for _, t := range loan.QuotaLoans {
		if q := p.quotaByTeam[t.Team]; q != nil && t.Slots > 0 {
			q.share += t.Slots
		}
	}
}
