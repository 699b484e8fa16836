package hub

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

var (
	rerouteSeed  = flag.Uint64("reroute-seed", 1, "first seed of TestRandomTables")
	rerouteSeeds = flag.Int("reroute-seeds", 1, "number of seeds of TestRandomTables")
	rerouteSpan  = flag.Duration("reroute-span", 5*time.Second, "duration of the changes of one seed of TestRandomTables")
)

// rerouteSoak changes the tables at random while jobs run and processes fail.
type rerouteSoak struct {
	*cluster
	rand    *rand.Rand
	version uint64
	names   int
	// queues holds the present queue by prefix; nil while it is dropped.
	queues map[string]*contract.Queue
	jobs   []*contract.JobSubmit
	// down holds the agents that are stopped.
	down map[string]bool

	mu sync.Mutex // guards allowed
	// allowed holds, by prefix, the pools that the queue has had.
	allowed map[string]map[string]bool
}

var (
	soakPrefixes = []string{"/a/", "/b/"}
	// soakPools holds the pools by worker. No queue is ever served by "unused".
	soakPools = map[string]string{"w1": "p1", "w2": "p1", "w3": "p2", "w4": "p2", "w5": "unused"}
)

func newRerouteSoak(t *testing.T, seed uint64) *rerouteSoak {
	s := &rerouteSoak{
		cluster: newCluster(t, 3), rand: rand.New(rand.NewPCG(seed, 0)), queues: map[string]*contract.Queue{},
		down: map[string]bool{}, allowed: map[string]map[string]bool{},
	}
	s.runChecker.AllowStart = s.mayStart
	s.pools = soakPools
	for name := range soakPools {
		s.addWorker(name)
	}
	for _, prefix := range soakPrefixes {
		s.addQueue(prefix)
	}
	s.store()
	return s
}

// addQueue adds a queue at the prefix, under a new name and with any pool.
func (s *rerouteSoak) addQueue(prefix string) {
	s.names++
	s.queues[prefix] = &contract.Queue{Name: fmt.Sprint("q", s.names), Host: "h", PathPrefix: prefix, MaxAttempts: 3, Slack: 2, Target: time.Minute}
	s.changePool(prefix)
}

func (s *rerouteSoak) changePool(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := []string{"p1", "p2"}[s.rand.IntN(2)]
	s.queues[prefix].Pool = pool
	if s.allowed[prefix] == nil {
		s.allowed[prefix] = map[string]bool{}
	}
	s.allowed[prefix][pool] = true
}

// mayStart reports whether the queue of a task has been served by the worker's pool. The
// ID of a job begins with the letter of its prefix.
func (s *rerouteSoak) mayStart(worker, task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allowed["/"+task[:1]+"/"][soakPools[worker]]
}

// store stores the queues as the next version.
func (s *rerouteSoak) store() {
	s.version++
	t := &contract.QueueTables{Version: s.version}
	for _, q := range s.queues {
		if q != nil {
			t.Queues = append(t.Queues, *q)
		}
	}
	s.storeTables(t)
}

// changeTables changes one queue, in one of the ways that operators do.
func (s *rerouteSoak) changeTables() {
	prefix := soakPrefixes[s.rand.IntN(len(soakPrefixes))]
	q := s.queues[prefix]
	switch {
	case q == nil:
		s.addQueue(prefix)
	case s.rand.IntN(3) > 0:
		s.changePool(prefix)
		q.Priority = s.rand.IntN(3)
	case s.rand.IntN(2) == 0:
		s.queues[prefix] = nil
	default:
		s.addQueue(prefix)
	}
	s.store()
}

// submit submits a job of one to three steps, or one that was accepted before.
func (s *rerouteSoak) submit() {
	if len(s.jobs) > 0 && s.rand.IntN(4) == 0 {
		v := s.sendToLeader(s.jobs[s.rand.IntN(len(s.jobs))]).Verdict
		must.True(s.t, v == contract.VerdictAccepted || v == contract.VerdictUnknown, must.Sprint("an accepted job is answered with ", v))
		return
	}
	prefix := soakPrefixes[s.rand.IntN(len(soakPrefixes))]
	m := &contract.JobSubmit{Host: "h", Path: fmt.Sprintf("%s%c%d", prefix, prefix[1], len(s.jobs)), Spec: "80"}
	for i := range 1 + s.rand.IntN(3) {
		step := contract.DurableStep{Count: 1 + s.rand.IntN(3), Demand: contract.Demand{MilliCPU: 100, MemoryMB: 1, DeclaredMillis: 80}}
		if i > 0 {
			step.After = []int{i - 1}
		}
		m.Steps = append(m.Steps, step)
	}
	if s.sendToLeader(m).Verdict == contract.VerdictAccepted {
		s.jobs = append(s.jobs, m)
	}
}

// disturb restarts the leader, or stops or starts an agent.
func (s *rerouteSoak) disturb() {
	if s.rand.IntN(2) == 0 {
		if leader := s.leaderIndex(); leader >= 0 {
			s.stopHub(leader)
			s.restartHub(leader)
		}
		return
	}
	name := fmt.Sprint("w", 1+s.rand.IntN(len(soakPools)))
	if s.down[name] {
		s.startAgent(name)
	} else {
		s.agentProcesses[name].stop()
	}
	s.down[name] = !s.down[name]
}

// TestRandomTables guards against accepted jobs that are lost, run twice, refused or started
// where no tables sent them, whatever becomes of their queues while processes fail. More
// seeds: go test ./hub -run TestRandomTables -reroute-seeds 50 -reroute-seed 100
func TestRandomTables(t *testing.T) {
	for i := range *rerouteSeeds {
		seed := *rerouteSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandomTables(t, seed) })
	}
}

func playRandomTables(t *testing.T, seed uint64) {
	s := newRerouteSoak(t, seed)
	for began := time.Now(); time.Since(began) < *rerouteSpan; {
		switch n := s.rand.IntN(12); {
		case n == 0:
			s.disturb()
		case n < 4:
			s.changeTables()
		default:
			s.submit()
		}
		time.Sleep(time.Duration(s.rand.IntN(60)) * time.Millisecond)
	}
	for name, down := range s.down {
		if down {
			s.startAgent(name)
		}
	}
	for _, prefix := range soakPrefixes {
		if s.queues[prefix] == nil {
			s.addQueue(prefix)
		}
	}
	s.store()
	for _, m := range s.jobs {
		read := &contract.JobQuery{Action: contract.JobRead, Host: "h", Path: m.Path}
		s.waitFor("job "+m.Path+" completes", func() bool { return s.sendToLeader(read).State == contract.DurableCompleted })
	}
	must.Positive(t, len(s.jobs))
	must.Eq(t, nil, s.runChecker.Violations())
	for _, prefix := range soakPrefixes {
		waiting := s.sendToLeader(&contract.JobQuery{Action: contract.JobRead, Host: "h", Path: prefix})
		must.Zero(t, waiting.Waiting, must.Sprint(strings.Trim(prefix, "/")))
	}
	t.Log("jobs", len(s.jobs), "versions", s.version, "starts", s.runChecker.Starts())
}
