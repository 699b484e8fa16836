// Package ringlog writes log lines in the background: a slow output never
// holds up the process. Lines beyond the buffer are dropped and counted.
package ringlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait: a few seconds of a busy hub.
	bufferBytes = 512 << 10
	// flushEvery bounds the writes: each costs a system call.
	flushEvery = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks on its output.
type Writer struct {
	out io.Writer
	// onDrop is called for each line dropped; it may be nil.
	onDrop func()

	mu      sync.Mutex // guards all below
	buf     []byte
	dropped int
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer that writes to out until Close.
func New(out io.Writer, onDrop func()) *Writer {
	w := &Writer{out: out, onDrop: onDrop, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > bufferBytes {
		w.dropped++
		if w.onDrop != nil {
			w.onDrop()
		}
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-tick.C:
			w.flush()
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	out, dropped := w.buf, w.dropped
	w.buf, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(out) > 0 {
		// There is nowhere left to tell of an error.
		_, _ = w.out.Write(out)
	}
}

// Close writes what waits.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
