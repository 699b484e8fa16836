package hub

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/gateway"
	"github.com/carawaylanding/carawaylanding/internal/leasedworker"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// deadlyJob returns the submission of a transient job whose only task crashes the worker
// that starts it.
func deadlyJob(id string) *contract.JobSubmit {
	m := testJob(id, 1, 50)
	m.Spec, m.Transient = leasedworker.CrashSpec, true
	return m
}

// ask sends m to the leader and waits for the answer for at most the limit.
func (c *cluster) ask(m contract.Message, limit time.Duration) gateway.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return c.gateway.Ask(ctx, m)
}

// waitWorkers waits until all workers take work.
func (c *cluster) waitWorkers() {
	c.t.Helper()
	c.waitFor("all workers take work", func() bool {
		i := c.waitLeader()
		c.mu.Lock()
		h := c.hubInstances[i]
		c.mu.Unlock()
		return h != nil && c.availableWorkersAt(h) == len(c.workers)
	})
}

// restartCrashed restarts crashed workers after the given time until the test ends.
func (c *cluster) restartCrashed(after time.Duration) {
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	for _, w := range c.workers {
		restarts.Go(func() {
			for seen := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if w.Crashes() > seen {
					seen++
					time.Sleep(after)
					w.Restart()
				}
			}
		})
	}
	c.t.Cleanup(func() { close(stop); restarts.Wait() })
}

// TestOneTaskCrashesEveryWorker guards against the incident of issue 30: one task was
// started on worker after worker until none was left.
func TestOneTaskCrashesEveryWorker(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2", "w3", "w4", "w5", "w6")
	c.putTables(1)
	c.waitWorkers()
	var sound sync.WaitGroup
	for i := range 10 {
		sound.Go(func() {
			m := testJob(fmt.Sprint("s", i), 3, 400)
			m.Transient = true
			test.Eq(t, contract.DurableCompleted, c.ask(m, waitTimeout).State, test.Sprint("a sound job beside the deadly one"))
		})
	}
	c.waitFor("sound tasks run", func() bool { return c.runChecker.Starts() > 10 })
	a := c.ask(deadlyJob("d"), 5*time.Second)
	must.Eq(t, contract.DurableFailed, a.State, must.Sprint("the deadly job is answered"))
	sound.Wait()
	must.LessEq(t, quarantine.MaxCrashes, c.runChecker.MostCrashes())
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestDeadlyRequestsTakeAllWorkers guards against the outage of issue 30: deadly requests
// of one queue kept every worker down, and the other queues were not served.
func TestDeadlyRequestsTakeAllWorkers(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	c.putTables(1)
	c.waitWorkers()
	c.restartCrashed(1500 * time.Millisecond)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, sent := map[string]int{}, map[string]int{}
	send := func(queue string, m *contract.JobSubmit) {
		callers.Go(func() {
			a := c.ask(m, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			sent[queue]++
			if a.State == contract.DurableCompleted {
				served[queue]++
			}
		})
	}
	for i := range 200 {
		other := testJob(fmt.Sprint("o", i), 2, 30)
		other.Path, other.Transient = fmt.Sprint("/second/o", i), true
		send("other", other)
		mixed := testJob(fmt.Sprint("m", i), 1, 30)
		mixed.Transient = true
		if i%10 == 5 {
			callers.Go(func() { c.ask(deadlyJob(fmt.Sprint("d", i)), 4*time.Second) })
		} else {
			send("mixed", mixed)
		}
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	must.LessEq(t, quarantine.MaxCrashes, c.runChecker.MostCrashes())
	must.GreaterEq(t, sent["other"]*95/100, served["other"], must.Sprint("the other queue is served: ", served, sent))
	must.GreaterEq(t, sent["mixed"]/10, served["mixed"], must.Sprint("sound requests of the queue are served: ", served, sent))
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestDeadlyTaskIsCountedAcrossLeaders: the leader is lost after each crash, and both the
// stored and the transient job keep their count.
func TestDeadlyTaskIsCountedAcrossLeaders(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2", "w3", "w4", "w5", "w6")
	c.putTables(1)
	c.waitWorkers()
	c.restartCrashed(2 * time.Second)
	stored := testJob("stored", 1, 50)
	stored.Spec = leasedworker.CrashSpec
	c.submitUntilAccepted(stored)
	var caller sync.WaitGroup
	caller.Go(func() { c.ask(deadlyJob("transient"), 12*time.Second) })
	for crashes := 1; crashes <= 3; crashes++ {
		c.waitFor("a worker crashes", func() bool {
			return c.runChecker.TotalCrashes() >= crashes || c.jobState("stored") == contract.DurableFailed
		})
		leader := c.waitLeader()
		c.stopHub(leader)
		c.waitLeader()
		c.restartHub(leader)
	}
	c.waitFor("the stored job fails", func() bool { return c.jobState("stored") == contract.DurableFailed })
	caller.Wait()
	must.LessEq(t, quarantine.MaxCrashes, c.runChecker.MostCrashes())
	sound := testJob("sound", 2, 20)
	sound.Path = "/second/sound"
	c.submitUntilAccepted(sound)
	c.waitFor("the other queue is served", func() bool {
		return c.sendToLeader(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/second/sound"}).State == contract.DurableCompleted
	})
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestDeadlyTaskIsCountedWithoutALeader: a caller sends a deadly job to one entry after
// the other while there is no leader, and then to the next leader. Agents carry the count,
// though one of them is restarted.
func TestDeadlyTaskIsCountedWithoutALeader(t *testing.T) {
	c := newDirectCluster(t, nil, "w1", "w2", "w3", "w4", "w5")
	c.stopHub(0)
	c.waitDirect(c.entries[0])
	c.waitDirect(c.entries[1])
	c.restartCrashed(500 * time.Millisecond)
	ask := func(e *directEntry) gateway.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		return e.gateway.Ask(ctx, deadlyJob("d"))
	}
	first := ask(c.entries[0])
	must.True(t, first.Direct)
	must.Eq(t, contract.DurableFailed, first.State)
	crashes := c.runChecker.MostCrashes()
	must.LessEq(t, quarantine.MaxCrashes, crashes)
	again := ask(c.entries[1])
	must.True(t, again.State == contract.DurableFailed || again.Verdict == contract.VerdictUnknown)
	must.Eq(t, crashes, c.runChecker.MostCrashes(), must.Sprint("the other entry starts it again"))
	c.agentProcesses["w5"].stop()
	c.startAgent("w5")
	c.lead()
	c.waitFor("the leader has all workers", func() bool { return c.availableWorkers() == len(c.workers) })
	c.waitFor("the leader knows the job", func() bool { return ask(c.entries[0]).State == contract.DurableFailed })
	must.LessEq(t, quarantine.MaxCrashes, c.runChecker.MostCrashes())
	must.Eq(t, nil, c.runChecker.Violations())
}
