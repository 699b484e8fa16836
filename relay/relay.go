// Package relay connects processes to control hosts that they can't reach directly. On
// the same address it passes on the links that agents open to the entry itself.
// A relay copies the bytes of a link in both directions and does not look at them:
// heartbeats, stamps and sequence numbers hold from end to end, and a link that
// breaks at the relay is a link that went down for both ends.
package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

const (
	// MaxLinks is the maximum number of links that a relay carries at once.
	MaxLinks = 256
	// openTimeout limits the time until the first message of a connection has
	// arrived, and that to connect to the control host.
	openTimeout = 250 * time.Millisecond
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 4 << 10
)

// Server relays links to control hosts.
type Server struct {
	// Allowed reports whether links to the control host at an address are relayed.
	Allowed func(addr string) bool
	// Links runs the link of an agent that sent Hello as its first message, until the
	// link is down. Nil refuses such links.
	Links func(ctx context.Context, conn net.Conn, hello *contract.Hello)
	// Dial connects to a control host. The default dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// IdleTimeout is the time without bytes after which a direction, and with it the
	// link, is closed. It must be longer than the heartbeat interval of links.
	IdleTimeout time.Duration
	Log         logr.Logger

	links atomic.Int64
}

// Serve accepts connections on ln and relays them until ctx is done. It then closes
// ln and all connections, and returns nil.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Info("accepting a relay connection failed", "err", err)
			continue
		}
		if s.links.Add(1) > MaxLinks {
			s.links.Add(-1)
			s.Log.Info("relay connection refused: too many links", "links", MaxLinks, "from", conn.RemoteAddr().String())
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer s.links.Add(-1)
			s.serveConn(ctx, conn)
		})
	}
}

// serveConn relays one link until either end closes it.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	first, err := s.readFirst(conn)
	if hello, ok := first.(*contract.Hello); ok && s.Links != nil && slices.Contains(hello.Roles, contract.RoleAgent) {
		s.Links(ctx, conn, hello)
		return
	}
	var hub net.Conn
	if err == nil {
		hub, err = s.open(ctx, first)
	}
	if err != nil {
		telemetry.RelayLinks.WithLabelValues("refused").Inc()
		s.Log.V(1).Info("link not relayed", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	defer hub.Close()
	stopHub := context.AfterFunc(ctx, func() { hub.Close() })
	defer stopHub()
	telemetry.RelayLinks.WithLabelValues("opened").Inc()
	s.Log.Info("link relayed", "from", conn.RemoteAddr().String(), "hub", hub.RemoteAddr().String())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.copyBytes(conn, hub)
	}()
	s.copyBytes(hub, conn)
	<-done
}

// readFirst reads the first message of a new connection.
func (s *Server) readFirst(conn net.Conn) (contract.Message, error) {
	if err := conn.SetReadDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, err
	}
	f, err := link.ReadFrame(conn)
	return f.Message, err
}

// open connects to the control host that the first message names.
func (s *Server) open(ctx context.Context, first contract.Message) (net.Conn, error) {
	open, ok := first.(*contract.RelayOpen)
	if !ok {
		return nil, errors.New("the first message asks for no control host: dial the relay address only to reach one")
	}
	if !s.Allowed(open.Hub) {
		return nil, errors.New("this process has no link to the control host " + open.Hub + ": try another relay")
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if s.Dial != nil {
		return s.Dial(ctx, open.Hub)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", open.Hub)
}

// copyBytes copies from src to dst until a read or write fails, and then closes both.
func (s *Server) copyBytes(dst, src net.Conn) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, bufferBytes)
	for {
		if src.SetReadDeadline(time.Now().Add(s.IdleTimeout)) != nil {
			return
		}
		n, err := src.Read(buf)
		if n > 0 {
			if dst.SetWriteDeadline(time.Now().Add(s.IdleTimeout)) != nil {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
			telemetry.RelayBytes.Add(float64(n))
		}
		if err != nil {
			return
		}
	}
}
