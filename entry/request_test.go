package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/record"
	"github.com/carawaylanding/carawaylanding/tables"
)

// countingScheduler is a Scheduler that counts and refuses all submissions.
type countingScheduler struct{ submits *atomic.Int32 }

func (s countingScheduler) Step(_ time.Time, ev dispatch.Event) []dispatch.Action {
	if ev, ok := ev.(dispatch.Submit); ok {
		s.submits.Add(1)
		return []dispatch.Action{dispatch.Refuse{Job: ev.Job, Err: contract.ErrNoUpstream.WithRetryAfter(time.Second, "counted")}}
	}
	return nil
}

// recordHolder is a Caller of a record holder in the test's process.
type recordHolder struct{ holder *record.Holder }

// Call implements Caller.
func (h recordHolder) Call(_ context.Context, m contract.Message) (contract.Message, error) {
	switch m := m.(type) {
	case *contract.RecordWrite:
		return h.holder.Write(time.Now(), m), nil
	case *contract.RecordPrepare:
		return h.holder.Prepare(time.Now(), m), nil
	}
	return nil, fmt.Errorf("unexpected %T", m)
}

// testStallTimeout is the test server's limit for a stalled header or body.
const testStallTimeout = 200 * time.Millisecond

// startServer serves an entry. submits counts the submissions to its scheduler.
func startServer(t *testing.T) (addr string, submits *atomic.Int32) {
	t.Helper()
	store := tables.NewStore()
	store.Update(contract.Tables{
		Version: 1,
		Routes:  []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}},
		Pools:   []contract.Pool{{Name: "formula"}},
	})
	submits = new(atomic.Int32)
	e := New(Config{
		Tables:       store,
		NewScheduler: func(contract.Pool) dispatch.Scheduler { return countingScheduler{submits} },
		Records: &RecordClient{
			Holders:   []RecordHolder{{Host: "self", Caller: recordHolder{record.NewHolder(record.Config{}, true, time.Now())}, Local: true}},
			Retention: record.DefaultRetention,
		},
		BodyStallTimeout: testStallTimeout,
		ClientLimits:     contract.ClientLimits{HeaderTimeout: testStallTimeout},
		Log:              logr.Discard(),
	})
	ln, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	srv := e.NewServer()
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String(), submits
}

// sendRaw writes raw to a new connection and reads the first answer. The
// returned reader reads the rest of the connection, which is closed when the
// test ends.
func sendRaw(t *testing.T, addr, raw string) (*http.Response, []byte, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	go io.WriteString(conn, raw)
	r := bufio.NewReader(conn)
	res, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	return res, body, r
}

func post(path, body string, fields ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n", path, len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n" + body
}

func jobBody(task string) string {
	return `{"route": "cards", "team": "thamel", "tasks": [` + task + `]}`
}

// refusalCase is a request that must be refused before any work is started.
type refusalCase struct {
	name, raw string
	status    int
	// want is a part of the error's message and remedy.
	want string
}

var badJobs = []refusalCase{
	{"oversize by length", "POST /v1/jobs HTTP/1.1\r\nHost: desk\r\nContent-Length: 99999999\r\n\r\n", 413, "split it"},
	{"oversize by chunks", "POST /v1/jobs HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n1100000\r\n" + strings.Repeat(" ", 0x1100000) + "\r\n0\r\n\r\n", 413, "split it"},
	{"malformed", post("/v1/jobs", `{"route": `), 400, "not a job"},
	{"trailing data", post("/v1/jobs", jobBody(`{}`)+`{}`), 400, "send one JSON object"},
	{"no task", post("/v1/jobs", jobBody(``)), 400, "give 1 to 150"},
	{"too many tasks", post("/v1/jobs", jobBody(strings.Repeat(`{},`, 150)+`{}`)), 400, "give 1 to 150"},
	{"negative demand", post("/v1/jobs", jobBody(`{"slots": -1}`)), 400, "give 0 to"},
	{"excessive demand", post("/v1/jobs", jobBody(`{"memory_mb": 9223372036854775807}`)), 400, "give 0 to"},
	{"unknown field", post("/v1/jobs", jobBody(`{"slotz": 1}`)), 400, "slotz"},
	{"key given twice", post("/v1/jobs", `{"route": "cards", "Route": "other", "team": "thamel", "tasks": [{}]}`), 400, "give it once"},
	{"task's key given twice", post("/v1/jobs", jobBody(`{"slots": 1, "slots": 2}`)), 400, "give it once"},
	{"excessive deadline", post("/v1/jobs", `{"route": "cards", "team": "thamel", "deadline_ms": 9223372036854775807, "tasks": [{}]}`), 400, "deadline_ms"},
	{"control character in the team", post("/v1/jobs", `{"route": "cards", "team": "tha\u0007mel", "tasks": [{}]}`), 400, "visible ASCII"},
	{"excessive key", post("/v1/jobs", jobBody(`{}`), "Idempotency-Key: "+strings.Repeat("k", 256)), 400, "such as a UUID"},
	{"two keys", post("/v1/jobs", jobBody(`{}`), "Idempotency-Key: a", "Idempotency-Key: b"), 400, "give it once"},
	{"slow body", "POST /v1/jobs HTTP/1.1\r\nHost: desk\r\nContent-Length: 100\r\n\r\n{\"route\":", 408, "without pauses"},
}

var badRequests = []refusalCase{
	{"reserved control field", post("/cards/1", `{}`, "Caraway-Attempt: 7"), 400, "leave it out"},
	{"control field twice", post("/cards/1", `{}`, "Caraway-Team: a", "Caraway-Team: b"), 400, "give it once"},
	{"control field named by Connection", post("/cards/1", `{}`, "Connection: close, caraway-non-idempotent"), 400, "take it out"},
	{"length named by Connection", post("/cards/1", `{}`, "Connection: content-length"), 400, "take it out"},
	{"excessive deadline", post("/cards/1", `{}`, "Caraway-Deadline-Ms: 99999999999999999999"), 400, "give 1 to"},
	{"invalid non-idempotent flag", post("/cards/1", `{}`, "Caraway-Non-Idempotent: no"), 400, "give 1"},
	{"slow body", "POST /cards/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 100\r\n\r\nabc", 408, "without pauses"},
	{"body cut short", "POST /cards/1 HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX", 400, "ended early"},
}

func TestBadInputIsRefusedWithNothingStarted(t *testing.T) {
	addr, submits := startServer(t)
	for group, cases := range map[string][]refusalCase{"job": badJobs, "single": badRequests} {
		for _, tc := range cases {
			t.Run(group+"/"+tc.name, func(t *testing.T) {
				res, body, _ := sendRaw(t, addr, tc.raw)
				must.Eq(t, tc.status, res.StatusCode, must.Sprintf("%s", body))
				must.Eq(t, contract.OutcomeNotRun.String(), res.Header.Get(forward.HeaderOutcome))
				var f errorBody
				must.NoError(t, json.Unmarshal(body, &f))
				must.StrContains(t, f.Message+" "+f.Remedy, tc.want)
				must.Eq(t, 0, submits.Load())
			})
		}
	}
}

// TestAmbiguousFramingIsRefused covers ambiguous requests that net/http refuses
// itself.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	addr, submits := startServer(t)
	for name, head := range map[string]string{
		"two lengths":            "Content-Length: 2\r\nContent-Length: 3\r\n",
		"two transfer encodings": "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"space before the colon": "Transfer-Encoding : chunked\r\n",
		"signed length":          "Content-Length: +2\r\n",
		"header too long":        "X: " + strings.Repeat("x", 4*int(ingress.DefaultLimits.MaxHeaderBytes)) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			res, _, _ := sendRaw(t, addr, "POST /cards/1 HTTP/1.1\r\nHost: desk\r\n"+head+"\r\n{}")
			must.Between(t, 400, res.StatusCode, 501)
			must.Eq(t, 0, submits.Load())
		})
	}
}

// TestLengthWithChunkedEncodingIsRefused guards against request smuggling. A
// request with both a Content-Length and a Transfer-Encoding must not run, nor
// a request hidden in its body, wherever on the connection it is sent.
func TestLengthWithChunkedEncodingIsRefused(t *testing.T) {
	hidden := "0\r\n\r\nGET /cards/hidden HTTP/1.1\r\nHost: desk\r\n\r\n"
	both := fmt.Sprintf("POST /cards/1 HTTP/1.1\r\nHost: desk\r\ncontent-LENGTH: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(hidden), hidden)
	for name, before := range map[string]string{
		"first":                           "",
		"after a plain one":               post("/cards/1", "{}"),
		"after a body without a line end": post("/cards/1", "no line end"),
		"after a chunked one":             "POST /cards/1 HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, submits := startServer(t)
			res, body, rest := sendRaw(t, addr, before+both)
			want := int32(0)
			if before != "" && res.StatusCode != http.StatusBadRequest {
				want = 1
				var err error
				res, err = http.ReadResponse(rest, nil)
				must.NoError(t, err)
				body, err = io.ReadAll(res.Body)
				must.NoError(t, err)
			}
			must.Eq(t, http.StatusBadRequest, res.StatusCode)
			must.StrContains(t, string(body), "send one of them")
			must.True(t, res.Close)
			_, err := http.ReadResponse(rest, nil)
			must.Error(t, err)
			must.Eq(t, want, submits.Load())
		})
	}
}

// TestFramingScannerAcrossReads checks that the scanner finds both fields
// wherever the input is split between two reads.
func TestFramingScannerAcrossReads(t *testing.T) {
	for _, tc := range []struct {
		raw  string
		want bool
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"POST / HTTP/1.1\ntransfer-encoding:chunked\ncontent-length:3\n\n", true},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"POST / HTTP/1.1\r\nContent-Lengths: 3\r\nX-Transfer-Encoding: chunked\r\n\r\n", false},
	} {
		for cut := range len(tc.raw) {
			var s framingScanner
			found := s.feed([]byte(tc.raw[:cut]))
			found = s.feed([]byte(tc.raw[cut:])) || found
			must.Eq(t, tc.want, found, must.Sprintf("%q cut at %d", tc.raw, cut))
		}
	}
}

// TestStalledHeaderIsClosed checks that a connection whose request header
// stalls is closed without starting work.
func TestStalledHeaderIsClosed(t *testing.T) {
	addr, submits := startServer(t)
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, "POST /cards/1 HTTP/1.1\r\nHost: de")
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrNotContains(t, string(answer), "200")
	must.Eq(t, 0, submits.Load())
}

// TestValidInputReachesThePool checks that valid requests reach the scheduler,
// so that the refusals in the other tests are due to the invalid input.
func TestValidInputReachesThePool(t *testing.T) {
	addr, submits := startServer(t)
	for i, raw := range []string{
		post("/v1/jobs", jobBody(`{"payload": {"a": 1, "a": 2}, "slots": 1}`), "Idempotency-Key: 8e03978e-40d5-43dd-bc93-6894a57f9324"),
		post("/cards/1", `{}`, "Caraway-Team: thamel", "Caraway-Deadline-Ms: 500", "Caraway-Non-Idempotent: 1", "Connection: keep-alive"),
		"POST /cards/1 HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		res, body, _ := sendRaw(t, addr, raw)
		must.Eq(t, http.StatusServiceUnavailable, res.StatusCode, must.Sprintf("%s", body))
		must.Eq(t, int32(i+1), submits.Load())
	}
}
