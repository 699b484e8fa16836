// Benchagreement measures the agreement on routes and pools with separate processes
// on loopback: the time until an accepted edit is in force everywhere, and the
// resource usage of edits. It prints the results without checking them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// Parameters of the measurement.
const (
	routeCount           = 300
	editsPerMeasurement  = 200
	missedEdits          = 500
	editsPerDay          = 4300
	runTimeout           = 5 * time.Minute
	settleDuration       = 3 * time.Second
	idleDuration         = 5 * time.Second
	freezeSettleDuration = 4 * time.Second
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "bench-agreement:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "carawaylanding-agreement-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	s, err := newSystem(bin, dir)
	if err != nil {
		return err
	}
	defer s.bed.Close()
	if err := s.start(); err != nil {
		return err
	}
	b := &bench{system: s}
	if err := b.putRoutes(ctx); err != nil {
		return err
	}
	for _, measure := range []func(context.Context) error{b.measureCost, b.measureWithFrozenHost, b.measureRestart} {
		if err := measure(ctx); err != nil {
			return err
		}
	}
	return nil
}

// bench is the state of a measurement.
type bench struct {
	*system
	version   contract.Version
	sentEdits int
}

// putRoutes adds the routes and waits until they are in force on every process.
func (b *bench) putRoutes(ctx context.Context) error {
	e := contract.Edit{ID: "fill", PutPools: []contract.Pool{{Name: "formula"}}}
	for i := range routeCount {
		e.PutRoutes = append(e.PutRoutes, b.route(i))
	}
	return testbed.Await(ctx, func() error {
		v, err := sendEdit(ctx, b.entries[0], e)
		if err != nil {
			return err
		}
		b.version = v
		return b.awaitInForce(ctx, v, "")
	})
}

// route returns route i. Its timeout depends on the number of edits sent, so that
// each edit changes it.
func (b *bench) route(i int) contract.Route {
	return contract.Route{Name: fmt.Sprintf("route-%03d", i), Host: "desk.example", PathPrefix: fmt.Sprintf("/cards/%d", i), Pool: "formula", TimeoutMS: 1000 + b.sentEdits, ObjectiveMS: 200}
}

// sendNextEdit sends an edit of the next route through one of the first two entries,
// alternately.
func (b *bench) sendNextEdit(ctx context.Context) error {
	b.sentEdits++
	e := contract.Edit{ID: contract.EditID(fmt.Sprint("e", b.sentEdits)), Base: b.version, PutRoutes: []contract.Route{b.route(b.sentEdits % routeCount)}}
	v, err := sendEdit(ctx, b.entries[b.sentEdits%2], e)
	b.version = max(v, b.version)
	return err
}

// measureEdits sends edits one after another and prints the time until an edit is
// accepted and the time from then until it is in force on every process except absent.
func (b *bench) measureEdits(ctx context.Context, what, absent string) error {
	var accepted, inForce []time.Duration
	for range editsPerMeasurement {
		began := time.Now()
		if err := b.sendNextEdit(ctx); err != nil {
			return err
		}
		answered := time.Now()
		if err := b.awaitInForce(ctx, b.version, absent); err != nil {
			return err
		}
		accepted = append(accepted, answered.Sub(began))
		inForce = append(inForce, time.Since(answered))
	}
	fmt.Printf("%s: %d edits; time to accept p50 %v, max %v; then time until in force on every live process p50 %v, max %v (target 1s, bound 4s)\n",
		what, editsPerMeasurement, median(accepted), slices.Max(accepted), median(inForce), slices.Max(inForce))
	return nil
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2].Round(10 * time.Microsecond)
}

// measureCost measures edits with all hosts running, and then prints the rate and the
// traffic and CPU time of edits, less the usage of idle processes.
func (b *bench) measureCost(ctx context.Context) error {
	if err := b.measureEdits(ctx, "all hosts", ""); err != nil {
		return err
	}
	time.Sleep(settleDuration)
	idle, err := b.usageOver(func() error { time.Sleep(idleDuration); return nil })
	if err != nil {
		return err
	}
	var took time.Duration
	busy, err := b.usageOver(func() error {
		began := time.Now()
		for range editsPerMeasurement {
			if err := b.sendNextEdit(ctx); err != nil {
				return err
			}
		}
		took = time.Since(began)
		return b.awaitInForce(ctx, b.version, "")
	})
	if err != nil {
		return err
	}
	fmt.Printf("one operator: %.0f edits per second with %d routes\n", editsPerMeasurement/took.Seconds(), routeCount)
	for _, g := range []struct {
		name string
		of   []*testbed.Process
	}{{"control host", b.control}, {"entry", b.entries}, {"agent", b.agents}} {
		printDailyCost(g.name, meanUsage(g.of, busy).minusScaled(meanUsage(g.of, idle), took.Seconds()/idleDuration.Seconds()))
	}
	return b.printMemory()
}

// measureWithFrozenHost measures edits with one control host frozen, immediately
// after the freeze and again after freezeSettleDuration.
func (b *bench) measureWithFrozenHost(ctx context.Context) error {
	p := b.control[controlHosts-1]
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer p.Signal(syscall.SIGCONT)
	if err := b.measureEdits(ctx, "one control host just frozen", p.Name); err != nil {
		return err
	}
	time.Sleep(freezeSettleDuration)
	return b.measureEdits(ctx, "one control host frozen for a while", p.Name)
}

// measureRestart prints the time and the traffic that an entry needs to become ready
// after a restart in which it missed edits.
func (b *bench) measureRestart(ctx context.Context) error {
	p := b.entries[entryHosts-1]
	p.Kill()
	for range missedEdits {
		if err := b.sendNextEdit(ctx); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := p.Start(); err != nil {
		return err
	}
	err := testbed.Await(ctx, func() error { return testbed.Ready(p.HTTP) })
	if err != nil {
		return err
	}
	took := time.Since(began)
	u, err := readUsage(p)
	if err != nil {
		return err
	}
	fmt.Printf("entry restarted %d edits behind: ready after %v, %.0f bytes received by then\n", missedEdits, took.Round(time.Millisecond), u.received)
	return nil
}
