package main

import (
	"fmt"

	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// usage is what a process has used.
type usage struct {
	sent, received float64 // bytes on links
	cpu            float64 // seconds
}

func (u usage) less(o usage, times float64) usage {
	return usage{u.sent - o.sent*times, u.received - o.received*times, u.cpu - o.cpu*times}
}

func usageOf(p *testbed.Process) (usage, error) {
	u, err := procuse.Read(p.PID(), p.Admin)
	return usage{u.Sent, u.Received, u.CPU.Seconds()}, err
}

// usageOver returns what each process used while f ran.
func (b *bench) usageOver(f func() error) (map[string]usage, error) {
	before := make(map[string]usage)
	for _, p := range b.all() {
		u, err := usageOf(p)
		if err != nil {
			return nil, err
		}
		before[p.Name] = u
	}
	if err := f(); err != nil {
		return nil, err
	}
	out := make(map[string]usage)
	for _, p := range b.all() {
		u, err := usageOf(p)
		if err != nil {
			return nil, err
		}
		out[p.Name] = u.less(before[p.Name], 1)
	}
	return out, nil
}

func mean(of []*testbed.Process, by map[string]usage) usage {
	var sum usage
	for _, p := range of {
		sum = sum.less(by[p.Name], -1)
	}
	n := float64(len(of))
	return usage{sum.sent / n, sum.received / n, sum.cpu / n}
}

// printADay prints what a day's edits cost one process of a kind, worked out
// from what the measured edits cost beyond the idle time.
func printADay(name string, u usage) {
	perDay := float64(editsADay) / edits
	fmt.Printf("%s: %.0f bytes sent, %.0f received, %.2f ms of processor time an edit; %d edits a day: %.1f MB sent, %.1f MB received, %.0f s of processor time\n",
		name, u.sent/edits, u.received/edits, u.cpu/edits*1e3, editsADay, u.sent*perDay/1e6, u.received*perDay/1e6, u.cpu*perDay)
}

func (b *bench) printMemory() error {
	for _, p := range b.control {
		u, err := procuse.Read(p.PID(), "")
		if err != nil {
			return err
		}
		fmt.Printf("%s: resident memory %.1f MB\n", p.Name, u.Resident/1e6)
	}
	return nil
}
