package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// TestBodyThatStallsInTheStream: once a streamed body is being sent on, a
// caller that stalls is told so, and that the outcome is unknown.
func TestBodyThatStallsInTheStream(t *testing.T) {
	upstream := httptest.NewServer(new(standin.Upstream).Handler())
	t.Cleanup(upstream.Close)
	hub := startHub(t, "-body-stall", "300ms")
	startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.set.HTTPAddr) })

	conn, err := net.Dial("tcp", hub.set.HTTPAddr)
	must.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testLimit))
	fmt.Fprintf(conn, "POST /cards/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("x", 200000))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, res.StatusCode, must.Sprintf("%s", body))
	must.Eq(t, "unknown", res.Header.Get("Caraway-Outcome"))
	must.StrContains(t, string(body), "slow-body")
}
