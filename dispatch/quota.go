package dispatch

import (
	"hash/fnv"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// teamQuota is one team's queue and this entry's share of its quota. The
// shares of all entries add up to the quota; they move by loans.
type teamQuota struct {
	team  string
	share int
	used  int
	queue jobQueue
}

func (q *teamQuota) idle() int { return max(0, q.share-q.used) }

// wanted returns the slots by which queued work exceeds the idle share.
func (q *teamQuota) wanted() int {
	n := 0
	q.queue.walk(func(j *jobState) bool {
		n += len(j.queued) * j.demand(j.nextTask()).Slots
		return n < contract.MaxTasks
	})
	return max(0, n-q.idle())
}

// splitQuota returns the share of the entry at index among n.
func splitQuota(slots, index, n int) int {
	share := slots / n
	if index < slots%n {
		share++
	}
	return share
}

// members returns the sorted entries and this entry's index among them.
func (p *Pool) members() ([]contract.HostID, int) {
	all := []contract.HostID{p.self}
	for _, peer := range p.peers {
		all = append(all, peer.id)
	}
	slices.Sort(all)
	return all, slices.Index(all, p.self)
}

func digest(ids []contract.HostID) uint64 {
	h := fnv.New64a()
	for _, id := range ids {
		h.Write([]byte(id))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// setQuotas takes the quotas of the row and splits them anew.
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
	old := p.quotas
	p.quotas = nil
	p.byTeam = make(map[string]*teamQuota, len(rows))
	for _, row := range rows {
		q := &teamQuota{team: row.Team}
		for _, o := range old {
			if o.team == row.Team {
				q.used = o.used
			}
		}
		p.quotas = append(p.quotas, q)
		p.byTeam[row.Team] = q
	}
	p.rows = slices.Clone(rows)
	p.countTeams()
	p.splitQuotas()
	for _, j := range queued {
		p.queueOf(j).insert(j)
	}
}

// countTeams counts the use of teams that had no quota before.
func (p *Pool) countTeams() {
	for _, q := range p.quotas {
		q.used = 0
	}
	for _, j := range p.jobs {
		p.countUse(j)
	}
	for _, former := range p.former {
		for _, j := range former {
			p.countUse(j)
		}
	}
}

func (p *Pool) countUse(j *jobState) {
	q := p.byTeam[j.team]
	if q == nil {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].worker != nil {
			q.used += j.tasks[i].demand.Slots
		}
	}
}

// splitQuotas gives this entry its part of each quota, as all entries that see
// the same peers do.
func (p *Pool) splitQuotas() {
	all, index := p.members()
	p.digest = digest(all)
	for i, row := range p.rows {
		p.quotas[i].share = splitQuota(row.Slots, index, len(all))
	}
}

// eachQueue visits all queues in a fixed order.
func (p *Pool) eachQueue(visit func(*jobQueue)) {
	visit(&p.queue)
	for _, q := range p.quotas {
		visit(&q.queue)
	}
}

func (p *Pool) queueOf(j *jobState) *jobQueue {
	if q := p.byTeam[j.team]; q != nil {
		return &q.queue
	}
	return &p.queue
}

// teamWants returns what this entry wants of its peers' quota shares while
// slots are free.
func (p *Pool) teamWants() []contract.TeamSlots {
	var out []contract.TeamSlots
	for _, q := range p.quotas {
		if n := q.wanted(); n > 0 {
			out = append(out, contract.TeamSlots{Team: q.team, Slots: n})
		}
	}
	return out
}

// lendQuota answers a peer's wants of quota from idle shares.
func (p *Pool) lendQuota(wants []contract.TeamSlots) []contract.TeamSlots {
	var out []contract.TeamSlots
	for _, w := range wants {
		q := p.byTeam[w.Team]
		if q == nil || w.Slots <= 0 {
			continue
		}
		spare := q.idle()
		if q.queue.root != nil {
			spare /= 2
		}
		if n := min(spare, w.Slots); n > 0 {
			q.share -= n
			out = append(out, contract.TeamSlots{Team: w.Team, Slots: n})
		}
	}
	return out
}

func (p *Pool) takeQuota(l *contract.CreditLend) {
	if l.Members != p.digest {
		return
	}
	for _, t := range l.Teams {
		if q := p.byTeam[t.Team]; q != nil && t.Slots > 0 {
			q.share += t.Slots
		}
	}
}
