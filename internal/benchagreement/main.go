// Benchagreement measures the agreement on routes and pools with real
// processes on loopback: how soon an accepted edit is in force everywhere, and
// what edits cost. It prints its figures and checks none.
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

// Sizes of the measurement.
const (
	rows         = 300
	edits        = 200
	missed       = 500
	editsADay    = 4300
	runLimit     = 5 * time.Minute
	settleTime   = 3 * time.Second
	idleTime     = 5 * time.Second
	freezeSettle = 4 * time.Second
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
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
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
	if err := b.fill(ctx); err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{b.cost, b.frozen, b.restart} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// bench is a measurement in progress.
type bench struct {
	*system
	version contract.Version
	sent    int
}

// fill puts the rows in force.
func (b *bench) fill(ctx context.Context) error {
	e := contract.Edit{ID: "fill", PutPools: []contract.Pool{{Name: "formula"}}}
	for i := range rows {
		e.PutRoutes = append(e.PutRoutes, b.route(i))
	}
	return testbed.Await(ctx, func() error {
		v, err := edit(ctx, b.entries[0], e)
		if err != nil {
			return err
		}
		b.version = v
		return b.awaitInForce(ctx, v, "")
	})
}

func (b *bench) route(i int) contract.Route {
	return contract.Route{Name: fmt.Sprintf("route-%03d", i), Host: "desk.example", PathPrefix: fmt.Sprintf("/cards/%d", i), Pool: "formula", TimeoutMS: 1000 + b.sent, ObjectiveMS: 200}
}

// next makes the next edit, of one row, through one of the entries in turn.
func (b *bench) next(ctx context.Context) error {
	b.sent++
	e := contract.Edit{ID: contract.EditID(fmt.Sprint("e", b.sent)), Base: b.version, PutRoutes: []contract.Route{b.route(b.sent % rows)}}
	v, err := edit(ctx, b.entries[b.sent%2], e)
	b.version = max(v, b.version)
	return err
}

// measure makes edits one after the other and prints how long each took to be
// accepted, and then to be in force everywhere.
func (b *bench) measure(ctx context.Context, what, absent string) error {
	var accepted, inForce []time.Duration
	for range edits {
		began := time.Now()
		if err := b.next(ctx); err != nil {
			return err
		}
		answered := time.Now()
		if err := b.awaitInForce(ctx, b.version, absent); err != nil {
			return err
		}
		accepted = append(accepted, answered.Sub(began))
		inForce = append(inForce, time.Since(answered))
	}
	fmt.Printf("%s: %d edits; accepted after p50 %v, max %v; then in force on every live process after p50 %v, max %v (target 1s, bound 4s)\n",
		what, edits, median(accepted), slices.Max(accepted), median(inForce), slices.Max(inForce))
	return nil
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2].Round(10 * time.Microsecond)
}

// cost prints the time to force with all hosts, then the rate, bytes and
// processor time of edits alone.
func (b *bench) cost(ctx context.Context) error {
	if err := b.measure(ctx, "all hosts", ""); err != nil {
		return err
	}
	time.Sleep(settleTime)
	idle, err := b.usageOver(func() error { time.Sleep(idleTime); return nil })
	if err != nil {
		return err
	}
	var took time.Duration
	busy, err := b.usageOver(func() error {
		began := time.Now()
		for range edits {
			if err := b.next(ctx); err != nil {
				return err
			}
		}
		took = time.Since(began)
		return b.awaitInForce(ctx, b.version, "")
	})
	if err != nil {
		return err
	}
	fmt.Printf("one operator: %.0f edits a second with %d rows\n", edits/took.Seconds(), rows)
	for _, g := range []struct {
		name string
		of   []*testbed.Process
	}{{"control host", b.control}, {"entry", b.entries}, {"agent", b.agents}} {
		printADay(g.name, mean(g.of, busy).less(mean(g.of, idle), took.Seconds()/idleTime.Seconds()))
	}
	return b.printMemory()
}

// frozen prints the time to force with one control host frozen.
func (b *bench) frozen(ctx context.Context) error {
	p := b.control[controlHosts-1]
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer p.Signal(syscall.SIGCONT)
	if err := b.measure(ctx, "one control host frozen just now", p.Name); err != nil {
		return err
	}
	time.Sleep(freezeSettle)
	return b.measure(ctx, "one control host frozen for long", p.Name)
}

// restart prints what it costs an entry to start again after the edits that it
// missed.
func (b *bench) restart(ctx context.Context) error {
	p := b.entries[entryHosts-1]
	p.Kill()
	for range missed {
		if err := b.next(ctx); err != nil {
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
	u, err := usageOf(p)
	if err != nil {
		return err
	}
	fmt.Printf("an entry that starts %d edits behind: ready after %v, %.0f bytes received by then\n", missed, took.Round(time.Millisecond), u.received)
	return nil
}
