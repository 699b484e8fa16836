// Package forward has helpers to forward an HTTP request to the next hop: it
// removes hop-by-hop header fields and streams the body of the answer.
package forward

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields of the system, and Idempotency-Key.
const (
	HeaderOutcome        = "Caraway-Outcome"
	HeaderJobID          = "Caraway-Job-Id"
	HeaderTaskID         = "Caraway-Task-Id"
	HeaderAttempt        = "Caraway-Attempt"
	HeaderIncarnation    = "Caraway-Incarnation"
	HeaderLeaseMS        = "Caraway-Lease-Ms"
	HeaderTables         = "Caraway-Tables"
	HeaderRoute          = "Caraway-Route"
	HeaderPool           = "Caraway-Pool"
	HeaderTeam           = "Caraway-Team"
	HeaderNonIdempotent  = "Caraway-Non-Idempotent"
	HeaderDeadlineMS     = "Caraway-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopByHop are the header fields that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end fields of src into dst.
func CopyHeader(dst, src http.Header) {
	skip := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		skip[name] = true
	}
	for _, field := range src["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			skip[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !skip[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// controlFields are the header fields that only the system's own processes may
// set.
var controlFields = []string{
	HeaderOutcome, HeaderJobID, HeaderTaskID, HeaderAttempt, HeaderIncarnation, HeaderLeaseMS,
	HeaderTables, HeaderRoute, HeaderPool,
}

// StripControlFields removes the control fields from a header that was received
// from outside the system.
func StripControlFields(h http.Header) {
	for _, name := range controlFields {
		h.Del(name)
	}
}

// DisableAutoRetry disables the automatic retry of net/http, which otherwise sends
// some requests again when a reused connection closes before the answer.
func DisableAutoRetry(r *http.Request) {
	if !autoRetried(r) {
		return
	}
	r.GetBody = nil
	body := r.Body
	if body == nil {
		body = http.NoBody
	}
	r.Body = opaqueBody{body}
}

// autoRetried reports whether net/http treats the request as idempotent, and so
// may retry it.
func autoRetried(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get(HeaderIdempotencyKey) != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// opaqueBody wraps a body so that net/http can't tell that it is empty or can
// be read again.
type opaqueBody struct{ io.ReadCloser }

// copyBufferBytes is the size of the copy buffer.
const copyBufferBytes = 32 << 10

// CopyResponse writes res to w, and flushes after each read of the body. It
// returns an error if the body was not copied completely.
func CopyResponse(w http.ResponseWriter, res *http.Response) error {
	CopyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	return copyFlush(w, res.Body)
}

func copyFlush(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			rc.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
