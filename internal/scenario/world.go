// Package scenario holds the verbs of the scenario language: scripts in the
// form of testscript that start the system as real processes, break it, send
// work through it, and check what the upstreams and the callers saw.
package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// waitLimit bounds each wait on a condition.
const waitLimit = 30 * time.Second

// world is the system of one script.
type world struct {
	bin  string
	dir  string
	ctx  context.Context
	stop context.CancelFunc
	sys  *testbed.System

	submissions map[string]*submission
	marks       map[string]int
	accepted    contract.Version

	mu      sync.Mutex // guards reverts
	reverts []string
}

type worldKey struct{}

// Setup prepares a script's environment; bin holds the built programs.
func Setup(env *testscript.Env, bin string) error {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{bin: bin, dir: filepath.Join(env.WorkDir, "system"), ctx: ctx, stop: stop, submissions: make(map[string]*submission), marks: make(map[string]int)}
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	return nil
}

func (w *world) close() {
	w.stop()
	if w.sys != nil {
		w.sys.Close()
	}
}

// Commands returns the verbs. None may have the name of a command of
// testscript itself, which would win: its stop ends a script as passed.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]verb{
		"start":         (*world).start,
		"launch":        (*world).launch,
		"kill-process":  (*world).kill,
		"drain":         (*world).terminate,
		"wait-stopped":  (*world).waitStopped,
		"freeze":        (*world).freeze,
		"thaw":          (*world).thaw,
		"lose-disk":     (*world).loseDisk,
		"cut":           (*world).cut,
		"silence":       (*world).silence,
		"lose":          (*world).lose,
		"slow":          (*world).slow,
		"isolate":       (*world).isolate,
		"heal":          (*world).heal,
		"pass":          (*world).pass,
		"edit":          (*world).edit,
		"wait-in-force": (*world).waitInForce,
		"wait-ready":    (*world).waitReady,
		"wait-workers":  (*world).waitWorkers,
		"submit":        (*world).submit,
		"resubmit":      (*world).resubmit,
		"single":        (*world).single,
		"cancel":        (*world).cancel,
		"wait-starts":   (*world).waitStarts,
		"mark":          (*world).mark,

		"expect-answer":    (*world).expectAnswer,
		"expect-starts":    (*world).expectStarts,
		"expect-outcome":   (*world).expectOutcome,
		"expect-recorded":  (*world).expectRecorded,
		"expect-in-force":  (*world).expectInForce,
		"expect-unmoved":   (*world).expectUnmoved,
		"expect-no-revert": (*world).expectNoRevert,
		"expect-truth":     (*world).expectTruth,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, v := range verbs {
		out[name] = v.run
	}
	return out
}

// verb is one command of a script.
type verb func(w *world, args []string) error

// run runs the verb; a line that begins with "!" wants it to fail.
func (v verb) run(ts *testscript.TestScript, neg bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	err := v(w, args)
	switch {
	case neg && err == nil:
		ts.Fatalf("succeeded, and should not have")
	case neg:
		ts.Logf("failed as it should: %v", err)
	case err != nil:
		ts.Fatalf("%v", err)
	}
}

// options splits the arguments into plain ones and key=value ones.
func options(args []string) ([]string, map[string]string) {
	var plain []string
	opts := make(map[string]string)
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok {
			opts[k] = v
			continue
		}
		plain = append(plain, a)
	}
	return plain, opts
}

// number returns a numeric option, or def where it is absent or no number.
func number(opts map[string]string, name string, def int) int {
	if n, err := strconv.Atoi(opts[name]); err == nil {
		return n
	}
	return def
}

// need fails unless there are n plain arguments.
func need(args []string, n int, usage string) error {
	if len(args) != n {
		return fmt.Errorf("usage: %s", usage)
	}
	return nil
}

// await polls until check succeeds.
func (w *world) await(check func() error) error {
	ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
	defer cancel()
	return testbed.Await(ctx, check)
}

// The sizes of a system where the script names none.
const (
	defaultHubs    = 3
	defaultWorkers = 2
	defaultSlots   = 4
)

const defaultTables = `{"id": "first", "put_pools": [{"name": "formula"}],
  "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`

// start builds and starts a system: start [hubs=N] [workers=N] [slots=N].
func (w *world) start(args []string) error {
	_, opts := options(args)
	if err := os.MkdirAll(w.dir, 0o755); err != nil {
		return err
	}
	workers := number(opts, "workers", defaultWorkers)
	var err error
	w.sys, err = testbed.New(w.bin, w.dir).Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:    number(opts, "hubs", defaultHubs),
		Workers: workers,
		Slots:   number(opts, "slots", defaultSlots),
		Pools:   []string{"formula"},
		HubArgs: []string{"-drain-delay", "300ms"},
		Relayed: true,
	})
	if err != nil {
		return err
	}
	if err := w.sys.StartAll(); err != nil {
		return err
	}
	if err := w.await(func() error { return w.postEdit(w.sys.Hubs[0], []byte(defaultTables)) }); err != nil {
		return err
	}
	go w.watchReverts()
	for _, h := range w.sys.Hubs {
		if err := w.await(func() error { return w.ready(h, workers) }); err != nil {
			return err
		}
		if err := w.await(func() error { return recordsServed(h) }); err != nil {
			return err
		}
	}
	return nil
}

// recordsServed checks that a hub votes on job records.
func recordsServed(h *testbed.Process) error {
	var a node.RecordsAnswer
	err := testbed.GetJSON(h.Admin, "/admin/records", &a)
	if err == nil && !a.Serving {
		err = fmt.Errorf("%s abstains from job records", h.Name)
	}
	return err
}

func (w *world) ready(h *testbed.Process, workers int) error {
	if err := testbed.Ready(h.HTTP); err != nil {
		return err
	}
	if err := ledgerFilled(h); err != nil {
		return err
	}
	n, err := w.workersOf(h)
	if err == nil && n != workers {
		err = fmt.Errorf("%s knows %d workers, not %d", h.Name, n, workers)
	}
	return err
}

// ledgerFilled checks that a hub's part of the ledger answers reads.
func ledgerFilled(h *testbed.Process) error {
	var vars struct {
		Filled int `json:"caraway_ledger_filled"`
	}
	err := testbed.GetJSON(h.Admin, "/debug/vars", &vars)
	if err == nil && vars.Filled == 0 {
		err = fmt.Errorf("the ledger of %s is not filled", h.Name)
	}
	return err
}

func (w *world) workersOf(h *testbed.Process) (int, error) {
	var workers []host.Worker
	err := testbed.GetJSON(h.Admin, "/admin/upstreams", &workers)
	return len(workers), err
}

// waitWorkers waits until a hub knows so many workers: wait-workers HUB N.
func (w *world) waitWorkers(args []string) error {
	if err := need(args, 2, "wait-workers HUB N"); err != nil {
		return err
	}
	h, err := w.process(args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return w.await(func() error { return w.ready(h, want) })
}

// waitReady waits until the hubs are ready: wait-ready HUB...
func (w *world) waitReady(args []string) error {
	return w.each(args, func(p *testbed.Process) error {
		return w.await(func() error { return testbed.Ready(p.HTTP) })
	})
}

// process returns the named process.
func (w *world) process(name string) (*testbed.Process, error) {
	if w.sys == nil {
		return nil, fmt.Errorf("start comes first")
	}
	p := w.sys.Process(name)
	if p == nil {
		return nil, fmt.Errorf("there is no process %q", name)
	}
	return p, nil
}

// each calls f with each named process.
func (w *world) each(names []string, f func(*testbed.Process) error) error {
	for _, name := range names {
		p, err := w.process(name)
		if err != nil {
			return err
		}
		if err := f(p); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// status returns a hub's status.
func status(h *testbed.Process) (node.StatusAnswer, error) {
	var s node.StatusAnswer
	err := testbed.GetJSON(h.Admin, "/admin/status", &s)
	return s, err
}
