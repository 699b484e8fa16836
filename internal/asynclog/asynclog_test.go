package asynclog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestSlowOutputDropsAndCounts(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	drops := 0
	w := New(out, func() { drops++ })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * bufferBytes / len(line) {
		n, err := w.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Positive(t, drops)
	close(out.release)
	w.Close()
	must.StrContains(t, out.written.String(), "log lines dropped")
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, nil)
	_, err := w.Write([]byte("a line\n"))
	must.NoError(t, err)
	w.Close()
	must.Eq(t, "a line\n", out.String())
}
