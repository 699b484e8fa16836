package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// sendSingle sends a single request whose body describes the work that the upstream
// is to do. The fields are names and values of header fields in turn.
func (s *system) sendSingle(hub int, method string, work standin.Work, fields ...string) reply {
	body, _ := json.Marshal(work)
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.Hubs[hub].HTTP+"/cards/one", bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	return do(req)
}

// do sends the request and reads the whole response.
func do(req *http.Request) reply {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, outcome: res.Header.Get(forward.HeaderOutcome), body: string(answer), err: err}
}

// echoStarts returns how many times the upstreams started work with this echo.
func (s *system) echoStarts(t *testing.T, echo string) int {
	total := 0
	for _, up := range s.Upstreams {
		res, err := http.Get("http://" + up.HTTP + "/_echoes")
		must.NoError(t, err)
		var counts map[string]int
		must.NoError(t, json.NewDecoder(res.Body).Decode(&counts))
		res.Body.Close()
		total += counts[echo]
	}
	return total
}

// awaitEcho waits until the upstreams have started work with this echo n times.
func (s *system) awaitEcho(t *testing.T, echo string, n int) {
	must.NoError(t, testbed.Await(s.ctx, func() error {
		if got := s.echoStarts(t, echo); got < n {
			return fmt.Errorf("%d of %d starts of %s", got, n, echo)
		}
		return nil
	}))
}

func TestSingleRequests(t *testing.T) {
	s := newSystem(t)

	t.Run("non-idempotent, the upstream closes without an answer", func(t *testing.T) {
		cases := map[string]reply{
			"by method": s.sendSingle(0, http.MethodPost, standin.Work{Echo: "by method", Drop: true}),
			"by field":  s.sendSingle(0, http.MethodPut, standin.Work{Echo: "by field", Drop: true}, forward.HeaderNonIdempotent, "1"),
		}
		for echo, r := range cases {
			must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body))
			must.Eq(t, contract.OutcomeUnknown.String(), r.outcome)
			must.Eq(t, 1, s.echoStarts(t, echo))
		}
	})

	// A request that crashes its upstream must not go through all of them.
	t.Run("an idempotent request that loses its upstreams", func(t *testing.T) {
		for i := range 4 {
			echo := fmt.Sprint("loses ", i)
			r := s.sendSingle(0, http.MethodPut, standin.Work{Echo: echo, Drop: true})
			must.Eq(t, contract.OutcomeUnknown.String(), r.outcome)
			must.LessEq(t, 2, s.echoStarts(t, echo))
		}
	})

	t.Run("idempotent requests are retried within a budget", func(t *testing.T) {
		const requests = 40
		for range requests {
			r := s.sendSingle(1, http.MethodPut, standin.Work{Echo: "budget", Drop: true})
			must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(r.body))
			must.Eq(t, contract.OutcomeUnknown.String(), r.outcome)
		}
		starts := s.echoStarts(t, "budget")
		must.Greater(t, requests, starts)
		// The budget allows a reserve of 10 and a tenth of the requests.
		must.LessEq(t, requests+10+requests/10, starts)
	})

	t.Run("an agent that is frozen before its gate", func(t *testing.T) {
		for _, a := range s.Agents[1:] {
			must.NoError(t, a.Signal(syscall.SIGSTOP))
		}
		for i := range 4 {
			echo := fmt.Sprint("frozen ", i)
			r := s.sendSingle(0, http.MethodPost, standin.Work{Echo: echo}, forward.HeaderDeadlineMS, "8000")
			ran := s.echoStarts(t, echo)
			must.LessEq(t, 1, ran)
			if r.status == http.StatusOK {
				must.Eq(t, 1, ran)
			}
			if r.outcome == contract.OutcomeNotRun.String() {
				must.Eq(t, 0, ran)
			}
		}
		for _, a := range s.Agents[1:] {
			must.NoError(t, a.Signal(syscall.SIGCONT))
		}
		s.awaitHub(t, s.Hubs[0])
		for i := range 4 {
			must.LessEq(t, 1, s.echoStarts(t, fmt.Sprint("frozen ", i)))
		}
	})
}

// submitUnkeyed submits a job without an idempotency key. Each of its tasks works for
// ms milliseconds.
func (s *system) submitUnkeyed(hub, tasks, ms, deadlineMS int, echo string) reply {
	spec := contract.JobSpec{Route: "cards", Team: "salons", DeadlineMS: deadlineMS}
	for range tasks {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: json.RawMessage(fmt.Sprintf(`{"work_ms": %d, "echo": %q}`, ms, echo))})
	}
	body, _ := json.Marshal(spec)
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Hubs[hub].HTTP+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	return do(req)
}

// outcomes counts the tasks of an error answer by outcome.
func outcomes(t *testing.T, r reply) map[contract.Outcome]int {
	var body struct{ Tasks []contract.TaskResult }
	must.NoError(t, json.Unmarshal([]byte(r.body), &body))
	out := make(map[contract.Outcome]int)
	for _, task := range body.Tasks {
		out[task.Outcome]++
	}
	return out
}

func TestJobEnds(t *testing.T) {
	const slots = testWorkers * 4
	s := newSystem(t)

	t.Run("the deadline passes with tasks that wait at agents", func(t *testing.T) {
		const extra = 6
		// Both entries use the same workers. The first fills their slots, so that
		// the tasks of the second wait at the agents.
		first := make(chan reply, 1)
		go func() { first <- s.submitUnkeyed(0, slots, 2000, 10_000, "first") }()
		s.awaitEcho(t, "first", slots)
		r := s.submitUnkeyed(1, extra, 10, 500, "waits")
		must.Eq(t, 0, s.echoStarts(t, "waits"))
		must.Eq(t, contract.OutcomeNotRun.String(), r.outcome, must.Sprint(r.body))
		must.Eq(t, map[contract.Outcome]int{contract.OutcomeNotRun: extra}, outcomes(t, r))
		must.Eq(t, http.StatusOK, (<-first).status)
		must.Eq(t, 0, s.echoStarts(t, "waits"))
	})

	t.Run("a graceful shutdown cuts off neither jobs nor requests", func(t *testing.T) {
		replies := make(chan reply, 3)
		go func() { replies <- s.submitUnkeyed(0, 4, 1500, 10_000, "drained") }()
		go func() { replies <- s.submit(0, "drained", 4, 1500) }()
		go func() { replies <- s.sendSingle(0, http.MethodPost, standin.Work{Echo: "drained", WorkMS: 1500}) }()
		s.awaitEcho(t, "drained", 5)
		s.awaitStart(t, "drained")
		ctx, cancel := context.WithTimeout(s.ctx, 30*time.Second)
		defer cancel()
		agentDone := make(chan error, 1)
		go func() { agentDone <- s.Agents[0].Stop(ctx) }()
		must.NoError(t, s.Hubs[0].Stop(ctx))
		must.NoError(t, <-agentDone)
		for range 3 {
			r := <-replies
			must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body, r.err))
		}
	})
}
