package entry

import "sync"

// The retry budget of an entry: each single request adds retriesPerRequest to
// the balance, up to maxRetryBalance.
const (
	retriesPerRequest = 0.1
	maxRetryBalance   = 10.0
)

// retryBudget limits retries to a share of the single requests.
type retryBudget struct {
	mu      sync.Mutex // guards the fields below
	balance float64
	filled  bool
}

// earn adds a request's share to the balance. The first call fills the balance.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled {
		b.filled = true
		b.balance = maxRetryBalance
	}
	b.balance = min(b.balance+retriesPerRequest, maxRetryBalance)
}

// spend takes one retry from the balance, and reports whether it sufficed.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
