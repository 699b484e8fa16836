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
	Local   contract.Hello
	Config  Config
	Handler Handler
}

// Serve accepts until ctx is done, then closes the links and waits for them.
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
			sleep(ctx, minRedial)
			continue
		}
		wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	l := newLink(conn, s.Config, s.Local)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.handshake(); err != nil {
		l.fail(err)
		return
	}
	l.run(s.Handler)
}
