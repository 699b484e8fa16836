package testbed

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through a Relay.
type Direction uint8

// The directions of traffic.
const (
	// Forward is the direction from the client, which dialed, to the server.
	Forward Direction = iota
	// Backward is the direction from the server to the client.
	Backward

	numDirections = 2
)

// Relay forwards TCP connections to a target and can simulate a network partition:
// no connection is closed, but bytes do not arrive. Bytes that were blocked by Cut
// arrive after Heal, as they would when TCP retransmits them.
type Relay struct {
	ln     net.Listener
	target string

	mu      sync.Mutex // guards the fields below; cond is signaled on each change
	cond    *sync.Cond
	blocked [numDirections]bool
	delay   time.Duration
	conns   map[*relayConn]bool
	closed  bool
}

// relayConn is a connection through a Relay.
type relayConn struct {
	client, server net.Conn
	blackholed     bool // guarded by Relay.mu; no bytes pass any more
}

// NewRelay returns a Relay that listens on a loopback address and forwards
// connections to target.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target, conns: make(map[*relayConn]bool)}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr returns the address to dial instead of the target's.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut blocks the bytes in the given directions, on open and new connections, until
// Heal is called.
func (r *Relay) Cut(dirs ...Direction) {
	r.update(func() {
		for _, d := range dirs {
			r.blocked[d] = true
		}
	})
}

// Heal undoes Cut and Slow. Connections that BlackholeConns has silenced stay
// silent.
func (r *Relay) Heal() {
	r.update(func() {
		r.blocked = [numDirections]bool{}
		r.delay = 0
	})
}

// Slow delays each chunk of bytes by d, in both directions.
func (r *Relay) Slow(d time.Duration) { r.update(func() { r.delay = d }) }

// BlackholeConns silences the open connections permanently without closing them.
// New connections work.
func (r *Relay) BlackholeConns() {
	r.update(func() {
		for c := range r.conns {
			c.blackholed = true
		}
	})
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.update(func() {
		r.closed = true
		for c := range r.conns {
			c.close()
		}
	})
	r.ln.Close()
}

// update changes the state by calling f with mu held, and wakes all waiters.
func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.cond.Broadcast()
}

func (r *Relay) accept() {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	c := &relayConn{client: client, server: server}
	r.mu.Lock()
	if r.closed {
		c.close()
	}
	r.conns[c] = true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyDirection(c, Forward, server, client) })
	wg.Go(func() { r.copyDirection(c, Backward, client, server) })
	wg.Wait()
	r.update(func() { delete(r.conns, c) })
}

func (c *relayConn) close() {
	c.client.Close()
	c.server.Close()
}

const relayBufferBytes = 32 << 10

// copyDirection copies the bytes of one direction. The end of src is subject to the
// same blocking and delay as its bytes, and then closes the connection.
func (r *Relay) copyDirection(c *relayConn, d Direction, dst io.Writer, src io.Reader) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.waitUntilOpen(c, d) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// waitUntilOpen waits until the direction is not blocked, and then for the delay.
// It returns false if the connection is blackholed.
func (r *Relay) waitUntilOpen(c *relayConn, d Direction) bool {
	r.mu.Lock()
	for r.blocked[d] && !c.blackholed && !r.closed {
		r.cond.Wait()
	}
	delay := r.delay
	blackholed := c.blackholed
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !blackholed
}
