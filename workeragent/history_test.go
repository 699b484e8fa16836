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

// historyHost is an agent with its worker. Orders count in its session and term only.
type historyHost struct {
	id      contract.HostID
	agent   *Agent
	worker  *workerInstance
	term    uint64
	session contract.WorkerSession
}

// historyJob is a job with one task. orderedIn is the term of the leader that ordered
// it last, and newIn that of the leader that took it for new last.
type historyJob struct {
	sentAt           time.Duration
	ran              bool
	orderedIn, newIn uint64
}

// history plays leaders, agents and jobs against the real records and scheduler.
type history struct {
	*rand.Rand
	now, leaderSince time.Duration
	term, run        uint64
	state            *durable.State
	sched            *schedule.Scheduler
	hosts            []*historyHost
	jobs             []*historyJob
	// orders are under way, also while leaders change.
	orders []func()
}

func (h *history) apply(b durable.Batch) {
	b.LogTime = h.now.Milliseconds()
	h.state.Apply(&b)
}

func (h *history) changeLeader() {
	h.term++
	h.leaderSince, h.sched = h.now, schedule.New(h.term, h.state, h.now)
	for host, at := range h.state.GoneAgents {
		h.sched.AgentGone(host, time.Duration(at)*time.Millisecond)
	}
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

// order sends an order to run the job. It may arrive late or not at all.
func (h *history) order(t *testing.T, x *historyHost, job int) {
	j, term, session := h.jobs[job], h.term, x.session
	j.orderedIn = term
	h.orders = append(h.orders, func() {
		if term == x.term && session == x.session && h.IntN(4) > 0 {
			must.GreaterEq(t, j.newIn, term, must.Sprint("an order of an earlier leader runs a job that was taken for new"))
			h.run++
			x.worker.start(contract.RunRef{Job: contract.DurableJobID(fmt.Sprint(job)), Run: h.run})
			j.ran = true
		}
	})
}

// step makes one random event happen.
func (h *history) step(t *testing.T) {
	h.now += time.Duration(h.IntN(60)) * time.Millisecond
	x, job := h.hosts[h.IntN(len(h.hosts))], max(0, len(h.jobs)-1-h.IntN(30))
	switch n := h.IntN(400); {
	case n < 100:
		h.jobs = append(h.jobs, &historyJob{sentAt: h.now})
	case n < 160 && x.term == h.term && !h.jobs[job].ran && h.jobs[job].orderedIn < h.term:
		h.order(t, x, job)
	case n < 220 && len(h.orders) > 0:
		i := h.IntN(len(h.orders))
		h.orders[i]()
		h.orders = append(h.orders[:i], h.orders[i+1:]...)
	case n < 280:
		for _, r := range x.worker.runs {
			x.worker.end(r.ref, contract.EndDone+contract.RunEndKind(h.IntN(3)))
		}
	case n < 320 && x.term == h.term:
		x.worker.recordAckedEnds(h.now, x.worker.lastSeq)
		x.worker.ackedSeq = x.worker.lastSeq
		x.worker.removeAckedEnds(x.worker.lastSeq)
	case n < 376:
		h.attach(x)
	case n < 384:
		h.endSession(x)
	case n < 388 && x.term < h.term:
		// The leader removes an agent that it has not heard of.
		h.endSession(x)
		h.apply(durable.Batch{RemovedAgents: []contract.HostID{x.id}})
	case n == 395:
		x.agent, x.worker = newTestInstance(h.now)
		x.term, x.session = 0, 0
	case n > 395:
		h.changeLeader()
	}
}

// TestJobsTakenForNewNeverRan plays random histories with restarts, lost leases, lost
// and late orders, removed agents and repeated changes of leader. A job that a leader
// takes for one that never began, and so may refuse as not run, must not have run, and
// no order of an earlier leader may run it later.
func TestJobsTakenForNewNeverRan(t *testing.T) {
	takenForNew := 0
	for seed := range uint64(300) {
		h := &history{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, state: durable.New(), jobs: []*historyJob{{}}}
		for i := range 3 {
			x := &historyHost{id: contract.HostID(fmt.Sprint("w", i))}
			x.agent, x.worker = newTestInstance(h.now)
			h.hosts = append(h.hosts, x)
		}
		h.changeLeader()
		for range 2000 {
			h.step(t)
			h.sched.CheckRuns(h.now)
			id := max(0, len(h.jobs)-1-h.IntN(60))
			j := h.jobs[id]
			if j.orderedIn == h.term || h.now-h.leaderSince > schedule.PastRunTTL ||
				!h.sched.NeverBegun(contract.DurableJobID(fmt.Sprint(id)), h.leaderSince-(h.now-j.sentAt)) {
				continue
			}
			takenForNew++
			must.False(t, j.ran, must.Sprintf("seed %d: job %d has run", seed, id))
			j.newIn = h.term
		}
	}
	must.Greater(t, 100_000, takenForNew)
}
