package contract

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrorKind classifies errors for callers and operators. Its Name and Remedy are
// part of the public interface.
type ErrorKind struct {
	// Name identifies the kind in error bodies.
	Name string
	// Status is the HTTP status that the kind maps to.
	Status int
	// Outcome is what an error of the kind implies about the work by default.
	Outcome Outcome
	// Remedy tells the receiver what to do if the message does not.
	Remedy string
}

// The kinds of error that processes return to callers and to each other.
var (
	ErrBadRequest    = ErrorKind{"bad-request", http.StatusBadRequest, OutcomeNotRun, "correct the request and send it again"}
	ErrTooLarge      = ErrorKind{"too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun, "send a smaller body"}
	ErrNoRoute       = ErrorKind{"no-route", http.StatusNotFound, OutcomeNotRun, "ask the operator for a route, or correct the host, path or method"}
	ErrNoJob         = ErrorKind{"no-job", http.StatusNotFound, OutcomeUnknown, "ask the entry that accepted the job, or read its outcome from the ledger"}
	ErrNeverFits     = ErrorKind{"never-fits", http.StatusUnprocessableEntity, OutcomeNotRun, "lower the demands of the task"}
	ErrKeyReused     = ErrorKind{"key-reused", http.StatusUnprocessableEntity, OutcomeNotRun, "use a new Idempotency-Key for another body"}
	ErrOverQuota     = ErrorKind{"over-quota", http.StatusTooManyRequests, OutcomeNotRun, "come back after Retry-After, or ask the operator for a larger quota"}
	ErrOverload      = ErrorKind{"overload", http.StatusServiceUnavailable, OutcomeNotRun, "come back after Retry-After"}
	ErrNoUpstream    = ErrorKind{"no-upstream", http.StatusServiceUnavailable, OutcomeNotRun, "come back after Retry-After; the operator checks that upstreams of the pool announce themselves"}
	ErrDraining      = ErrorKind{"draining", http.StatusServiceUnavailable, OutcomeNotRun, "send the request again; the balancer picks another entry"}
	ErrNoQuorum      = ErrorKind{"no-quorum", http.StatusServiceUnavailable, OutcomeNotRun, "come back after Retry-After; the operator checks carawayctl members"}
	ErrDeadline      = ErrorKind{"deadline", http.StatusGatewayTimeout, OutcomeUnknown, "read the outcome before sending the work again"}
	ErrUpstreamLost  = ErrorKind{"upstream-lost", http.StatusBadGateway, OutcomeUnknown, "read the outcome before sending the work again"}
	ErrTaskFailed    = ErrorKind{"task-failed", http.StatusBadGateway, OutcomeRan, "read the outcomes by task; correct the failed task"}
	ErrAnswerGone    = ErrorKind{"answer-gone", http.StatusGone, OutcomeRan, "the work ran once and its answer is no longer kept: read the outcomes by task"}
	ErrCancelled     = ErrorKind{"cancelled", http.StatusConflict, OutcomeUnknown, "read the outcomes by task"}
	ErrInvalidTables = ErrorKind{"invalid-tables", http.StatusUnprocessableEntity, OutcomeNotRun, "correct the edit"}
	ErrConflict      = ErrorKind{"version-conflict", http.StatusConflict, OutcomeNotRun, "read the version in force, and make the edit again from it"}
	ErrUnknownDomain = ErrorKind{"unknown-domain", http.StatusUnprocessableEntity, OutcomeNotRun, "name a failure domain of the settings, of a control host or of a worker that has reported"}
	ErrNoLeader      = ErrorKind{"no-leader", http.StatusServiceUnavailable, OutcomeUnknown, "send the request again after Retry-After: repeating it does no harm"}
	ErrInternal      = ErrorKind{"internal", http.StatusInternalServerError, OutcomeUnknown, "report it with the log line of the same job"}
)

// Error is an error of one kind. It is wrapped in a merry error; use AsError to
// find it.
type Error struct {
	Kind    ErrorKind
	Message string
	// Outcome is what the error implies about the work. Kind.Outcome is its default.
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed; zero means not
	// stated.
	RetryAfter time.Duration
	// Tasks holds the results by task of a job that failed.
	Tasks []TaskResult
}

// Error returns the kind, the message and the remedy.
func (e *Error) Error() string {
	return e.Kind.Name + ": " + e.Message + " (" + e.Kind.Remedy + ")"
}

// With returns an error of kind k with a formatted message and the stack of the
// caller.
func (k ErrorKind) With(format string, args ...any) error {
	return k.wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...), Outcome: k.Outcome})
}

// WithRetryAfter returns an error of kind k with a formatted message. Its receiver
// may retry after the given time.
func (k ErrorKind) WithRetryAfter(after time.Duration, format string, args ...any) error {
	return k.wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...), Outcome: k.Outcome, RetryAfter: after})
}

// WithTasks returns an error of kind k with a formatted message and the results
// by task. Its outcome is the combined outcome of the tasks.
func (k ErrorKind) WithTasks(tasks []TaskResult, format string, args ...any) error {
	outcomes := make([]Outcome, len(tasks))
	for i, t := range tasks {
		outcomes[i] = t.Outcome
	}
	return k.wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...), Outcome: CombineOutcomes(outcomes), Tasks: tasks})
}

func (k ErrorKind) wrap(e *Error) error {
	return merry.WrapSkipping(e, 2, merry.WithHTTPCode(k.Status))
}

// Is reports whether err is of kind k.
func (k ErrorKind) Is(err error) bool {
	e, ok := AsError(err)
	return ok && e.Kind.Name == k.Name
}

// AsError returns the first Error in err's chain, and whether there is one.
func AsError(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
