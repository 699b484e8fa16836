package entry

import (
	"io"
	"net/http"
	"time"
)

// stallTimeoutReader reads a request body with a separate deadline for each
// read.
type stallTimeoutReader struct {
	body         io.Reader
	rc           *http.ResponseController
	stallTimeout time.Duration
}

// Read implements io.Reader. After an error the read deadline is kept.
func (b *stallTimeoutReader) Read(p []byte) (int, error) {
	b.rc.SetReadDeadline(time.Now().Add(b.stallTimeout))
	n, err := b.body.Read(p)
	if err == nil || err == io.EOF {
		b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stallTimeoutWriter writes an answer with a separate deadline for each write,
// so that a caller that doesn't read its answer blocks neither a worker nor a
// shutdown.
type stallTimeoutWriter struct {
	http.ResponseWriter
	rc           *http.ResponseController
	stallTimeout time.Duration
	// writeFailed means that a write to the caller has failed.
	writeFailed bool
}

// Write implements http.ResponseWriter. The deadline is not removed, so that it
// also applies to what net/http writes after the handler has returned.
func (w *stallTimeoutWriter) Write(p []byte) (int, error) {
	w.rc.SetWriteDeadline(time.Now().Add(w.stallTimeout))
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		w.writeFailed = true
	}
	return n, err
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *stallTimeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
