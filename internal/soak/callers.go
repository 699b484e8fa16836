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

// The load.
const (
	callers     = 24
	maxJobTasks = 30
	minWorkMS   = 20
	maxWorkMS   = 400
	// singleShare and keyedShare are shares of the submissions, in percent.
	singleShare = 30
	keyedShare  = 60
	maxCalls    = 12
	callLimit   = 25 * time.Second
	deadlineMS  = 15_000
	// resubmitWait is the wait before a submission is sent again.
	resubmitWait = 500 * time.Millisecond
)

// answer is what a caller was told by one call.
type answer struct {
	lost    bool
	status  int
	outcome string
	job     contract.JobID
	body    []byte
}

// submission is one job or single request, with the answer of each call.
type submission struct {
	single  bool
	keyed   bool
	echoes  []string
	answers []answer
}

// last returns the last answer.
func (s *submission) last() answer { return s.answers[len(s.answers)-1] }

// book holds all submissions.
type book struct {
	tasks int

	mu          sync.Mutex // guards all below
	submitted   int
	submissions []*submission
}

// open takes a submission in; it reports false once there are enough tasks.
func (b *book) open(s *submission) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.submitted >= b.tasks {
		return false
	}
	b.submitted += len(s.echoes)
	b.submissions = append(b.submissions, s)
	return true
}

// caller submits work, and submits it again where the answer is lost.
type caller struct {
	sys  *testbed.System
	book *book
	id   int
	rand *rand.Rand
	n    int
	http *http.Client
}

func newCaller(sys *testbed.System, b *book, seed uint64, id int) *caller {
	return &caller{sys: sys, book: b, id: id, rand: rand.New(rand.NewPCG(seed, uint64(id)+1)), http: &http.Client{Timeout: callLimit}}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		s, req, err := c.draw()
		if err != nil || !c.book.open(s) {
			return
		}
		c.submit(s, req)
	}
}

// request is what a submission sends on each call.
type request struct {
	path   string
	header http.Header
	body   []byte
}

func (c *caller) draw() (*submission, request, error) {
	c.n++
	s := &submission{single: c.rand.IntN(100) < singleShare}
	name := fmt.Sprintf("c%d-%d", c.id, c.n)
	req := request{header: make(http.Header)}
	var err error
	if s.single {
		s.echoes = []string{name}
		req.path = "/cards/one"
		req.header.Set(forward.HeaderDeadlineMS, fmt.Sprint(deadlineMS))
		req.body, err = json.Marshal(c.work(name))
		return s, req, err
	}
	req.path = "/v1/jobs"
	spec := contract.JobSpec{Route: "cards", Team: fmt.Sprintf("salon%d", c.id%4), DeadlineMS: deadlineMS}
	for i := range 1 + c.rand.IntN(maxJobTasks) {
		echo := fmt.Sprintf("%s-%d", name, i)
		payload, err := json.Marshal(c.work(echo))
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

func (c *caller) work(echo string) standin.Work {
	return standin.Work{WorkMS: minWorkMS + c.rand.IntN(maxWorkMS-minWorkMS), Echo: echo}
}

// submit calls entries until the submission has a final answer. A submission
// without a key is sent again only when the answer says that it did not run.
func (c *caller) submit(s *submission, req request) {
	for range maxCalls {
		h := c.sys.Hubs[c.rand.IntN(hubs)]
		a := c.call(h.HTTP, req)
		s.answers = append(s.answers, a)
		notRun := !a.lost && a.outcome == contract.OutcomeNotRun.String()
		final := !a.lost && (a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests)
		if final || !notRun && !s.keyed {
			return
		}
		time.Sleep(resubmitWait)
	}
}

func (c *caller) call(addr string, req request) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+req.path, bytes.NewReader(req.body))
	if err != nil {
		return answer{lost: true}
	}
	r.Header = req.header.Clone()
	r.GetBody = nil // the transport must not send a request twice by itself
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
