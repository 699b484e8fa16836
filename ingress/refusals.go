package ingress

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// reason says why a request was refused or a connection closed, in metrics and log lines.
type reason string

const (
	reasonHeaderSize  reason = "header-size"
	reasonBodySize    reason = "body-size"
	reasonMemory      reason = "memory"
	reasonConnections reason = "connections"
	// reasonYielded: the connection gave way to others.
	reasonYielded       reason = "yielded"
	reasonHeaderTimeout reason = "header-timeout"
	reasonBodyTimeout   reason = "body-timeout"
	reasonIdle          reason = "idle"
)

// logInterval is the shortest time between two log lines for one reason.
const logInterval = 10 * time.Second

// refusals counts refused requests and closed connections, and logs a bounded number of
// them.
type refusals struct {
	listener string
	log      logr.Logger

	mu sync.Mutex // guards the fields below
	// loggedAt is when the reason was last logged, and unlogged the number since.
	loggedAt map[reason]time.Time
	unlogged map[reason]int
}

func newRefusals(listener string, log logr.Logger) *refusals {
	return &refusals{listener: listener, log: log, loggedAt: map[reason]time.Time{}, unlogged: map[reason]int{}}
}

// record counts one refusal.
func (r *refusals) record(why reason) {
	telemetry.ClientsRefused.WithLabelValues(r.listener, string(why)).Inc()
	metrics.ClientsRefused.Add(r.listener+"/"+string(why), 1)
	if why == reasonIdle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[why]++
	now := time.Now()
	if last, ok := r.loggedAt[why]; ok && now.Sub(last) < logInterval {
		return
	}
	r.log.Info("clients refused", "listener", r.listener, "reason", string(why), "count", r.unlogged[why])
	r.loggedAt[why], r.unlogged[why] = now, 0
}
