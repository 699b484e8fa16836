package node

import (
	"expvar"
	"net"
	"net/http"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/ingress"
)

// The memory and the connections of an agent's listener for operators, who only read there.
const (
	agentAdminBytes    = 4 << 20
	maxAgentAdminConns = 64
)

// serveAgentAdmin serves an agent's /healthz and /debug/vars at addr; if addr is
// empty, it serves nothing. The returned function closes the server.
func serveAgentAdmin(g *errgroup.Group, addr string, log logr.Logger) (func(), error) {
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
	srv := ingress.New(ingress.Config{Listener: "admin", Handler: mux, MemoryBytes: agentAdminBytes, MaxConns: maxAgentAdminConns, Log: log})
	g.Go(func() error { return srv.Serve(ln) })
	return func() { srv.Close() }, nil
}
