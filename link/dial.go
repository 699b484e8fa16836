package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// minRedial is the first wait between two attempts to connect; it doubles.
const minRedial = 50 * time.Millisecond

// Dialer keeps one link to an address, and opens a new one when it goes down.
type Dialer struct {
	Addr    string
	Local   contract.Hello
	Config  Config
	Handler Handler

	mu  sync.Mutex // guards cur
	cur *Link
}

// Run dials until ctx is done.
func (d *Dialer) Run(ctx context.Context) error {
	longest := d.Config.withDefaults().MaxRedial
	wait := minRedial
	for ctx.Err() == nil {
		if d.once(ctx) {
			wait = minRedial
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, longest)
	}
	return nil
}

// once opens one link and runs it; it reports whether the link came up.
func (d *Dialer) once(ctx context.Context) bool {
	cfg := d.Config.withDefaults()
	nd := net.Dialer{Timeout: cfg.Dial}
	conn, err := nd.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return false
	}
	l := newLink(conn, cfg, d.Local)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.handshake(); err != nil {
		l.fail(err)
		return false
	}
	d.set(l)
	defer d.set(nil)
	l.run(d.Handler)
	return true
}

func (d *Dialer) set(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cur = l
}

// Link returns the open link, or nil.
func (d *Dialer) Link() *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cur
}

// Call calls over the open link.
func (d *Dialer) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	l := d.Link()
	if l == nil {
		return nil, ErrDown
	}
	return l.Call(ctx, m)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
