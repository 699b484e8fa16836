package hub

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

const otherPool = "recipe"

// tablesTo returns tables whose first queue is served by the pool.
func tablesTo(version uint64, pool string) *contract.QueueTables {
	t := tables(version)
	t.Queues[0].Pool = pool
	return t
}

// newTwoPoolCluster returns a cluster whose workers w1 and w2 are of testPool and
// otherPool.
func newTwoPoolCluster(t *testing.T) *cluster {
	c := newCluster(t, 3)
	c.pools = map[string]string{"w2": otherPool}
	for _, name := range []string{"w1", "w2"} {
		c.addWorker(name)
	}
	c.storeTables(tablesTo(1, testPool))
	return c
}

// twoSteps returns a job whose second step starts after the first has ended.
func twoSteps(id string, millis int) *contract.JobSubmit {
	m := testJob(id, 1, millis)
	second := m.Steps[0]
	second.After = []int{0}
	m.Steps = append(m.Steps, second)
	return m
}

// TestAcceptedJobFollowsItsRoute guards against a job that stays with the pool that its
// route has left: once that pool has no worker, the job never goes on.
func TestAcceptedJobFollowsItsRoute(t *testing.T) {
	for name, transient := range map[string]bool{"stored": false, "transient": true} {
		t.Run(name, func(t *testing.T) {
			c := newTwoPoolCluster(t)
			m := twoSteps("a", 400)
			m.Transient = transient
			answered := make(chan contract.DurableState, 1)
			if transient {
				go func() { answered <- c.sendToLeader(m).State }()
			} else {
				c.submitUntilAccepted(m)
			}
			c.waitFor("the first step runs", func() bool { return c.workers["w1"].Running() == 1 })
			c.storeTables(tablesTo(2, otherPool))
			c.waitFor("the second step runs on a worker of the new pool", func() bool { return c.workers["w2"].Running() == 1 })
			if transient {
				must.Eq(t, contract.DurableCompleted, <-answered)
			} else {
				c.waitCompleted("a")
			}
			must.Eq(t, nil, c.runChecker.Violations())
		})
	}
}

// TestRerouteSurvivesAChangeOfLeader guards against a later leader that knows only the
// pool that the route had when the job was accepted.
func TestRerouteSurvivesAChangeOfLeader(t *testing.T) {
	c := newTwoPoolCluster(t)
	c.submitUntilAccepted(twoSteps("a", 1500))
	c.waitFor("the first step runs", func() bool { return c.workers["w1"].Running() == 1 })
	c.storeTables(tablesTo(2, otherPool))
	c.stopHub(c.waitLeader())
	c.waitFor("the second step runs on a worker of the new pool", func() bool { return c.workers["w2"].Running() == 1 })
	c.waitCompleted("a")
	must.Eq(t, nil, c.runChecker.Violations())
}

// onlyQueue returns tables that keep one of the queues of tables.
func onlyQueue(version uint64, index int) *contract.QueueTables {
	t := tables(version)
	t.Queues = t.Queues[index : index+1]
	return t
}

// TestDroppedQueueRefusesNothingThatRuns guards against a refusal that says that a job has
// not run, for a job that was accepted before its queue was dropped.
func TestDroppedQueueRefusesNothingThatRuns(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	stored, transient := testJob("a", 1, 60_000), testJob("b", 1, 60_000)
	transient.Transient = true
	c.submitUntilAccepted(stored)
	go c.sendToLeader(transient)
	c.waitFor("both jobs run", func() bool { return c.workers["w1"].Running() == 2 })
	c.storeTables(onlyQueue(2, 1))
	for _, m := range []*contract.JobSubmit{stored, transient} {
		must.Eq(t, contract.VerdictUnknown, c.sendToLeader(m).Verdict, must.Sprint(m.Path))
	}
	must.Eq(t, contract.VerdictNoQueue, c.sendToLeader(testJob("c", 1, 1)).Verdict, must.Sprint("a new job"))
	read := &contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/a"}
	must.Eq(t, contract.VerdictNoQueue, c.sendToLeader(read).Verdict)
	c.putTables(3)
	must.Eq(t, contract.DurableRunning, c.jobState("a"))
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestAbandonedJobOfADroppedQueueIsStopped guards against a job that goes on for no caller,
// since its queue was dropped before the caller left.
func TestAbandonedJobOfADroppedQueueIsStopped(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	m := testJob("a", 1, 60_000)
	m.Transient = true
	go c.sendToLeader(m)
	c.waitFor("the job runs", func() bool { return c.workers["w1"].Running() == 1 })
	c.storeTables(onlyQueue(2, 1))
	c.gateway.SendToLeader(&contract.JobQuery{Action: contract.JobAbandon, Host: "h", Path: m.Path})
	c.waitFor("the run is stopped", func() bool { return c.workers["w1"].Running() == 0 })
}

// TestJobOfAnInnerQueueKeepsItsID guards against a job that is unknown, or runs twice, once
// requests with its path match a queue with a shorter prefix.
func TestJobOfAnInnerQueueKeepsItsID(t *testing.T) {
	c := newCluster(t, 3, "w1")
	t1 := tables(1)
	t1.Queues[1].PathPrefix = "/q/inner/"
	c.storeTables(t1)
	m := testJob("inner/a", 1, 300)
	c.submitUntilAccepted(m)
	c.storeTables(onlyQueue(2, 0))
	must.Eq(t, contract.VerdictAccepted, c.sendToLeader(m).Verdict)
	c.waitCompleted("inner/a")
	must.Eq(t, nil, c.runChecker.Violations())
	must.Eq(t, 1, c.runChecker.AcknowledgedCompletions())
}
