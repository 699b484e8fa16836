package entry

import (
	"io"
	"net/http"
	"time"
)

// steadyBody gives each read of a body its own deadline.
type steadyBody struct {
	body  io.Reader
	rc    *http.ResponseController
	stall time.Duration
}

// Read implements io.Reader.
func (b *steadyBody) Read(p []byte) (int, error) {
	b.rc.SetReadDeadline(time.Now().Add(b.stall))
	n, err := b.body.Read(p)
	if err == nil || err == io.EOF {
		b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// steadyWriter gives each write of an answer its own deadline, so that a caller
// that takes nothing holds neither a worker nor a shutdown.
type steadyWriter struct {
	http.ResponseWriter
	rc    *http.ResponseController
	stall time.Duration
	// broken says that the caller did not take a write.
	broken bool
}

// Write implements http.ResponseWriter. The deadline stays for what net/http
// still writes once the handler has returned.
func (w *steadyWriter) Write(p []byte) (int, error) {
	w.rc.SetWriteDeadline(time.Now().Add(w.stall))
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		w.broken = true
	}
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (w *steadyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
