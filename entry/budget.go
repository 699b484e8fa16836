package entry

import "sync"

// The retry budget: each single request earns retryShare of a retry, up to
// retryReserve.
const (
	retryShare   = 0.1
	retryReserve = 10.0
)

// retryBudget bounds retries to a share of the traffic.
type retryBudget struct {
	mu     sync.Mutex // guards earned
	earned float64
	primed bool
}

// request earns a share of a retry. The first one fills the reserve.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.primed {
		b.primed = true
		b.earned = retryReserve
	}
	b.earned = min(b.earned+retryShare, retryReserve)
}

// spend takes one retry, and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < 1 {
		return false
	}
	b.earned--
	return true
}
