package entry

import (
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP server for callers.
const (
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout limits the time to read a request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout limits how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
)

// Listen opens a TCP listener for NewServer. Only on connections of this listener
// does the server refuse requests with both a Content-Length and a
// Transfer-Encoding.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return framingListener{ln.(*net.TCPListener)}, nil
}

// NewServer returns the HTTP server for callers.
func (e *Entry) NewServer() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ConnContext:       framingContext,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}
