package entry

import (
	"net"
	"net/http"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/ingress"
)

// Listen opens a TCP listener for NewServer. Only on connections of this listener
// does the server refuse requests with both a Content-Length and a
// Transfer-Encoding.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return framingListener{ln.(*net.TCPListener)}, nil
}

// NewServer returns the HTTP server for callers. A refusal of a request whose head was not
// read says nothing of its outcome: it may be sent again with an idempotency key, and the
// earlier submission may have run.
func (e *Entry) NewServer() *ingress.Server {
	limits := e.cfg.ClientLimits.Or(contract.ClientLimits{MaxBodyBytes: ingress.DefaultMaxStreamBytes})
	return ingress.New(ingress.Config{
		Listener: "callers", Handler: e.Handler(), ConnContext: framingContext,
		Limits:      func() contract.ClientLimits { return limits },
		MemoryBytes: e.cfg.RequestBytes, MaxConns: e.cfg.MaxConns,
		RefusalHeader: http.Header{forward.HeaderOutcome: {contract.OutcomeUnknown.String()}},
		Refuse:        refuseRequest, Log: e.cfg.Log,
	})
}

// refuseRequest answers a request that is refused before it is handled.
func refuseRequest(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusRequestEntityTooLarge {
		WriteError(w, errBodyTooLarge())
		return
	}
	WriteError(w, fullError(r))
}
