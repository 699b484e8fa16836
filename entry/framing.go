package entry

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
)

// framingListener watches the bytes of its connections for headers that state
// both a Content-Length and a Transfer-Encoding. net/http drops the length of
// such a request before a handler sees it, but an intermediary may have gone
// by it, and then takes the bytes after the request for another one.
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

// framingContext lets the entry's handler see what its connection's listener
// saw; it is the server's ConnContext.
func framingContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, framingKey{}, conn)
}

// ambiguous reports whether the connection brought a header with both fields.
func ambiguous(ctx context.Context) bool {
	c, ok := ctx.Value(framingKey{}).(*framingConn)
	return ok && c.both.Load()
}

// framingConn scans what is read from a connection.
type framingConn struct {
	*net.TCPConn
	scan framingScan // used by Read alone, which net/http never calls twice at once
	both atomic.Bool
}

// Read implements net.Conn.
func (c *framingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.scan.feed(p[:n]) {
		c.both.Store(true)
	}
	return n, err
}

// The names of the two fields.
var (
	lengthName   = []byte("Content-Length:")
	encodingName = []byte("Transfer-Encoding:")
)

// framingScan looks for a block of lines without an empty one among them that
// has lines of both names. Each header is the end of such a block, whatever
// body went before it, so that none escapes. A body may look like a header:
// that matters only to a chunked request on the same connection.
type framingScan struct {
	line             []byte // the first bytes of the present line
	length, encoding bool   // seen in the present block
}

// feed takes the next bytes, and reports whether a block with both fields
// ended in them.
func (s *framingScan) feed(p []byte) (found bool) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.keep(p)
			return found
		}
		s.keep(p[:i])
		found = s.endLine() || found
		p = p[i+1:]
	}
	return found
}

// keep adds to the present line as much as tells the names apart.
func (s *framingScan) keep(p []byte) {
	room := len(encodingName) - len(s.line)
	s.line = append(s.line, p[:min(room, len(p))]...)
}

func (s *framingScan) endLine() (found bool) {
	line := s.line
	s.line = s.line[:0]
	switch {
	case len(line) == 0 || string(line) == "\r":
		found = s.length && s.encoding
		s.length, s.encoding = false, false
	case begins(line, lengthName):
		s.length = true
	case begins(line, encodingName):
		s.encoding = true
	}
	return found
}

// begins reports whether the line begins with the name, in whatever case.
func begins(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}
