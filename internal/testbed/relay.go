package testbed

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction is one way through a relay.
type Direction uint8

// The directions.
const (
	// Forward is from the side that dialed.
	Forward Direction = iota
	// Backward is to the side that dialed.
	Backward

	directions = 2
)

// Relay carries TCP connections to a target and can fall silent, as a network
// does: nothing is closed, bytes just don't arrive. Bytes held back while it
// is cut arrive after Heal, as TCP would send them again.
type Relay struct {
	ln     net.Listener
	target string

	mu     sync.Mutex // guards all below; cond is signalled on each change
	cond   *sync.Cond
	held   [directions]bool
	delay  time.Duration
	conns  map[*relayConn]bool
	closed bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	near, far net.Conn
	lost      bool // guarded by Relay.mu: silent for good
}

// NewRelay listens on a loopback address for connections to target.
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

// Addr returns the address to dial in place of the target's.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut holds back the bytes of the given directions, of old and new
// connections.
func (r *Relay) Cut(dirs ...Direction) {
	r.change(func() {
		for _, d := range dirs {
			r.held[d] = true
		}
	})
}

// Heal lets all bytes pass without delay. Connections that Lose made silent
// stay so.
func (r *Relay) Heal() {
	r.change(func() {
		r.held = [directions]bool{}
		r.delay = 0
	})
}

// Slow delays each chunk of bytes in both directions.
func (r *Relay) Slow(d time.Duration) { r.change(func() { r.delay = d }) }

// Lose makes the open connections silent for good, while new ones work.
func (r *Relay) Lose() {
	r.change(func() {
		for c := range r.conns {
			c.lost = true
		}
	})
}

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.change(func() {
		r.closed = true
		for c := range r.conns {
			c.close()
		}
	})
	r.ln.Close()
}

func (r *Relay) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.cond.Broadcast()
}

func (r *Relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

func (r *Relay) carry(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	c := &relayConn{near: near, far: far}
	r.mu.Lock()
	if r.closed {
		c.close()
	}
	r.conns[c] = true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(c, Forward, far, near) })
	wg.Go(func() { r.pump(c, Backward, near, far) })
	wg.Wait()
	r.change(func() { delete(r.conns, c) })
}

func (c *relayConn) close() {
	c.near.Close()
	c.far.Close()
}

const relayBufferBytes = 32 << 10

// pump copies one direction. The end of the source is passed on like bytes.
func (r *Relay) pump(c *relayConn, d Direction, dst io.Writer, src io.Reader) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.await(c, d) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// await waits until the direction is open; it reports false where the
// connection is silent for good.
func (r *Relay) await(c *relayConn, d Direction) bool {
	r.mu.Lock()
	for r.held[d] && !c.lost && !r.closed {
		r.cond.Wait()
	}
	delay := r.delay
	lost := c.lost
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !lost
}
