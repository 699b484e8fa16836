// Package forward carries one HTTP request on to the next hop, streaming both
// bodies, with hop-by-hop header fields removed.
package forward

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields of the system.
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

// hopByHop are the fields that belong to one connection (RFC 9110, 7.6.1).
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

// controlFields are the fields that only the system's own processes set.
var controlFields = []string{
	HeaderOutcome, HeaderJobID, HeaderTaskID, HeaderAttempt, HeaderIncarnation, HeaderLeaseMS,
	HeaderTables, HeaderRoute, HeaderPool,
}

// StripControl removes the system's own fields from what came from outside.
func StripControl(h http.Header) {
	for _, name := range controlFields {
		h.Del(name)
	}
}

// Once keeps net/http from sending the request again by itself: it would do so
// for some requests when a kept connection closes before the answer.
func Once(r *http.Request) {
	if !resendable(r) {
		return
	}
	r.GetBody = nil
	body := r.Body
	if body == nil {
		body = http.NoBody
	}
	r.Body = onceBody{body}
}

// resendable reports whether net/http takes the request for idempotent.
func resendable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get(HeaderIdempotencyKey) != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// onceBody hides that a body is empty or can be read again.
type onceBody struct{ io.ReadCloser }

// flushBytes is the size of the copy buffer; each read is flushed on.
const flushBytes = 32 << 10

// CopyResponse writes res to w, flushing as it streams. The error is that of
// the body's copy: the answer was cut.
func CopyResponse(w http.ResponseWriter, res *http.Response) error {
	CopyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	return copyFlush(w, res.Body)
}

func copyFlush(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, flushBytes)
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
