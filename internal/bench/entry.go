package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/load"
)

// The load of the measurement: at half load half of the slots work.
const (
	entryWork     = 50 * time.Millisecond
	entryDuration = 10 * time.Second
	entryShare    = 0.5
)

// Targets of the lag.
const (
	targetP50 = 2 * time.Millisecond
	targetP99 = 10 * time.Millisecond
)

// benchEntry measures the lag of answers behind work of 50 ms at half load.
func benchEntry(ctx context.Context, sys *testbed.System) error {
	var targets []string
	for _, h := range sys.Hubs {
		targets = append(targets, h.HTTP)
	}
	var direct []string
	for _, u := range sys.Upstreams {
		direct = append(direct, u.HTTP)
	}
	fmt.Printf("work of %v, %.0f arrivals a second by a Poisson law for %v; target of the lag p50 %v, p99 %v\n", entryWork, entryMix(0).Rate, entryDuration, targetP50, targetP99)
	for _, b := range []struct {
		name    string
		singles float64
		bare    bool
		targets []string
	}{
		{"single requests straight to the upstreams, for comparison", 1, true, direct},
		{"single requests through the entries", 1, false, targets},
		{"jobs of one task through the entries", 0, false, targets},
	} {
		mix := entryMix(b.singles)
		mix.Bare = b.bare
		rep, err := load.Run(ctx, load.Config{Mix: mix, Targets: b.targets})
		if err != nil {
			return err
		}
		printEntry(b.name, rep)
	}
	return nil
}

func entryMix(singles float64) load.Mix {
	return load.Mix{
		Seed:        1,
		Arrivals:    load.Poisson,
		Rate:        entryShare * workers * slots / entryWork.Seconds(),
		Duration:    entryDuration,
		MaxArrivals: 1 << 20,
		Work:        load.Work{{Share: 1, Median: entryWork}},
		MinTasks:    1,
		MaxTasks:    1,
		SingleShare: singles,
		Deadline:    10 * time.Second,
		Route:       "cards",
		Path:        "/cards/bench",
		Teams:       []string{"bench"},
	}
}

func printEntry(name string, r *load.Report) {
	l := r.Jobs
	if r.Singles.Count() > 0 {
		l = r.Singles
	}
	fmt.Printf("%s: %d sent, %d whole, %d wrong, refused %v\n", name, r.Sent, l.Count(), r.Faults, r.Refused)
	for _, e := range r.Examples {
		fmt.Println("  wrong:", e)
	}
	fmt.Printf("  lag from when due: p50 %v, p95 %v, p99 %v; mean ratio to the ideal %.3f\n", l.Lag(50), l.Lag(95), l.Lag(99), l.MeanRatio())
	fmt.Printf("  lag from when the tool sent: p50 %v, p95 %v, p99 %v\n", l.LagFromSent(50), l.LagFromSent(95), l.LagFromSent(99))
}
