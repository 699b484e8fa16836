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

// adminLimit bounds one test's waiting.
const adminLimit = 30 * time.Second

// process is one node of a test, run in the test's own process.
type process struct {
	set  settings.Settings
	done chan error
}

// startTries bounds how often a process is started: another program may take
// an address between its being drawn and its being opened.
const startTries = 5

// start runs a node.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	return startDrawn(t, func() []string { return args })
}

// startDrawn runs a node whose arguments are drawn anew for each try.
func startDrawn(t *testing.T, draw func() []string) *process {
	t.Helper()
	for range startTries {
		p, err := startOnce(t, draw())
		if err == nil {
			return p
		}
		t.Logf("start again: %v", err)
	}
	t.Fatal("no start found its addresses free")
	return nil
}

// startOnce returns once all listeners of the node are open.
func startOnce(t *testing.T, args []string) (*process, error) {
	t.Helper()
	set, err := settings.Parse(args, t.Output())
	must.NoError(t, err)
	p := &process{set: set, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	log := &startLog{started: make(chan struct{})}
	go func() { p.done <- node.Run(ctx, set, logr.FromSlogHandler(slog.NewTextHandler(log, nil))) }()
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

// startLog waits for the event that all listeners are open.
type startLog struct {
	once    sync.Once
	started chan struct{}
}

// Write implements io.Writer; a handler writes one event at a time.
func (l *startLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("msg=started")) || bytes.Contains(p, []byte(`msg="agent started"`)) {
		l.once.Do(func() { close(l.started) })
	}
	return len(p), nil
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testbed.FreeAddr()
	must.NoError(t, err)
	return addr
}

func startHub(t *testing.T, args ...string) *process {
	return startDrawn(t, func() []string {
		return append([]string{
			"-id", "hub", "-roles", "entry,control", "-failure-domain", "patan", "-control", "hub", "-data-dir", t.TempDir(),
			"-link-addr", freeAddr(t), "-http-addr", freeAddr(t), "-admin-addr", freeAddr(t), "-drain-delay", "0s",
		}, args...)
	})
}

func startWorker(t *testing.T, hub *process, upstream string) *process {
	return startDrawn(t, func() []string {
		return []string{"-id", "worker", "-roles", "agent", "-failure-domain", "thamel", "-http-addr", freeAddr(t),
			"-entries", hub.set.LinkAddr, "-upstream", upstream, "-pools", "formula"}
	})
}

func (p *process) admin(t *testing.T, method, path string, body string, into any) error {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.set.AdminAddr+path, strings.NewReader(body))
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

func await(t *testing.T, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), adminLimit)
	defer cancel()
	must.NoError(t, testbed.Await(ctx, check))
}

func (p *process) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.done:
		must.NoError(t, err)
		p.done <- err
	case <-time.After(adminLimit):
		t.Fatalf("%s did not end", p.set.ID)
	}
}

// awaitLinked waits until the hub counts n linked processes at the version.
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
