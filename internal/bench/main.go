// Bench runs a small system of separate processes on loopback and prints one of two
// measurements: "entry", the lag that the system adds to short tasks at half load,
// or "idle", the resource usage of idle processes.
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

// Size of the measured system.
const (
	hubs    = 3
	workers = 4
	slots   = 8
)

// benchTimeout bounds one measurement.
const benchTimeout = 2 * time.Minute

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
		fmt.Fprintln(os.Stderr, "unknown measurement: use entry or idle")
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
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
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
	if err := applyTablesEverywhere(ctx, sys); err != nil {
		return err
	}
	fmt.Printf("%d cores; load averages %s; %d entry and control hosts, %d workers of %d slots\n", runtime.NumCPU(), loadAverages(), hubs, workers, slots)
	return bench(ctx, sys)
}

// loadAverages returns the machine's load averages at the start of the measurement.
func loadAverages() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

// applyTablesEverywhere applies the tables through each hub and waits until they are
// in force on every process.
func applyTablesEverywhere(ctx context.Context, sys *testbed.System) error {
	file := filepath.Join(sys.Dir, "tables.json")
	if err := os.WriteFile(file, []byte(benchTables), 0o600); err != nil {
		return err
	}
	for _, h := range sys.Hubs {
		if err := testbed.Await(ctx, func() error { return applyTables(ctx, sys, h, file) }); err != nil {
			return err
		}
	}
	return nil
}

func applyTables(ctx context.Context, sys *testbed.System, h *testbed.Process, file string) error {
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
