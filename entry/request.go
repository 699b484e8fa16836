package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/ingress"
)

// Limits of a request.
const (
	// maxTeamBytes limits the length of a team's name.
	maxTeamBytes = 128
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
	// readAheadBytes is how much of a request body is read before the request
	// is handled.
	readAheadBytes = 64 << 10
	// DefaultBodyStallTimeout is the default of Config.BodyStallTimeout.
	DefaultBodyStallTimeout = 10 * time.Second
)

// callerHeaders are the fields with systemHeaderPrefix that a caller may send.
var callerHeaders = []string{forward.HeaderTeam, forward.HeaderNonIdempotent, forward.HeaderDeadlineMS}

// endToEndHeaders are the fields that a Connection field must not name. An
// intermediary would remove them, which changes the meaning of the request.
var endToEndHeaders = []string{"Host", "Content-Length", "Content-Type", "Transfer-Encoding", "Authorization", "Cookie", forward.HeaderIdempotencyKey}

// systemHeaderPrefix is the prefix of the header fields that the system defines.
const systemHeaderPrefix = "Caraway-"

// checkRequests refuses requests with an ambiguous or invalid header before
// they reach next, and reads ahead in the bodies of the others.
func checkRequests(stallTimeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(plain http.ResponseWriter, r *http.Request) {
		w := &stallTimeoutWriter{ResponseWriter: plain, rc: http.NewResponseController(plain), stallTimeout: stallTimeout}
		w.rc.SetWriteDeadline(time.Time{}) // left by the previous request on the connection
		if len(r.TransferEncoding) > 0 && ambiguousFraming(r.Context()) {
			w.Header().Set("Connection", "close")
			WriteError(w, contract.ErrBadRequest.With("the header has both Content-Length and Transfer-Encoding: send one of them"))
			return
		}
		if err := checkHeader(r.Header); err != nil {
			WriteError(w, err)
			return
		}
		if err := readAhead(w, r, stallTimeout); err != nil {
			w.Header().Set("Connection", "close")
			WriteError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func checkHeader(h http.Header) error {
	if err := checkConnection(h["Connection"]); err != nil {
		return err
	}
	for name, values := range h {
		if !strings.HasPrefix(name, systemHeaderPrefix) {
			continue
		}
		if !slices.Contains(callerHeaders, name) {
			return contract.ErrBadRequest.With("header field %s is the system's own: leave it out", name)
		}
		if len(values) > 1 {
			return contract.ErrBadRequest.With("header field %s is given %d times: give it once", name, len(values))
		}
	}
	return checkCallerHeaders(h)
}

func checkConnection(fields []string) error {
	for _, field := range fields {
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if strings.HasPrefix(name, systemHeaderPrefix) || slices.Contains(endToEndHeaders, name) {
				return contract.ErrBadRequest.With("Connection names %s, which is an end-to-end field: take it out", name)
			}
		}
	}
	return nil
}

// checkCallerHeaders checks the values of the fields that a caller may send.
func checkCallerHeaders(h http.Header) error {
	if team, ok := h[forward.HeaderTeam]; ok {
		if err := checkTeamName(team[0]); err != nil {
			return err
		}
	}
	if v, ok := h[forward.HeaderNonIdempotent]; ok && v[0] != "1" && v[0] != "true" {
		return contract.ErrBadRequest.With("%s is %.32q: give 1, or leave it out", forward.HeaderNonIdempotent, v[0])
	}
	if v, ok := h[forward.HeaderDeadlineMS]; ok {
		ms, err := strconv.ParseInt(v[0], 10, 64)
		if err != nil || ms < 1 || ms > contract.MaxDeadline.Milliseconds() {
			return contract.ErrBadRequest.With("%s is %.32q: give 1 to %d", forward.HeaderDeadlineMS, v[0], contract.MaxDeadline.Milliseconds())
		}
	}
	if keys, ok := h[forward.HeaderIdempotencyKey]; ok {
		return checkKey(keys)
	}
	return nil
}

func checkTeamName(team string) error {
	if team == "" || len(team) > maxTeamBytes || !visibleASCII(team) {
		return contract.ErrBadRequest.With("the team's name, of %d bytes, is not valid: give 1 to %d visible ASCII characters", len(team), maxTeamBytes)
	}
	return nil
}

func checkKey(keys []string) error {
	if len(keys) > 1 {
		return contract.ErrBadRequest.With("Idempotency-Key is given %d times: give it once", len(keys))
	}
	if k := keys[0]; k == "" || len(k) > maxKeyBytes || !visibleASCII(k) {
		return contract.ErrBadRequest.With("Idempotency-Key, of %d bytes, is not valid: give 1 to %d visible ASCII characters, such as a UUID", len(k), maxKeyBytes)
	}
	return nil
}

func visibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// errSlowBody is the error for a request body that stalled. Its outcome holds
// only if the request has started no work.
var errSlowBody = contract.ErrorKind{
	Name:    "slow-body",
	Status:  http.StatusRequestTimeout,
	Outcome: contract.OutcomeNotRun,
	Remedy:  "send the whole body without pauses",
}

// readAhead reads the first part of the body before the request is placed, so
// that a caller that stalls or leaves blocks no worker. A small body is read
// completely; the rest of a larger one is streamed later. Each read is limited
// by stallTimeout.
func readAhead(w *stallTimeoutWriter, r *http.Request, stallTimeout time.Duration) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > contract.MaxJobBytes && r.URL.Path == jobsPath {
		return errJobTooLarge()
	}
	body := &stallTimeoutReader{body: r.Body, rc: w.rc, stallTimeout: stallTimeout}
	source := r.Body
	r.Body = &bufferedBody{Reader: body, Closer: source}
	first, err := ingress.ReadUpTo(r, readAheadBytes)
	if err != nil && err != io.EOF {
		return bodyReadError(r, err)
	}
	if err == io.EOF && r.ContentLength < 0 {
		// The body is complete, so its length is known and it need not be
		// forwarded in chunks.
		r.ContentLength = int64(len(first))
	}
	r.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(first), body), Closer: source}
	return nil
}

// bodyReadError returns the error for a body that could not be read and whose
// request has started no work.
func bodyReadError(r *http.Request, err error) error {
	_, tooLarge := errors.AsType[*http.MaxBytesError](err)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSlowBody.With("the body stalled for too long")
	case errors.Is(err, ingress.ErrFull):
		return fullError(r)
	case tooLarge:
		return errBodyTooLarge()
	}
	return contract.ErrBadRequest.With("the body ended early: %v", err)
}

// fullError returns the error for a request for which there is no memory. With an
// idempotency key, an earlier submission may have run.
func fullError(r *http.Request) error {
	err := contract.ErrOverload.WithRetryAfter(time.Second, "the memory for requests is used up")
	if r.Header.Get(forward.HeaderIdempotencyKey) != "" {
		return withUnknownOutcome(err)
	}
	return err
}

// decodedSpecBytes returns the memory of a decoded job, in bytes, with the part of its body
// that was read ahead.
func decodedSpecBytes(spec contract.JobSpec) int64 {
	const taskBytes = 256
	n := int64(readAheadBytes)
	for _, t := range spec.Tasks {
		n += int64(len(t.Payload)) + taskBytes
	}
	return n
}

// bufferedBody is a body whose first part was read ahead. Reader returns that
// part and then the rest.
type bufferedBody struct {
	io.Reader
	io.Closer
}

func errBodyTooLarge() error {
	return contract.ErrTooLarge.With("the body is larger than this entry allows")
}

func errJobTooLarge() error {
	return contract.ErrTooLarge.With("the job has more than %d bytes: split it into smaller jobs", contract.MaxJobBytes)
}

// readSpec reads and checks a job submission, and writes its body to digest.
func readSpec(r *http.Request, digest io.Writer) (contract.JobSpec, error) {
	var spec contract.JobSpec
	raw, err := ingress.ReadBody(r, contract.MaxJobBytes)
	if err != nil {
		if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
			return spec, errJobTooLarge()
		}
		return spec, bodyReadError(r, err)
	}
	// The payloads are copied when they are decoded.
	hold := ingress.HoldOf(r.Context())
	if err := hold.Reserve(int64(len(raw))); err != nil {
		return spec, fullError(r)
	}
	defer func() { hold.ShrinkTo(decodedSpecBytes(spec)) }()
	digest.Write(raw)
	if err := checkJob(raw); err != nil {
		return spec, err
	}
	if err := json.Unmarshal(raw, &spec); err != nil {
		return spec, contract.ErrBadRequest.With("the body is not a job: %v", err)
	}
	if err := checkTeamName(spec.Team); spec.Team != "" && err != nil {
		return spec, err
	}
	return spec, spec.Validate()
}
