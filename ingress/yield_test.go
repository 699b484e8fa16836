package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestChooseYielding has the connections of one server, by what they have done so far, and
// those that give way to a new one.
func TestChooseYielding(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	const kb = 1 << 10
	var (
		handled     = activity{phase: phaseHandling, since: ago(time.Minute), held: 9 * kb}
		freshHead   = activity{phase: phaseHead, since: ago(stallGrace / 2), held: kb}
		stalledHead = activity{phase: phaseHead, since: ago(2 * time.Second), held: kb}
		stalledBody = activity{phase: phaseBody, since: ago(3 * time.Second), received: kb, held: 4 * kb}
		dripping    = activity{phase: phaseBody, since: ago(10 * time.Second), received: 2 * kb, held: 4 * kb}
		uploading   = activity{phase: phaseBody, since: ago(10 * time.Second), received: 10 * minRate, held: 4 * kb}
		silent      = activity{phase: phaseIdle, since: ago(5 * time.Second), held: kb}
		newcomer    = activity{phase: phaseIdle, since: ago(time.Millisecond), held: kb}
		resting     = activity{phase: phaseIdle, since: ago(4 * time.Second), served: true, held: kb}
		longResting = activity{phase: phaseIdle, since: ago(14 * time.Second), served: true, held: kb}
		pausing     = activity{phase: phaseIdle, since: ago(idleGrace / 2), served: true, held: kb}
	)
	cases := []struct {
		name  string
		all   []activity
		need  int64
		batch int
		want  []int
	}{
		{"nobody is there", nil, 0, 1, nil},
		{"requests in progress, new clients and short pauses stay", []activity{handled, freshHead, newcomer, pausing}, kb, 4, nil},
		{"a large body that keeps coming stays", []activity{uploading}, kb, 1, nil},
		{"the one furthest behind goes first", []activity{stalledHead, stalledBody, silent}, 0, 1, []int{2}},
		{"one byte now and then does not help", []activity{stalledBody, dripping}, 0, 1, []int{1}},
		{"those that stall go before those that rest", []activity{longResting, stalledHead}, 0, 1, []int{1}},
		{"of those that rest only as many as needed", []activity{resting, longResting, pausing}, 0, 4, []int{1}},
		{"enough go for the memory", []activity{stalledHead, silent, stalledBody, resting}, 7 * kb, 1, []int{1, 2, 0, 3}},
		{"a batch of those that stall", []activity{stalledHead, silent, stalledBody, resting}, 0, 2, []int{1, 2}},
	}
	for _, c := range cases {
		must.Eq(t, c.want, chooseYielding(now, c.all, c.need, c.batch), must.Sprint(c.name))
	}
}

func TestHeadScanner(t *testing.T) {
	cases := []struct {
		text         string
		bytes, lines int64
		ended        bool
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\r\n\r\n", 27, 3, true},
		{"GET / HTTP/1.1\nHost: a\n\nbody", 24, 3, true},
		{"\r\n\r\nGET / HTTP/1.1\r\n", 20, 3, false},
		{"\r\n\r\n\r\n", 6, 3, false},
		{"X: endless", 10, 0, false},
		{"A: 1\r\n \r\nB: 2\r\n\r\n", 17, 4, true},
	}
	for _, c := range cases {
		for size := 1; size <= len(c.text); size++ {
			var s headScanner
			for rest := c.text; rest != ""; rest = rest[min(size, len(rest)):] {
				s.feed([]byte(rest[:min(size, len(rest))]))
			}
			must.Eq(t, c.bytes, s.bytes, must.Sprintf("%q in pieces of %d", c.text, size))
			must.Eq(t, c.lines, s.lines, must.Sprintf("%q in pieces of %d", c.text, size))
			must.Eq(t, c.ended, s.ended, must.Sprintf("%q in pieces of %d", c.text, size))
		}
	}
}

func TestLargeRequestsLeaveMemoryToOthers(t *testing.T) {
	m := newMemory(6400)
	must.True(t, m.reserve(4800, 4800))
	must.False(t, m.reserve(1, 101), must.Sprint("a large request beyond three quarters"))
	must.True(t, m.reserve(100, 100))
	must.True(t, m.reserve(1500, 50))
	must.False(t, m.reserve(1, 1))
	must.Eq(t, 6400, m.total())
	released := m.nextRelease()
	m.release(6400)
	<-released
	must.Eq(t, 0, m.total())
}

func TestNextSize(t *testing.T) {
	must.Eq(t, 11, nextSize(0, 10, 1000))
	must.Eq(t, firstReadBytes, nextSize(0, 1<<20, 1<<21))
	must.Eq(t, 2*firstReadBytes, nextSize(firstReadBytes, -1, 1<<21))
	must.Eq(t, 1<<20+1, nextSize(1<<20-1, 1<<20, 1<<21))
	must.Eq(t, 1<<21+1, nextSize(1<<21-1, -1, 1<<21))
}
