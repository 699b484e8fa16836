package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// binDir is the folder with the binaries that the tests run.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries, runs the tests, and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "caraway-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/carawayd", "../cmd/standin").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

const (
	testTimeout = 60 * time.Second
	testHubs    = 3
	testWorkers = 3
)

// system is a set of running processes. Its hubs, which have the entry role and the
// control role, have the tables and know all workers.
type system struct {
	*testbed.System
	ctx context.Context
}

// newSystem starts a system with testHubs hubs and testWorkers workers, which runs
// until the test ends.
func newSystem(t *testing.T) *system {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	bed := testbed.New(binDir, t.TempDir())
	t.Cleanup(func() { bed.Close(); cancel() })
	sys, err := bed.Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur"},
		Hubs:    testHubs, Workers: testWorkers, Slots: 4, Pools: []string{"formula"},
		HubArgs: []string{"-drain-delay", "100ms"},
	})
	must.NoError(t, err)
	must.NoError(t, sys.StartAll())
	s := &system{System: sys, ctx: ctx}
	edit := contract.Edit{
		ID:        "first",
		PutRoutes: []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}},
		PutPools:  []contract.Pool{{Name: "formula"}},
	}
	body, err := json.Marshal(edit)
	must.NoError(t, err)
	must.NoError(t, testbed.Await(ctx, func() error {
		res, err := http.Post("http://"+sys.Hubs[0].Admin+"/admin/edits", "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("edit: %s", res.Status)
		}
		return nil
	}))
	for i, h := range sys.Hubs {
		s.awaitHub(t, h)
		// Jobs with a key fail until the hub reaches a quorum of record holders.
		must.NoError(t, testbed.Await(ctx, func() error {
			if r := s.submit(i, "warm-"+h.Name, 1, 1); r.status != http.StatusOK {
				return fmt.Errorf("%d: %s", r.status, r.body)
			}
			return nil
		}))
	}
	return s
}

// awaitHub waits until the hub is ready and knows all workers.
func (s *system) awaitHub(t *testing.T, h *testbed.Process) {
	must.NoError(t, testbed.Await(s.ctx, func() error { return testbed.ReadyWithWorkers(h, testWorkers) }))
}

// awaitServing waits until the hub's record holder votes.
func (s *system) awaitServing(t *testing.T, h *testbed.Process) {
	must.NoError(t, testbed.Await(s.ctx, func() error {
		res, err := http.Get("http://" + h.Admin + "/admin/records")
		if err != nil {
			return err
		}
		defer res.Body.Close()
		var a node.RecordsAnswer
		if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
			return err
		}
		if !a.Serving {
			return fmt.Errorf("%s abstains", h.Name)
		}
		return nil
	}))
}

// reply is the response to a request, or the error of the call.
type reply struct {
	status  int
	outcome string
	body    string
	err     error
}

// submit submits a job with an idempotency key. Each of its tasks works for ms
// milliseconds.
func (s *system) submit(hub int, key string, tasks, ms int) reply {
	spec := contract.JobSpec{Route: "cards", Team: "salons", DeadlineMS: 20_000}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: json.RawMessage(fmt.Sprintf(`{"work_ms": %d, "echo": "card %d"}`, ms, i))})
	}
	body, _ := json.Marshal(spec)
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Hubs[hub].HTTP+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(forward.HeaderIdempotencyKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, outcome: res.Header.Get(forward.HeaderOutcome), body: string(answer), err: err}
}

// submitUntilQuorum submits the job until the reply is not a refusal for lack of a
// quorum, and returns the last reply. Such a refusal may be retried, as its
// Retry-After says: on a busy machine, holders may reply after the quorum's timeout.
func (s *system) submitUntilQuorum(hub int, key string, tasks, ms int) reply {
	var r reply
	testbed.Await(s.ctx, func() error {
		r = s.submit(hub, key, tasks, ms)
		if r.status == http.StatusServiceUnavailable && r.outcome == contract.OutcomeUnknown.String() {
			return fmt.Errorf("refused: %s", r.body)
		}
		return nil
	})
	return r
}

// starts returns how many times the upstreams started each task of the key's job.
func (s *system) starts(t *testing.T, key string) map[uint32]int {
	out := make(map[uint32]int)
	for _, up := range s.Upstreams {
		res, err := http.Get("http://" + up.HTTP + "/_counts")
		must.NoError(t, err)
		var counts map[string]standin.Count
		must.NoError(t, json.NewDecoder(res.Body).Decode(&counts))
		res.Body.Close()
		for name, c := range counts {
			id, err := contract.ParseTaskID(name)
			if err == nil && id.Job == contract.KeyedJobID("salons", key) {
				out[id.Index] += c.Starts
			}
		}
	}
	return out
}

// mustHaveRunOnce checks that each task of the key's job started exactly once.
func (s *system) mustHaveRunOnce(t *testing.T, key string, tasks int) {
	starts := s.starts(t, key)
	must.MapLen(t, tasks, starts)
	for i, n := range starts {
		must.Eq(t, 1, n, must.Sprintf("starts of task %d", i))
	}
}

// awaitStart waits until a task of the key's job has started.
func (s *system) awaitStart(t *testing.T, key string) {
	must.NoError(t, testbed.Await(s.ctx, func() error {
		if len(s.starts(t, key)) == 0 {
			return fmt.Errorf("no task of %s has started", key)
		}
		return nil
	}))
}

func TestResubmission(t *testing.T) {
	s := newSystem(t)

	t.Run("while the first runs, through two other entries at once", func(t *testing.T) {
		replies := make(chan reply, testHubs)
		for hub := range testHubs {
			go func() { replies <- s.submitUntilQuorum(hub, "together", 20, 100) }()
		}
		first := <-replies
		must.Eq(t, http.StatusOK, first.status, must.Sprint(first.body))
		for range testHubs - 1 {
			next := <-replies
			must.Eq(t, first.status, next.status, must.Sprint(next.body))
			must.Eq(t, first.body, next.body)
		}
		s.mustHaveRunOnce(t, "together", 20)
	})

	t.Run("after the answer, with the same and with another body", func(t *testing.T) {
		must.Eq(t, http.StatusOK, s.submitUntilQuorum(0, "again", 3, 10).status)
		must.Eq(t, http.StatusOK, s.submitUntilQuorum(1, "again", 3, 10).status)
		other := s.submitUntilQuorum(2, "again", 4, 10)
		must.Eq(t, http.StatusUnprocessableEntity, other.status, must.Sprint(other.body))
		s.mustHaveRunOnce(t, "again", 3)
	})

	t.Run("after the owner was killed in the middle, then a second holder", func(t *testing.T) {
		killed := make(chan reply, 1)
		go func() { killed <- s.submit(0, "killed", 30, 300) }()
		s.awaitStart(t, "killed")
		s.Hubs[0].Kill()
		must.Error(t, (<-killed).err)
		takenOver := s.submitUntilQuorum(1, "killed", 30, 300)
		must.Eq(t, http.StatusOK, takenOver.status, must.Sprint(takenOver.body))
		s.mustHaveRunOnce(t, "killed", 30)

		must.NoError(t, s.Hubs[0].Start())
		s.awaitHub(t, s.Hubs[0])
		s.awaitServing(t, s.Hubs[0])
		s.Hubs[1].Kill()
		after := s.submitUntilQuorum(2, "killed", 30, 300)
		must.Eq(t, http.StatusOK, after.status, must.Sprint(after.body))
		s.mustHaveRunOnce(t, "killed", 30)
	})

	t.Run("without a quorum", func(t *testing.T) {
		s.Hubs[0].Kill()
		refused := s.submit(2, "alone", 3, 10)
		must.Eq(t, http.StatusServiceUnavailable, refused.status, must.Sprint(refused.body))
		must.Eq(t, contract.OutcomeUnknown.String(), refused.outcome)
		must.MapEmpty(t, s.starts(t, "alone"))
	})
}
