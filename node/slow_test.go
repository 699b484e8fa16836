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

// A caller stalls after part of its body was streamed to the upstream. It must get
// status 408, the error slow-body, and an unknown outcome.
func TestStreamedRequestBodyStalls(t *testing.T) {
	upstream := httptest.NewServer(new(standin.Upstream).Handler())
	t.Cleanup(upstream.Close)
	hub := startHub(t, "-body-stall", "300ms")
	startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.cfg.HTTPAddr) })

	conn, err := net.Dial("tcp", hub.cfg.HTTPAddr)
	must.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /cards/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("x", 200000))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, res.StatusCode, must.Sprintf("%s", body))
	must.Eq(t, "unknown", res.Header.Get("Caraway-Outcome"))
	must.StrContains(t, string(body), "slow-body")
}
