package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// launch restarts processes that have exited: launch NAME...
func (env *environment) launch(args []string) error {
	return env.forEachProcess(args, (*testbed.Process).Start)
}

// kill kills processes with SIGKILL: kill-process NAME...
func (env *environment) kill(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		p.Kill()
		delete(env.frozen, p.Name)
		return nil
	})
}

// terminate sends SIGTERM, which makes processes drain, without waiting for them to
// exit: drain NAME...
func (env *environment) terminate(args []string) error { return env.signal(args, syscall.SIGTERM) }

// freeze suspends processes with SIGSTOP, and returns once they have stopped:
// freeze NAME...
func (env *environment) freeze(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		if err := p.Freeze(); err != nil {
			return err
		}
		env.frozen[p.Name] = p
		return nil
	})
}

// thaw resumes frozen processes with SIGCONT: thaw NAME...
func (env *environment) thaw(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		delete(env.frozen, p.Name)
		return p.Signal(syscall.SIGCONT)
	})
}

// checkFrozen returns an error if a process that the script has frozen runs: the
// results of the script then say nothing about the system.
func (env *environment) checkFrozen() error {
	for name, p := range env.frozen {
		frozen, err := p.Frozen()
		if err == nil && !frozen {
			err = errors.New("it was resumed from outside the script: look for the sender of SIGCONT")
		}
		if err != nil {
			return fmt.Errorf("%s is no longer frozen: %w", name, err)
		}
	}
	return nil
}

// loseDisk empties the data directories of killed hosts: lose-disk HOST...
func (env *environment) loseDisk(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		data := filepath.Join(env.dir, p.Name)
		if err := os.RemoveAll(data); err != nil {
			return err
		}
		return os.Mkdir(data, 0o755)
	})
}

func (env *environment) signal(names []string, s syscall.Signal) error {
	return env.forEachProcess(names, func(p *testbed.Process) error { return p.Signal(s) })
}

// waitStopped waits until processes have exited: wait-stopped NAME...
func (env *environment) waitStopped(args []string) error {
	ctx, cancel := context.WithTimeout(env.ctx, waitTimeout)
	defer cancel()
	return env.forEachProcess(args, func(p *testbed.Process) error { return p.Wait(ctx) })
}

// link is a relay between two processes, as seen from the first one.
type link struct {
	relay    *testbed.Relay
	outgoing testbed.Direction // from the first process to the second
}

// linksBetween returns the links between two processes, regardless of which one
// dialed.
func (env *environment) linksBetween(a, b string) ([]link, error) {
	var out []link
	if r := env.sys.Relay(testbed.RelayKey{From: a, To: b}); r != nil {
		out = append(out, link{relay: r, outgoing: testbed.Forward})
	}
	if r := env.sys.Relay(testbed.RelayKey{From: b, To: a}); r != nil {
		out = append(out, link{relay: r, outgoing: testbed.Backward})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no link between %q and %q", a, b)
	}
	return out, nil
}

// cut blocks all bytes between two processes: cut A B.
func (env *environment) cut(args []string) error {
	return env.forEachLink(args, "cut A B", func(l link) { l.relay.Cut(testbed.Forward, testbed.Backward) })
}

// silence blocks the bytes from one process to another: silence FROM TO.
func (env *environment) silence(args []string) error {
	return env.forEachLink(args, "silence FROM TO", func(l link) { l.relay.Cut(l.outgoing) })
}

// lose silences the open connections between two processes permanently, while new
// connections work: lose A B.
func (env *environment) lose(args []string) error {
	return env.forEachLink(args, "lose A B", func(l link) { l.relay.BlackholeConns() })
}

// slow delays the bytes between two processes in both directions: slow A B DELAY.
func (env *environment) slow(args []string) error {
	if err := checkArgCount(args, 3, "slow A B DELAY"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return env.forEachLink(args[:2], "slow A B DELAY", func(l link) { l.relay.Slow(d) })
}

func (env *environment) forEachLink(args []string, usage string, f func(link)) error {
	if err := checkArgCount(args, 2, usage); err != nil {
		return err
	}
	links, err := env.linksBetween(args[0], args[1])
	if err != nil {
		return err
	}
	for _, l := range links {
		f(l)
	}
	return nil
}

// isolate blocks all bytes on all links of processes: isolate NAME...
func (env *environment) isolate(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		for _, r := range env.sys.RelaysOf(p.Name) {
			r.Cut(testbed.Forward, testbed.Backward)
		}
		return nil
	})
}

// heal undoes cut, silence, slow and isolate, for one link or for all links of
// processes: heal A B, or heal NAME.
func (env *environment) heal(args []string) error {
	if len(args) == 2 {
		return env.forEachLink(args, "heal A B", func(l link) { l.relay.Heal() })
	}
	return env.forEachProcess(args, func(p *testbed.Process) error {
		for _, r := range env.sys.RelaysOf(p.Name) {
			r.Heal()
		}
		return nil
	})
}

// pass sleeps, for failures that depend on elapsed time: pass DURATION.
func (env *environment) pass(args []string) error {
	if err := checkArgCount(args, 1, "pass DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}
