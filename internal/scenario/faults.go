package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// launch starts processes that have ended: launch NAME...
func (w *world) launch(args []string) error { return w.each(args, (*testbed.Process).Start) }

// kill kills processes at once: kill-process NAME...
func (w *world) kill(args []string) error {
	return w.each(args, func(p *testbed.Process) error {
		p.Kill()
		return nil
	})
}

// terminate asks processes to drain, and does not wait: drain NAME...
func (w *world) terminate(args []string) error { return w.signal(args, syscall.SIGTERM) }

// freeze stops processes without ending them: freeze NAME...
func (w *world) freeze(args []string) error { return w.signal(args, syscall.SIGSTOP) }

// thaw lets frozen processes go on: thaw NAME...
func (w *world) thaw(args []string) error { return w.signal(args, syscall.SIGCONT) }

// loseDisk empties the data folder of a killed host: lose-disk HOST.
func (w *world) loseDisk(args []string) error {
	return w.each(args, func(p *testbed.Process) error {
		data := filepath.Join(w.dir, p.Name)
		if err := os.RemoveAll(data); err != nil {
			return err
		}
		return os.Mkdir(data, 0o755)
	})
}

func (w *world) signal(names []string, s syscall.Signal) error {
	return w.each(names, func(p *testbed.Process) error { return p.Signal(s) })
}

// waitStopped waits for the end of processes: wait-stopped NAME...
func (w *world) waitStopped(args []string) error {
	ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
	defer cancel()
	return w.each(args, func(p *testbed.Process) error { return p.Ended(ctx) })
}

// link is one relay between two processes, as seen from the first.
type link struct {
	relay    *testbed.Relay
	outgoing testbed.Direction
}

// between returns the links between two processes, whichever dialed.
func (w *world) between(a, b string) ([]link, error) {
	var out []link
	if r := w.sys.Relay(testbed.Way{From: a, To: b}); r != nil {
		out = append(out, link{relay: r, outgoing: testbed.Forward})
	}
	if r := w.sys.Relay(testbed.Way{From: b, To: a}); r != nil {
		out = append(out, link{relay: r, outgoing: testbed.Backward})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("there is no link between %q and %q", a, b)
	}
	return out, nil
}

// cut holds back all bytes between two processes: cut A B.
func (w *world) cut(args []string) error {
	return w.onLinks(args, "cut A B", func(l link) { l.relay.Cut(testbed.Forward, testbed.Backward) })
}

// silence holds back the bytes from the first to the second: silence FROM TO.
func (w *world) silence(args []string) error {
	return w.onLinks(args, "silence FROM TO", func(l link) { l.relay.Cut(l.outgoing) })
}

// lose makes the open connections between two processes silent for good, while
// new ones work: lose A B.
func (w *world) lose(args []string) error {
	return w.onLinks(args, "lose A B", func(l link) { l.relay.Lose() })
}

// slow delays the bytes between two processes: slow A B DELAY.
func (w *world) slow(args []string) error {
	if err := need(args, 3, "slow A B DELAY"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return w.onLinks(args[:2], "slow A B DELAY", func(l link) { l.relay.Slow(d) })
}

func (w *world) onLinks(args []string, usage string, f func(link)) error {
	if err := need(args, 2, usage); err != nil {
		return err
	}
	links, err := w.between(args[0], args[1])
	if err != nil {
		return err
	}
	for _, l := range links {
		f(l)
	}
	return nil
}

// isolate cuts all links of processes: isolate NAME...
func (w *world) isolate(args []string) error {
	return w.each(args, func(p *testbed.Process) error {
		for _, r := range w.sys.RelaysOf(p.Name) {
			r.Cut(testbed.Forward, testbed.Backward)
		}
		return nil
	})
}

// heal undoes cut, silence, slow and isolate: heal A B, or heal NAME.
func (w *world) heal(args []string) error {
	if len(args) == 2 {
		return w.onLinks(args, "heal A B", func(l link) { l.relay.Heal() })
	}
	return w.each(args, func(p *testbed.Process) error {
		for _, r := range w.sys.RelaysOf(p.Name) {
			r.Heal()
		}
		return nil
	})
}

// pass lets time pass where the failure is a matter of time: pass DURATION.
func (w *world) pass(args []string) error {
	if err := need(args, 1, "pass DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}
