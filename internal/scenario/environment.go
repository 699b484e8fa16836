// Package scenario implements the commands (verbs) of the scenario scripts. The
// scripts run with testscript: they start the system as separate processes, inject
// faults, send work, and check the answers to the callers and the starts that the
// upstreams counted.
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

// waitTimeout bounds each wait for a condition.
const waitTimeout = 30 * time.Second

// environment is the state of one script: its system and its submissions.
type environment struct {
	bin  string
	dir  string
	ctx  context.Context
	stop context.CancelFunc
	sys  *testbed.System

	submissions     map[string]*submission
	markedStarts    map[string]int              // starts at the last mark, by upstream
	frozen          map[string]*testbed.Process // processes that freeze has stopped
	acceptedVersion contract.Version            // highest version returned for an edit

	mu      sync.Mutex // guards reverts
	reverts []string   // descriptions for expectNoRevert
}

// environmentKey is the key of the environment in testscript's values.
type environmentKey struct{}

// Setup prepares the environment of a script. bin is the directory of the built
// programs.
func Setup(env *testscript.Env, bin string) error {
	ctx, stop := context.WithCancel(context.Background())
	e := &environment{bin: bin, dir: filepath.Join(env.WorkDir, "system"), ctx: ctx, stop: stop, submissions: make(map[string]*submission), markedStarts: make(map[string]int), frozen: make(map[string]*testbed.Process)}
	env.Values[environmentKey{}] = e
	env.Defer(e.close)
	return nil
}

func (env *environment) close() {
	env.stop()
	if env.sys != nil {
		env.sys.Close()
	}
}

// Commands returns the verbs by name. No verb may have the name of a command of
// testscript, because testscript's own command takes precedence: its stop, for
// example, ends a script as passed.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]verb{
		"start":         (*environment).start,
		"launch":        (*environment).launch,
		"kill-process":  (*environment).kill,
		"drain":         (*environment).terminate,
		"wait-stopped":  (*environment).waitStopped,
		"freeze":        (*environment).freeze,
		"thaw":          (*environment).thaw,
		"lose-disk":     (*environment).loseDisk,
		"cut":           (*environment).cut,
		"silence":       (*environment).silence,
		"lose":          (*environment).lose,
		"slow":          (*environment).slow,
		"isolate":       (*environment).isolate,
		"heal":          (*environment).heal,
		"pass":          (*environment).pass,
		"edit":          (*environment).edit,
		"wait-in-force": (*environment).waitInForce,
		"wait-ready":    (*environment).waitReady,
		"wait-workers":  (*environment).waitWorkers,
		"submit":        (*environment).submit,
		"resubmit":      (*environment).resubmit,
		"single":        (*environment).single,
		"cancel":        (*environment).cancel,
		"wait-starts":   (*environment).waitStarts,
		"mark":          (*environment).mark,

		"expect-answer":    (*environment).expectAnswer,
		"expect-starts":    (*environment).expectStarts,
		"expect-outcome":   (*environment).expectOutcome,
		"expect-recorded":  (*environment).expectRecorded,
		"expect-in-force":  (*environment).expectInForce,
		"expect-unmoved":   (*environment).expectUnmoved,
		"expect-no-revert": (*environment).expectNoRevert,
		"expect-truth":     (*environment).expectTruth,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, v := range verbs {
		out[name] = v.run
	}
	return out
}

// verb implements a command of a script.
type verb func(env *environment, args []string) error

// run runs the verb. On a line that begins with "!" (neg) the verb must fail. The
// script also fails if a frozen process has been resumed from outside.
func (v verb) run(ts *testscript.TestScript, neg bool, args []string) {
	env := ts.Value(environmentKey{}).(*environment)
	err := v(env, args)
	if lost := env.checkFrozen(); lost != nil {
		ts.Fatalf("the test bed has failed: %v (result of this line: %v)", lost, err)
	}
	switch {
	case neg && err == nil:
		ts.Fatalf("succeeded, but was expected to fail")
	case neg:
		ts.Logf("failed as expected: %v", err)
	case err != nil:
		ts.Fatalf("%v", err)
	}
}

// options separates the key=value arguments from the plain ones.
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

// intOption returns an integer option, or def if it is absent or not an integer.
func intOption(opts map[string]string, name string, def int) int {
	if n, err := strconv.Atoi(opts[name]); err == nil {
		return n
	}
	return def
}

// checkArgCount returns an error with the usage unless there are n arguments.
func checkArgCount(args []string, n int, usage string) error {
	if len(args) != n {
		return fmt.Errorf("usage: %s", usage)
	}
	return nil
}

// await polls check until it succeeds. After waitTimeout it returns the last error
// of check.
func (env *environment) await(check func() error) error {
	ctx, cancel := context.WithTimeout(env.ctx, waitTimeout)
	defer cancel()
	return testbed.Await(ctx, check)
}

// The default sizes of a system.
const (
	defaultHubs    = 3
	defaultWorkers = 2
	defaultSlots   = 4
)

const defaultTables = `{"id": "first", "put_pools": [{"name": "formula"}],
  "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`

// start starts a system and waits until it is ready:
// start [hubs=N] [workers=N] [slots=N].
func (env *environment) start(args []string) error {
	_, opts := options(args)
	if err := os.MkdirAll(env.dir, 0o755); err != nil {
		return err
	}
	workers := intOption(opts, "workers", defaultWorkers)
	var err error
	env.sys, err = testbed.New(env.bin, env.dir).Build(testbed.Plan{
		Domains:    []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:       intOption(opts, "hubs", defaultHubs),
		Workers:    workers,
		Slots:      intOption(opts, "slots", defaultSlots),
		Pools:      []string{"formula"},
		HubArgs:    []string{"-drain-delay", "300ms"},
		WithRelays: true,
	})
	if err != nil {
		return err
	}
	if err := env.sys.StartAll(); err != nil {
		return err
	}
	if err := env.await(func() error { return env.postEdit(env.sys.Hubs[0], []byte(defaultTables)) }); err != nil {
		return err
	}
	go env.watchReverts()
	for _, h := range env.sys.Hubs {
		if err := env.await(func() error { return env.checkReady(h, workers) }); err != nil {
			return err
		}
		if err := env.await(func() error { return checkRecordsServed(h) }); err != nil {
			return err
		}
	}
	return nil
}

// checkRecordsServed returns an error unless a hub's record holder votes.
func checkRecordsServed(h *testbed.Process) error {
	var a node.RecordsAnswer
	err := testbed.GetJSON(h.Admin, "/admin/records", &a)
	if err == nil && !a.Serving {
		err = fmt.Errorf("the record holder of %s does not vote yet", h.Name)
	}
	return err
}

// checkReady returns an error unless a hub is ready, its ledger answers reads, and
// it knows exactly the given number of workers.
func (env *environment) checkReady(h *testbed.Process, workers int) error {
	if err := testbed.Ready(h.HTTP); err != nil {
		return err
	}
	if err := checkLedgerFilled(h); err != nil {
		return err
	}
	n, err := env.workerCount(h)
	if err == nil && n != workers {
		err = fmt.Errorf("%s knows %d workers, want %d", h.Name, n, workers)
	}
	return err
}

// checkLedgerFilled returns an error unless a hub's replica of the ledger answers
// reads.
func checkLedgerFilled(h *testbed.Process) error {
	var vars struct {
		Filled int `json:"caraway_ledger_filled"`
	}
	err := testbed.GetJSON(h.Admin, "/debug/vars", &vars)
	if err == nil && vars.Filled == 0 {
		err = fmt.Errorf("the ledger replica of %s is not filled yet", h.Name)
	}
	return err
}

func (env *environment) workerCount(h *testbed.Process) (int, error) {
	var workers []host.Worker
	err := testbed.GetJSON(h.Admin, "/admin/upstreams", &workers)
	return len(workers), err
}

// waitWorkers waits until a hub is ready and knows exactly N workers:
// wait-workers HUB N.
func (env *environment) waitWorkers(args []string) error {
	if err := checkArgCount(args, 2, "wait-workers HUB N"); err != nil {
		return err
	}
	h, err := env.process(args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return env.await(func() error { return env.checkReady(h, want) })
}

// waitReady waits until the hubs are ready: wait-ready HUB...
func (env *environment) waitReady(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		return env.await(func() error { return testbed.Ready(p.HTTP) })
	})
}

// process returns the process with the given name.
func (env *environment) process(name string) (*testbed.Process, error) {
	if env.sys == nil {
		return nil, fmt.Errorf("no system: run start first")
	}
	p := env.sys.Process(name)
	if p == nil {
		return nil, fmt.Errorf("no process is named %q", name)
	}
	return p, nil
}

// forEachProcess calls f with each named process and stops at the first error.
func (env *environment) forEachProcess(names []string, f func(*testbed.Process) error) error {
	for _, name := range names {
		p, err := env.process(name)
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
