package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// Parameters of the load.
const (
	callers     = 24
	maxJobTasks = 30
	minWorkMS   = 20
	maxWorkMS   = 400
	// singleShare is the percentage of submissions that are single requests, and
	// keyedShare the percentage of jobs that have an idempotency key.
	singleShare           = 30
	keyedShare            = 60
	maxCallsPerSubmission = 12
	callTimeout           = 25 * time.Second
	deadlineMS            = 15_000
	// resubmitDelay is the delay before a submission is sent again.
	resubmitDelay = 500 * time.Millisecond
)

// answer is the result of one call. It is lost if the call failed.
type answer struct {
	lost    bool
	status  int
	outcome string
	job     contract.JobID
	body    []byte
}

// submission is a job or a single request, with the answer to each call.
type submission struct {
	single  bool
	keyed   bool
	echoes  []string
	answers []answer
}

// lastAnswer returns the answer to the last call. There must have been a call.
func (s *submission) lastAnswer() answer { return s.answers[len(s.answers)-1] }

// submissionLog holds the submissions of all callers.
type submissionLog struct {
	maxTasks int

	mu             sync.Mutex // guards the fields below
	submittedTasks int
	submissions    []*submission
}

// add adds a submission. It returns false, and adds nothing, once maxTasks tasks
// have been submitted.
func (l *submissionLog) add(s *submission) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.submittedTasks >= l.maxTasks {
		return false
	}
	l.submittedTasks += len(s.echoes)
	l.submissions = append(l.submissions, s)
	return true
}

// caller submits jobs and single requests, and resubmits those that have no final
// answer.
type caller struct {
	sys             *testbed.System
	log             *submissionLog
	id              int
	rand            *rand.Rand
	submissionCount int
	http            *http.Client
}

func newCaller(sys *testbed.System, submissions *submissionLog, seed uint64, id int) *caller {
	return &caller{sys: sys, log: submissions, id: id, rand: rand.New(rand.NewPCG(seed, uint64(id)+1)), http: &http.Client{Timeout: callTimeout}}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		s, req, err := c.nextSubmission()
		if err != nil || !c.log.add(s) {
			return
		}
		c.submit(s, req)
	}
}

// request is the HTTP request of a submission; each call sends the same.
type request struct {
	path   string
	header http.Header
	body   []byte
}

// nextSubmission returns a random submission and its request.
func (c *caller) nextSubmission() (*submission, request, error) {
	c.submissionCount++
	s := &submission{single: c.rand.IntN(100) < singleShare}
	name := fmt.Sprintf("c%d-%d", c.id, c.submissionCount)
	req := request{header: make(http.Header)}
	var err error
	if s.single {
		s.echoes = []string{name}
		req.path = "/cards/one"
		req.header.Set(forward.HeaderDeadlineMS, fmt.Sprint(deadlineMS))
		req.body, err = json.Marshal(c.randomWork(name))
		return s, req, err
	}
	req.path = "/v1/jobs"
	spec := contract.JobSpec{Route: "cards", Team: fmt.Sprintf("salon%d", c.id%4), DeadlineMS: deadlineMS}
	for i := range 1 + c.rand.IntN(maxJobTasks) {
		echo := fmt.Sprintf("%s-%d", name, i)
		payload, err := json.Marshal(c.randomWork(echo))
		if err != nil {
			return nil, req, err
		}
		s.echoes = append(s.echoes, echo)
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: payload})
	}
	if s.keyed = c.rand.IntN(100) < keyedShare; s.keyed {
		req.header.Set(forward.HeaderIdempotencyKey, name)
	}
	req.body, err = json.Marshal(spec)
	return s, req, err
}

func (c *caller) randomWork(echo string) standin.Work {
	return standin.Work{WorkMS: minWorkMS + c.rand.IntN(maxWorkMS-minWorkMS), Echo: echo}
}

// submit calls random entries until the submission has a final answer, up to
// maxCallsPerSubmission times. A submission without a key is sent again only after
// an answer with the outcome "not-run".
func (c *caller) submit(s *submission, req request) {
	for range maxCallsPerSubmission {
		h := c.sys.Hubs[c.rand.IntN(hubs)]
		a := c.call(h.HTTP, req)
		s.answers = append(s.answers, a)
		notRun := !a.lost && a.outcome == contract.OutcomeNotRun.String()
		final := !a.lost && (a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests)
		if final || !notRun && !s.keyed {
			return
		}
		time.Sleep(resubmitDelay)
	}
}

func (c *caller) call(addr string, req request) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+req.path, bytes.NewReader(req.body))
	if err != nil {
		return answer{lost: true}
	}
	r.Header = req.header.Clone()
	r.GetBody = nil // prevents the transport from resending the request
	res, err := c.http.Do(r)
	if err != nil {
		return answer{lost: true}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{
		lost:    err != nil,
		status:  res.StatusCode,
		outcome: res.Header.Get(forward.HeaderOutcome),
		job:     contract.JobID(res.Header.Get(forward.HeaderJobID)),
		body:    body,
	}
}
