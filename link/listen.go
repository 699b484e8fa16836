package link

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Server accepts links on a listener.
type Server struct {
	Local   contract.Hello // sent to each peer in the handshake
	Config  Config
	Handler Handler
}

// Serve accepts links until ctx is done or ln is closed. When ctx is done it
// closes ln and the links. It returns nil once all links are down.
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
			sleep(ctx, minRedialBackoff)
			continue
		}
		wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

// serveConn runs the link on an accepted connection until it is down.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	s.serve(ctx, conn, (*Link).handshake)
}

// ServeAccepted runs the link on a connection whose first message, the peer's Hello,
// has been read, until it is down.
func (s *Server) ServeAccepted(ctx context.Context, conn net.Conn, hello *contract.Hello) {
	s.serve(ctx, conn, func(l *Link) error {
		if err := l.sendHello(); err != nil {
			return err
		}
		return l.acceptHello(hello)
	})
}

func (s *Server) serve(ctx context.Context, conn net.Conn, handshake func(*Link) error) {
	l := newLink(conn, s.Config, s.Local)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := handshake(l); err != nil {
		l.closeWithError(err)
		return
	}
	l.run(s.Handler)
}
