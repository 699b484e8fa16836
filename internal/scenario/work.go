package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// team is the client account of all work in scenarios.
const team = "salon"

// submission is a job or a single request, with its answer.
type submission struct {
	name   string
	method string
	path   string
	header http.Header
	body   []byte
	// echoes are the echo texts of the tasks, unique within the script, by which the
	// upstreams count starts.
	echoes []string
	cancel context.CancelFunc

	done         chan struct{} // closed once the fields below are set
	err          error
	status       int
	answerHeader http.Header
	answerBody   []byte
}

// submit sends a job without waiting for its answer:
// submit NAME HUB [tasks=N] [work=MS] [status=CODE] [drop=true] [key=KEY] [deadline=MS].
func (env *environment) submit(args []string) error {
	plain, opts := options(args)
	if err := checkArgCount(plain, 2, "submit NAME HUB [option=value]..."); err != nil {
		return err
	}
	h, err := env.process(plain[1])
	if err != nil {
		return err
	}
	s := &submission{name: plain[0], method: http.MethodPost, path: "/v1/jobs", header: make(http.Header)}
	spec := contract.JobSpec{Route: "cards", Team: team, DeadlineMS: intOption(opts, "deadline", 0)}
	for i := range intOption(opts, "tasks", 1) {
		echo := fmt.Sprintf("%s-%d", s.name, i)
		payload, err := json.Marshal(workFromOptions(opts, echo))
		if err != nil {
			return err
		}
		s.echoes = append(s.echoes, echo)
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: payload})
	}
	if s.body, err = json.Marshal(spec); err != nil {
		return err
	}
	if key := opts["key"]; key != "" {
		s.header.Set(forward.HeaderIdempotencyKey, key)
	}
	env.send(s, h)
	return nil
}

// workFromOptions returns the work of one task from the options of a verb.
func workFromOptions(opts map[string]string, echo string) standin.Work {
	return standin.Work{WorkMS: intOption(opts, "work", 0), Status: intOption(opts, "status", 0), Drop: opts["drop"] == "true", Echo: echo}
}

// resubmit sends the submission OLD again, under a new name and through the given
// hub: resubmit NAME OLD HUB.
func (env *environment) resubmit(args []string) error {
	if err := checkArgCount(args, 3, "resubmit NAME OLD HUB"); err != nil {
		return err
	}
	old, h, err := env.submission(args[1], args[2])
	if err != nil {
		return err
	}
	env.send(&submission{name: args[0], method: old.method, path: old.path, header: old.header, body: old.body, echoes: old.echoes}, h)
	return nil
}

// single sends a single request without waiting for its answer:
// single NAME HUB [method=POST] [work=MS] [status=CODE] [drop=true].
func (env *environment) single(args []string) error {
	plain, opts := options(args)
	if err := checkArgCount(plain, 2, "single NAME HUB [option=value]..."); err != nil {
		return err
	}
	h, err := env.process(plain[1])
	if err != nil {
		return err
	}
	s := &submission{name: plain[0], method: opts["method"], path: "/cards/one", header: make(http.Header), echoes: []string{plain[0]}}
	if s.method == "" {
		s.method = http.MethodPost
	}
	s.header.Set(forward.HeaderTeam, team)
	if s.body, err = json.Marshal(workFromOptions(opts, plain[0])); err != nil {
		return err
	}
	env.send(s, h)
	return nil
}

// cancel cancels the call of a submission, as when the caller goes away:
// cancel NAME.
func (env *environment) cancel(args []string) error {
	if err := checkArgCount(args, 1, "cancel NAME"); err != nil {
		return err
	}
	s := env.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("no submission is named %q", args[0])
	}
	s.cancel()
	return nil
}

// submission returns the submission and the hub of the given names.
func (env *environment) submission(name, hub string) (*submission, *testbed.Process, error) {
	s := env.submissions[name]
	if s == nil {
		return nil, nil, fmt.Errorf("no submission is named %q", name)
	}
	h, err := env.process(hub)
	return s, h, err
}

// callTimeout bounds one call.
const callTimeout = 60 * time.Second

// send sends a submission in the background, on its own connection.
func (env *environment) send(s *submission, h *testbed.Process) {
	ctx, cancel := context.WithTimeout(env.ctx, callTimeout)
	s.cancel = cancel
	s.done = make(chan struct{})
	env.submissions[s.name] = s
	go func() {
		defer close(s.done)
		defer cancel()
		s.err = s.call(ctx, h.HTTP)
	}()
}

func (s *submission) call(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+addr+s.path, bytes.NewReader(s.body))
	if err != nil {
		return err
	}
	req.Header = s.header.Clone()
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	s.answerBody, err = io.ReadAll(res.Body)
	s.status = res.StatusCode
	s.answerHeader = res.Header
	return err
}

// jobID returns the job ID from the answer, or else the ID derived from the
// idempotency key. It returns an empty ID if there is neither.
func (s *submission) jobID() contract.JobID {
	if id := s.answerHeader.Get(forward.HeaderJobID); id != "" {
		return contract.JobID(id)
	}
	if key := s.header.Get(forward.HeaderIdempotencyKey); key != "" {
		return contract.KeyedJobID(team, key)
	}
	return ""
}
