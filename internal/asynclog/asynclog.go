// Package asynclog buffers log lines and writes them in the background, so that a
// slow output never blocks the process. New lines that do not fit into the buffer
// are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the buffered lines; it holds a few seconds of a busy hub's
	// log.
	bufferBytes = 512 << 10
	// flushInterval limits the rate of writes, each of which costs a system call.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks on its output. It is safe for
// concurrent use.
type Writer struct {
	out io.Writer
	// onDrop is called for each dropped line, with mu held, so it must not call the
	// Writer; it may be nil.
	onDrop func()

	mu           sync.Mutex // guards buf and droppedLines
	buf          []byte
	droppedLines int
	stop         chan struct{}
	done         chan struct{}
}

// New returns a Writer that writes to out until Close is called. If onDrop is not
// nil, it is called for each dropped line; it must not call the Writer.
func New(out io.Writer, onDrop func()) *Writer {
	w := &Writer{out: out, onDrop: onDrop, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never returns an
// error.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > bufferBytes {
		w.droppedLines++
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
	tick := time.NewTicker(flushInterval)
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
	out, dropped := w.buf, w.droppedLines
	w.buf, w.droppedLines = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(out) > 0 {
		// An error can't be logged: this is the log output.
		_, _ = w.out.Write(out)
	}
}

// Close writes the buffered lines and stops the background writes.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
