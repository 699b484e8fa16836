package ingress

import "sync"

// Memory accounts for the bytes that the requests of a Server hold together: their heads,
// their bodies, and what these are decoded to.
type Memory struct {
	limit int64

	mu   sync.Mutex // guards the fields below
	held int64
	// released is closed and replaced when bytes are released.
	released chan struct{}
}

// NewMemory returns an account that allows limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, released: make(chan struct{})}
}

// Held returns the number of bytes that are held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Large requests are those that take more than one part in largeDivisor of the memory. They
// leave one part in spareDivisor to the others, so that a few of them keep nobody out.
const (
	largeDivisor = 64
	spareDivisor = 4
)

// reserve holds n more bytes for a request that then holds total, or none if that would
// exceed the limit.
func (m *Memory) reserve(n, total int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if total > m.limit/largeDivisor {
		limit -= m.limit / spareDivisor
	}
	if m.held+n > limit {
		return false
	}
	m.held += n
	return true
}

// release gives back n bytes.
func (m *Memory) release(n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	close(m.released)
	m.released = make(chan struct{})
}

// nextRelease returns a channel that is closed at the next release.
func (m *Memory) nextRelease() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released
}
