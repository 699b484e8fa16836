// Capacity measures, on one machine and with small stand-ins, how the costs of
// each role grow, and prints the slopes and what they come to at the size to
// design for.
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
	lines, err := workout(all)
	if err != nil {
		return err
	}
	printWorkout(os.Stdout, lines)
	return nil
}

func newBed(bin, dir string) (*testbed.Bed, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return testbed.New(bin, dir), nil
}

// made is a slope or why there is none.
type made struct {
	slope slope
	err   error
}

func slopeOf(name, size, unit string, points []point) made {
	s, err := newSlope(name, size, unit, points)
	return made{s, err}
}

func collect(all ...made) ([]slope, error) {
	out := make([]slope, 0, len(all))
	for _, m := range all {
		if m.err != nil {
			return nil, m.err
		}
		out = append(out, m.slope)
	}
	return out, nil
}
