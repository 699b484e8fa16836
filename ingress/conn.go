package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// connBytes is the memory of an open connection without a request: the buffers and the
// stacks of the goroutines that serve it.
const connBytes = 24 << 10

// requestLineBytes is what a head may have beside its fields: the request line.
const requestLineBytes = 4 << 10

// lingerTimeout and lingerBytes limit what is read from a client whose request was refused,
// so that it gets the answer before the connection is reset.
const (
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// conn is a connection of a client. It follows the head of each request as it is read, since
// net/http parses a head before a handler runs.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex // guards the fields below
	activity
	head headScanner
	// headHeld is the memory that is reserved for the head.
	headHeld int64
	// hold is the memory of the request that is being handled, or nil.
	hold *Hold
	// closed is set when the connection has left the server's list.
	closed bool
}

// errRefused ends a connection on which a request was refused. net/http answers no error
// of this type.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// Read implements net.Conn. It is not called concurrently.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if status := c.receive(p[:n]); status != 0 {
			c.refuse(status)
			return 0, errRefused
		}
	}
	return n, err
}

// receive counts bytes that have arrived. It returns the status of a refusal if a head
// exceeds its limit or the memory is full, and else zero.
func (c *conn) receive(p []byte) int {
	c.mu.Lock()
	now := time.Now()
	if c.phase == phaseIdle {
		c.phase, c.since, c.received = phaseHead, now, 0
	}
	c.heardAt = now
	c.received += int64(len(p))
	if c.phase != phaseHead {
		c.mu.Unlock()
		return 0
	}
	c.head.feed(p)
	size, cost := c.head.bytes, c.head.cost()
	more := cost - c.headHeld
	if c.head.ended {
		c.phase = phaseBody
	}
	c.mu.Unlock()
	if size > c.server.limits().MaxHeaderBytes+requestLineBytes {
		c.server.refusals.record(reasonHeaderSize)
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.server.reserve(more, cost) {
		c.server.refusals.record(reasonMemory)
		return http.StatusServiceUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headHeld += more
	c.held += more
	return 0
}

// refuse answers a request whose head has not been read.
func (c *conn) refuse(status int) {
	writeRefusal(c.Conn, status, c.server.cfg.RefusalHeader)
	linger(c.Conn)
}

// writeRefusal writes a whole answer to the connection of a request that was not read.
func writeRefusal(to net.Conn, status int, header http.Header) {
	_ = to.SetWriteDeadline(time.Now().Add(lingerTimeout))
	fmt.Fprintf(to, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		fmt.Fprintf(to, "Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = header.Write(to)
	_, _ = io.WriteString(to, "\r\n")
}

// linger ends the writing side, and reads for a short time: the kernel resets a connection
// that is closed with unread bytes, and an answer on its way is lost then.
func linger(conn net.Conn) {
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}

// Write implements net.Conn. A client that takes nothing of its answer for the server's
// WriteTimeout is cut off.
func (c *conn) Write(p []byte) (int, error) {
	if d := c.server.cfg.WriteTimeout; d > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the writing side, which net/http does before it closes a connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.leave()
	c.releaseHead()
	return c.Conn.Close()
}

// leave takes the connection off the server's list, and gives back the memory of the
// connection itself. It reports whether it was on the list.
func (c *conn) leave() bool {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.server.remove(c)
		c.server.memory.release(connBytes)
	}
	return first
}

// releaseHead gives back the memory of the last head.
func (c *conn) releaseHead() {
	c.mu.Lock()
	free := c.headHeld
	c.headHeld = 0
	c.held -= free
	c.mu.Unlock()
	c.server.memory.release(free)
}

// begin records that a handler has begun to work on the request. It reserves memory for
// header lines that were read together with the request before. It returns ErrFull if there
// is none.
func (c *conn) begin(r *http.Request) (*Hold, error) {
	var lines int64
	for _, values := range r.Header {
		lines += int64(len(values))
	}
	c.mu.Lock()
	if c.phase == phaseIdle {
		c.since, c.heardAt, c.received = time.Now(), time.Now(), 0
	}
	c.phase = phaseHandling
	c.head = headScanner{}
	missing := max(0, lines*headerLineBytes-c.headHeld)
	c.mu.Unlock()
	h := &Hold{conn: c, users: 1}
	if err := h.Reserve(missing); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold = h
	return h, nil
}

// end records that the handler has returned. What is left of the body is then read by
// net/http.
func (c *conn) end(h *Hold, bodyLeft bool) {
	c.mu.Lock()
	c.hold = nil
	if bodyLeft {
		c.phase = phaseBody
	}
	c.mu.Unlock()
	h.leave()
}

// rest records that the connection waits for its next request.
func (c *conn) rest() {
	c.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.received, c.served = phaseIdle, time.Now(), 0, true
	c.head = headScanner{}
}

// snapshot returns the activity of the connection, with the memory of its request.
func (c *conn) snapshot() activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.activity
	if c.hold != nil {
		a.held += c.hold.size()
	}
	return a
}

// cutOff closes the connection if it still does what was seen, and reports whether it did.
func (c *conn) cutOff(seen activity) bool {
	c.mu.Lock()
	same := c.phase == seen.phase && c.since.Equal(seen.since)
	c.mu.Unlock()
	if !same || !c.leave() {
		return false
	}
	// The goroutine that reads from the connection gives back the rest of its memory.
	c.Conn.Close()
	return true
}

// body marks the connection as waiting for its client while the body is read.
type body struct {
	io.ReadCloser
	conn *conn
	hold *Hold
	// ended is set once the body has been read to its end, or could not be.
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.setPhase(b.hold, phaseBody)
	n, err := b.ReadCloser.Read(p)
	b.conn.setPhase(b.hold, phaseHandling)
	b.ended = b.ended || err != nil
	return n, err
}

// setPhase sets the phase while the request of the hold is handled. A body may still be read
// when its handler has returned, and the connection has gone on to the next request.
func (c *conn) setPhase(of *Hold, p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hold == of {
		c.phase = p
	}
}
