package hub

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
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
	"github.com/carawaylanding/carawaylanding/steward"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// patience bounds how long a test waits for a condition; no test depends on
// how long it takes.
const patience = 20 * time.Second

const testPool = "formula"

// part is one running process of the system under test.
type part struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (p *part) stop() {
	p.cancel()
	<-p.done
}

// system is hubs, stewards with stand-in workers and a gateway in one process,
// over loopback.
type system struct {
	t       *testing.T
	addrs   []string
	dirs    []string
	hubs    []*part
	mu      sync.Mutex // guards running
	running map[int]*Hub
	agents  map[string]*part
	// stewards are those of the agents, by worker; guarded by mu.
	stewards map[string]*steward.Steward
	workers  map[string]*leasedworker.Worker
	ledger   *leasedworker.Ledger
	gw       *gateway.Gateway
}

func newSystem(t *testing.T, hubs int, workers ...string) *system {
	s := &system{
		t: t, running: map[int]*Hub{}, stewards: map[string]*steward.Steward{}, agents: map[string]*part{}, ledger: leasedworker.NewLedger(),
		workers: map[string]*leasedworker.Worker{},
	}
	var listeners []net.Listener
	for range hubs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, ln)
		s.addrs = append(s.addrs, ln.Addr().String())
		s.dirs = append(s.dirs, t.TempDir())
		s.hubs = append(s.hubs, nil)
	}
	for i, ln := range listeners {
		s.runHub(i, ln, true)
	}
	for _, name := range workers {
		s.workers[name] = leasedworker.New(name, s.ledger)
		s.startAgent(name)
	}
	s.gw = gateway.New(s.uplink("gw", contract.RoleEntry))
	gw := s.start(s.gw.Run)
	t.Cleanup(func() {
		gw.stop()
		for _, a := range s.agents {
			a.stop()
		}
		for _, h := range s.hubs {
			if h != nil {
				h.stop()
			}
		}
	})
	return s
}

func (s *system) start(run func(context.Context) error) *part {
	ctx, cancel := context.WithCancel(context.Background())
	p := &part{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = run(ctx)
	}()
	return p
}

func (s *system) seeds() []string { return s.addrs }

func (s *system) uplink(name string, role contract.Role) uplink.Config {
	return uplink.Config{
		Hello: contract.Hello{Host: contract.HostID(name), Incarnation: contract.NewIncarnation(), Roles: []contract.Role{role}},
		Seeds: s.seeds, Link: LinkConfig, Log: testLog(name),
	}
}

func (s *system) runHub(i int, ln net.Listener, first bool) {
	cfg := Config{
		Host: contract.HostID(fmt.Sprint("hub", i)), Addr: s.addrs[i], Seeds: s.seeds, First: first, DataDir: s.dirs[i],
		Tolerance: (len(s.addrs) - 1) / 2, Retain: time.Minute, Log: testLog(s.addrs[i]),
	}
	s.hubs[i] = s.start(func(ctx context.Context) error {
		return Run(ctx, cfg, ln, func(h *Hub) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running[i] = h
		})
	})
}

func (s *system) stopHub(i int) {
	s.hubs[i].stop()
	s.hubs[i] = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, i)
}

func (s *system) restartHub(i int) {
	var ln net.Listener
	s.eventually("the hub's address is free", func() bool {
		l, err := net.Listen("tcp", s.addrs[i])
		ln = l
		return err == nil
	})
	s.runHub(i, ln, false)
}

func (s *system) startAgent(name string) {
	w := s.workers[name]
	st := steward.New(steward.Config{
		Uplink: s.uplink(name, contract.RoleAgent), Lease: leasedworker.MaxLease * 9 / 10, MaxLease: leasedworker.MaxLease,
		Authority: AgentAuthority, Connect: func(contract.WorkerAnnouncement) steward.Worker { return w },
	})
	s.mu.Lock()
	s.stewards[name] = st
	s.mu.Unlock()
	s.agents[name] = s.start(func(ctx context.Context) error {
		go func() {
			for ctx.Err() == nil && w.Announcing() {
				st.Announce(w.Announcement(testPool, 1000))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		return st.Run(ctx)
	})
}

func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(patience), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// leader returns the number of the hub that leads, or -1.
func (s *system) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, h := range s.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := h.Tables(ctx)
		cancel()
		if err == nil {
			return i
		}
	}
	return -1
}

func (s *system) waitLeader() int {
	at := -1
	s.eventually("a hub leads", func() bool { at = s.leader(); return at >= 0 })
	return at
}

func tables(version uint64) *contract.QueueTables {
	return &contract.QueueTables{Version: version, Document: fmt.Append(nil, "tables ", version), Queues: []contract.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: testPool, MaxAttempts: 3, Slack: 2, Target: time.Second},
	}}
}

func (s *system) putTables(version uint64) {
	s.eventually("the tables are stored", func() bool {
		at := s.waitLeader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.mu.Lock()
		h := s.running[at]
		s.mu.Unlock()
		return h != nil && h.PutTables(ctx, tables(version)) == nil
	})
}

func testJob(id string, count, millis int) *contract.JobSubmit {
	return &contract.JobSubmit{Host: "h", Path: "/q/" + id, Spec: strconv.Itoa(millis), Steps: []contract.DurableStep{
		{Count: count, Need: contract.Demand{MilliCPU: 100, MemoryMB: 1, Millis: millis}},
	}}
}

func (s *system) ask(m contract.Message) gateway.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return s.gw.Ask(ctx, m)
}

func (s *system) accept(m *contract.JobSubmit) {
	s.t.Helper()
	s.eventually("the job is accepted", func() bool { return s.ask(m).Verdict == contract.VerdictAccepted })
}

func (s *system) state(id string) contract.DurableState {
	return s.ask(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/" + id}).State
}

func (s *system) completes(id string) {
	s.t.Helper()
	s.eventually("job "+id+" completes", func() bool { return s.state(id) == contract.DurableCompleted })
}

func TestJobIsStoredRunAndShown(t *testing.T) {
	s := newSystem(t, 3, "w1", "w2")
	must.Eq(t, contract.VerdictUnready, s.ask(testJob("early", 1, 1)).Verdict)
	s.putTables(1)
	must.Eq(t, contract.VerdictNoQueue, s.ask(&contract.JobSubmit{Host: "h", Path: "/other/x"}).Verdict)
	must.Eq(t, contract.VerdictNoJob, s.ask(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/none"}).Verdict)
	s.accept(testJob("a", 6, 20))
	s.accept(testJob("a", 6, 20))
	s.completes("a")
	s.eventually("the ends are noted", func() bool { return s.ledger.Done() == 6 })
	must.Eq(t, nil, s.ledger.Faults())
}

func TestTransientJobIsAnsweredAtItsEnd(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	m := testJob("a", 3, 20)
	m.Transient = true
	s.eventually("the job is run", func() bool { return s.ask(m).State == contract.DurableCompleted })
	must.Eq(t, contract.DurableCompleted, s.ask(m).State, must.Sprint("the same job asked again runs nothing"))
	must.Eq(t, contract.VerdictNoJob, s.ask(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: "/q/a"}).Verdict)
	must.Eq(t, nil, s.ledger.Faults())
}

func TestAcceptedJobsSurviveTheLossOfTheLeader(t *testing.T) {
	s := newSystem(t, 3, "w1", "w2")
	s.putTables(1)
	for i := range 12 {
		s.accept(testJob(fmt.Sprint("j", i), 4, 30))
		if i%4 == 2 {
			at := s.waitLeader()
			s.stopHub(at)
			s.waitLeader()
			s.restartHub(at)
		}
	}
	for i := range 12 {
		s.completes(fmt.Sprint("j", i))
	}
	must.Eq(t, nil, s.ledger.Faults())
}

func TestTransientJobsRunAtMostOnceAtATimeWhenTheLeaderIsLost(t *testing.T) {
	s := newSystem(t, 3, "w1", "w2")
	s.ledger.MayRepeat = true
	s.putTables(1)
	var wg sync.WaitGroup
	for i := range 20 {
		m := testJob(fmt.Sprint("j", i), 3, 150)
		m.Transient = true
		wg.Go(func() {
			for range 5 {
				if a := s.ask(m); a.Answered && a.State == contract.DurableCompleted {
					return
				}
			}
		})
	}
	at := s.waitLeader()
	s.eventually("something runs", func() bool { return s.workers["w1"].Running() > 0 })
	s.stopHub(at)
	wg.Wait()
	must.Eq(t, nil, s.ledger.Faults())
}

func TestAllProcessesLost(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(4)
	s.accept(testJob("a", 8, 300))
	for i := range s.hubs {
		s.stopHub(i)
	}
	s.agents["w1"].stop()
	for i := range s.hubs {
		s.restartHub(i)
	}
	s.startAgent("w1")
	s.completes("a")
	at := s.waitLeader()
	got, err := s.running[at].Tables(context.Background())
	must.NoError(t, err)
	must.Eq(t, "tables 4", string(got.Document))
	must.Eq(t, nil, s.ledger.Faults())
}

func TestHubThatLostItsDiskJoinsAnew(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.accept(testJob("a", 1, 10))
	lost := (s.waitLeader() + 1) % 3
	s.stopHub(lost)
	must.NoError(t, os.RemoveAll(s.dirs[lost]))
	s.restartHub(lost)
	s.eventually("the new disk votes", func() bool {
		at := s.leader()
		if at < 0 {
			return false
		}
		votes := make(chan bool, 1)
		s.mu.Lock()
		h, fresh := s.running[at], s.running[lost]
		s.mu.Unlock()
		if h == nil || fresh == nil {
			return false
		}
		h.post(func() {
			g := h.node.Group()
			votes <- len(g.Voters) == 3 && len(g.Learners) == 0 && h.node.GroupSettled() && hasDisk(g, fresh.self)
		})
		return <-votes
	})
	s.completes("a")
}

func hasDisk(g contract.LogGroup, m contract.LogMember) bool {
	for _, v := range g.Voters {
		if v == m {
			return true
		}
	}
	return false
}

func TestOldTablesChangeNothing(t *testing.T) {
	s := newSystem(t, 3)
	s.putTables(5)
	s.putTables(3)
	s.putTables(5)
	got, err := s.running[s.waitLeader()].Tables(context.Background())
	must.NoError(t, err)
	must.Eq(t, 5, got.Version)
}

func TestCancelledJobStopsAndStaysCancelled(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.accept(testJob("a", 2, 60_000))
	s.eventually("the tasks run", func() bool { return s.workers["w1"].Running() == 2 })
	must.Eq(t, contract.VerdictCancelled, s.ask(&contract.JobQuery{Action: contract.JobCancel, Host: "h", Path: "/q/a"}).Verdict)
	s.eventually("the tasks are stopped", func() bool { return s.workers["w1"].Running() == 0 })
	must.Eq(t, contract.DurableCancelled, s.state("a"))
}

func TestStartsWithoutAnAnswer(t *testing.T) {
	for name, mode := range map[string]leasedworker.Mode{
		"answer lost":      {LoseAnswers: true},
		"carried out late": {LateStarts: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 3, "w1", "w2")
			s.putTables(1)
			s.workers["w1"].SetMode(mode)
			s.accept(testJob("a", 6, 40))
			s.completes("a")
			s.workers["w1"].SetMode(leasedworker.Mode{})
			s.accept(testJob("b", 6, 40))
			s.completes("b")
			must.Eq(t, nil, s.ledger.Faults())
		})
	}
}

// TestLostAnswerCostsNoRun: a run that started is found in the worker's list,
// and goes on.
func TestLostAnswerCostsNoRun(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.workers["w1"].SetMode(leasedworker.Mode{LoseAnswers: true})
	s.accept(testJob("a", 6, 300))
	s.completes("a")
	must.Eq(t, 6, s.ledger.Starts())
}

// TestWorkerThatGoesDark: its runs go on until the lease has run out, and only
// then start elsewhere.
func TestWorkerThatGoesDark(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.accept(testJob("a", 4, 2000))
	s.eventually("the tasks run", func() bool { return s.workers["w1"].Running() == 4 })
	s.workers["w1"].SetMode(leasedworker.Mode{Dark: true})
	s.workers["w2"] = leasedworker.New("w2", s.ledger)
	s.startAgent("w2")
	s.completes("a")
	must.Eq(t, nil, s.ledger.Faults())
}

// TestLeavingWorkerRunsUntilItEnds: a worker's last word is not its end.
func TestLeavingWorkerRunsUntilItEnds(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.accept(testJob("a", 2, 400))
	s.eventually("the tasks run", func() bool { return s.workers["w1"].Running() == 2 })
	s.workers["w2"] = leasedworker.New("w2", s.ledger)
	s.startAgent("w2")
	s.workers["w1"].Leave()
	s.mu.Lock()
	st := s.stewards["w1"]
	s.mu.Unlock()
	st.Leave("w1")
	time.AfterFunc(100*time.Millisecond, s.workers["w1"].End)
	s.completes("a")
	must.Eq(t, nil, s.ledger.Faults())
}

// TestSecondReportOnALinkTakesNoOrderBack replays a leader that loses and
// regains its lease: the agent attaches again on the same link while an order
// is on its way to it.
func TestSecondReportOnALinkTakesNoOrderBack(t *testing.T) {
	s := newSystem(t, 1)
	s.putTables(1)
	h := s.running[s.waitLeader()]
	l := new(link.Link)
	report := func() *contract.WorkerReport {
		return &contract.WorkerReport{
			Attach: true, Term: h.lead.term, Host: "w1", Session: 7,
			Worker: contract.WorkerAnnouncement{ID: "w1", Pool: testPool, Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}},
		}
	}
	onLoop := func(f func()) {
		done := make(chan struct{})
		h.post(func() { f(); close(done) })
		<-done
	}
	onLoop(func() { h.agentMessage(boottime.Now(), l, report()) })
	s.accept(testJob("a", 1, 1000))
	placed := func() int { return h.lead.sched.Summaries()[0].Used }
	s.eventually("the task is placed", func() bool {
		used := 0
		onLoop(func() {
			h.agentMessage(boottime.Now(), l, &contract.AgentBeat{Session: 7})
			used = placed()
		})
		return used == 100
	})
	var same, other int
	onLoop(func() {
		h.agentMessage(boottime.Now(), l, report())
		same = placed()
		h.agentMessage(boottime.Now(), new(link.Link), report())
		other = placed()
	})
	must.Eq(t, 100, same, must.Sprint("the order was taken back, and the task would start twice"))
	must.Eq(t, 0, other, must.Sprint("an order on a link that is gone never arrived"))
}

func TestFailingWorkerFailsNoJob(t *testing.T) {
	s := newSystem(t, 3, "w1", "w2", "w3")
	s.putTables(1)
	s.workers["w1"].SetMode(leasedworker.Mode{FailAll: true})
	for i := range 10 {
		s.accept(testJob(fmt.Sprint("j", i), 3, 10))
	}
	for i := range 10 {
		s.completes(fmt.Sprint("j", i))
	}
	must.Eq(t, nil, s.ledger.Faults())
}

func TestStoreKeepsWhatIsSyncedAndDropsATornEnd(t *testing.T) {
	dir := t.TempDir()
	st, _, fresh, err := openStore(dir, "disk-1")
	must.NoError(t, err)
	must.True(t, fresh)
	must.NoError(t, st.write(&record{Entries: []contract.LogEntry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1}}}))
	must.NoError(t, st.write(&record{Entries: []contract.LogEntry{{Index: 2, Term: 2, Data: []byte("b")}}}))
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

// testLog writes to standard output where CARAWAY_TEST_LOG is set.
func testLog(name string) logr.Logger {
	if os.Getenv("CARAWAY_TEST_LOG") == "" {
		return logr.Discard()
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: slog.LevelDebug})).WithValues("host", name)
}

// idleWorker runs nothing. It refuses calls without a fencing token, lists one
// end of before, and its clock stands still but for what the test says.
type idleWorker struct {
	clock  atomic.Int64
	fenced atomic.Bool
}

func (w *idleWorker) Start(context.Context, steward.StartCall) (steward.Refusal, error) {
	return steward.RefusedRoom, nil
}

func (w *idleWorker) Stop(context.Context, steward.NamedRun, uint64) error { return nil }

func (w *idleWorker) Hold(_ context.Context, c steward.HoldCall) (steward.Held, error) {
	held := steward.Held{Clock: w.clock.Load()}
	if c.Token == 0 {
		w.fenced.Store(true)
		return held, steward.ErrFenced
	}
	if c.Seen == 0 {
		held.Ended = []steward.EndedRun{{NamedRun: steward.NamedRun{Name: "old.0.0.0", Run: 1}, Seq: 1, How: contract.EndDone}}
	}
	return held, nil
}

func (w *idleWorker) Close() {}

// TestAgentWaitsOutALeaseBeforeALeaderIsKnown replays a restart of all
// processes: the lease that an earlier agent left is waited out by the worker's
// clock while the hubs elect their leader, not after that.
func TestAgentWaitsOutALeaseBeforeALeaderIsKnown(t *testing.T) {
	s := newSystem(t, 3)
	s.putTables(1)
	w := &idleWorker{}
	w.clock.Store(1000)
	var reachable atomic.Bool
	up := s.uplink("w1", contract.RoleAgent)
	up.Seeds = func() []string {
		if reachable.Load() {
			return s.addrs
		}
		return nil
	}
	st := steward.New(steward.Config{
		Uplink: up, Lease: leasedworker.MaxLease * 9 / 10, MaxLease: leasedworker.MaxLease,
		Authority: AgentAuthority, Connect: func(contract.WorkerAnnouncement) steward.Worker { return w },
	})
	s.agents["w1"] = s.start(st.Run)
	s.eventually("the worker's clock is read without a leader", func() bool {
		st.Announce(contract.WorkerAnnouncement{ID: "w1", Born: 1, Seq: 1, Addr: "w1", Pool: testPool, Capacity: contract.Capacity{MilliCPU: 1000, MemoryMB: 1000}})
		return w.fenced.Load()
	})
	w.clock.Store(1000 + AgentAuthority.Milliseconds() + 100)
	reachable.Store(true)
	s.eventually("the worker takes work", func() bool {
		m := testJob("fits", 1, 1)
		m.Transient = true
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		a := s.gw.Ask(ctx, m)
		return a.Reached && !a.Answered
	})
}

// TestRestartedHubTellsAgentsTheirWorkers replays a restart of all processes
// right after the hubs: an agent learns of its worker from what is stored,
// without waiting for a heartbeat.
func TestRestartedHubTellsAgentsTheirWorkers(t *testing.T) {
	s := newSystem(t, 3, "w1")
	s.putTables(1)
	s.accept(testJob("a", 1, 1))
	s.completes("a")
	s.workers["w1"].Leave()
	s.agents["w1"].stop()
	delete(s.agents, "w1")
	for i := range s.hubs {
		s.stopHub(i)
	}
	s.startAgent("w1")
	// Two of three: the third's log can't have been needed.
	s.restartHub(0)
	s.restartHub(1)
	s.accept(testJob("b", 1, 1))
	s.completes("b")
}
