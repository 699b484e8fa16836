package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/ingress"
)

// attemptResult is the result of one attempt at a single request.
type attemptResult uint8

const (
	// attemptAnswered means that the upstream's answer was passed to the
	// caller.
	attemptAnswered attemptResult = iota + 1
	// attemptNotRun means that the attempt has not started and never will.
	attemptNotRun
	// attemptUnknown means that the attempt may have run.
	attemptUnknown
)

// exchange is one single request with its attempts.
type exchange struct {
	entry    *Entry
	req      *http.Request
	body     *requestBody
	team     string
	route    contract.Route
	id       contract.TaskID
	deadline time.Time
	attempt  uint32
	// fastAttempts counts the attempts that ended within gateTimeout.
	fastAttempts int
	// lostUpstreams counts the attempts that may have run and got no answer.
	lostUpstreams int
	// worker is the worker of the last attempt.
	worker host.Ref
	// retryable means that the request may run more than once.
	retryable bool
	// mayHaveRun means that an earlier attempt may have run.
	mayHaveRun bool
	// lastElapsed is the duration of the last attempt.
	lastElapsed time.Duration
	// truncated means that the answer failed after a part of it was sent. The
	// connection must then be aborted.
	truncated bool
}

// gateTimeout is how long the agent may take to report that the request has
// passed its gate, which starts each task at most once. After that, the entry
// asks the agent over the link to fence the attempt.
const gateTimeout = 2 * time.Second

// relay streams the request through the worker's agent. An error after a part
// of the answer was sent aborts the connection, so that the caller does not
// take the answer for a complete one.
func (x *exchange) relay(w http.ResponseWriter, wk workerLink) (attemptResult, error) {
	ctx, cancel := context.WithDeadline(x.req.Context(), x.deadline)
	defer cancel()
	var passedGate atomic.Bool // the agent reports it with a 102 response
	gateTimer := time.AfterFunc(gateTimeout, func() {
		if !passedGate.Load() && x.fenceAttempt(wk) {
			cancel()
		}
	})
	defer gateTimer.Stop()
	res, err := x.sendRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				passedGate.Store(true)
			}
			return nil
		},
	}), wk)
	if err != nil {
		return x.classifyFailure(wk, passedGate.Load(), err)
	}
	defer res.Body.Close()
	return x.deliver(w, wk, res)
}

func (x *exchange) sendRequest(ctx context.Context, wk workerLink) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, x.req.Method, "http://"+wk.HTTPAddr+x.req.URL.RequestURI(), x.body.reader())
	if err != nil {
		return nil, err
	}
	forward.CopyHeader(out.Header, x.req.Header)
	forward.StripControlFields(out.Header)
	forward.DisableAutoRetry(out)
	out.ContentLength = x.req.ContentLength
	out.Host = x.req.Host
	if x.body.streamed {
		// The agent requests the body once the request has passed its gate.
		out.Header.Set("Expect", "100-continue")
	}
	setTableHeaders(out.Header, x.route, x.entry.cfg.Tables.Version())
	setStartHeaders(out.Header, x.id, x.attempt, wk.Ref, time.Until(x.deadline))
	return agentTransport.RoundTrip(out)
}

// classifyFailure returns the result of an attempt that failed with err before
// an answer. If the deadline has not passed and the request may not have passed
// the gate, the agent is asked to fence the attempt.
func (x *exchange) classifyFailure(wk workerLink, passedGate bool, err error) (attemptResult, error) {
	if !time.Now().Before(x.deadline) {
		return attemptUnknown, contract.ErrDeadline.With("no answer of worker %s came before the deadline", wk.Host)
	}
	if x.body.readFailed.Load() {
		return attemptUnknown, withUnknownOutcome(errSlowBody.With("the body stalled or ended early after the request had started"))
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if dialFailed || !passedGate && x.fenceAttempt(wk) {
		return attemptNotRun, x.notRunError(wk, err.Error())
	}
	return attemptUnknown, contract.ErrUpstreamLost.With("worker %s: %v", wk.Host, err)
}

// isCallerFault reports whether the attempt failed because the caller left, or
// stopped sending the body or reading the answer. Such an attempt does not
// count as a failure of the worker.
func (x *exchange) isCallerFault(w http.ResponseWriter) bool {
	sw, ok := w.(*stallTimeoutWriter)
	return ok && sw.writeFailed || x.body.readFailed.Load() || x.req.Context().Err() != nil
}

// notRunError returns the error for a request whose last attempt did not start.
func (x *exchange) notRunError(wk workerLink, reason string) error {
	return x.correctOutcome(contract.ErrNoUpstream.WithRetryAfter(time.Second, "worker %s: %s", wk.Host, reason))
}

// fenceTimeout limits how long the agent may take to answer a Fence message.
const fenceTimeout = time.Second

// fenceAttempt asks the agent to fence the current attempt, and reports whether
// it did. The result is false if the attempt has started or the agent didn't
// answer.
func (x *exchange) fenceAttempt(wk workerLink) bool {
	current, ok := x.entry.worker(wk.Ref)
	if !ok || current.link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	reply, err := current.link.Call(ctx, &contract.Fence{Tasks: []contract.TaskID{x.id}, Attempts: []uint32{x.attempt}})
	states, ok := reply.(*contract.TaskStates)
	return err == nil && ok && len(states.Reports) == 1 && states.Reports[0].State == contract.TaskFenced
}

// deliver passes the upstream's answer to the caller, or returns the error that
// the agent answered with.
func (x *exchange) deliver(w http.ResponseWriter, wk workerLink, res *http.Response) (attemptResult, error) {
	var outcome contract.Outcome
	if err := outcome.UnmarshalText([]byte(res.Header.Get(forward.HeaderOutcome))); err != nil {
		outcome = contract.OutcomeUnknown
	}
	if outcome != contract.OutcomeRan {
		reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
		text := string(bytes.TrimSpace(reason))
		if outcome == contract.OutcomeNotRun {
			return attemptNotRun, x.notRunError(wk, text)
		}
		return attemptUnknown, contract.ErrUpstreamLost.With("worker %s: %s", wk.Host, text)
	}
	w.Header().Set(forward.HeaderJobID, string(x.id.Job))
	if err := forward.CopyResponse(w, res); err != nil {
		x.truncated = true
		return attemptAnswered, contract.ErrUpstreamLost.With("the answer was cut: %v", err)
	}
	return attemptAnswered, nil
}

// maxReasonBytes limits the text that is read from an agent's refusal.
const maxReasonBytes = 1 << 10

func setStartHeaders(h http.Header, id contract.TaskID, attempt uint32, to host.Ref, lease time.Duration) {
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	h.Set(forward.HeaderIncarnation, strconv.FormatUint(uint64(to.Incarnation), 10))
	h.Set(forward.HeaderLeaseMS, strconv.FormatInt(lease.Milliseconds(), 10))
}

// maxIdleAgentConns limits the idle connections to one agent.
const maxIdleAgentConns = 64

var agentTransport = &http.Transport{
	MaxIdleConnsPerHost:   maxIdleAgentConns,
	IdleConnTimeout:       30 * time.Second,
	ExpectContinueTimeout: contract.MaxDeadline,
	DisableCompression:    true,
	DialContext:           (&net.Dialer{Timeout: gateTimeout}).DialContext,
}

// maxBufferedBodyBytes is the size of the largest body that is buffered, so that
// the request can be sent again.
const maxBufferedBodyBytes = 64 << 10

// requestBody is the body of a caller's request. It is buffered if its length
// is known and at most maxBufferedBodyBytes, else streamed.
type requestBody struct {
	buffered   []byte
	streamed   bool
	consumed   atomic.Bool // Read has been called
	readFailed atomic.Bool // reading from the caller failed
	source     io.ReadCloser
}

func newRequestBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBodyBytes {
		return &requestBody{streamed: true, source: r.Body}, nil
	}
	buf, err := ingress.ReadBody(r, maxBufferedBodyBytes)
	return &requestBody{buffered: buf}, err
}

// reader returns a reader of the body for one attempt.
func (b *requestBody) reader() io.Reader {
	if b.streamed {
		return b
	}
	return bytes.NewReader(b.buffered)
}

// Read implements io.Reader for a streamed body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF {
		b.readFailed.Store(true)
	}
	return n, err
}

// canRewind reports whether the body can be sent from its beginning.
func (b *requestBody) canRewind() bool { return !b.consumed.Load() }
