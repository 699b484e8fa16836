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
)

// Bounds on a request.
const (
	// maxNameBytes bounds a team's name.
	maxNameBytes = 128
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// readAheadBytes is how much of a single request's body is read before the
	// request is placed.
	readAheadBytes = 64 << 10
	// DefaultBodyStall is the default of Config.BodyStall.
	DefaultBodyStall = 10 * time.Second
)

// callerFields are the control fields that a caller may send.
var callerFields = []string{forward.HeaderTeam, forward.HeaderNonIdempotent, forward.HeaderDeadlineMS}

// endToEndFields are the fields that Connection must not name: an intermediary
// that obeyed it would change what the request means.
var endToEndFields = []string{"Host", "Content-Length", "Content-Type", "Transfer-Encoding", "Authorization", "Cookie", forward.HeaderIdempotencyKey}

// controlPrefix begins the name of each control field.
const controlPrefix = "Caraway-"

// checkRequests refuses requests whose header is ambiguous or absurd before
// next sees them, and reads ahead in the bodies of the rest.
func checkRequests(stall time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(plain http.ResponseWriter, r *http.Request) {
		w := &steadyWriter{ResponseWriter: plain, rc: http.NewResponseController(plain), stall: stall}
		w.rc.SetWriteDeadline(time.Time{}) // of the request before on the connection
		if len(r.TransferEncoding) > 0 && ambiguous(r.Context()) {
			w.Header().Set("Connection", "close")
			WriteError(w, contract.ErrBadRequest.With("the header has both Content-Length and Transfer-Encoding: send one of them"))
			return
		}
		if err := checkHeader(r.Header); err != nil {
			WriteError(w, err)
			return
		}
		if err := readAhead(w, r, stall); err != nil {
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
		if !strings.HasPrefix(name, controlPrefix) {
			continue
		}
		if !slices.Contains(callerFields, name) {
			return contract.ErrBadRequest.With("header field %s is the system's own: leave it out", name)
		}
		if len(values) > 1 {
			return contract.ErrBadRequest.With("header field %s is given %d times: give it once", name, len(values))
		}
	}
	return checkFields(h)
}

func checkConnection(fields []string) error {
	for _, field := range fields {
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if strings.HasPrefix(name, controlPrefix) || slices.Contains(endToEndFields, name) {
				return contract.ErrBadRequest.With("Connection names %s, which is not for one connection: take it out", name)
			}
		}
	}
	return nil
}

// checkFields checks the values of the fields that a caller may send.
func checkFields(h http.Header) error {
	if team, ok := h[forward.HeaderTeam]; ok {
		if err := checkTeam(team[0]); err != nil {
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

func checkTeam(team string) error {
	if team == "" || len(team) > maxNameBytes || !visibleASCII(team) {
		return contract.ErrBadRequest.With("the team's name has %d bytes or other than visible ASCII characters: give 1 to %d", len(team), maxNameBytes)
	}
	return nil
}

func checkKey(keys []string) error {
	if len(keys) > 1 {
		return contract.ErrBadRequest.With("Idempotency-Key is given %d times: give it once", len(keys))
	}
	if k := keys[0]; k == "" || len(k) > maxKeyBytes || !visibleASCII(k) {
		return contract.ErrBadRequest.With("Idempotency-Key has %d bytes or other than visible ASCII characters: give 1 to %d, such as a UUID", len(k), maxKeyBytes)
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

// errSlowBody says that a body stalled before anything was started.
var errSlowBody = contract.Kind{
	Name:    "slow-body",
	Status:  http.StatusRequestTimeout,
	Outcome: contract.OutcomeNotRun,
	Remedy:  "send the whole body without pauses",
}

// readAhead reads the first part of the body, so that a caller who stalls or
// leaves holds no worker; a small body is read whole. The rest streams, and
// may never stall for longer than the limit.
func readAhead(w *steadyWriter, r *http.Request, stall time.Duration) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > contract.MaxJobBytes && r.URL.Path == jobsPath {
		return errJobTooLarge()
	}
	body := &steadyBody{body: r.Body, rc: w.rc, stall: stall}
	first, err := io.ReadAll(io.LimitReader(body, readAheadBytes))
	if err != nil {
		return bodyFault(err)
	}
	if len(first) < readAheadBytes && r.ContentLength < 0 {
		// It is whole: it need not be sent on in chunks.
		r.ContentLength = int64(len(first))
	}
	r.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(first), body), Closer: r.Body}
	return nil
}

// bodyFault returns the refusal for a body that could not be read: nothing was
// started.
func bodyFault(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errSlowBody.With("the body brought nothing for too long")
	}
	return contract.ErrBadRequest.With("the body ended early: %v", err)
}

// joinedBody is what was read ahead, and then the rest of a body.
type joinedBody struct {
	io.Reader
	io.Closer
}

func errJobTooLarge() error {
	return contract.ErrTooLarge.With("the job has more than %d bytes: split it into smaller jobs", contract.MaxJobBytes)
}

// readSpec reads and checks a job submission, and writes its body to digest.
func readSpec(w http.ResponseWriter, r *http.Request, digest io.Writer) (contract.JobSpec, error) {
	var spec contract.JobSpec
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, contract.MaxJobBytes))
	if err != nil {
		if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
			return spec, errJobTooLarge()
		}
		return spec, bodyFault(err)
	}
	digest.Write(raw)
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return spec, contract.ErrBadRequest.With("the body is not a job: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return spec, contract.ErrBadRequest.With("the body goes on after the job: send one JSON object")
	}
	if key, ok := duplicateKey(raw); ok {
		return spec, contract.ErrBadRequest.With("%q is given twice in one object: give it once", key)
	}
	if err := checkTeam(spec.Team); spec.Team != "" && err != nil {
		return spec, err
	}
	return spec, spec.Validate()
}
