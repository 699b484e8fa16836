// Bench runs a small system of separate processes on loopback and prints one
// of two measurements: "entry", the lag that the system adds to short work at
// half load, and "idle", what an idle agent uses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// The system that is measured.
const (
	hubs    = 3
	workers = 4
	slots   = 8
)

// benchLimit bounds one run.
const benchLimit = 2 * time.Minute

const benchTables = `{
  "routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}],
  "pools": [{"name": "formula"}]
}`

var benches = map[string]func(context.Context, *testbed.System) error{
	"entry": benchEntry,
	"idle":  benchIdle,
}

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	bench, ok := benches[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "name a measurement: entry or idle")
		os.Exit(2)
	}
	if err := run(*bin, bench); err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
}

func run(bin string, bench func(context.Context, *testbed.System) error) error {
	dir, err := os.MkdirTemp("", "carawaylanding-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), benchLimit)
	defer cancel()
	bed := testbed.New(bin, dir)
	defer bed.Close()
	sys, err := bed.Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:    hubs,
		Workers: workers,
		Slots:   slots,
		Pools:   []string{"formula"},
	})
	if err != nil {
		return err
	}
	if err := sys.StartAll(); err != nil {
		return err
	}
	if err := prepare(ctx, sys); err != nil {
		return err
	}
	fmt.Printf("%d cores; load averages %s; %d entry and control hosts, %d workers of %d slots\n", runtime.NumCPU(), loadAverages(), hubs, workers, slots)
	return bench(ctx, sys)
}

// loadAverages tells how busy the machine was as the run began.
func loadAverages() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// prepare puts the tables in and waits until they are in force on every
// process.
func prepare(ctx context.Context, sys *testbed.System) error {
	file := filepath.Join(sys.Dir, "tables.json")
	if err := os.WriteFile(file, []byte(benchTables), 0o600); err != nil {
		return err
	}
	for _, h := range sys.Hubs {
		if err := testbed.Await(ctx, func() error { return apply(ctx, sys, h, file) }); err != nil {
			return err
		}
	}
	return nil
}

func apply(ctx context.Context, sys *testbed.System, h *testbed.Process, file string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(sys.Bin, "carawayctl"), "-admin", h.Admin, "apply", "-f", file, "-wait", "-wait-limit", "1s")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if want := fmt.Sprintf("of %d processes", hubs+workers); !strings.Contains(string(out), want) {
		return fmt.Errorf("%s does not know all processes yet: %s", h.Name, out)
	}
	return testbed.Ready(h.HTTP)
}
