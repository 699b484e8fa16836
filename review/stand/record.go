package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what clients, workers and the operator have seen.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// now returns the time since the start of the recording.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", r.now().Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say records a line and also prints it.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
