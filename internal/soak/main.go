// Soak sends many short tasks through a system of separate processes, and kills,
// freezes and partitions the processes at random. It then checks the answers to the
// callers and the ledger against the starts that the upstreams counted.
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

// config holds the command-line flags.
type config struct {
	seed              uint64
	maxTasks          int
	duration          time.Duration
	brokenGate        bool
	allowMajorityLoss bool
}

// Size of the system under test.
const (
	hubs    = 3
	workers = 11
	slots   = 8
)

func main() {
	var cfg config
	flag.Uint64Var(&cfg.seed, "seed", 1, "seed of the random faults and submissions")
	flag.IntVar(&cfg.maxTasks, "tasks", 20_000, "number of tasks to submit")
	flag.DurationVar(&cfg.duration, "duration", 120*time.Second, "stop submitting after this time, whatever the number of tasks")
	flag.BoolVar(&cfg.brokenGate, "broken", false, "build the agent with a start gate that reports started tasks as fenced, and pass only if violations are found")
	flag.BoolVar(&cfg.allowMajorityLoss, "lose-majority", false, "also kill hubs while the record holders of others recover: a majority may lose its job records, and jobs with a key are then refused for a long time")
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
	if err := buildPrograms(dir, cfg.brokenGate); err != nil {
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
	injector.healAll()
	if err := quiesce(sys); err != nil {
		return err
	}
	report := audit(sys, submissions)
	report.faults = injector.counts
	report.elapsed = time.Since(began)
	report.print(cfg)
	return checkReport(cfg, report)
}

// checkReport returns an error if there were violations or too few tasks. With a
// broken gate it returns an error if there were no violations.
func checkReport(cfg config, r *report) error {
	switch {
	case cfg.brokenGate && r.violations() == 0:
		return errors.New("no violation found in the build with the broken gate")
	case cfg.brokenGate:
		fmt.Println("violations found in the build with the broken gate, as expected")
		return nil
	case r.violations() > 0:
		return fmt.Errorf("%d violations", r.violations())
	case r.tasks < cfg.maxTasks:
		return fmt.Errorf("only %d of %d tasks were submitted: raise -duration", r.tasks, cfg.maxTasks)
	}
	return nil
}

// buildPrograms builds the programs into dir.
func buildPrograms(dir string, broken bool) error {
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

const initialTables = `{"id": "first", "put_pools": [{"name": "formula"}],
  "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}]}`

// readyTimeout bounds the wait until the system is ready.
const readyTimeout = 60 * time.Second

func startSystem(bed *testbed.Bed) (*testbed.System, error) {
	sys, err := bed.Build(testbed.Plan{
		Domains:    []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:       hubs,
		Workers:    workers,
		Slots:      slots,
		Pools:      []string{"formula"},
		HubArgs:    []string{"-drain-delay", "100ms"},
		WithRelays: true,
	})
	if err != nil {
		return nil, err
	}
	if err := sys.StartAll(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := testbed.Await(ctx, func() error { return putTables(sys.Hubs[0].Admin) }); err != nil {
		return nil, err
	}
	return sys, awaitReady(ctx, sys)
}

func putTables(admin string) error {
	res, err := http.Post("http://"+admin+"/admin/edits", "application/json", strings.NewReader(initialTables))
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

// load runs the callers and injects faults until all tasks are submitted or
// cfg.duration has passed.
func load(sys *testbed.System, cfg config, injector *injector) []*submission {
	ctx, stop := context.WithTimeout(context.Background(), cfg.duration)
	defer stop()
	var faults errgroup.Group
	faults.Go(func() error { injector.run(ctx); return nil })
	log := &submissionLog{maxTasks: cfg.maxTasks}
	var g errgroup.Group
	for i := range callers {
		c := newCaller(sys, log, cfg.seed, i)
		g.Go(func() error { c.run(ctx); return nil })
	}
	g.Wait()
	stop()
	faults.Wait()
	return log.submissions
}

// quiesce waits until all processes are ready and no task runs.
func quiesce(sys *testbed.System) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := awaitReady(ctx, sys); err != nil {
		return err
	}
	time.Sleep(settleDuration)
	return nil
}

// settleDuration is long enough for leases to expire, late results to arrive, and
// control hosts to exchange their ledger batches.
const settleDuration = 8 * time.Second
