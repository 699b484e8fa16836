package node_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// An entry is drained with a request in progress. It must become not ready, answer
// the request completely, and end only then.
func TestDrainEndsReadinessFirstAndCutsNothingOff(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	work := new(standin.Upstream).Handler()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		work.ServeHTTP(w, r)
	}))
	t.Cleanup(upstream.Close)
	hub := startHub(t, "-drain-delay", "1s")
	startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.cfg.HTTPAddr) })

	answered := make(chan string, 1)
	go func() { answered <- sendRequest(hub.cfg.HTTPAddr) }()
	<-started
	must.NoError(t, hub.admin(t, "POST", "/admin/drain", "{}", &node.DrainAnswer{}))
	await(t, func() error {
		if testbed.Ready(hub.cfg.HTTPAddr) == nil {
			return fmt.Errorf("still ready")
		}
		return nil
	})
	select {
	case <-hub.done:
		t.Fatal("the process ended with a request in progress")
	default:
	}
	close(release)
	must.StrContains(t, <-answered, `200 OK`)
	hub.awaitEnd(t)
}

// sendRequest sends a request to an entry and returns the status, the body and the
// error as text.
func sendRequest(addr string) string {
	res, err := http.Post("http://"+addr+"/cards/1", "application/json", strings.NewReader(`{"echo": "card"}`))
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return fmt.Sprintf("%s %s %v", res.Status, body, err)
}
