package entry

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
)

// framingListener scans the bytes of its connections for request headers with
// both a Content-Length and a Transfer-Encoding, which are used for request
// smuggling. net/http removes the Content-Length of such a request before a
// handler sees it. An intermediary that used the Content-Length would take the
// bytes after the request for another request.
type framingListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &framingConn{TCPConn: conn}, nil
}

type framingKey struct{}

// framingContext stores the connection in the context of its requests, so that
// handlers can call ambiguousFraming. It is used as http.Server.ConnContext.
func framingContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, framingKey{}, conn)
}

// ambiguousFraming reports whether a header with both a Content-Length and a
// Transfer-Encoding has been received on the request's connection.
func ambiguousFraming(ctx context.Context) bool {
	c, ok := ctx.Value(framingKey{}).(*framingConn)
	return ok && c.ambiguous.Load()
}

// framingConn scans the bytes that are read from a connection.
type framingConn struct {
	*net.TCPConn
	scanner   framingScanner // used only by Read, which net/http does not call concurrently
	ambiguous atomic.Bool
}

// Read implements net.Conn.
func (c *framingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.scanner.feed(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

// The two header fields that determine the length of a request body.
var (
	lengthName   = []byte("Content-Length:")
	encodingName = []byte("Transfer-Encoding:")
)

// framingScanner detects a block of consecutive non-empty lines that contains
// both fields. Every request header is the end of such a block, whatever body
// precedes it, so none is missed. A body may look like such a header; this
// affects only chunked requests on the same connection, which are then refused.
type framingScanner struct {
	line             []byte // the first bytes of the current line
	length, encoding bool   // seen in the current block
}

// feed scans the next bytes, and reports whether a block with both fields ended
// within them.
func (s *framingScanner) feed(p []byte) (found bool) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.appendToLine(p)
			return found
		}
		s.appendToLine(p[:i])
		found = s.endLine() || found
		p = p[i+1:]
	}
	return found
}

// appendToLine appends p to the current line, up to the length of the longer
// field name.
func (s *framingScanner) appendToLine(p []byte) {
	limit := len(encodingName) - len(s.line)
	s.line = append(s.line, p[:min(limit, len(p))]...)
}

func (s *framingScanner) endLine() (found bool) {
	line := s.line
	s.line = s.line[:0]
	switch {
	case len(line) == 0 || string(line) == "\r":
		found = s.length && s.encoding
		s.length, s.encoding = false, false
	case hasPrefixFold(line, lengthName):
		s.length = true
	case hasPrefixFold(line, encodingName):
		s.encoding = true
	}
	return found
}

// hasPrefixFold reports whether the line begins with the name, ignoring case.
func hasPrefixFold(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}
