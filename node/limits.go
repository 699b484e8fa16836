package node

import (
	"bytes"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/ingress"
	"github.com/carawaylanding/carawaylanding/settings"
)

const (
	// operatorDivisor is the part of the memory for requests that operators have.
	operatorDivisor = 3
	// answerDivisor is the part of the memory for answers that are kept for resubmissions.
	answerDivisor = 4
	// maxOperatorConns limits the connections of operators, who have at most one part in
	// operatorConnDivisor of all.
	maxOperatorConns    = 256
	operatorConnDivisor = 4
	// operatorWriteTimeout limits each write of an answer to an operator.
	operatorWriteTimeout = 10 * time.Second
	// maxSockets limits the sockets where the operating system allows any number.
	maxSockets = 1 << 16
)

func memoryBytes(cfg settings.Settings) int64 { return int64(cfg.MemoryLimitMB) << 20 }

// requestBytes returns the memory that requests may hold, in bytes.
func requestBytes(cfg settings.Settings) int64 { return ingress.RequestBytes(memoryBytes(cfg)) }

// operatorBytes returns the part of requestBytes for operators.
func operatorBytes(cfg settings.Settings) int64 { return requestBytes(cfg) / operatorDivisor }

// maxConns returns the number of connections of clients.
func maxConns(cfg settings.Settings) int {
	sockets := cfg.MaxSockets
	if sockets == 0 {
		sockets = maxSockets
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < maxSockets {
			sockets = int(limit.Cur)
		}
	}
	return ingress.MaxConns(sockets)
}

// operatorConns returns the part of maxConns for operators.
func operatorConns(cfg settings.Settings) int {
	return min(maxOperatorConns, maxConns(cfg)/operatorConnDivisor)
}

// newAdminServer returns the HTTP server for operators.
func (n *Node) newAdminServer() *ingress.Server {
	limits := contract.ClientLimits{MaxBodyBytes: maxEditBytes}
	return ingress.New(ingress.Config{
		Listener: "admin", Handler: n.adminHandler(), Limits: func() contract.ClientLimits { return limits },
		MemoryBytes: operatorBytes(n.cfg), MaxConns: operatorConns(n.cfg),
		WriteTimeout: operatorWriteTimeout, Log: n.log,
	})
}

const (
	// maxEditObjects limits the rows of an edit, and with them its decoded form.
	maxEditObjects = 100_000
	// editObjectBytes is the memory of a decoded row.
	editObjectBytes = 512
)

// readOrder reads the body of an operator's request, and reserves the memory for its
// decoding.
func readOrder(r *http.Request) (io.Reader, error) {
	body, err := ingress.ReadBody(r, maxEditBytes)
	if err != nil {
		return nil, contract.ErrBadRequest.With("the body could not be read: %v", err)
	}
	objects := bytes.Count(body, []byte{'{'})
	if objects > maxEditObjects {
		return nil, contract.ErrTooLarge.With("the body has %d objects: send at most %d at once", objects, maxEditObjects)
	}
	// The decoder reads from a copy.
	if err := ingress.HoldOf(r.Context()).Reserve(int64(2*len(body) + objects*editObjectBytes)); err != nil {
		return nil, contract.ErrOverload.WithRetryAfter(time.Second, "the memory for requests is used up")
	}
	return bytes.NewReader(body), nil
}

// decodeOrder reads and decodes the body of an operator's request with decode.
func decodeOrder(w http.ResponseWriter, r *http.Request, decode func(io.Reader) error) bool {
	body, err := readOrder(r)
	if err == nil {
		err = decode(body)
	}
	if err != nil {
		entry.WriteError(w, err)
		return false
	}
	return true
}
