package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// startServer serves the settings on loopback until the test ends, and returns the server
// and its address. The handler reads the body and returns its length.
func startServer(t *testing.T, cfg Config) (*Server, string) {
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := ReadBody(r, cfg.Limits().MaxBodyBytes)
			if errors.Is(err, ErrFull) {
				WriteRefusal(w, http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintf(w, "%d bytes, %v", len(data), err)
		})
	}
	if cfg.Limits == nil {
		cfg.Limits = func() contract.ClientLimits {
			return contract.ClientLimits{MaxHeaderBytes: 2048, MaxBodyBytes: 100_000}
		}
	}
	cfg.Listener, cfg.Log = "test", logr.Discard()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := New(cfg)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return s, ln.Addr().String()
}

// client is a raw connection to the server.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) *client {
	_, err := io.WriteString(c, text)
	must.NoError(c.t, err)
	return c
}

// answer returns the status of the next answer and its body.
func (c *client) answer() (int, string) {
	resp, err := http.ReadResponse(c.r, nil)
	must.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return resp.StatusCode, string(body)
}

// ends waits until the server has ended the connection without an answer.
func (c *client) ends() {
	_, err := c.r.ReadByte()
	must.Error(c.t, err)
	must.False(c.t, errors.Is(err, net.ErrClosed))
	var timeout net.Error
	must.False(c.t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprint("the connection stays open"))
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	s, addr := startServer(t, Config{})
	c := dial(t, addr)
	lines := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 400) + "\r\n"
	for _, request := range []string{post(5, "12345"), post(100_000, strings.Repeat("x", 100_000)), "\r\n" + post(0, ""), lines,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n"} {
		status, text := c.send(request).answer()
		must.Eq(t, http.StatusOK, status, must.Sprint(text))
		must.StrContains(t, text, "<nil>")
	}
	// Two requests in one piece.
	status, _ := c.send(post(0, "") + post(3, "abc")).answer()
	must.Eq(t, http.StatusOK, status)
	_, text := c.answer()
	must.Eq(t, "3 bytes, <nil>", text)
	c.Close()
	awaitMemory(t, s, 0)
}

// awaitMemory waits until the requests of the server hold the number of bytes.
func awaitMemory(t *testing.T, s *Server, want int64) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for s.memory.total() != want {
		must.True(t, time.Now().Before(deadline), must.Sprintf("requests hold %d bytes, want %d", s.memory.total(), want))
		time.Sleep(time.Millisecond)
	}
}

func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	passed := false
	_, addr := startServer(t, Config{
		RefusalHeader: http.Header{"X-Outcome": {"not-run"}},
		Refuse: func(w http.ResponseWriter, _ *http.Request, status int) {
			w.Header().Set("X-Outcome", "not-run")
			WriteRefusal(w, status)
		},
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true }),
	})
	for request, want := range map[string]int{
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 8192):    http.StatusRequestHeaderFieldsTooLarge,
		"GET / HTTP/1.1\r\n" + strings.Repeat("x:1\r\n", 1500): http.StatusRequestHeaderFieldsTooLarge,
		post(100_001, ""): http.StatusRequestEntityTooLarge,
		"GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r": http.StatusRequestHeaderFieldsTooLarge,
	} {
		c := dial(t, addr).send(request)
		resp, err := http.ReadResponse(c.r, nil)
		must.NoError(t, err)
		must.Eq(t, want, resp.StatusCode, must.Sprintf("%.40q", request))
		must.Eq(t, "not-run", resp.Header.Get("X-Outcome"))
		must.True(t, resp.Close)
	}
	must.False(t, passed)
}

func TestStalledClientsGiveWay(t *testing.T) {
	s, addr := startServer(t, Config{MaxConns: 4})
	var stalled []*client
	for range 4 {
		stalled = append(stalled, dial(t, addr).send("POST / HTTP/1.1\r\n"))
	}
	// Until they count as stalled, a newcomer is turned away.
	status, _ := dial(t, addr).send(post(1, "x")).answer()
	must.Eq(t, http.StatusServiceUnavailable, status)
	time.Sleep(stallGrace + 100*time.Millisecond)
	status, _ = dial(t, addr).send(post(1, "x")).answer()
	must.Eq(t, http.StatusOK, status)
	stalled[0].ends()
	s.mu.Lock()
	defer s.mu.Unlock()
	must.LessEq(t, 4, len(s.conns))
}

func TestFullMemoryRefusesAndRecovers(t *testing.T) {
	s, addr := startServer(t, Config{MemoryBytes: 1_000_000, Limits: func() contract.ClientLimits { return contract.ClientLimits{MaxBodyBytes: 100_000} }})
	most := strings.Repeat("x", 90_000)
	var held []*client
	for range 6 {
		held = append(held, dial(t, addr).send(post(100_000, most)))
	}
	time.Sleep(stallGrace + 100_000*time.Second/minRate + 100*time.Millisecond)
	last := dial(t, addr)
	status, text := last.send(post(100_000, strings.Repeat("x", 100_000))).answer()
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	for _, c := range held {
		c.Close()
	}
	last.Close()
	awaitMemory(t, s, 0)
}

func TestMemoryIsKeptBeyondTheHandler(t *testing.T) {
	releases := make(chan func(), 1)
	s, addr := startServer(t, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		hold := HoldOf(r.Context())
		must.NoError(t, hold.Reserve(5000))
		hold.ShrinkTo(3000)
		releases <- hold.Keep()
	})})
	c := dial(t, addr).send(post(0, ""))
	c.answer()
	c.Close()
	awaitMemory(t, s, 3000)
	release := <-releases
	release()
	release()
	awaitMemory(t, s, 0)
}

// A transport may read the body of a request after its handler has returned. The next head
// on the connection is limited all the same.
func TestBodyIsReadBeyondTheHandler(t *testing.T) {
	bodies := make(chan io.Reader, 1)
	_, addr := startServer(t, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		bodies <- r.Body
		_, _ = ReadBody(r, 100)
	})})
	c := dial(t, addr).send(post(1, "x"))
	status, _ := c.answer()
	must.Eq(t, http.StatusOK, status)
	_, err := (<-bodies).Read(make([]byte, 1))
	must.Error(t, err)
	status, _ = c.send("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000)).answer()
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

func TestTimeouts(t *testing.T) {
	_, addr := startServer(t, Config{
		Limits: func() contract.ClientLimits {
			return contract.ClientLimits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
		},
	})
	for _, text := range []string{"", "GET / HTTP/1.1\r\n", post(1000, "x")} {
		c := dial(t, addr).send(text)
		if strings.Contains(text, "Content-Length") {
			// The handler sees the end of the connection, and its answer may arrive.
			_, _ = io.Copy(io.Discard, c)
			continue
		}
		c.ends()
	}
}

// A request that is refused for want of memory has a body that net/http still reads. Its
// connection gives way, and is closed in time, like others that stall.
func TestRefusedClientThatStallsGivesWay(t *testing.T) {
	s, addr := startServer(t, Config{MemoryBytes: 37_000, Limits: func() contract.ClientLimits {
		return contract.ClientLimits{MaxBodyBytes: 100, IdleTimeout: 100 * time.Millisecond}
	}})
	// The second request is read together with the first, so its head is counted late.
	lines := strings.Repeat("a:1\r\n", 40)
	c := dial(t, addr).send(post(0, "") + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + lines + "\r\n")
	status, _ := c.answer()
	must.Eq(t, http.StatusOK, status)
	status, _ = c.answer()
	must.Eq(t, http.StatusServiceUnavailable, status)
	c.ends()
	awaitMemory(t, s, 0)
}
