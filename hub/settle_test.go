package hub

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/schedule"
)

// TestAcknowledgedEndsOutliveTheLeader stops the leader between the two tasks of a job.
// The task that is done must not run again. The other one goes on, unless its lease
// expires before the next leader is elected.
func TestAcknowledgedEndsOutliveTheLeader(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	m := testJob("a", 2, 800)
	m.Transient, m.Steps[0].Demand.MilliCPU = true, 600
	state := make(chan contract.DurableState, 1)
	go func() { state <- c.sendToLeader(m).State }()
	c.waitFor("the first end is acknowledged and the second task runs", func() bool {
		return c.runChecker.AcknowledgedCompletions() == 1 && c.runChecker.Starts() == 2
	})
	c.stopHub(c.waitLeader())
	must.Eq(t, contract.DurableCompleted, <-state)
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestSentAfter checks the time before which a job was certainly not sent. It must be
// unknown where the proof that the job never began would not hold.
func TestSentAfter(t *testing.T) {
	const startedAt, now = time.Minute, time.Minute + time.Second
	ls := &leaderState{term: 3, startedAt: startedAt}
	fits := contract.JobSubmit{Term: 3, LastTerm: 2, Age: 500 * time.Millisecond}
	must.Eq(t, startedAt-510*time.Millisecond, ls.sentAfter(now, &fits))
	must.Zero(t, ls.sentAfter(startedAt+schedule.PastRunTTL+1, &fits), must.Sprint("what was reported may be forgotten"))
	for name, m := range map[string]contract.JobSubmit{
		"sent by an earlier version":          {},
		"addressed to an earlier leader":      {Term: 2, LastTerm: 1},
		"sent to this leader before":          {Term: 3, LastTerm: 3},
		"older than what is kept of removals": {Term: 3, LastTerm: 2, Age: 11 * time.Second},
	} {
		must.Zero(t, ls.sentAfter(now, &m), must.Sprint(name))
	}
}

// TestReleaseSettlesResubmittedJobs submits jobs again before the only agent has
// attached. When it has, a job that can't be served and never began must be refused at
// once. One whose earlier message may still arrive must be kept, and a message to an
// earlier leader at this hub must not be taken: its job may have been refused since.
func TestReleaseSettlesResubmittedJobs(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	var removed []contract.HostID
	mayHaveStarted, verdicts := map[contract.DurableJobID]bool{}, map[string]contract.JobVerdict{}
	h.runInLoop(func() {
		now, ls := boottime.Now(), h.leader
		h.state.Agents["w1"] = contract.WorkerAnnouncement{ID: "w1", Pool: testPool}
		ls.sched = schedule.New(ls.term, h.state, now)
		ls.agents["w1"] = &agent{host: "w1", registered: true, unreachable: true, authorityGrantedAt: now}
		submit := func(id string, milliCPU int, term, lastTerm uint64) {
			m := testJob(id, 1, 100)
			m.Transient, m.Resubmitted, m.Term, m.LastTerm, m.Steps[0].Demand.MilliCPU = true, true, term, lastTerm, milliCPU
			if r := h.admitJob(now, replyTo{link: l}, m); r != nil {
				verdicts[id] = r.Verdict
			}
		}
		submit("never", 5000, ls.term, ls.term-1)
		submit("fits", 100, ls.term, ls.term-1)
		submit("maybe", 100, ls.term, ls.term)
		submit("late", 100, ls.term-1, 0)
		h.checkAgents(now)
		r := testReport(h, 7, 1)
		r.RecentSince = time.Minute
		h.handleAgentMessage(now, l, r)
		h.checkAgents(now)
		for id, t := range ls.transients.jobs {
			mayHaveStarted[id] = t.mayHaveStarted
		}
		submit("after", 5000, ls.term, ls.term-1)
		// A removal that is not proposed yet would undo the registration, and a later
		// leader would not wait for the agent.
		ls.pending.batch.RemovedAgents = []contract.HostID{"w1"}
		h.registerWorker(&agent{}, r)
		removed = ls.pending.batch.RemovedAgents
	})
	must.Eq(t, map[contract.DurableJobID]bool{"fits": false, "maybe": true}, mayHaveStarted)
	must.Eq(t, map[string]contract.JobVerdict{"late": contract.VerdictNotLeader, "after": contract.VerdictUnsupported}, verdicts)
	must.SliceEmpty(t, removed)
}
