// Soak sends many short tasks through real processes while they are killed,
// frozen and cut off at random, and then compares what the callers were told,
// what the ledger says and what the upstreams counted.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// config holds the soak's flags.
type config struct {
	seed     uint64
	tasks    int
	duration time.Duration
	broken   bool
	majority bool
}

// The system under test.
const (
	hubs    = 3
	workers = 11
	slots   = 8
)

func main() {
	var cfg config
	flag.Uint64Var(&cfg.seed, "seed", 1, "seed of the faults and of the callers")
	flag.IntVar(&cfg.tasks, "tasks", 20_000, "number of tasks to submit")
	flag.DurationVar(&cfg.duration, "duration", 120*time.Second, "when to stop submitting, whatever the number of tasks")
	flag.BoolVar(&cfg.broken, "broken", false, "build with a gate that lies about its fences, and pass only if that is caught")
	flag.BoolVar(&cfg.majority, "lose-majority", false, "also kill hubs while others catch up: job records may be lost by a majority, and keyed jobs are then refused for long")
	flag.Parse()
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "soak failed:", err)
		os.Exit(1)
	}
}

func run(cfg config) error {
	dir, err := os.MkdirTemp("", "carawaylanding-soak-")
	if err != nil {
		return err
	}
	err = runIn(dir, cfg)
	if err == nil {
		return os.RemoveAll(dir)
	}
	return fmt.Errorf("%w; logs in %s", err, dir)
}

func runIn(dir string, cfg config) error {
	if err := build(dir, cfg.broken); err != nil {
		return err
	}
	bed := testbed.New(dir, dir)
	defer bed.Close()
	sys, err := startSystem(bed)
	if err != nil {
		return err
	}
	began := time.Now()
	injector := newInjector(sys, cfg)
	submissions := load(sys, cfg, injector)
	injector.repair()
	if err := quiesce(sys); err != nil {
		return err
	}
	report := audit(sys, submissions)
	report.faults = injector.counts
	report.elapsed = time.Since(began)
	report.print(cfg)
	return verdict(cfg, report)
}

func verdict(cfg config, r *report) error {
	switch {
	case cfg.broken && r.violations() == 0:
		return errors.New("the broken build was not caught")
	case cfg.broken:
		fmt.Println("the broken build was caught")
		return nil
	case r.violations() > 0:
		return fmt.Errorf("%d violations", r.violations())
	case r.tasks < cfg.tasks:
		return fmt.Errorf("only %d of %d tasks were submitted: raise -duration", r.tasks, cfg.tasks)
	}
	return nil
}

func build(dir string, broken bool) error {
	args := []string{"build", "-o", dir + string(os.PathSeparator)}
	if broken {
		args = append(args, "-tags", "broken_gate")
	}
	args = append(args, "./cmd/carawayd", "./cmd/standin")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

const tables = `{"id": "first", "put_pools": [{"name": "formula"}],
  "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`

// readyLimit bounds the start of the system.
const readyLimit = 60 * time.Second

func startSystem(bed *testbed.Bed) (*testbed.System, error) {
	sys, err := bed.Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:    hubs,
		Workers: workers,
		Slots:   slots,
		Pools:   []string{"formula"},
		HubArgs: []string{"-drain-delay", "100ms"},
		Relayed: true,
	})
	if err != nil {
		return nil, err
	}
	if err := sys.StartAll(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	if err := testbed.Await(ctx, func() error { return putTables(sys.Hubs[0].Admin) }); err != nil {
		return nil, err
	}
	return sys, awaitReady(ctx, sys)
}

func putTables(admin string) error {
	res, err := http.Post("http://"+admin+"/admin/edits", "application/json", strings.NewReader(tables))
	if err != nil {
		return err
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return nil
}

func awaitReady(ctx context.Context, sys *testbed.System) error {
	for _, h := range sys.Hubs {
		err := testbed.Await(ctx, func() error {
			var known []struct{}
			if err := testbed.GetJSON(h.Admin, "/admin/upstreams", &known); err != nil {
				return err
			}
			if len(known) != workers {
				return fmt.Errorf("%s knows %d of %d workers", h.Name, len(known), workers)
			}
			return testbed.Ready(h.HTTP)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// load runs callers and faults until the tasks are submitted or the time is up.
func load(sys *testbed.System, cfg config, injector *injector) []*submission {
	ctx, stop := context.WithTimeout(context.Background(), cfg.duration)
	defer stop()
	var faults errgroup.Group
	faults.Go(func() error { injector.run(ctx); return nil })
	book := &book{tasks: cfg.tasks}
	var g errgroup.Group
	for i := range callers {
		c := newCaller(sys, book, cfg.seed, i)
		g.Go(func() error { c.run(ctx); return nil })
	}
	g.Wait()
	stop()
	faults.Wait()
	return book.submissions
}

// quiesce waits until all processes are back and nothing runs.
func quiesce(sys *testbed.System) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	if err := awaitReady(ctx, sys); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime lets leases end, late results arrive, and control hosts exchange
// their batches.
const settleTime = 8 * time.Second
