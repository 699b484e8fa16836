package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// idleSettleDuration is how long the processes run before the measurement, and
// idleMeasureDuration how long they are measured.
const (
	idleSettleDuration  = 5 * time.Second
	idleMeasureDuration = 20 * time.Second
)

// Targets for an idle agent.
const (
	targetMiB         = 32
	targetCPUPercent  = 3.4 // percent of one core
	targetKBPerSecond = 9   // kilobytes per second, in both directions
)

// benchIdle measures the resource usage of idle processes.
func benchIdle(ctx context.Context, sys *testbed.System) error {
	fmt.Printf("idle for %v; target for an agent: %d MiB, %.1f%% of a core, %d kB/s\n", idleMeasureDuration, targetMiB, targetCPUPercent, targetKBPerSecond)
	if !sleepContext(ctx, idleSettleDuration) {
		return ctx.Err()
	}
	procs := append(append([]*testbed.Process{}, sys.Agents...), sys.Hubs...)
	before, err := readUsages(procs)
	if err != nil {
		return err
	}
	if !sleepContext(ctx, idleMeasureDuration) {
		return ctx.Err()
	}
	after, err := readUsages(procs)
	if err != nil {
		return err
	}
	for i, p := range procs {
		r := procuse.Between(before[i], after[i])
		fmt.Printf("%s: %.1f MiB resident, %.2f%% of a core, %.2f kB/s on links\n", p.Name, after[i].Resident/(1<<20), 100*r.CPU, r.Bytes/1000)
	}
	return nil
}

// sleepContext sleeps for d. It returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func readUsages(procs []*testbed.Process) ([]procuse.Usage, error) {
	var out []procuse.Usage
	for _, p := range procs {
		u, err := procuse.Read(p.PID(), p.Admin)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.Name, err)
		}
		out = append(out, u)
	}
	return out, nil
}
