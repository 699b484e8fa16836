package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// The upstream aborts answers while they stream. The caller must see a truncated
// answer, never one that looks complete, and each slot must be released.
func TestTruncatedAnswersReleaseTheirSlots(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cards/whole" {
			io.WriteString(w, "whole")
			return
		}
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "a part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(upstream.Close)
	hub := startHub(t)
	worker := startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.cfg.HTTPAddr) })

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 2 * worker.cfg.Capacity.Slots {
		_, body, err := fetch(ctx, hub, "/cards/cut")
		must.Error(t, err, must.Sprintf("a truncated answer looks complete: %q", body))
	}
	res, body, err := fetch(ctx, hub, "/cards/whole")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, res.StatusCode, must.Sprint(body))
	must.Eq(t, "whole", body)
}

// fetch sends a request to the hub and returns the response with its body. It
// returns an error if the body is truncated.
func fetch(ctx context.Context, hub *process, path string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hub.cfg.HTTPAddr+path, strings.NewReader("{}"))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Caraway-Deadline-Ms", "2000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// Callers that do not read a long answer fill every slot. After the body stall
// timeout they must be disconnected, and their slots released.
func TestStalledCallersReleaseTheirSlots(t *testing.T) {
	const answerBytes = 64 << 20 // more than the connection buffers hold
	started := make(chan struct{}, 100)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cards/whole" {
			io.WriteString(w, "whole")
			return
		}
		started <- struct{}{}
		w.Write(make([]byte, answerBytes))
	}))
	t.Cleanup(upstream.Close)
	hub := startHub(t, "-body-stall", "200ms")
	worker := startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.cfg.HTTPAddr) })

	for range worker.cfg.Capacity.Slots {
		conn, err := net.Dial("tcp", hub.cfg.HTTPAddr)
		must.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "GET /cards/long HTTP/1.1\r\nHost: desk\r\nCaraway-Deadline-Ms: 600000\r\n\r\n")
	}
	for range worker.cfg.Capacity.Slots {
		<-started
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	await(t, func() error {
		_, body, err := fetch(ctx, hub, "/cards/whole")
		if err == nil && body != "whole" {
			err = errors.New(body)
		}
		return err
	})
}
