// Package ingress serves HTTP to clients that nobody controls. It bounds what all
// connections and requests of a listener hold together: memory, counted from the first
// byte of a head to the decoded body, and descriptors. When a bound is reached, clients
// that keep the server waiting give way to the others, and only then are new requests
// refused. A request that is refused here has not been passed on, so nothing of it runs.
package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// DefaultLimits are the limits on one client unless a configuration sets others.
var DefaultLimits = contract.ClientLimits{
	MaxHeaderBytes: 64 << 10,
	MaxBodyBytes:   1 << 20,
	HeaderTimeout:  10 * time.Second,
	IdleTimeout:    2 * time.Minute,
}

// DefaultMaxStreamBytes replaces the limit on bodies of DefaultLimits where bodies are
// streamed.
const DefaultMaxStreamBytes = 1 << 30

// The defaults of Config.
const (
	DefaultMemoryBytes = 64 << 20
	DefaultMaxConns    = 1024
)

const (
	// sweepInterval is how often connections are checked for timeouts.
	sweepInterval = time.Second
	// roomTimeout is how long a request waits for the memory of clients that give way.
	roomTimeout = 250 * time.Millisecond
	// batchDivisor is the part of the connections that give way at once.
	batchDivisor = 16
	// retryAfterSeconds is when a refused client may come back: clients that stall have
	// given way by then.
	retryAfterSeconds = 1
	// maxTurnedAway is the number of new connections that are answered at once though
	// there is no room for them.
	maxTurnedAway = 16
	// turnAwayBytes is what is read of the request on such a connection.
	turnAwayBytes = 4 << 10
)

// Config holds the settings of a Server.
type Config struct {
	// Listener names the listener in metrics and log lines.
	Listener string
	Handler  http.Handler
	// Limits returns the limits on one client. Its zeros mean DefaultLimits; nil means all
	// of these.
	Limits func() contract.ClientLimits
	// MemoryBytes limits what all requests hold together, and MaxConns the connections. Zero
	// means DefaultMemoryBytes and DefaultMaxConns.
	MemoryBytes int64
	MaxConns    int
	// WriteTimeout limits each write of an answer; zero means that the handler does.
	WriteTimeout time.Duration
	// RefusalHeader is sent with the refusal of a request whose head was not read.
	RefusalHeader http.Header
	// Refuse, if set, answers a request that is refused after its head was read, with status
	// 413 or 503. It must end the connection.
	Refuse func(w http.ResponseWriter, r *http.Request, status int)
	// ConnContext, if set, is that of http.Server, with the connection that the listener
	// has accepted.
	ConnContext func(ctx context.Context, accepted net.Conn) context.Context
	Log         logr.Logger
}

// Server serves one listener.
type Server struct {
	cfg      Config
	http     *http.Server
	memory   *memory
	refusals *refusals
	// turningAway limits the goroutines that refuse new connections.
	turningAway chan struct{}
	done        chan struct{} // closed by Shutdown and Close
	stop        sync.Once

	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}

	yieldMu sync.Mutex // held by makeRoom, so that one request at a time closes others; guards noneBefore
	// noneBefore is a time before which no connection can give way.
	noneBefore time.Time
}

// New returns a server for the settings.
func New(cfg Config) *Server {
	cfg.MemoryBytes = cmp.Or(cfg.MemoryBytes, DefaultMemoryBytes)
	cfg.MaxConns = cmp.Or(cfg.MaxConns, DefaultMaxConns)
	s := &Server{
		cfg: cfg, memory: newMemory(cfg.MemoryBytes), refusals: newRefusals(cfg.Listener, cfg.Log),
		turningAway: make(chan struct{}, maxTurnedAway), done: make(chan struct{}), conns: map[*conn]struct{}{},
	}
	s.http = &http.Server{
		Handler:     http.HandlerFunc(s.serveHTTP),
		ConnContext: s.connContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*conn).rest()
			}
		},
	}
	return s
}

// Serve accepts connections until the server is shut down or closed, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	go s.sweep()
	err := s.http.Serve(&listener{ln, s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops the listener and waits for requests in progress, until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	// Until then, clients that stall are still cut off.
	defer s.stop.Do(func() { close(s.done) })
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.stop.Do(func() { close(s.done) })
	return s.http.Close()
}

// limits returns the limits on one client.
func (s *Server) limits() contract.ClientLimits {
	if s.cfg.Limits == nil {
		return DefaultLimits
	}
	return s.cfg.Limits().Or(DefaultLimits)
}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	if s.cfg.ConnContext != nil {
		ctx = s.cfg.ConnContext(ctx, c.(*conn).Conn)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// serveHTTP passes a request to the handler, unless its body exceeds the limit or there is
// no memory for it.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	hold, err := c.begin(r)
	if err != nil {
		// net/http reads the rest of the body.
		c.setPhase(nil, phaseBody)
		s.refuse(w, r, http.StatusServiceUnavailable, reasonMemory)
		return
	}
	b := &body{ReadCloser: r.Body, conn: c, hold: hold, ended: r.Body == http.NoBody}
	defer func() { c.end(hold, !b.ended) }()
	limit := s.limits().MaxBodyBytes
	if r.ContentLength > limit {
		s.refuse(w, r, http.StatusRequestEntityTooLarge, reasonBodySize)
		return
	}
	if !b.ended {
		b.ReadCloser = http.MaxBytesReader(w, r.Body, limit)
		r.Body = b
	}
	s.cfg.Handler.ServeHTTP(w, r)
}

// refuse answers a request that was not passed on.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, why reason) {
	s.refusals.record(why)
	if s.cfg.Refuse != nil {
		s.cfg.Refuse(w, r, status)
		return
	}
	WriteRefusal(w, status)
}

// WriteRefusal answers a request that was not passed on, and ends its connection, since
// the rest of the request is not read.
func WriteRefusal(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(status)
}

// listener admits the connections of another listener.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(accepted); c != nil {
			return c, nil
		}
		l.server.turnAway(accepted)
	}
}

// admit adds a connection to the list, or returns nil if there is no room for it.
func (s *Server) admit(accepted net.Conn) *conn {
	if s.full() {
		s.makeRoom(0)
		if s.full() {
			s.refusals.record(reasonConnections)
			return nil
		}
	}
	if !s.reserve(connBytes, connBytes) {
		s.refusals.record(reasonMemory)
		return nil
	}
	c := &conn{Conn: accepted, server: s, activity: activity{since: time.Now(), held: connBytes}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.observe()
	return c
}

// full reports whether there is no room for another connection.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.cfg.MaxConns
}

// remove takes a connection off the list.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.observe()
}

// observe updates the gauge of open connections. The caller holds s.mu.
func (s *Server) observe() {
	telemetry.ClientConnections.WithLabelValues(s.cfg.Listener).Set(float64(len(s.conns)))
}

// turnAway refuses a new connection. It answers only a few at once: the others are closed.
func (s *Server) turnAway(accepted net.Conn) {
	select {
	case s.turningAway <- struct{}{}:
	default:
		accepted.Close()
		return
	}
	go func() {
		defer func() { <-s.turningAway }()
		defer accepted.Close()
		_ = accepted.SetReadDeadline(time.Now().Add(lingerTimeout))
		if _, err := accepted.Read(make([]byte, turnAwayBytes)); err != nil {
			return
		}
		writeRefusal(accepted, http.StatusServiceUnavailable, s.cfg.RefusalHeader)
		linger(accepted)
	}()
}

// reserve holds n more bytes for a request that then holds total. If there are none left,
// clients that stall give way.
func (s *Server) reserve(n, total int64) bool {
	if s.memory.reserve(n, total) {
		return true
	}
	if total > s.cfg.MemoryBytes {
		return false
	}
	deadline := time.NewTimer(roomTimeout)
	defer deadline.Stop()
	for {
		released := s.memory.nextRelease()
		if s.memory.reserve(n, total) {
			return true
		}
		if !s.makeRoom(n) {
			return s.memory.reserve(n, total)
		}
		select {
		case <-released:
		case <-deadline.C:
			return s.memory.reserve(n, total)
		}
	}
}

// makeRoom closes connections that give way, so that need bytes or, if need is zero, one
// connection become free. It returns false if none gives way. The memory of a connection is
// released only when the goroutine that serves it has noticed.
func (s *Server) makeRoom(need int64) bool {
	s.yieldMu.Lock()
	defer s.yieldMu.Unlock()
	now := time.Now()
	if now.Before(s.noneBefore) {
		return false
	}
	conns, all := s.activities()
	closed := 0
	for _, k := range chooseYielding(now, all, need, max(1, len(all)/batchDivisor)) {
		if conns[k].cutOff(all[k]) {
			closed++
			s.refusals.record(reasonYielded)
		}
	}
	if closed == 0 {
		s.noneBefore = now.Add(stallGrace / 10)
	}
	return closed > 0
}

// activities returns the connections and what they do.
func (s *Server) activities() ([]*conn, []activity) {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	all := make([]activity, len(conns))
	for i, c := range conns {
		all[i] = c.snapshot()
	}
	return conns, all
}

// sweep closes connections that exceed a timeout, until the server is shut down.
func (s *Server) sweep() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		telemetry.ClientMemory.WithLabelValues(s.cfg.Listener).Set(float64(s.memory.total()))
		now, limits := time.Now(), s.limits()
		conns, all := s.activities()
		for i, c := range conns {
			if why := s.overdue(now, &all[i], limits); why != "" && c.cutOff(all[i]) {
				s.refusals.record(why)
			}
		}
	}
}

// overdue returns which timeout the connection exceeds, or an empty reason.
func (s *Server) overdue(now time.Time, a *activity, limits contract.ClientLimits) reason {
	waited := now.Sub(a.since)
	switch {
	case a.phase == phaseIdle && waited > limits.IdleTimeout:
		return reasonIdle
	case a.phase == phaseHead && waited > limits.HeaderTimeout:
		return reasonHeaderTimeout
	case a.phase == phaseBody && now.Sub(a.heardAt) > limits.IdleTimeout:
		return reasonBodyTimeout
	}
	return ""
}
