// Package link carries typed messages between the processes of the system.
// Messages are encoded with msgpack and sent in frames over TCP. A link sends
// heartbeats while it is idle and goes down if nothing arrives for some time; a
// Dialer then reconnects. The only delivery guarantee is order: a message that
// was sent on a link that went down may or may not have arrived.
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

// ErrDown means that the link was down, so no part of the message was sent.
var ErrDown = errors.New("link is down: the message was not sent")

// ErrClosed is why a link is down after Close. A Call that waited for its reply then
// returns it, and its message may have arrived.
var ErrClosed = errors.New("link was closed: the message may have arrived")

// ErrBacklogFull means that too many bytes wait to be written because the peer reads
// too slowly. No part of the message was sent.
var ErrBacklogFull = errors.New("link backlog is full: the message was not sent")

// Config holds a link's settings. A zero field has its default.
type Config struct {
	// HeartbeatInterval is how long a link may send nothing before it sends a heartbeat.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long nothing may arrive, and how long a write or the
	// handshake may take, before the link goes down.
	SilenceTimeout time.Duration
	// MaxBacklogBytes is the number of bytes waiting to be written above which no
	// message is queued.
	MaxBacklogBytes int
	// DialTimeout is the timeout of one attempt to connect; its default is
	// SilenceTimeout. The first packet to a host that is switched off is lost, and TCP
	// retransmits it only after a second, so a shorter timeout reconnects sooner once
	// the host is back.
	DialTimeout time.Duration
	// MaxRedialBackoff is the maximum backoff between two attempts to connect, before
	// it is randomized by a factor of 0.5 to 1.5.
	MaxRedialBackoff time.Duration
	// Heartbeat returns the heartbeat to send. The default is an empty one.
	Heartbeat func() *contract.Heartbeat
}

// The defaults of Config. DefaultMaxBacklogBytes is in bytes.
const (
	DefaultHeartbeatInterval = 800 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultMaxBacklogBytes   = 64 << 20
	DefaultMaxRedialBackoff  = time.Second
)

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.SilenceTimeout == 0 {
		c.SilenceTimeout = DefaultSilenceTimeout
	}
	if c.MaxBacklogBytes == 0 {
		c.MaxBacklogBytes = DefaultMaxBacklogBytes
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = c.SilenceTimeout
	}
	if c.MaxRedialBackoff == 0 {
		c.MaxRedialBackoff = DefaultMaxRedialBackoff
	}
	if c.Heartbeat == nil {
		c.Heartbeat = func() *contract.Heartbeat { return &contract.Heartbeat{} }
	}
	return c
}

// Handler handles the events of a link. All methods for one link are called in
// order by the goroutine that reads from the link, so they must not block.
type Handler interface {
	// LinkUp is called first, after both sides have sent their Hello.
	LinkUp(l *Link)
	// Receive is called with each message that is not a reply. If seq is not zero,
	// the peer expects exactly one reply, sent with l.Reply(seq, ...).
	Receive(l *Link, seq uint64, m contract.Message)
	// LinkDown is called last, with the reason why the link went down.
	LinkDown(l *Link, err error)
}

// Link is one connection between two processes.
type Link struct {
	conn   net.Conn
	cfg    Config
	local  contract.Hello
	remote contract.Hello

	mu      sync.Mutex                       // guards backlog, queued, taken, downErr, seq and calls
	backlog []byte                           // encoded frames that wait to be written
	queued  uint64                           // number of frames that were added to backlog
	taken   uint64                           // number of these that were taken from it to be written
	downErr error                            // why the link is down; nil while it is up
	seq     uint64                           // sequence number of the last call
	calls   map[uint64]chan contract.Message // calls that wait for a reply, by sequence number
	wake    chan struct{}                    // capacity 1; wakes writeLoop if backlog is not empty
	done    chan struct{}                    // closed when the link is down
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

// Remote returns the peer's Hello.
func (l *Link) Remote() contract.Hello { return l.remote }

// Send queues a message that expects no reply. If it returns an error, no part of
// the message was sent; otherwise the message may or may not arrive.
func (l *Link) Send(m contract.Message) error {
	_, err := l.enqueue(Frame{Message: m})
	return err
}

// Reply queues the reply to the message that was received with seq. Its errors are
// those of Send.
func (l *Link) Reply(seq uint64, m contract.Message) error {
	_, err := l.enqueue(Frame{Seq: seq, Reply: true, Message: m})
	return err
}

// Call sends a message and waits for its reply. If the reply is a Fault, Call
// returns the error that it carries. ErrDown and ErrBacklogFull mean that no part of
// the message was sent; the link may have gone down while the message was queued.
// After any other error it may have arrived.
func (l *Link) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	ch := make(chan contract.Message, 1)
	l.mu.Lock()
	l.seq++
	seq := l.seq
	l.calls[seq] = ch
	l.mu.Unlock()
	defer l.removeCall(seq)
	number, err := l.enqueue(Frame{Seq: seq, Message: m})
	if err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		if f, ok := reply.(*contract.Fault); ok {
			return nil, faultError(f)
		}
		return reply, nil
	case <-l.done:
		return nil, l.callError(number, l.Err())
	case <-ctx.Done():
		return nil, l.callError(number, ctx.Err())
	}
}

// callError returns the error of a call that got no reply: ErrDown if the link went
// down before the frame with the number was taken from the backlog, and otherwise err.
func (l *Link) callError(number uint64, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.downErr != nil && number > l.taken {
		return ErrDown
	}
	return err
}

func (l *Link) removeCall(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, seq)
}

// Err returns why the link is down, or nil if it is up.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.downErr
}

// Close takes the link down. Messages that were queued but not written are dropped.
func (l *Link) Close() { l.closeWithError(ErrClosed) }

// closeWithError takes the link down because of err. Calls after the first have no
// effect.
func (l *Link) closeWithError(err error) {
	l.mu.Lock()
	first := l.downErr == nil
	if first {
		l.downErr = err
		l.backlog = nil
		close(l.done)
	}
	l.mu.Unlock()
	if first {
		l.conn.Close()
	}
}

// enqueue appends the frame to the backlog and wakes writeLoop. It returns the number
// of the frame, or ErrDown, ErrBacklogFull or an error of AppendFrame.
func (l *Link) enqueue(f Frame) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.downErr != nil {
		return 0, ErrDown
	}
	if len(l.backlog) > l.cfg.MaxBacklogBytes {
		return 0, ErrBacklogFull
	}
	out, err := AppendFrame(l.backlog, f)
	if err != nil {
		return 0, err
	}
	l.backlog = out
	l.queued++
	countSent(f.Message)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return l.queued, nil
}

// run reads and writes until the link is down and calls the handler for its
// events. The handshake must have succeeded.
func (l *Link) run(h Handler) error {
	var wg sync.WaitGroup
	wg.Go(l.writeLoop)
	h.LinkUp(l)
	l.closeWithError(l.readLoop(h))
	wg.Wait()
	h.LinkDown(l, l.Err())
	return l.Err()
}

// writeLoop writes the backlog, and heartbeats while the link is idle,
// until the link is down.
func (l *Link) writeLoop() {
	idle := time.NewTimer(l.cfg.HeartbeatInterval)
	defer idle.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		case <-idle.C:
			metrics.HeartbeatsSent.Add(1)
			_ = l.Send(l.cfg.Heartbeat())
		}
		if err := l.flush(); err != nil {
			l.closeWithError(err)
			return
		}
		idle.Reset(l.cfg.HeartbeatInterval)
	}
}

// flush writes the whole backlog with a single write.
func (l *Link) flush() error {
	l.mu.Lock()
	out := l.backlog
	l.backlog = nil
	if len(out) > 0 {
		l.taken = l.queued
	}
	l.mu.Unlock()
	if len(out) == 0 {
		return nil
	}
	l.conn.SetWriteDeadline(time.Now().Add(l.cfg.SilenceTimeout))
	n, err := l.conn.Write(out)
	metrics.LinkBytesSent.Add(int64(n))
	return err
}

const readBufferBytes = 4 << 10

// readLoop passes replies to their calls and all other messages to the handler,
// until reading fails. It returns that error.
func (l *Link) readLoop(h Handler) error {
	r := bufio.NewReaderSize(countingReader{l.conn}, readBufferBytes)
	for {
		l.conn.SetReadDeadline(time.Now().Add(l.cfg.SilenceTimeout))
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

// countingReader adds the bytes read to the metric of bytes received on links.
type countingReader struct{ r io.Reader }

// Read reads from the underlying reader and counts the bytes.
func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	metrics.LinkBytesReceived.Add(int64(n))
	return n, err
}

// deliver passes a reply to its call. It drops the reply if the call has ended or
// already has a reply.
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

// handshake exchanges Hello messages with the peer.
func (l *Link) handshake() error {
	if err := l.sendHello(); err != nil {
		return err
	}
	f, err := ReadFrame(l.conn)
	if err != nil {
		return err
	}
	hello, ok := f.Message.(*contract.Hello)
	if !ok {
		return errors.New("the peer did not send Hello first: check that the address is a carawayd link address")
	}
	return l.acceptHello(hello)
}

// sendHello sends the local Hello. The handshake must end within SilenceTimeout.
func (l *Link) sendHello() error {
	out, err := AppendFrame(nil, Frame{Message: &l.local})
	if err != nil {
		return err
	}
	l.conn.SetDeadline(time.Now().Add(l.cfg.SilenceTimeout))
	_, err = l.conn.Write(out)
	return err
}

// acceptHello records the peer's Hello, which ends the handshake.
func (l *Link) acceptHello(hello *contract.Hello) error {
	l.remote = *hello
	return l.conn.SetDeadline(time.Time{})
}
