package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
	"github.com/carawaylanding/carawaylanding/settings"
)

// adminTimeout bounds each wait of a test for a node.
const adminTimeout = 30 * time.Second

// process is a node that runs inside the test process.
type process struct {
	cfg  settings.Settings
	done chan error
}

// maxStartAttempts bounds the attempts to start a node. An attempt fails if another
// program takes a free address before the node listens on it.
const maxStartAttempts = 5

// start runs a node with fixed arguments until the test ends.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	return startWithRetry(t, func() []string { return args })
}

// startWithRetry runs a node until the test ends. It calls newArgs for each attempt,
// so that every attempt has new addresses.
func startWithRetry(t *testing.T, newArgs func() []string) *process {
	t.Helper()
	for range maxStartAttempts {
		p, err := startOnce(t, newArgs())
		if err == nil {
			return p
		}
		t.Logf("start failed, trying again: %v", err)
	}
	t.Fatal("every attempt to start the node failed")
	return nil
}

// startOnce starts a node and returns once all its listeners are open, or with the
// error with which the node ended before that.
func startOnce(t *testing.T, args []string) (*process, error) {
	t.Helper()
	cfg, err := settings.Parse(args, t.Output())
	must.NoError(t, err)
	p := &process{cfg: cfg, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	log := &startedWatcher{started: make(chan struct{})}
	go func() { p.done <- node.Run(ctx, cfg, logr.FromSlogHandler(slog.NewTextHandler(log, nil))) }()
	select {
	case err := <-p.done:
		cancel()
		return nil, err
	case <-log.started:
	}
	t.Cleanup(func() {
		cancel()
		<-p.done
	})
	return p, nil
}

// startedWatcher is a log output that closes started when a node logs that all its
// listeners are open.
type startedWatcher struct {
	once    sync.Once
	started chan struct{}
}

// Write implements io.Writer. The slog handler writes one whole line per call.
func (l *startedWatcher) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("msg=started")) || bytes.Contains(p, []byte(`msg="agent started"`)) {
		l.once.Do(func() { close(l.started) })
	}
	return len(p), nil
}

// freeAddr returns a local address on which nothing listens now.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testbed.FreeAddr()
	must.NoError(t, err)
	return addr
}

// startHub runs a node that has the entry role and the control role until the test
// ends. The extra arguments come last.
func startHub(t *testing.T, args ...string) *process {
	return startWithRetry(t, func() []string {
		return append([]string{
			"-id", "hub", "-roles", "entry,control", "-failure-domain", "patan", "-control", "hub", "-data-dir", t.TempDir(),
			"-link-addr", freeAddr(t), "-http-addr", freeAddr(t), "-admin-addr", freeAddr(t), "-drain-delay", "0s",
		}, args...)
	})
}

// startWorker runs the agent of an upstream that belongs to the pool formula until
// the test ends.
func startWorker(t *testing.T, hub *process, upstream string) *process {
	return startWithRetry(t, func() []string {
		return []string{"-id", "worker", "-roles", "agent", "-failure-domain", "thamel", "-http-addr", freeAddr(t),
			"-entries", hub.cfg.LinkAddr, "-upstream", upstream, "-pools", "formula"}
	})
}

// admin sends a request to the node's admin interface and decodes the response into
// into. A status other than 200 is an error.
func (p *process) admin(t *testing.T, method, path string, body string, into any) error {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.cfg.AdminAddr+path, strings.NewReader(body))
	must.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// await calls check until it returns nil, for at most adminTimeout.
func await(t *testing.T, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	must.NoError(t, testbed.Await(ctx, check))
}

// awaitEnd waits until the node has ended without an error.
func (p *process) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.done:
		must.NoError(t, err)
		p.done <- err
	case <-time.After(adminTimeout):
		t.Fatalf("%s did not end", p.cfg.ID)
	}
}

// awaitLinked waits until exactly n processes, the hub among them, are linked and
// have at least version v.
func awaitLinked(t *testing.T, hub *process, n int, v contract.Version) {
	t.Helper()
	await(t, func() error {
		var all []node.ProcessStatus
		if err := hub.admin(t, "GET", "/admin/processes", "", &all); err != nil {
			return err
		}
		count := 0
		for _, p := range all {
			if p.Linked && p.Version >= v {
				count++
			}
		}
		if count != n {
			return fmt.Errorf("%d of %d processes have version %d: %+v", count, n, v, all)
		}
		return nil
	})
}

func TestOperatorDrainsWorkerAndHost(t *testing.T) {
	upstream := httptest.NewServer(new(standin.Upstream).Handler())
	t.Cleanup(upstream.Close)
	hub := startHub(t)
	worker := startWorker(t, hub, upstream.URL)
	awaitLinked(t, hub, 2, 0)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	var changes []node.Change
	must.NoError(t, hub.admin(t, "GET", "/admin/history", "", &changes))
	must.Len(t, 1, changes)
	must.Eq(t, []string{"formula"}, changes[0].PutPools)

	must.Error(t, hub.admin(t, "POST", "/admin/drain?host=nobody", "{}", &node.DrainAnswer{}))
	must.NoError(t, hub.admin(t, "POST", "/admin/drain?host=worker", "{}", &node.DrainAnswer{}))
	worker.awaitEnd(t)
	must.NoError(t, hub.admin(t, "POST", "/admin/drain", "{}", &node.DrainAnswer{}))
	hub.awaitEnd(t)
}
