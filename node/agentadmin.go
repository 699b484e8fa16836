package node

import (
	"expvar"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// serveAgentAdmin serves an agent's /healthz and /debug/vars at addr; if addr is
// empty, it serves nothing. The returned function closes the server.
func serveAgentAdmin(g *errgroup.Group, addr string) (func(), error) {
	if addr == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.Go(func() error { return ignoreServerClosed(srv.Serve(ln)) })
	return func() { srv.Close() }, nil
}
