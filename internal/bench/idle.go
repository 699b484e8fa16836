package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// How long the processes settle, and are measured.
const (
	idleSettle  = 5 * time.Second
	idleMeasure = 20 * time.Second
)

// Targets of an idle agent.
const (
	targetMiB   = 32
	targetCPU   = 3.4 // percent of a core
	targetBytes = 9   // kilobytes a second, both ways
)

// benchIdle measures what idle processes use.
func benchIdle(ctx context.Context, sys *testbed.System) error {
	fmt.Printf("idle for %v; target of an agent: %d MiB, %.1f%% of a core, %d kB/s\n", idleMeasure, targetMiB, targetCPU, targetBytes)
	if !pause(ctx, idleSettle) {
		return ctx.Err()
	}
	procs := append(append([]*testbed.Process{}, sys.Agents...), sys.Hubs...)
	before, err := readAll(procs)
	if err != nil {
		return err
	}
	if !pause(ctx, idleMeasure) {
		return ctx.Err()
	}
	after, err := readAll(procs)
	if err != nil {
		return err
	}
	for i, p := range procs {
		r := procuse.Between(before[i], after[i])
		fmt.Printf("%s: %.1f MiB resident, %.2f%% of a core, %.2f kB/s on links\n", p.Name, after[i].Resident/(1<<20), 100*r.CPU, r.Bytes/1000)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func readAll(procs []*testbed.Process) ([]procuse.Usage, error) {
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
