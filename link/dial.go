package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// minRedialBackoff is the first backoff before connecting again. It is short against a
// start of a process: when all processes start at once, most dial a peer that listens a
// few milliseconds later. The backoff doubles with each failed attempt, up to
// Config.MaxRedialBackoff; the actual wait is random, between 0.5 and 1.5 times the
// backoff. A Server waits for minRedialBackoff after a failed Accept.
const minRedialBackoff = 15 * time.Millisecond

// Dialer maintains one link to an address and reconnects when it goes down.
type Dialer struct {
	Addr  string         // TCP address of the peer
	Local contract.Hello // sent to the peer in the handshake
	// Relay returns the address of the relay through which the next attempt
	// connects. Nil means that the peer is dialled directly.
	Relay   func() string
	Config  Config
	Handler Handler

	mu      sync.Mutex // guards current
	current *Link      // nil while no link is open
}

// Run connects and reconnects until ctx is done. It then closes the link and
// returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	maxBackoff := d.Config.withDefaults().MaxRedialBackoff
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		if d.dialAndRun(ctx) {
			backoff = minRedialBackoff
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// dialAndRun opens a link and runs it until it is down. It reports whether the
// handshake succeeded and the link came up.
func (d *Dialer) dialAndRun(ctx context.Context) bool {
	cfg := d.Config.withDefaults()
	conn, err := d.dial(ctx, cfg.DialTimeout)
	if err != nil {
		return false
	}
	l := newLink(conn, cfg, d.Local)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.handshake(); err != nil {
		l.closeWithError(err)
		return false
	}
	d.setCurrent(l)
	defer d.setCurrent(nil)
	l.run(d.Handler)
	return true
}

// dial connects to the peer, directly or through a relay.
func (d *Dialer) dial(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if d.Relay == nil {
		return dialer.DialContext(ctx, "tcp", d.Addr)
	}
	conn, err := dialer.DialContext(ctx, "tcp", d.Relay())
	if err != nil {
		return nil, err
	}
	open, err := AppendFrame(nil, Frame{Message: &contract.RelayOpen{Hub: d.Addr}})
	if err == nil {
		conn.SetWriteDeadline(time.Now().Add(timeout))
		_, err = conn.Write(open)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func (d *Dialer) setCurrent(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = l
}

// Link returns the open link, or nil if there is none.
func (d *Dialer) Link() *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// Call calls Link.Call on the open link. It returns ErrDown if no link is open.
func (d *Dialer) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	l := d.Link()
	if l == nil {
		return nil, ErrDown
	}
	return l.Call(ctx, m)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
