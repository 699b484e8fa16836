package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// fault is one kind of failure.
type fault string

// The faults.
const (
	faultKillHub     fault = "kill a hub"
	faultKillAgent   fault = "kill an agent"
	faultFreezeHub   fault = "freeze a hub"
	faultFreezeAgent fault = "freeze an agent"
	faultCut         fault = "cut a link"
	faultSilence     fault = "silence a link one way"
	faultLose        fault = "lose a connection for good"
	faultSlow        fault = "slow a link"
	faultIsolate     fault = "isolate a hub"
)

// allFaults weighs the faults by how often they are listed.
var allFaults = []fault{
	faultKillHub, faultKillHub, faultKillAgent, faultKillAgent, faultKillAgent, faultFreezeHub, faultFreezeAgent, faultFreezeAgent,
	faultCut, faultCut, faultSilence, faultSilence, faultLose, faultLose, faultSlow, faultIsolate,
}

// Times of the faults.
const (
	minPause  = 200 * time.Millisecond
	maxPause  = 800 * time.Millisecond
	minLength = 50 * time.Millisecond
	maxLength = 4 * time.Second
	// maxRestart bounds how long a killed process is away; half of them are
	// back at once.
	maxRestart = 1500 * time.Millisecond
	slowDelay  = 30 * time.Millisecond
)

// injector breaks the system at random; the seed decides what and when.
type injector struct {
	sys  *testbed.System
	rand *rand.Rand
	// majority lets hubs be killed while another one's holder of job records
	// has not caught up: a majority may then have lost its memory.
	majority bool

	open sync.WaitGroup
	// hubs is held while a hub is down, or its holder has not caught up.
	hubs sync.Mutex

	mu     sync.Mutex // guards busy and counts
	busy   map[string]bool
	counts map[fault]int
}

func newInjector(sys *testbed.System, cfg config) *injector {
	return &injector{
		sys:      sys,
		rand:     rand.New(rand.NewPCG(cfg.seed, 0)),
		majority: cfg.majority,
		counts:   make(map[fault]int),
		busy:     make(map[string]bool),
	}
}

func (in *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		in.inject(allFaults[in.rand.IntN(len(allFaults))])
		select {
		case <-ctx.Done():
		case <-time.After(in.between(minPause, maxPause)):
		}
	}
	in.open.Wait()
}

func (in *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(in.rand.Int64N(int64(high-low)))
}

func (in *injector) inject(f fault) {
	hub := in.sys.Hubs[in.rand.IntN(hubs)]
	agent := in.sys.Agents[in.rand.IntN(workers)]
	length := in.between(minLength, maxLength)
	switch f {
	case faultKillHub:
		in.killHub(f, hub)
	case faultKillAgent:
		in.kill(f, agent)
	case faultFreezeHub:
		in.freeze(f, hub, length)
	case faultFreezeAgent:
		in.freeze(f, agent, length)
	case faultIsolate:
		in.onRelays(f, hub.Name, in.sys.RelaysOf(hub.Name), length, func(r *testbed.Relay) { r.Cut(testbed.Forward, testbed.Backward) })
	default:
		in.onLink(f, hub, agent, length)
	}
}

func (in *injector) kill(f fault, p *testbed.Process) {
	away := time.Duration(0)
	if in.rand.IntN(2) == 0 {
		away = in.between(0, maxRestart)
	}
	in.on(f, p.Name, func() {
		p.Kill()
		time.Sleep(away)
		restart(p)
	})
}

// Bounds of a restart: where the machine has no room for a process just now.
const (
	restartTries = 20
	restartWait  = time.Second
)

// restart starts a killed process, and says on standard error why it could not
// at once.
func restart(p *testbed.Process) {
	for range restartTries {
		err := p.Start()
		if err == nil {
			return
		}
		fmt.Fprintln(os.Stderr, "restart:", err)
		time.Sleep(restartWait)
	}
}

// killHub kills a hub, and unless a majority may be lost, one at a time.
func (in *injector) killHub(f fault, p *testbed.Process) {
	if in.majority {
		in.kill(f, p)
		return
	}
	if !in.hubs.TryLock() {
		return
	}
	away := in.between(0, maxRestart)
	started := in.on(f, p.Name, func() {
		defer in.hubs.Unlock()
		p.Kill()
		time.Sleep(away)
		restart(p)
		in.awaitHolders()
	})
	if !started {
		in.hubs.Unlock()
	}
}

// holderLimit bounds the wait for restarted holders; a further kill may follow
// it in any case.
const holderLimit = 30 * time.Second

// awaitHolders waits until every hub's holder of job records serves.
func (in *injector) awaitHolders() {
	ctx, cancel := context.WithTimeout(context.Background(), holderLimit)
	defer cancel()
	for _, h := range in.sys.Hubs {
		testbed.Await(ctx, func() error {
			var a node.RecordsAnswer
			err := testbed.GetJSON(h.Admin, "/admin/records", &a)
			if err == nil && !a.Serving {
				err = errAbstains
			}
			return err
		})
	}
}

var errAbstains = errors.New("the holder abstains")

func (in *injector) freeze(f fault, p *testbed.Process, length time.Duration) {
	in.on(f, p.Name, func() {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		p.Signal(syscall.SIGCONT)
	})
}

// onLink breaks the link from an agent to a hub, or in a fifth of the cases
// one between two hubs.
func (in *injector) onLink(f fault, hub, from *testbed.Process, length time.Duration) {
	if in.rand.IntN(5) == 0 {
		from = in.sys.Hubs[in.rand.IntN(hubs)]
	}
	way := testbed.Way{From: from.Name, To: hub.Name}
	r := in.sys.Relay(way)
	dir := testbed.Direction(in.rand.IntN(2))
	if r == nil {
		return
	}
	if f == faultLose {
		in.count(f)
		r.Lose()
		return
	}
	in.onRelays(f, from.Name+" "+hub.Name, []*testbed.Relay{r}, length, func(r *testbed.Relay) {
		switch f {
		case faultCut:
			r.Cut(testbed.Forward, testbed.Backward)
		case faultSilence:
			r.Cut(dir)
		case faultSlow:
			r.Slow(slowDelay)
		}
	})
}

func (in *injector) onRelays(f fault, target string, relays []*testbed.Relay, length time.Duration, apply func(*testbed.Relay)) {
	in.on(f, target, func() {
		for _, r := range relays {
			apply(r)
		}
		time.Sleep(length)
		for _, r := range relays {
			r.Heal()
		}
	})
}

// on runs a fault in the background, unless its target has one already; it
// reports whether it does.
func (in *injector) on(f fault, target string, run func()) bool {
	in.mu.Lock()
	taken := in.busy[target]
	in.busy[target] = true
	in.mu.Unlock()
	if taken {
		return false
	}
	in.count(f)
	in.open.Go(func() {
		run()
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.busy, target)
	})
	return true
}

func (in *injector) count(f fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts[f]++
}

// repair undoes what is left of the faults.
func (in *injector) repair() {
	in.open.Wait()
	for _, h := range in.sys.Hubs {
		for _, r := range in.sys.RelaysOf(h.Name) {
			r.Heal()
		}
	}
}
