package ringlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestSlowOutputDropsAndCounts(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
	must.StrContains(t, out.got.String(), "log lines dropped")
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, nil)
	_, err := w.Write([]byte("a line\n"))
	must.NoError(t, err)
	w.Close()
	must.Eq(t, "a line\n", out.String())
}
