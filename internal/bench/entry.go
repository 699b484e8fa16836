package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/load"
)

// The load of the measurement. entryLoadShare is the share of the slots that the
// load occupies on average.
const (
	entryWork      = 50 * time.Millisecond
	entryDuration  = 10 * time.Second
	entryLoadShare = 0.5
)

// Targets for the lag.
const (
	targetP50 = 2 * time.Millisecond
	targetP99 = 10 * time.Millisecond
)

// benchEntry measures the lag of answers at half load: the response time minus the
// work time entryWork.
func benchEntry(ctx context.Context, sys *testbed.System) error {
	var entries []string
	for _, h := range sys.Hubs {
		entries = append(entries, h.HTTP)
	}
	var upstreams []string
	for _, u := range sys.Upstreams {
		upstreams = append(upstreams, u.HTTP)
	}
	fmt.Printf("work of %v, %.0f Poisson arrivals per second for %v; target lag p50 %v, p99 %v\n", entryWork, entryMix(0).Rate, entryDuration, targetP50, targetP99)
	for _, b := range []struct {
		name    string
		singles float64
		direct  bool
		targets []string
	}{
		{"single requests directly to the upstreams, for comparison", 1, true, upstreams},
		{"single requests through the entries", 1, false, entries},
		{"jobs of one task through the entries", 0, false, entries},
	} {
		mix := entryMix(b.singles)
		mix.TargetsAreUpstreams = b.direct
		rep, err := load.Run(ctx, load.Config{Mix: mix, Targets: b.targets})
		if err != nil {
			return err
		}
		printEntry(b.name, rep)
	}
	return nil
}

// entryMix returns the load with the given share of single requests.
func entryMix(singles float64) load.Mix {
	return load.Mix{
		Seed:        1,
		Arrivals:    load.Poisson,
		Rate:        entryLoadShare * workers * slots / entryWork.Seconds(),
		Duration:    entryDuration,
		MaxArrivals: 1 << 20,
		Work:        load.WorkDistribution{{Share: 1, Median: entryWork}},
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
	fmt.Printf("%s: %d sent, %d complete, %d wrong, refused %v\n", name, r.Sent, l.Count(), r.Faults, r.Refused)
	for _, e := range r.Examples {
		fmt.Println("  wrong:", e)
	}
	fmt.Printf("  lag from the scheduled time: p50 %v, p95 %v, p99 %v; mean ratio to the ideal time %.3f\n", l.Lag(50), l.Lag(95), l.Lag(99), l.MeanRatio())
	fmt.Printf("  lag from the send time: p50 %v, p95 %v, p99 %v\n", l.LagWithoutSendDelay(50), l.LagWithoutSendDelay(95), l.LagWithoutSendDelay(99))
}
