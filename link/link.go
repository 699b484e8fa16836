// Package link carries typed messages between the system's processes: frames
// of msgpack over TCP, with heartbeats on idle links, detection of silence,
// and reconnection. A link gives no delivery guarantee beyond order: what was
// sent on a link that went down may or may not have arrived.
package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// ErrDown says that the link is down; nothing of the message was sent.
var ErrDown = errors.New("link is down: the message was not sent")

// ErrBacklog says that the peer takes messages too slowly; nothing of the
// message was sent.
var ErrBacklog = errors.New("link backlog is full: the message was not sent")

// Config holds a link's settings.
type Config struct {
	// Idle is how long a link may be without traffic before a heartbeat.
	Idle time.Duration
	// Silence is how long nothing may arrive before the link is down.
	Silence time.Duration
	// MaxBacklog bounds the bytes that wait to be written.
	MaxBacklog int
	// Dial bounds one attempt to connect; zero means Silence. The first packet
	// to a host without power is lost, and is sent again only after a second.
	Dial time.Duration
	// MaxRedial bounds the wait between two attempts to connect.
	MaxRedial time.Duration
	// Heartbeat returns the heartbeat to send; nil sends an empty one.
	Heartbeat func() *contract.Heartbeat
}

// The defaults of Config.
const (
	DefaultIdle       = 800 * time.Millisecond
	DefaultSilence    = 2 * time.Second
	DefaultMaxBacklog = 64 << 20
	DefaultMaxRedial  = time.Second
)

func (c Config) withDefaults() Config {
	if c.Idle == 0 {
		c.Idle = DefaultIdle
	}
	if c.Silence == 0 {
		c.Silence = DefaultSilence
	}
	if c.MaxBacklog == 0 {
		c.MaxBacklog = DefaultMaxBacklog
	}
	if c.Dial == 0 {
		c.Dial = c.Silence
	}
	if c.MaxRedial == 0 {
		c.MaxRedial = DefaultMaxRedial
	}
	if c.Heartbeat == nil {
		c.Heartbeat = func() *contract.Heartbeat { return &contract.Heartbeat{} }
	}
	return c
}

// Handler takes a link's events. All calls for one link come from one
// goroutine, in order, so they must not block.
type Handler interface {
	// LinkUp comes first, after both sides have said hello.
	LinkUp(l *Link)
	// Receive takes a message that is no reply. A seq other than zero wants
	// one l.Reply.
	Receive(l *Link, seq uint64, m contract.Message)
	// LinkDown comes last.
	LinkDown(l *Link, err error)
}

// Link is one connection between two processes.
type Link struct {
	conn   net.Conn
	cfg    Config
	local  contract.Hello
	remote contract.Hello

	mu      sync.Mutex // guards all below
	pending []byte
	down    error
	seq     uint64
	calls   map[uint64]chan contract.Message
	wake    chan struct{}
	done    chan struct{}
}

func newLink(conn net.Conn, cfg Config, local contract.Hello) *Link {
	return &Link{
		conn:  conn,
		cfg:   cfg.withDefaults(),
		local: local,
		calls: make(map[uint64]chan contract.Message),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// Remote returns the peer's hello.
func (l *Link) Remote() contract.Hello { return l.remote }

// Send queues a message that expects no reply. An error means that nothing
// was sent; nil means that it may arrive.
func (l *Link) Send(m contract.Message) error {
	return l.enqueue(Frame{Message: m})
}

// Reply answers the message that came with seq.
func (l *Link) Reply(seq uint64, m contract.Message) error {
	return l.enqueue(Frame{Seq: seq, Reply: true, Message: m})
}

// Call sends a message and waits for its reply.
func (l *Link) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	ch := make(chan contract.Message, 1)
	l.mu.Lock()
	l.seq++
	seq := l.seq
	l.calls[seq] = ch
	l.mu.Unlock()
	defer l.forget(seq)
	if err := l.enqueue(Frame{Seq: seq, Message: m}); err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		if f, ok := reply.(*contract.Fault); ok {
			return nil, faultError(f)
		}
		return reply, nil
	case <-l.done:
		return nil, l.Err()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Link) forget(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, seq)
}

// Err returns why the link is down, or nil.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// Close takes the link down.
func (l *Link) Close() { l.fail(ErrDown) }

func (l *Link) fail(err error) {
	l.mu.Lock()
	first := l.down == nil
	if first {
		l.down = err
		l.pending = nil
		close(l.done)
	}
	l.mu.Unlock()
	if first {
		l.conn.Close()
	}
}

func (l *Link) enqueue(f Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down != nil {
		return ErrDown
	}
	if len(l.pending) > l.cfg.MaxBacklog {
		return ErrBacklog
	}
	out, err := AppendFrame(l.pending, f)
	if err != nil {
		return err
	}
	l.pending = out
	countSent(f.Message)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// run drives an open link until it is down.
func (l *Link) run(h Handler) error {
	var wg sync.WaitGroup
	wg.Go(l.writeLoop)
	h.LinkUp(l)
	l.fail(l.readLoop(h))
	wg.Wait()
	h.LinkDown(l, l.Err())
	return l.Err()
}

func (l *Link) writeLoop() {
	idle := time.NewTimer(l.cfg.Idle)
	defer idle.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		case <-idle.C:
			metrics.HeartbeatsSent.Add(1)
			l.enqueue(Frame{Message: l.cfg.Heartbeat()})
		}
		if err := l.flush(); err != nil {
			l.fail(err)
			return
		}
		idle.Reset(l.cfg.Idle)
	}
}

// flush writes all that is pending with one write.
func (l *Link) flush() error {
	l.mu.Lock()
	out := l.pending
	l.pending = nil
	l.mu.Unlock()
	if len(out) == 0 {
		return nil
	}
	l.conn.SetWriteDeadline(time.Now().Add(l.cfg.Silence))
	n, err := l.conn.Write(out)
	metrics.LinkBytesSent.Add(int64(n))
	return err
}

const readBufferBytes = 4 << 10

func (l *Link) readLoop(h Handler) error {
	r := bufio.NewReaderSize(countingReader{l.conn}, readBufferBytes)
	for {
		l.conn.SetReadDeadline(time.Now().Add(l.cfg.Silence))
		f, err := ReadFrame(r)
		if err != nil {
			return err
		}
		l.countReceived(f.Message)
		if f.Reply {
			l.deliver(f)
			continue
		}
		h.Receive(l, f.Seq, f.Message)
	}
}

// countingReader counts the bytes read.
type countingReader struct{ r io.Reader }

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	metrics.LinkBytesReceived.Add(int64(n))
	return n, err
}

func (l *Link) deliver(f Frame) {
	l.mu.Lock()
	ch := l.calls[f.Seq]
	l.mu.Unlock()
	if ch != nil {
		select {
		case ch <- f.Message:
		default:
		}
	}
}

// handshake exchanges hellos.
func (l *Link) handshake() error {
	out, err := AppendFrame(nil, Frame{Message: &l.local})
	if err != nil {
		return err
	}
	l.conn.SetDeadline(time.Now().Add(l.cfg.Silence))
	if _, err := l.conn.Write(out); err != nil {
		return err
	}
	f, err := ReadFrame(l.conn)
	if err != nil {
		return err
	}
	hello, ok := f.Message.(*contract.Hello)
	if !ok {
		return errors.New("the peer did not say hello: check that the address is a carawayd link address")
	}
	l.remote = *hello
	return l.conn.SetDeadline(time.Time{})
}
