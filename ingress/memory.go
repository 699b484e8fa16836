package ingress

import "sync"

// memory accounts for the bytes that the requests of a Server hold together: their heads,
// their bodies, and what these are decoded to.
type memory struct {
	limit int64

	mu   sync.Mutex // guards the fields below
	held int64
	// released is closed and replaced when bytes are released.
	released chan struct{}
}

// newMemory returns an account that allows limit bytes.
func newMemory(limit int64) *memory {
	return &memory{limit: limit, released: make(chan struct{})}
}

// total returns the number of bytes that are held.
func (m *memory) total() int64 {
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
func (m *memory) reserve(n, total int64) bool {
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
func (m *memory) release(n int64) {
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
func (m *memory) nextRelease() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released
}
