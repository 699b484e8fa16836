// Capacity measures, on one machine and with small systems, how the resource usage
// of each role grows with its load. It prints the slopes and their projection to the
// design size.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "carawaylanding-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var all []slope
	measures := []func() ([]slope, error){
		wireSlopes,
		queueSlopes,
		tableSlopes,
		recordSlopes,
		func() ([]slope, error) { return ledgerSlopes(dir) },
		func() ([]slope, error) { return workerSlopes(ctx, bin, dir) },
		func() ([]slope, error) { return startSlopes(ctx, bin, dir+"/starts") },
	}
	for _, measure := range measures {
		slopes, err := measure()
		if err != nil {
			return err
		}
		all = append(all, slopes...)
	}
	printSlopes(os.Stdout, all)
	figures, err := project(all)
	if err != nil {
		return err
	}
	printProjection(os.Stdout, figures)
	return nil
}

func newBed(bin, dir string) (*testbed.Bed, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return testbed.New(bin, dir), nil
}

// slopeResult is the result of slopeOf.
type slopeResult struct {
	slope slope
	err   error
}

// slopeOf is newSlope with one result, for collectSlopes.
func slopeOf(name, size, unit string, points []point) slopeResult {
	s, err := newSlope(name, size, unit, points)
	return slopeResult{s, err}
}

// collectSlopes returns the slopes, or the first error.
func collectSlopes(all ...slopeResult) ([]slope, error) {
	out := make([]slope, 0, len(all))
	for _, m := range all {
		if m.err != nil {
			return nil, m.err
		}
		out = append(out, m.slope)
	}
	return out, nil
}
