package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// jobsPath is the path to which jobs are submitted.
const jobsPath = "/v1/jobs"

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+jobsPath, e.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{id}", e.serveStatus)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.serveCancel)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("/", e.serveSingle)
	return checkRequests(e.cfg.BodyStallTimeout, mux)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "not ready: no tables in force yet, record holder not voting yet, or draining", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Kind    string                `json:"kind"`
	Message string                `json:"message"`
	Remedy  string                `json:"remedy"`
	Outcome contract.Outcome      `json:"outcome"`
	Tasks   []contract.TaskResult `json:"tasks,omitempty"`
}

// WriteError answers the request with err. An error without a contract.ErrorKind
// is reported as an internal error.
func WriteError(w http.ResponseWriter, err error) {
	e, ok := contract.AsError(err)
	if !ok {
		e = &contract.Error{Kind: contract.ErrInternal, Message: err.Error()}
	}
	metrics.Refusals.Add(e.Kind.Name, 1)
	h := w.Header()
	h.Set(forward.HeaderOutcome, e.Outcome.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(e.RetryAfter)))
	}
	writeJSON(w, e.Kind.Status, errorBody{Kind: e.Kind.Name, Message: e.Message, Remedy: e.Kind.Remedy, Outcome: e.Outcome, Tasks: e.Tasks})
}

// observe passes a sample of one answer to the observer; work is the sample's
// Work. If ctx is done, the caller has left and the answer is only counted in
// CallersDisconnected.
func (e *Entry) observe(ctx context.Context, route, team string, began time.Time, work time.Duration, err error) {
	if ctx.Err() != nil {
		metrics.CallersDisconnected.Add(1)
		return
	}
	if err == nil {
		metrics.AnswersComplete.Add(1)
	}
	if e.cfg.Observer == nil {
		return
	}
	s := contract.AnswerSample{Route: route, Team: team, Total: time.Since(began), Work: work, Outcome: contract.OutcomeRan}
	if typed, ok := contract.AsError(err); ok {
		s.Outcome = typed.Outcome
		s.Kind = typed.Kind.Name
	}
	e.cfg.Observer.Answered(s)
}

// retrySeconds rounds up to whole seconds, the unit of the Retry-After field.
func retrySeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
