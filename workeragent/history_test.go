package workeragent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// historyHost is an agent and its worker. Orders count in its session and term only.
type historyHost struct {
	id      contract.HostID
	agent   *Agent
	worker  *workerInstance
	term    uint64
	session contract.WorkerSession
}

// historyOrder is an order that may be under way while leaders change.
type historyOrder struct {
	host    *historyHost
	term    uint64
	session contract.WorkerSession
	job     *historyJob
}

type historyJob struct {
	id     contract.DurableJobID
	sentAt time.Duration
	ran    bool
	// orderedIn is the term of the leader that ordered it last, and newIn that of the
	// leader that took it for new last.
	orderedIn, newIn uint64
}

// history plays leaders, agents and jobs with one task against the real records of the
// agents and the real scheduler.
type history struct {
	*rand.Rand
	now, leaderSince time.Duration
	term, run        uint64
	state            *durable.State
	sched            *schedule.Scheduler
	hosts            []*historyHost
	jobs             []*historyJob
	orders           []historyOrder
}

func (h *history) apply(b durable.Batch) {
	b.LogTime = h.now.Milliseconds()
	h.state.Apply(&b)
}

func (h *history) changeLeader() {
	h.term++
	h.leaderSince = h.now
	h.sched = schedule.New(h.term, h.state, h.now)
	for host, at := range h.state.GoneAgents {
		h.sched.AgentGone(host, time.Duration(at)*time.Millisecond)
	}
}

func (h *history) restart(x *historyHost) {
	x.agent, x.worker = newTestInstance(h.now)
	x.term, x.session = 0, 0
}

// endSession lets the lease of the host's worker expire.
func (h *history) endSession(x *historyHost) {
	x.worker.recordVoidRuns(h.now)
	x.worker.ackedSeq = x.worker.lastSeq
	x.worker.clear()
	x.session++
}

func (h *history) attach(x *historyHost) {
	x.term = h.term
	h.apply(durable.Batch{RegisteredAgents: []durable.AgentRegistration{{Host: x.id}}})
	r := contract.WorkerReport{Attach: true, Host: x.id, Session: x.session}
	x.worker.fillReport(&r)
	x.agent.fillRecent(h.now, &r)
	h.sched.WorkerReported(h.now, &r)
}

// remove lets the leader remove a host that has not attached, after its session.
func (h *history) remove(x *historyHost) {
	if x.term < h.term {
		h.endSession(x)
		h.apply(durable.Batch{RemovedAgents: []contract.HostID{x.id}})
	}
}

// deliver lets an order arrive, or drops it.
func (h *history) deliver(t *testing.T) {
	i := h.IntN(len(h.orders))
	o := h.orders[i]
	h.orders = append(h.orders[:i], h.orders[i+1:]...)
	if o.term == o.host.term && o.session == o.host.session && h.IntN(4) > 0 {
		must.GreaterEq(t, o.job.newIn, o.term, must.Sprint("an order of an earlier leader runs a job that was taken for new"))
		h.run++
		o.host.worker.start(contract.RunRef{Job: o.job.id, Run: h.run})
		o.job.ran = true
	}
}

func (h *history) endRun(x *historyHost) {
	for _, r := range x.worker.runs {
		kinds := []contract.RunEndKind{contract.EndDone, contract.EndFailed, contract.EndStopped}
		x.worker.end(r.ref, kinds[h.IntN(len(kinds))])
		return
	}
}

func (h *history) acknowledge(x *historyHost) {
	x.worker.recordAckedEnds(h.now, x.worker.lastSeq)
	x.worker.ackedSeq = x.worker.lastSeq
	x.worker.removeAckedEnds(x.worker.lastSeq)
}

// step makes one random event happen.
func (h *history) step(t *testing.T) {
	h.now += time.Duration(h.IntN(60)) * time.Millisecond
	x := h.hosts[h.IntN(len(h.hosts))]
	j := h.jobs[max(0, len(h.jobs)-1-h.IntN(30))]
	switch n := h.IntN(100); {
	case n < 25:
		h.jobs = append(h.jobs, &historyJob{id: contract.DurableJobID(fmt.Sprint(len(h.jobs))), sentAt: h.now})
	case n < 40 && x.term == h.term && !j.ran && j.orderedIn < h.term:
		j.orderedIn = h.term
		h.orders = append(h.orders, historyOrder{x, h.term, x.session, j})
	case n < 55 && len(h.orders) > 0:
		h.deliver(t)
	case n < 70:
		h.endRun(x)
	case n < 80 && x.term == h.term:
		h.acknowledge(x)
	case n < 94:
		h.attach(x)
	case n < 96:
		h.endSession(x)
	case n < 97:
		h.remove(x)
	case n < 98 && h.IntN(4) == 0:
		h.restart(x)
	case n >= 99:
		h.changeLeader()
	}
}

// TestJobsTakenForNewNeverRan plays random histories with restarts, lost leases, lost
// and late orders, removed agents and repeated changes of leader. A job that a leader
// takes for one that never began, and so may refuse as not run, must not have run, and
// no order of an earlier leader may run it later.
func TestJobsTakenForNewNeverRan(t *testing.T) {
	takenForNew, unknown := 0, 0
	for seed := range uint64(300) {
		h := &history{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, state: durable.New(), jobs: []*historyJob{{id: "first"}}}
		for i := range 3 {
			x := &historyHost{id: contract.HostID(fmt.Sprint("w", i))}
			h.restart(x)
			h.hosts = append(h.hosts, x)
		}
		h.changeLeader()
		for range 2000 {
			h.step(t)
			h.sched.CheckRuns(h.now)
			j := h.jobs[max(0, len(h.jobs)-1-h.IntN(60))]
			age := h.now - j.sentAt
			if j.orderedIn == h.term || h.now-h.leaderSince > schedule.PastRunTTL {
				continue
			}
			if !h.sched.NeverBegun(j.id, h.leaderSince-age) {
				unknown++
				continue
			}
			takenForNew++
			must.False(t, j.ran, must.Sprintf("seed %d: job %s has run", seed, j.id))
			j.newIn = h.term
		}
	}
	must.Positive(t, takenForNew)
	t.Logf("taken for new %d, unknown %d", takenForNew, unknown)
}
