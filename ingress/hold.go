package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrFull means that the memory for requests is used up, so the request was not read or
// not decoded, and nothing of it has run.
var ErrFull = merry.New("the memory for requests is used up: send the request again later")

// Hold is the memory that one request holds. A nil Hold, that of a request which did not
// come through a Server, counts nothing.
type Hold struct {
	conn *conn

	mu    sync.Mutex // guards the fields below
	bytes int64
	// users counts the handler and those that keep the memory beyond its return.
	users int
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// HoldOf returns the Hold of the request with the context, or nil.
func HoldOf(ctx context.Context) *Hold {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold
}

// Reserve holds n more bytes. If the memory is full, clients that stall give way; if that
// frees too little, Reserve returns ErrFull.
func (h *Hold) Reserve(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	if !h.conn.server.reserve(n, h.size()+n) {
		return ErrFull
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += n
	return nil
}

// Release gives back n of the reserved bytes.
func (h *Hold) Release(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.mu.Lock()
	h.bytes -= n
	h.mu.Unlock()
	h.conn.server.memory.release(n)
}

// ShrinkTo gives back all but n of the reserved bytes.
func (h *Hold) ShrinkTo(n int64) {
	if h != nil {
		h.Release(h.size() - n)
	}
}

// Keep holds the memory beyond the return of the handler, until the returned function is
// called.
func (h *Hold) Keep() (release func()) {
	if h == nil {
		return func() {}
	}
	h.mu.Lock()
	h.users++
	h.mu.Unlock()
	return sync.OnceFunc(h.leave)
}

// leave gives back all bytes when the last user leaves.
func (h *Hold) leave() {
	h.mu.Lock()
	h.users--
	var free int64
	if h.users == 0 {
		free, h.bytes = h.bytes, 0
	}
	h.mu.Unlock()
	h.conn.server.memory.release(free)
}

// size returns the number of bytes held.
func (h *Hold) size() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// firstReadBytes is the size of the buffer for a body until more has arrived. What a
// request says of its size takes no memory.
const firstReadBytes = 4 << 10

// ReadBody reads the whole body of a request of at most limit bytes. The memory of the
// body is reserved as it arrives, and held until the request ends. ReadBody returns
// ErrFull, an *http.MaxBytesError, or the error of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// One byte more tells a body of limit bytes from a longer one.
	data, err := ReadUpTo(r, limit+1)
	switch {
	case int64(len(data)) > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case err == io.EOF:
		return data, nil
	}
	return nil, err
}

// ReadUpTo reads the first limit bytes of a body, with their memory reserved as in
// ReadBody. The error is nil if there may be more, and io.EOF after the whole body.
func ReadUpTo(r *http.Request, limit int64) ([]byte, error) {
	hold := HoldOf(r.Context())
	var buf []byte
	for int64(len(buf)) < limit {
		if len(buf) == cap(buf) {
			grown := nextSize(int64(cap(buf)), r.ContentLength, limit)
			if err := hold.Reserve(grown); err != nil {
				return nil, err
			}
			old := int64(cap(buf))
			buf = append(make([]byte, 0, grown), buf...)
			hold.Release(old)
		}
		n, err := r.Body.Read(buf[len(buf):min(int64(cap(buf)), limit)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// nextSize returns the size of the buffer after one of size bytes that is full: twice as
// much, but no more than one byte above the announced length or, without one, the limit.
// The byte more lets the end of the body be read without another buffer.
func nextSize(size, announced, limit int64) int64 {
	end := limit
	if announced >= 0 {
		end = announced
	}
	return min(max(2*size, firstReadBytes), end+1)
}
