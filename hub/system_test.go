package hub

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/gateway"
	"github.com/carawaylanding/carawaylanding/internal/leasedworker"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/uplink"
	"github.com/carawaylanding/carawaylanding/workeragent"
)

// waitTimeout bounds how long a test waits for a condition. No result depends on
// how long the wait takes.
const waitTimeout = 20 * time.Second

const testPool = "formula"

// process is a component of the cluster that runs in goroutines of the test.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// stop cancels the process and waits until it has returned.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// cluster runs hubs, worker agents with stand-in workers, and a gateway in the test
// process. They communicate over the loopback interface.
type cluster struct {
	t              *testing.T
	addrs          []string
	dirs           []string
	hubProcesses   []*process
	mu             sync.Mutex // guards hubInstances and workerAgents
	hubInstances   map[int]*Hub
	agentProcesses map[string]*process
	// workerAgents holds the worker agents by worker name.
	workerAgents map[string]*workeragent.Agent
	workers      map[string]*leasedworker.Worker
	runChecker   *leasedworker.RunChecker
	gateway      *gateway.Gateway
	// directStarts switches direct starts on for agents that are started later.
	directStarts bool
	// agentSeeds replaces the seeds of agents by worker name.
	agentSeeds map[string][]string
	// pools holds, by worker name, the pools of the workers that are not of testPool.
	pools map[string]string
}

// newCluster starts the given number of hubs as a new group, an agent for each
// named worker, and a gateway. It stops them when the test ends.
func newCluster(t *testing.T, hubs int, workers ...string) *cluster {
	c := &cluster{
		t: t, hubInstances: map[int]*Hub{}, workerAgents: map[string]*workeragent.Agent{}, agentProcesses: map[string]*process{}, runChecker: leasedworker.NewRunChecker(),
		workers: map[string]*leasedworker.Worker{},
	}
	var listeners []net.Listener
	for range hubs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, ln)
		c.addrs = append(c.addrs, ln.Addr().String())
		c.dirs = append(c.dirs, t.TempDir())
		c.hubProcesses = append(c.hubProcesses, nil)
	}
	for i, ln := range listeners {
		c.runHub(i, ln, true)
	}
	for _, name := range workers {
		c.addWorker(name)
	}
	c.gateway = gateway.New(c.uplinkConfig("gw", contract.RoleEntry), false)
	gw := c.startProcess(c.gateway.Run)
	t.Cleanup(func() {
		gw.stop()
		for _, a := range c.agentProcesses {
			a.stop()
		}
		for _, h := range c.hubProcesses {
			if h != nil {
				h.stop()
			}
		}
	})
	return c
}

func (c *cluster) startProcess(run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = run(ctx)
	}()
	return p
}

func (c *cluster) seeds() []string { return c.addrs }

func (c *cluster) uplinkConfig(name string, role contract.Role) uplink.Config {
	return uplink.Config{
		Hello: contract.Hello{Host: contract.HostID(name), Incarnation: contract.NewIncarnation(), FailureDomain: domainOf(name), Roles: []contract.Role{role}},
		Seeds: c.seeds, Link: LinkConfig, RelayAfter: RelayAfter(role), Log: testLog(name),
	}
}

// domainOf returns the failure domain of a process: the part of its name before the
// hyphen, or none.
func domainOf(name string) string {
	domain, _, _ := strings.Cut(name, "-")
	return domain
}

func (c *cluster) runHub(i int, ln net.Listener, allowGroupFormation bool) {
	cfg := Config{
		Host: contract.HostID(fmt.Sprint("hub", i)), FailureDomain: fmt.Sprint("h", i), Addr: c.addrs[i], Seeds: c.seeds, AllowGroupFormation: allowGroupFormation, DataDir: c.dirs[i],
		MaxLostDisks: (len(c.addrs) - 1) / 2, JobRetention: time.Minute, Log: testLog(c.addrs[i]),
	}
	c.hubProcesses[i] = c.startProcess(func(ctx context.Context) error {
		return Run(ctx, cfg, ln, func(h *Hub) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.hubInstances[i] = h
		})
	})
}

func (c *cluster) stopHub(i int) {
	c.hubProcesses[i].stop()
	c.hubProcesses[i] = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hubInstances, i)
}

// restartHub starts a stopped hub again at its address and on its data directory.
func (c *cluster) restartHub(i int) {
	var ln net.Listener
	c.waitFor("the hub's address is free", func() bool {
		l, err := net.Listen("tcp", c.addrs[i])
		ln = l
		return err == nil
	})
	c.runHub(i, ln, false)
}

// addWorker starts a worker and its agent.
func (c *cluster) addWorker(name string) {
	c.workers[name] = leasedworker.New(name, c.runChecker)
	c.startAgent(name)
}

func (c *cluster) startAgent(name string) {
	w := c.workers[name]
	up := c.uplinkConfig(name, contract.RoleAgent)
	if seeds := c.agentSeeds[name]; seeds != nil {
		up.Seeds = func() []string { return seeds }
	}
	workerAgent := workeragent.New(workeragent.Config{
		Uplink: up, Lease: leasedworker.MaxLease * 9 / 10, MaxLease: leasedworker.MaxLease,
		AuthorityTTL: AgentAuthorityTTL, DirectStarts: c.directStarts, Connect: func(contract.WorkerAnnouncement) workeragent.WorkerClient { return w },
	})
	c.mu.Lock()
	c.workerAgents[name] = workerAgent
	c.mu.Unlock()
	c.agentProcesses[name] = c.startProcess(func(ctx context.Context) error {
		go func() {
			for ctx.Err() == nil && w.Announcing() {
				workerAgent.HandleAnnouncement(w.Announcement(c.poolOf(name), 1000))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		return workerAgent.Run(ctx)
	})
}

// poolOf returns the pool of a worker.
func (c *cluster) poolOf(worker string) string {
	return cmp.Or(c.pools[worker], testPool)
}

// waitFor fails the test unless cond returns true within waitTimeout.
func (c *cluster) waitFor(what string, cond func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// leaderIndex returns the index of the hub that leads, or -1 if none does.
func (c *cluster) leaderIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range c.hubInstances {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := h.Tables(ctx)
		cancel()
		if err == nil {
			return i
		}
	}
	return -1
}

func (c *cluster) waitLeader() int {
	leader := -1
	c.waitFor("a hub leads", func() bool { leader = c.leaderIndex(); return leader >= 0 })
	return leader
}

func tables(version uint64) *contract.QueueTables {
	return &contract.QueueTables{Version: version, Document: fmt.Append(nil, "tables ", version), Queues: []contract.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: testPool, MaxAttempts: 3, Slack: 2, Target: time.Second},
		{Name: "second", Host: "h", PathPrefix: "/second/", Pool: testPool, MaxAttempts: 3, Slack: 2, Target: time.Second},
	}}
}

func (c *cluster) putTables(version uint64) { c.storeTables(tables(version)) }

// storeTables makes the leader store the tables.
func (c *cluster) storeTables(t *contract.QueueTables) {
	c.waitFor("the tables are stored", func() bool {
		leader := c.waitLeader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.mu.Lock()
		h := c.hubInstances[leader]
		c.mu.Unlock()
		return h != nil && h.PutTables(ctx, t) == nil
	})
}

// testJob returns the submission of a job with count tasks that run for millis
// milliseconds each.
func testJob(id string, count, millis int) *contract.JobSubmit {
	return &contract.JobSubmit{Host: "h", Path: "/q/" + id, Spec: strconv.Itoa(millis), Steps: []contract.DurableStep{
		{Count: count, Demand: contract.Demand{MilliCPU: 100, MemoryMB: 1, DeclaredMillis: millis}},
	}}
}

func (c *cluster) sendToLeader(m contract.Message) gateway.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return c.gateway.Ask(ctx, m)
}

func (c *cluster) submitUntilAccepted(m *contract.JobSubmit) {
	c.t.Helper()
	c.waitFor("the job is accepted", func() bool { return c.sendToLeader(m).Verdict == contract.VerdictAccepted })
}

func (c *cluster) jobState(id string) contract.DurableState {
	return c.sendToLeader(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/" + id}).State
}

func (c *cluster) waitCompleted(id string) {
	c.t.Helper()
	c.waitFor("job "+id+" completes", func() bool { return c.jobState(id) == contract.DurableCompleted })
}

func TestJobIsStoredRunAndShown(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2")
	must.Eq(t, contract.VerdictUnready, c.sendToLeader(testJob("early", 1, 1)).Verdict)
	c.putTables(1)
	must.Eq(t, contract.VerdictNoQueue, c.sendToLeader(&contract.JobSubmit{Host: "h", Path: "/other/x"}).Verdict)
	must.Eq(t, contract.VerdictNoJob, c.sendToLeader(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/none"}).Verdict)
	c.submitUntilAccepted(testJob("a", 6, 20))
	c.submitUntilAccepted(testJob("a", 6, 20))
	c.waitCompleted("a")
	c.waitFor("the ends are acknowledged", func() bool { return c.runChecker.AcknowledgedCompletions() == 6 })
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestTransientJobIsAnsweredAtItsEnd(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	m := testJob("a", 3, 20)
	m.Transient = true
	c.waitFor("the transient job completes", func() bool { return c.sendToLeader(m).State == contract.DurableCompleted })
	must.Eq(t, contract.DurableCompleted, c.sendToLeader(m).State, must.Sprint("a completed transient job that is submitted again starts no run"))
	must.Eq(t, contract.VerdictNoJob, c.sendToLeader(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/a"}).Verdict)
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestAcceptedJobsSurviveTheLossOfTheLeader(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2")
	c.putTables(1)
	for i := range 12 {
		c.submitUntilAccepted(testJob(fmt.Sprint("j", i), 4, 30))
		if i%4 == 2 {
			leader := c.waitLeader()
			c.stopHub(leader)
			c.waitLeader()
			c.restartHub(leader)
		}
	}
	for i := range 12 {
		c.waitCompleted(fmt.Sprint("j", i))
	}
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestTransientJobsRunAtMostOnceAtATimeWhenTheLeaderIsLost(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2")
	c.runChecker.AllowRerun = true
	c.putTables(1)
	var wg sync.WaitGroup
	for i := range 20 {
		m := testJob(fmt.Sprint("j", i), 3, 150)
		m.Transient = true
		wg.Go(func() {
			for range 5 {
				if a := c.sendToLeader(m); a.Answered && a.State == contract.DurableCompleted {
					return
				}
			}
		})
	}
	leader := c.waitLeader()
	c.waitFor("worker w1 runs a task", func() bool { return c.workers["w1"].Running() > 0 })
	c.stopHub(leader)
	wg.Wait()
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestAllProcessesLost(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(4)
	c.submitUntilAccepted(testJob("a", 8, 300))
	for i := range c.hubProcesses {
		c.stopHub(i)
	}
	c.agentProcesses["w1"].stop()
	for i := range c.hubProcesses {
		c.restartHub(i)
	}
	c.startAgent("w1")
	c.waitCompleted("a")
	leader := c.waitLeader()
	got, err := c.hubInstances[leader].Tables(context.Background())
	must.NoError(t, err)
	must.Eq(t, "tables 4", string(got.Document))
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestHubThatLostItsDiskJoinsAnew(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 1, 10))
	lost := (c.waitLeader() + 1) % 3
	c.stopHub(lost)
	must.NoError(t, os.RemoveAll(c.dirs[lost]))
	c.restartHub(lost)
	c.waitFor("the hub votes with its new disk", func() bool {
		leader := c.leaderIndex()
		if leader < 0 {
			return false
		}
		restored := make(chan bool, 1)
		c.mu.Lock()
		h, restarted := c.hubInstances[leader], c.hubInstances[lost]
		c.mu.Unlock()
		if h == nil || restarted == nil {
			return false
		}
		h.post(func() {
			g := h.node.Group()
			restored <- len(g.Voters) == 3 && len(g.Learners) == 0 && h.node.GroupCommitted() && containsVoter(g, restarted.self)
		})
		return <-restored
	})
	c.waitCompleted("a")
}

// containsVoter reports whether m is a voter of g.
func containsVoter(g contract.LogGroup, m contract.LogMember) bool {
	for _, v := range g.Voters {
		if v == m {
			return true
		}
	}
	return false
}

func TestOldTablesChangeNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.putTables(5)
	c.putTables(3)
	c.putTables(5)
	got, err := c.hubInstances[c.waitLeader()].Tables(context.Background())
	must.NoError(t, err)
	must.Eq(t, 5, got.Version)
}

func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 2, 60_000))
	c.waitFor("the tasks run", func() bool { return c.workers["w1"].Running() == 2 })
	must.Eq(t, contract.VerdictCancelled, c.sendToLeader(&contract.JobQuery{Action: contract.JobCancel, Host: "h", Path: "/q/a"}).Verdict)
	c.waitFor("the tasks are stopped", func() bool { return c.workers["w1"].Running() == 0 })
	must.Eq(t, contract.DurableCancelled, c.jobState("a"))
}

func TestStartsWithoutAnAnswer(t *testing.T) {
	for name, mode := range map[string]leasedworker.Mode{
		"answer lost":      {LoseAnswers: true},
		"carried out late": {StartDelay: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, "w1", "w2")
			c.putTables(1)
			c.workers["w1"].SetMode(mode)
			c.submitUntilAccepted(testJob("a", 6, 40))
			c.waitCompleted("a")
			c.workers["w1"].SetMode(leasedworker.Mode{})
			c.submitUntilAccepted(testJob("b", 6, 40))
			c.waitCompleted("b")
			must.Eq(t, nil, c.runChecker.Violations())
		})
	}
}

// TestLostAnswerCostsNoRun checks that a run is not started again when the worker's
// reply to the start is lost: the worker agent finds the run in the worker's reply
// to a poll, and the run continues.
func TestLostAnswerCostsNoRun(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.workers["w1"].SetMode(leasedworker.Mode{LoseAnswers: true})
	c.submitUntilAccepted(testJob("a", 6, 300))
	c.waitCompleted("a")
	must.Eq(t, 6, c.runChecker.Starts())
}

// TestWorkerThatGoesDark checks that the tasks of a worker that stops responding
// start on another worker only after its lease has expired, since its runs may
// continue until then.
func TestWorkerThatGoesDark(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 4, 2000))
	c.waitFor("the tasks run", func() bool { return c.workers["w1"].Running() == 4 })
	c.workers["w1"].SetMode(leasedworker.Mode{Unresponsive: true})
	c.workers["w2"] = leasedworker.New("w2", c.runChecker)
	c.startAgent("w2")
	c.waitCompleted("a")
	must.Eq(t, nil, c.runChecker.Violations())
}

// TestLeavingWorkerRunsUntilItEnds checks that the tasks of a worker that announces
// its departure start elsewhere only after its process has ended, since its runs
// continue until then.
func TestLeavingWorkerRunsUntilItEnds(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 2, 400))
	c.waitFor("the tasks run", func() bool { return c.workers["w1"].Running() == 2 })
	c.workers["w2"] = leasedworker.New("w2", c.runChecker)
	c.startAgent("w2")
	c.workers["w1"].StopAnnouncing()
	c.mu.Lock()
	workerAgent := c.workerAgents["w1"]
	c.mu.Unlock()
	workerAgent.HandleLeave("w1")
	time.AfterFunc(100*time.Millisecond, c.workers["w1"].Exit)
	c.waitCompleted("a")
	must.Eq(t, nil, c.runChecker.Violations())
}

// runInLoop runs f in the hub's event loop and waits until it has returned.
func (h *Hub) runInLoop(f func()) {
	done := make(chan struct{})
	h.post(func() { f(); close(done) })
	<-done
}

// testReport returns the first report of an attachment by the agent of the worker w1.
func testReport(h *Hub, session contract.WorkerSession, attachID int64) *contract.WorkerReport {
	return &contract.WorkerReport{
		Attach: true, AttachID: attachID, Term: h.leader.term, Host: "w1", Session: session,
		Worker: contract.WorkerAnnouncement{ID: "w1", Pool: testPool, Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}},
	}
}

// acceptedLinks passes on the links that a server accepts, and ignores messages.
type acceptedLinks chan *link.Link

func (a acceptedLinks) LinkUp(l *link.Link)                          { a <- l }
func (a acceptedLinks) Receive(*link.Link, uint64, contract.Message) {}
func (a acceptedLinks) LinkDown(*link.Link, error)                   {}

// newTestLink returns the accepting end of a link over the loopback interface.
func newTestLink(t *testing.T) *link.Link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	accepted := make(acceptedLinks, 1)
	server := &link.Server{Local: contract.Hello{Host: "hub"}, Config: LinkConfig, Handler: accepted}
	go server.Serve(ctx, ln)
	dialer := &link.Dialer{Addr: ln.Addr().String(), Local: contract.Hello{Host: "agent", FailureDomain: "a"}, Config: LinkConfig, Handler: make(acceptedLinks, 1)}
	go dialer.Run(ctx)
	return <-accepted
}

// TestSecondReportOnALinkTakesNoOrderBack guards against a second start of a task
// after the leader has lost and regained its lease. The agent then attaches again
// on the same link while an order is in transit, so its report does not list the
// run, although the run will start. If the agent attaches on another link, a run
// that its report does not list was never started.
func TestSecondReportOnALinkTakesNoOrderBack(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	report := func() *contract.WorkerReport { return testReport(h, 7, 1) }
	h.runInLoop(func() { h.handleAgentMessage(boottime.Now(), l, report()) })
	c.submitUntilAccepted(testJob("a", 1, 1000))
	usedCPU := func() int { return h.leader.sched.PoolSummaries(boottime.Now())[0].UsedMilliCPU }
	c.waitFor("the task is placed", func() bool {
		used := 0
		h.runInLoop(func() {
			h.handleAgentMessage(boottime.Now(), l, &contract.AgentBeat{Session: 7})
			used = usedCPU()
		})
		return used == 100
	})
	var sameLink, newLink int
	h.runInLoop(func() {
		h.handleAgentMessage(boottime.Now(), l, report())
		sameLink = usedCPU()
		h.handleAgentMessage(boottime.Now(), newTestLink(t), report())
		newLink = usedCPU()
	})
	must.Eq(t, 100, sameLink, must.Sprint("the order in transit was dropped: the task would start twice"))
	must.Eq(t, 0, newLink, must.Sprint("an order sent on the previous link must count as lost"))
}

// TestNewSessionOnALinkAttaches lets a session expire and the agent report its next
// session on the same link. The worker must get work again after a short silence.
func TestNewSessionOnALinkAttaches(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	l := newTestLink(t)
	report := func(session contract.WorkerSession) *contract.WorkerReport { return testReport(h, session, 1) }
	h.runInLoop(func() { h.handleAgentMessage(boottime.Now(), l, report(7)) })
	c.waitFor("the agent is registered", func() bool {
		registered := false
		h.runInLoop(func() { registered = h.leader.agents["w1"].registered })
		return registered
	})
	var unreachable bool
	h.runInLoop(func() {
		a := h.leader.agents["w1"]
		h.leader.markUnreachable(h, a, "test")
		a.authorityGrantedAt -= 2 * sessionTTL
		h.checkAgents(boottime.Now())
		h.handleAgentMessage(boottime.Now(), l, report(8))
		h.leader.markUnreachable(h, a, "test")
		h.handleAgentMessage(boottime.Now(), l, &contract.AgentBeat{Session: 8})
		unreachable = a.unreachable
	})
	must.False(t, unreachable, must.Sprint("the worker of the new session gets no work"))
}

// TestLateReportOfAnEarlierAttachment lets an agent attach on two links, of which the
// first is slower: its report arrives after the leader has ordered a run on the second.
// The run is not in that report, but it is not lost.
func TestLateReportOfAnEarlierAttachment(t *testing.T) {
	c := newCluster(t, 1)
	c.putTables(1)
	h := c.hubInstances[c.waitLeader()]
	slow, fast := newTestLink(t), newTestLink(t)
	report := func(attachID int64) *contract.WorkerReport { return testReport(h, 7, attachID) }
	h.runInLoop(func() { h.handleAgentMessage(boottime.Now(), fast, report(2)) })
	c.submitUntilAccepted(testJob("a", 1, 1000))
	usedCPU := func() int { return h.leader.sched.PoolSummaries(boottime.Now())[0].UsedMilliCPU }
	c.waitFor("the task is placed", func() bool {
		used := 0
		h.runInLoop(func() {
			h.handleAgentMessage(boottime.Now(), fast, &contract.AgentBeat{Session: 7})
			used = usedCPU()
		})
		return used == 100
	})
	var afterStale, afterLater int
	var stays bool
	h.runInLoop(func() {
		h.handleAgentMessage(boottime.Now(), slow, report(1))
		afterStale, stays = usedCPU(), h.leader.agents["w1"].link == fast
		h.handleAgentMessage(boottime.Now(), slow, report(3))
		afterLater = usedCPU()
	})
	must.Eq(t, 100, afterStale, must.Sprint("the run counts as lost: the task would start twice"))
	must.True(t, stays)
	must.Eq(t, 0, afterLater, must.Sprint("a later attachment must count"))
}

func TestFailingWorkerFailsNoJob(t *testing.T) {
	c := newCluster(t, 3, "w1", "w2", "w3")
	c.putTables(1)
	c.workers["w1"].SetMode(leasedworker.Mode{FailAll: true})
	for i := range 10 {
		c.submitUntilAccepted(testJob(fmt.Sprint("j", i), 3, 10))
	}
	for i := range 10 {
		c.waitCompleted(fmt.Sprint("j", i))
	}
	must.Eq(t, nil, c.runChecker.Violations())
}

func TestStoreKeepsWhatIsSyncedAndDropsATornEnd(t *testing.T) {
	dir := t.TempDir()
	st, _, fresh, err := openStore(dir, "disk-1")
	must.NoError(t, err)
	must.True(t, fresh)
	must.NoError(t, st.write(&logRecord{Entries: []contract.LogEntry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1}}}))
	must.NoError(t, st.write(&logRecord{Entries: []contract.LogEntry{{Index: 2, Term: 2, Data: []byte("b")}}}))
	must.NoError(t, st.close())
	files, err := filepath.Glob(filepath.Join(dir, logPrefix+"*"))
	must.NoError(t, err)
	must.Len(t, 1, files)
	whole, err := os.ReadFile(files[0])
	must.NoError(t, err)
	for cut := 1; cut < 12; cut++ {
		must.NoError(t, os.WriteFile(files[0], append(whole[:len(whole):len(whole)], whole[:cut]...), fileMode))
		st, stored, fresh, err := openStore(dir, "disk-2")
		must.NoError(t, err)
		must.False(t, fresh)
		must.Eq(t, contract.DiskID("disk-1"), st.disk)
		must.Len(t, 2, stored.Entries)
		must.Eq(t, "b", string(stored.Entries[1].Data))
		must.NoError(t, st.close())
	}
}

// testLog returns a logger that writes to standard output if CARAWAY_TEST_LOG is
// set, and discards messages otherwise.
func testLog(name string) logr.Logger {
	if os.Getenv("CARAWAY_TEST_LOG") == "" {
		return logr.Discard()
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: slog.LevelDebug})).WithValues("host", name)
}

// idleWorker is a worker that refuses every start for lack of capacity. It rejects
// polls without a fencing token. It lists one run that ended before the test,
// until the end is acknowledged. Only the test advances its clock.
type idleWorker struct {
	// clock is the worker's clock in milliseconds.
	clock atomic.Int64
	// fencedOnce is set once a poll has been rejected.
	fencedOnce atomic.Bool
}

func (w *idleWorker) Start(context.Context, workeragent.StartCall) (workeragent.Refusal, error) {
	return workeragent.RefusedNoCapacity, nil
}

func (w *idleWorker) Stop(context.Context, workeragent.NamedRun, uint64) error { return nil }

func (w *idleWorker) Poll(_ context.Context, c workeragent.PollCall) (workeragent.PollReply, error) {
	reply := workeragent.PollReply{ClockMS: w.clock.Load()}
	if c.Token == 0 {
		w.fencedOnce.Store(true)
		return reply, workeragent.ErrFenced
	}
	if c.AckedSeq == 0 {
		reply.Ended = []workeragent.EndedRun{{NamedRun: workeragent.NamedRun{Name: "old.0.0.0", Run: 1}, Seq: 1, Kind: contract.EndDone}}
	}
	return reply, nil
}

func (w *idleWorker) Close() {}

// TestAgentWaitsOutALeaseBeforeALeaderIsKnown guards against a delayed takeover of the
// worker after a restart of all processes. The agent must wait for the lease that
// the previous agent process renewed to expire, as measured by the worker's clock.
// It must do so while the hubs elect a leader, and not only after the election.
func TestAgentWaitsOutALeaseBeforeALeaderIsKnown(t *testing.T) {
	c := newCluster(t, 3)
	c.putTables(1)
	w := &idleWorker{}
	w.clock.Store(1000)
	var reachable atomic.Bool
	up := c.uplinkConfig("w1", contract.RoleAgent)
	up.Seeds = func() []string {
		if reachable.Load() {
			return c.addrs
		}
		return nil
	}
	workerAgent := workeragent.New(workeragent.Config{
		Uplink: up, Lease: leasedworker.MaxLease * 9 / 10, MaxLease: leasedworker.MaxLease,
		AuthorityTTL: AgentAuthorityTTL, Connect: func(contract.WorkerAnnouncement) workeragent.WorkerClient { return w },
	})
	c.agentProcesses["w1"] = c.startProcess(workerAgent.Run)
	c.waitFor("the worker's clock is read without a leader", func() bool {
		workerAgent.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w1", StartedMillis: 1, Seq: 1, Addr: "w1", Pool: testPool, Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}})
		return w.fencedOnce.Load()
	})
	w.clock.Store(1000 + AgentAuthorityTTL.Milliseconds() + 100)
	reachable.Store(true)
	c.waitFor("the worker takes work", func() bool {
		m := testJob("fits", 1, 1)
		m.Transient = true
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		a := c.gateway.Ask(ctx, m)
		return a.PossiblyAccepted && !a.Answered
	})
}

// TestRestartedHubSendsAgentsTheirKnownWorkers checks that after a restart of the
// hubs and the agent, the agent learns from the hubs' stored state which worker it
// had. The worker no longer announces itself here, so the agent cannot find it
// otherwise.
func TestRestartedHubSendsAgentsTheirKnownWorkers(t *testing.T) {
	c := newCluster(t, 3, "w1")
	c.putTables(1)
	c.submitUntilAccepted(testJob("a", 1, 1))
	c.waitCompleted("a")
	c.workers["w1"].StopAnnouncing()
	c.agentProcesses["w1"].stop()
	delete(c.agentProcesses, "w1")
	for i := range c.hubProcesses {
		c.stopHub(i)
	}
	c.startAgent("w1")
	// Two of the three hubs suffice, since at least one of them has stored each
	// committed entry.
	c.restartHub(0)
	c.restartHub(1)
	c.submitUntilAccepted(testJob("b", 1, 1))
	c.waitCompleted("b")
}
