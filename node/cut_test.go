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

// TestCutAnswersGiveTheirSlotsBack: an answer that is cut while it streams is
// cut for the caller too, and its slot is free again.
func TestCutAnswersGiveTheirSlotsBack(t *testing.T) {
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
	await(t, func() error { return testbed.Ready(hub.set.HTTPAddr) })

	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	for range 2 * worker.set.Capacity.Slots {
		_, body, err := fetch(ctx, hub, "/cards/cut")
		must.Error(t, err, must.Sprintf("a cut answer looks whole: %q", body))
	}
	res, body, err := fetch(ctx, hub, "/cards/whole")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, res.StatusCode, must.Sprint(body))
	must.Eq(t, "whole", body)
}

func fetch(ctx context.Context, hub *process, path string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hub.set.HTTPAddr+path, strings.NewReader("{}"))
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

// TestCallerThatTakesNothingHoldsNoSlot: callers that leave a long answer lying
// are cut off, and their slots are free again.
func TestCallerThatTakesNothingHoldsNoSlot(t *testing.T) {
	const answerBytes = 64 << 20 // more than the connections hold
	began := make(chan struct{}, 100)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cards/whole" {
			io.WriteString(w, "whole")
			return
		}
		began <- struct{}{}
		w.Write(make([]byte, answerBytes))
	}))
	t.Cleanup(upstream.Close)
	hub := startHub(t, "-body-stall", "200ms")
	worker := startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.set.HTTPAddr) })

	for range worker.set.Capacity.Slots {
		conn, err := net.Dial("tcp", hub.set.HTTPAddr)
		must.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "GET /cards/long HTTP/1.1\r\nHost: desk\r\nCaraway-Deadline-Ms: 600000\r\n\r\n")
	}
	for range worker.set.Capacity.Slots {
		<-began
	}
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	await(t, func() error {
		_, body, err := fetch(ctx, hub, "/cards/whole")
		if err == nil && body != "whole" {
			err = errors.New(body)
		}
		return err
	})
}
