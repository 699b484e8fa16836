package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// closingUpstream starts an upstream that answers the first request of each
// connection, and closes the connection after it has read the second. It counts
// the requests in reads, and returns its URL.
func closingUpstream(t *testing.T, reads *atomic.Int32) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for i := range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					reads.Add(1)
					if i == 0 {
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// TestOnceIsNotSentAgainOnAClosedConnection guards against the automatic retry
// of net/http: the second request fails instead of being sent a third time.
func TestOnceIsNotSentAgainOnAClosedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var reads atomic.Int32
			url := closingUpstream(t, &reads)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			send := func() error {
				req, err := http.NewRequest(method, url, http.NoBody)
				must.NoError(t, err)
				req.Header.Set(HeaderIdempotencyKey, "k")
				DisableAutoRetry(req)
				res, err := transport.RoundTrip(req)
				if err == nil {
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
				return err
			}
			must.NoError(t, send())
			must.Error(t, send())
			must.Eq(t, 2, reads.Load())
		})
	}
}

func TestControlFieldsOfACallerAreRemoved(t *testing.T) {
	h := http.Header{}
	for _, name := range controlFields {
		h.Set(name, "forged")
	}
	h.Set(HeaderTeam, "salons")
	StripControlFields(h)
	must.Eq(t, http.Header{"Caraway-Team": {"salons"}}, h)
}
