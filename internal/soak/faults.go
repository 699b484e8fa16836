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

// fault is a kind of injected fault.
type fault string

// The kinds of faults.
const (
	faultKillHub     fault = "kill a hub"
	faultKillAgent   fault = "kill an agent"
	faultFreezeHub   fault = "freeze a hub"
	faultFreezeAgent fault = "freeze an agent"
	faultCut         fault = "cut a link"
	faultSilence     fault = "silence a link one way"
	faultBlackhole   fault = "blackhole the connections of a link"
	faultSlow        fault = "slow a link"
	faultIsolate     fault = "isolate a hub"
)

// weightedFaults lists the faults, each repeated in proportion to its frequency.
var weightedFaults = []fault{
	faultKillHub, faultKillHub, faultKillAgent, faultKillAgent, faultKillAgent, faultFreezeHub, faultFreezeAgent, faultFreezeAgent,
	faultCut, faultCut, faultSilence, faultSilence, faultBlackhole, faultBlackhole, faultSlow, faultIsolate,
}

// Timing of the faults.
const (
	minPause         = 200 * time.Millisecond
	maxPause         = 800 * time.Millisecond
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxRestartDelay bounds the time until a killed process is restarted. Agents, and
	// hubs with allowMajorityLoss, are restarted immediately in half of the cases.
	maxRestartDelay = 1500 * time.Millisecond
	linkDelay       = 30 * time.Millisecond
)

// injector injects random faults into a system. The seed determines the faults and
// their times.
type injector struct {
	sys  *testbed.System
	rand *rand.Rand
	// allowMajorityLoss allows killing a hub while the record holder of another hub
	// has not recovered. A majority of the holders may then have lost its job records,
	// which are kept in memory.
	allowMajorityLoss bool

	activeFaults sync.WaitGroup
	// hubKill is locked while a hub is down or its record holder has not recovered,
	// unless allowMajorityLoss is set.
	hubKill sync.Mutex

	mu            sync.Mutex // guards faultyTargets and counts
	faultyTargets map[string]bool
	counts        map[fault]int
}

func newInjector(sys *testbed.System, cfg config) *injector {
	return &injector{
		sys:               sys,
		rand:              rand.New(rand.NewPCG(cfg.seed, 0)),
		allowMajorityLoss: cfg.allowMajorityLoss,
		counts:            make(map[fault]int),
		faultyTargets:     make(map[string]bool),
	}
}

func (in *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		in.inject(weightedFaults[in.rand.IntN(len(weightedFaults))])
		select {
		case <-ctx.Done():
		case <-time.After(in.randomDuration(minPause, maxPause)):
		}
	}
	in.activeFaults.Wait()
}

func (in *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(in.rand.Int64N(int64(high-low)))
}

func (in *injector) inject(f fault) {
	hub := in.sys.Hubs[in.rand.IntN(hubs)]
	agent := in.sys.Agents[in.rand.IntN(workers)]
	duration := in.randomDuration(minFaultDuration, maxFaultDuration)
	switch f {
	case faultKillHub:
		in.killHub(f, hub)
	case faultKillAgent:
		in.kill(f, agent)
	case faultFreezeHub:
		in.freeze(f, hub, duration)
	case faultFreezeAgent:
		in.freeze(f, agent, duration)
	case faultIsolate:
		in.disruptRelays(f, hub.Name, in.sys.RelaysOf(hub.Name), duration, func(r *testbed.Relay) { r.Cut(testbed.Forward, testbed.Backward) })
	default:
		in.disruptLink(f, hub, agent, duration)
	}
}

func (in *injector) kill(f fault, p *testbed.Process) {
	downtime := time.Duration(0)
	if in.rand.IntN(2) == 0 {
		downtime = in.randomDuration(0, maxRestartDelay)
	}
	in.runInBackground(f, p.Name, func() {
		p.Kill()
		time.Sleep(downtime)
		restart(p)
	})
}

// Limits of the restart of a process, which may fail while the machine is short of
// resources.
const (
	maxRestartAttempts   = 20
	restartRetryInterval = time.Second
)

// restart starts a killed process, and retries if that fails. It prints each failure
// to standard error.
func restart(p *testbed.Process) {
	for range maxRestartAttempts {
		err := p.Start()
		if err == nil {
			return
		}
		fmt.Fprintln(os.Stderr, "restart:", err)
		time.Sleep(restartRetryInterval)
	}
}

// killHub kills and restarts a hub. Unless allowMajorityLoss is set, it does nothing
// while another hub is down or its record holder has not recovered.
func (in *injector) killHub(f fault, p *testbed.Process) {
	if in.allowMajorityLoss {
		in.kill(f, p)
		return
	}
	if !in.hubKill.TryLock() {
		return
	}
	downtime := in.randomDuration(0, maxRestartDelay)
	started := in.runInBackground(f, p.Name, func() {
		defer in.hubKill.Unlock()
		p.Kill()
		time.Sleep(downtime)
		restart(p)
		in.awaitRecordHolders()
	})
	if !started {
		in.hubKill.Unlock()
	}
}

// holderTimeout bounds the wait for the record holders after a restart. Once it has
// passed, another hub may be killed even if they have not recovered.
const holderTimeout = 30 * time.Second

// awaitRecordHolders waits until the record holder of every hub votes, for at most
// holderTimeout.
func (in *injector) awaitRecordHolders() {
	ctx, cancel := context.WithTimeout(context.Background(), holderTimeout)
	defer cancel()
	for _, h := range in.sys.Hubs {
		testbed.Await(ctx, func() error {
			var a node.RecordsAnswer
			err := testbed.GetJSON(h.Admin, "/admin/records", &a)
			if err == nil && !a.Serving {
				err = errNotServing
			}
			return err
		})
	}
}

var errNotServing = errors.New("the record holder does not vote yet")

func (in *injector) freeze(f fault, p *testbed.Process, duration time.Duration) {
	in.runInBackground(f, p.Name, func() {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.Signal(syscall.SIGCONT)
	})
}

// disruptLink disrupts the link from an agent to a hub or, in a fifth of the cases,
// from one hub to another.
func (in *injector) disruptLink(f fault, hub, from *testbed.Process, duration time.Duration) {
	if in.rand.IntN(5) == 0 {
		from = in.sys.Hubs[in.rand.IntN(hubs)]
	}
	key := testbed.RelayKey{From: from.Name, To: hub.Name}
	r := in.sys.Relay(key)
	dir := testbed.Direction(in.rand.IntN(2))
	if r == nil {
		return
	}
	if f == faultBlackhole {
		in.count(f)
		r.BlackholeConns()
		return
	}
	in.disruptRelays(f, from.Name+" "+hub.Name, []*testbed.Relay{r}, duration, func(r *testbed.Relay) {
		switch f {
		case faultCut:
			r.Cut(testbed.Forward, testbed.Backward)
		case faultSilence:
			r.Cut(dir)
		case faultSlow:
			r.Slow(linkDelay)
		}
	})
}

func (in *injector) disruptRelays(f fault, target string, relays []*testbed.Relay, duration time.Duration, apply func(*testbed.Relay)) {
	in.runInBackground(f, target, func() {
		for _, r := range relays {
			apply(r)
		}
		time.Sleep(duration)
		for _, r := range relays {
			r.Heal()
		}
	})
}

// runInBackground runs a fault in the background and returns true. If the target has
// an active fault, it returns false.
func (in *injector) runInBackground(f fault, target string, run func()) bool {
	in.mu.Lock()
	active := in.faultyTargets[target]
	in.faultyTargets[target] = true
	in.mu.Unlock()
	if active {
		return false
	}
	in.count(f)
	in.activeFaults.Go(func() {
		run()
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.faultyTargets, target)
	})
	return true
}

func (in *injector) count(f fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts[f]++
}

// healAll waits for the active faults to end and heals all relays.
func (in *injector) healAll() {
	in.activeFaults.Wait()
	for _, h := range in.sys.Hubs {
		for _, r := range in.sys.RelaysOf(h.Name) {
			r.Heal()
		}
	}
}
