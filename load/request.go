package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
)

// Answer is the result of one arrival.
type Answer struct {
	Arrival Arrival
	// Response is the time from the scheduled time of the arrival until the last byte of
	// its answer.
	Response time.Duration
	// SendDelay is the time from the scheduled time of the arrival until its request was
	// sent.
	SendDelay time.Duration
	Status    int
	Outcome   string
	// Kind is the error kind of a refusal, and empty for a complete answer.
	Kind string
	// Disconnected is set if the caller disconnected after Arrival.DisconnectAfter.
	Disconnected bool
	// Fault describes the first error found in the answer, and is empty for a correct
	// answer.
	Fault string
}

// Complete reports whether the answer is complete and correct.
func (a Answer) Complete() bool { return !a.Disconnected && a.Fault == "" && a.Status == http.StatusOK }

// taskPayload specifies how long the upstream works and what it echoes.
type taskPayload struct {
	WorkMS int64  `json:"work_ms"`
	Echo   string `json:"echo"`
}

// echoBody holds the fields of an upstream's answer that are checked.
type echoBody struct {
	Echo string `json:"echo"`
}

// jobAnswer holds the fields of a job's answer that are checked.
type jobAnswer struct {
	Results []struct {
		Task int      `json:"task"`
		Body echoBody `json:"body"`
	} `json:"results"`
}

// refusal holds the fields of an error body that are checked.
type refusal struct {
	Kind    string          `json:"kind"`
	Remedy  string          `json:"remedy"`
	Results json.RawMessage `json:"results"`
}

func newRequest(ctx context.Context, m Mix, target string, a Arrival) (*http.Request, error) {
	if a.Single {
		return newSingle(ctx, m, target, a)
	}
	spec := contract.JobSpec{Route: m.Route, Team: a.Team, DeadlineMS: int(m.Deadline.Milliseconds())}
	for i := range a.Work {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: payload(m, a, i)})
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/jobs", bytes.NewReader(body))
	if err == nil && m.IdempotencyKeys {
		req.Header.Set(forward.HeaderIdempotencyKey, a.EchoToken(m.Seed, 0))
	}
	return req, err
}

func newSingle(ctx context.Context, m Mix, target string, a Arrival) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+m.Path, bytes.NewReader(payload(m, a, 0)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(forward.HeaderTeam, a.Team)
	req.Header.Set(forward.HeaderDeadlineMS, strconv.FormatInt(m.Deadline.Milliseconds(), 10))
	return req, nil
}

func payload(m Mix, a Arrival, task int) json.RawMessage {
	raw, err := json.Marshal(taskPayload{WorkMS: a.Work[task].Milliseconds(), Echo: a.EchoToken(m.Seed, task)})
	if err != nil {
		panic(err) // marshalling a number and a string cannot fail
	}
	return raw
}

// answerGrace is the time after the deadline that the client still waits for an answer.
const answerGrace = 5 * time.Second

// send sends the request of an arrival and returns the checked answer. due is the
// arrival's scheduled time.
func send(ctx context.Context, client *http.Client, m Mix, target string, a Arrival, due time.Time) Answer {
	ans := Answer{Arrival: a, SendDelay: time.Since(due)}
	timeout := m.Deadline + answerGrace
	if a.DisconnectAfter > 0 {
		timeout = a.DisconnectAfter
	}
	ctx, cancel := context.WithDeadline(ctx, due.Add(timeout))
	defer cancel()
	req, err := newRequest(ctx, m, target, a)
	if err != nil {
		ans.Fault = err.Error()
		return ans
	}
	res, err := client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	ans.Response = time.Since(due)
	if err != nil {
		ans.Disconnected = a.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded)
		if !ans.Disconnected {
			ans.Fault = "no answer: " + err.Error()
		}
		return ans
	}
	ans.Status = res.StatusCode
	ans.Outcome = res.Header.Get(forward.HeaderOutcome)
	ans.Kind, ans.Fault = check(m, a, res, body)
	return ans
}

// check returns the error kind of a refusal, and a description of what is wrong with
// the answer. Both are empty for a correct and complete answer.
func check(m Mix, a Arrival, res *http.Response, body []byte) (kind, fault string) {
	if m.TargetsAreUpstreams && res.StatusCode == http.StatusOK {
		return "", checkEcho(body, a.EchoToken(m.Seed, 0))
	}
	var outcome contract.Outcome
	if err := outcome.UnmarshalText([]byte(res.Header.Get(forward.HeaderOutcome))); err != nil {
		return "", fmt.Sprintf("status %d without an outcome", res.StatusCode)
	}
	if res.StatusCode != http.StatusOK {
		return checkRefusal(res, body)
	}
	if outcome != contract.OutcomeRan {
		return "", "complete answer with outcome " + outcome.String()
	}
	if a.Single {
		return "", checkEcho(body, a.EchoToken(m.Seed, 0))
	}
	return "", checkJob(m, a, body)
}

func checkRefusal(res *http.Response, body []byte) (kind, fault string) {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Kind == "" {
		return "", fmt.Sprintf("status %d without an error kind", res.StatusCode)
	}
	switch {
	case r.Remedy == "":
		fault = "refusal without a remedy"
	case r.Results != nil:
		fault = "refusal with a part of the results"
	}
	return r.Kind, fault
}

func checkEcho(body []byte, want string) string {
	var e echoBody
	if err := json.Unmarshal(body, &e); err != nil {
		return "answer is not valid JSON: " + err.Error()
	}
	if e.Echo != want {
		return fmt.Sprintf("received the answer of %q instead of %q", e.Echo, want)
	}
	return ""
}

func checkJob(m Mix, a Arrival, body []byte) string {
	var j jobAnswer
	if err := json.Unmarshal(body, &j); err != nil {
		return "answer is not valid JSON: " + err.Error()
	}
	if len(j.Results) != len(a.Work) {
		return fmt.Sprintf("received %d results for %d tasks", len(j.Results), len(a.Work))
	}
	for i, r := range j.Results {
		if want := a.EchoToken(m.Seed, i); r.Task != i || r.Body.Echo != want {
			return fmt.Sprintf("result %d is for task %d with the answer of %q instead of %q", i, r.Task, r.Body.Echo, want)
		}
	}
	return ""
}
