package entry

import (
	"net"
	"net/http"
	"time"
)

// Bounds of the callers' server.
const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds how slowly a header may arrive.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection may be without a request.
	idleTimeout = 2 * time.Minute
)

// Listen opens the listener that goes with NewServer.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return framingListener{ln.(*net.TCPListener)}, nil
}

// NewServer returns the server of the callers' interface.
func (e *Entry) NewServer() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ConnContext:       framingContext,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}
