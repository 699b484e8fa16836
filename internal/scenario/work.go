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

// team is the team of all work in scenarios.
const team = "salon"

// submission is one job or single request and its answer.
type submission struct {
	name   string
	method string
	path   string
	header http.Header
	body   []byte
	// echoes name the tasks at the upstreams; they are unique to the script.
	echoes []string
	cancel context.CancelFunc

	done     chan struct{} // closed once all below is set
	err      error
	status   int
	answered http.Header
	answer   []byte
}

// submit sends a job and does not wait for its answer:
// submit NAME HUB [tasks=N] [work=MS] [status=CODE] [drop=true] [key=KEY] [deadline=MS].
func (w *world) submit(args []string) error {
	plain, opts := options(args)
	if err := need(plain, 2, "submit NAME HUB [option=value]..."); err != nil {
		return err
	}
	h, err := w.process(plain[1])
	if err != nil {
		return err
	}
	s := &submission{name: plain[0], method: http.MethodPost, path: "/v1/jobs", header: make(http.Header)}
	spec := contract.JobSpec{Route: "cards", Team: team, DeadlineMS: number(opts, "deadline", 0)}
	for i := range number(opts, "tasks", 1) {
		echo := fmt.Sprintf("%s-%d", s.name, i)
		payload, err := json.Marshal(workOf(opts, echo))
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
	w.send(s, h)
	return nil
}

func workOf(opts map[string]string, echo string) standin.Work {
	return standin.Work{WorkMS: number(opts, "work", 0), Status: number(opts, "status", 0), Drop: opts["drop"] == "true", Echo: echo}
}

// resubmit sends a submission again through another hub:
// resubmit NAME OLD HUB.
func (w *world) resubmit(args []string) error {
	if err := need(args, 3, "resubmit NAME OLD HUB"); err != nil {
		return err
	}
	old, h, err := w.submission(args[1], args[2])
	if err != nil {
		return err
	}
	w.send(&submission{name: args[0], method: old.method, path: old.path, header: old.header, body: old.body, echoes: old.echoes}, h)
	return nil
}

// single sends a single request and does not wait for its answer:
// single NAME HUB [method=POST] [work=MS] [status=CODE] [drop=true].
func (w *world) single(args []string) error {
	plain, opts := options(args)
	if err := need(plain, 2, "single NAME HUB [option=value]..."); err != nil {
		return err
	}
	h, err := w.process(plain[1])
	if err != nil {
		return err
	}
	s := &submission{name: plain[0], method: opts["method"], path: "/cards/one", header: make(http.Header), echoes: []string{plain[0]}}
	if s.method == "" {
		s.method = http.MethodPost
	}
	s.header.Set(forward.HeaderTeam, team)
	if s.body, err = json.Marshal(workOf(opts, plain[0])); err != nil {
		return err
	}
	w.send(s, h)
	return nil
}

// cancel makes the caller of a submission go away: cancel NAME.
func (w *world) cancel(args []string) error {
	if err := need(args, 1, "cancel NAME"); err != nil {
		return err
	}
	s := w.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("nothing was submitted as %q", args[0])
	}
	s.cancel()
	return nil
}

func (w *world) submission(name, hub string) (*submission, *testbed.Process, error) {
	s := w.submissions[name]
	if s == nil {
		return nil, nil, fmt.Errorf("nothing was submitted as %q", name)
	}
	h, err := w.process(hub)
	return s, h, err
}

// callLimit bounds one call of a caller.
const callLimit = 60 * time.Second

// send sends a submission in the background, on a connection of its own.
func (w *world) send(s *submission, h *testbed.Process) {
	ctx, cancel := context.WithTimeout(w.ctx, callLimit)
	s.cancel = cancel
	s.done = make(chan struct{})
	w.submissions[s.name] = s
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
	s.answer, err = io.ReadAll(res.Body)
	s.status = res.StatusCode
	s.answered = res.Header
	return err
}

// jobID returns the ID that the system gave the submission.
func (s *submission) jobID() contract.JobID {
	if id := s.answered.Get(forward.HeaderJobID); id != "" {
		return contract.JobID(id)
	}
	if key := s.header.Get(forward.HeaderIdempotencyKey); key != "" {
		return contract.KeyedJobID(team, key)
	}
	return ""
}
