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
)

// fate is what one attempt at a single request came to.
type fate uint8

const (
	// fateAnswered means that the upstream's answer went to the caller.
	fateAnswered fate = iota + 1
	// fateNotRun means that the attempt never started and never will.
	fateNotRun
	// fateUnknown means that the attempt may have run.
	fateUnknown
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
	// quick counts the attempts that ended within gateWait.
	quick int
	// worker is where the last attempt was placed.
	worker host.Ref
	// retry says that the request may run more than once.
	retry bool
	// unsure says that an earlier attempt may have run.
	unsure bool
	worked time.Duration
	// cut says that a part of the answer has left: the connection must be cut.
	cut bool
}

// gateWait is how long the agent may take to say that the request passed its
// gate. After it, the entry asks over the link.
const gateWait = 2 * time.Second

// relay streams the request through the worker's agent. Once bytes of the
// answer have left, a fault cuts the connection rather than ending it cleanly.
func (x *exchange) relay(w http.ResponseWriter, wk workerLink) (fate, error) {
	ctx, cancel := context.WithDeadline(x.req.Context(), x.deadline)
	defer cancel()
	var passed atomic.Bool
	silent := time.AfterFunc(gateWait, func() {
		if !passed.Load() && x.fenced(wk) {
			cancel()
		}
	})
	defer silent.Stop()
	res, err := x.send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				passed.Store(true)
			}
			return nil
		},
	}), wk)
	if err != nil {
		return x.failed(wk, passed.Load(), err)
	}
	defer res.Body.Close()
	return x.deliver(w, wk, res)
}

func (x *exchange) send(ctx context.Context, wk workerLink) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, x.req.Method, "http://"+wk.HTTPAddr+x.req.URL.RequestURI(), x.body.reader())
	if err != nil {
		return nil, err
	}
	forward.CopyHeader(out.Header, x.req.Header)
	forward.StripControl(out.Header)
	forward.Once(out)
	out.ContentLength = x.req.ContentLength
	out.Host = x.req.Host
	if x.body.streamed {
		// The agent asks for the body once the request has passed its gate.
		out.Header.Set("Expect", "100-continue")
	}
	setRows(out.Header, x.route, x.entry.cfg.Tables.Version())
	setStart(out.Header, x.id, x.attempt, wk.Ref, time.Until(x.deadline))
	return agentTransport.RoundTrip(out)
}

// failed says what an attempt without an answer came to: the agent is asked
// where the gate may not have been passed and there is time.
func (x *exchange) failed(wk workerLink, passed bool, err error) (fate, error) {
	if !time.Now().Before(x.deadline) {
		return fateUnknown, contract.ErrDeadline.With("no answer of worker %s came before the deadline", wk.Host)
	}
	if x.body.broken.Load() {
		return fateUnknown, unknownOf(errSlowBody.With("the body stalled or ended early after the request had started"))
	}
	var op *net.OpError
	dialed := errors.As(err, &op) && op.Op == "dial"
	if dialed || !passed && x.fenced(wk) {
		return fateNotRun, x.notRun(wk, err.Error())
	}
	return fateUnknown, contract.ErrUpstreamLost.With("worker %s: %v", wk.Host, err)
}

// callersFault reports that the attempt failed by the caller's doing: it left,
// or stopped sending or taking. It says nothing about the worker.
func (x *exchange) callersFault(w http.ResponseWriter) bool {
	sw, ok := w.(*steadyWriter)
	return ok && sw.broken || x.body.broken.Load() || x.req.Context().Err() != nil
}

// notRun is the refusal for a request whose last attempt did not start.
func (x *exchange) notRun(wk workerLink, reason string) error {
	return x.qualify(contract.ErrNoUpstream.Refuse(time.Second, "worker %s: %s", wk.Host, reason))
}

// fenceWait bounds the question to the agent whether an attempt has started.
const fenceWait = time.Second

// fenced reports that the agent has fenced the present attempt.
func (x *exchange) fenced(wk workerLink) bool {
	now, ok := x.entry.worker(wk.Ref)
	if !ok || now.link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceWait)
	defer cancel()
	reply, err := now.link.Call(ctx, &contract.Fence{Tasks: []contract.TaskID{x.id}, Attempts: []uint32{x.attempt}})
	states, ok := reply.(*contract.TaskStates)
	return err == nil && ok && len(states.Reports) == 1 && states.Reports[0].State == contract.TaskFenced
}

// deliver passes the agent's answer on, unless it is a refusal.
func (x *exchange) deliver(w http.ResponseWriter, wk workerLink, res *http.Response) (fate, error) {
	var outcome contract.Outcome
	if err := outcome.UnmarshalText([]byte(res.Header.Get(forward.HeaderOutcome))); err != nil {
		outcome = contract.OutcomeUnknown
	}
	if outcome != contract.OutcomeRan {
		reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
		text := string(bytes.TrimSpace(reason))
		if outcome == contract.OutcomeNotRun {
			return fateNotRun, x.notRun(wk, text)
		}
		return fateUnknown, contract.ErrUpstreamLost.With("worker %s: %s", wk.Host, text)
	}
	w.Header().Set(forward.HeaderJobID, string(x.id.Job))
	if err := forward.CopyResponse(w, res); err != nil {
		x.cut = true
		return fateAnswered, contract.ErrUpstreamLost.With("the answer was cut: %v", err)
	}
	return fateAnswered, nil
}

// maxReasonBytes bounds the text of an agent's refusal.
const maxReasonBytes = 1 << 10

func setStart(h http.Header, id contract.TaskID, attempt uint32, to host.Ref, lease time.Duration) {
	h.Set(forward.HeaderTaskID, id.String())
	h.Set(forward.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	h.Set(forward.HeaderIncarnation, strconv.FormatUint(uint64(to.Incarnation), 10))
	h.Set(forward.HeaderLeaseMS, strconv.FormatInt(lease.Milliseconds(), 10))
}

// maxIdleAgentConns bounds the idle connections to one agent.
const maxIdleAgentConns = 64

var agentTransport = &http.Transport{
	MaxIdleConnsPerHost:   maxIdleAgentConns,
	IdleConnTimeout:       30 * time.Second,
	ExpectContinueTimeout: contract.MaxDeadline,
	DisableCompression:    true,
	DialContext:           (&net.Dialer{Timeout: gateWait}).DialContext,
}

// maxBufferedBody is the largest body that is kept so that the request can be
// placed again.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request: buffered where it is small,
// else streamed.
type requestBody struct {
	buffered []byte
	streamed bool
	touched  atomic.Bool
	broken   atomic.Bool // the caller stopped sending
	rest     io.ReadCloser
}

func openBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return &requestBody{streamed: true, rest: r.Body}, nil
	}
	buf, err := io.ReadAll(r.Body)
	return &requestBody{buffered: buf}, err
}

// reader returns the body for one attempt.
func (b *requestBody) reader() io.Reader {
	if b.streamed {
		return b
	}
	return bytes.NewReader(b.buffered)
}

// Read implements io.Reader for a streamed body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.rest.Read(p)
	if err != nil && err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}

// rewind reports whether the body can be sent from its beginning.
func (b *requestBody) rewind() bool { return !b.touched.Load() }
