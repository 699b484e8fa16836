package main

import (
	"fmt"

	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// usage is the resource usage of a process.
type usage struct {
	sent, received float64 // bytes on links
	cpu            float64 // seconds
}

// minusScaled returns u - o*factor.
func (u usage) minusScaled(o usage, factor float64) usage {
	return usage{u.sent - o.sent*factor, u.received - o.received*factor, u.cpu - o.cpu*factor}
}

func readUsage(p *testbed.Process) (usage, error) {
	u, err := procuse.Read(p.PID(), p.Admin)
	return usage{u.Sent, u.Received, u.CPU.Seconds()}, err
}

// usageOver returns the usage of each process, by name, while f ran.
func (b *bench) usageOver(f func() error) (map[string]usage, error) {
	before := make(map[string]usage)
	for _, p := range b.all() {
		u, err := readUsage(p)
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
		u, err := readUsage(p)
		if err != nil {
			return nil, err
		}
		out[p.Name] = u.minusScaled(before[p.Name], 1)
	}
	return out, nil
}

// meanUsage returns the mean of the usages of the given processes.
func meanUsage(procs []*testbed.Process, usages map[string]usage) usage {
	var sum usage
	for _, p := range procs {
		sum = sum.minusScaled(usages[p.Name], -1)
	}
	n := float64(len(procs))
	return usage{sum.sent / n, sum.received / n, sum.cpu / n}
}

// printDailyCost prints the usage per edit and its extrapolation to editsPerDay edits.
// u is the usage of editsPerMeasurement edits without the usage of idle processes.
func printDailyCost(name string, u usage) {
	perDay := float64(editsPerDay) / editsPerMeasurement
	fmt.Printf("%s: %.0f bytes sent, %.0f received, %.2f ms CPU time per edit; with %d edits per day: %.1f MB sent, %.1f MB received, %.0f s CPU time\n",
		name, u.sent/editsPerMeasurement, u.received/editsPerMeasurement, u.cpu/editsPerMeasurement*1e3, editsPerDay, u.sent*perDay/1e6, u.received*perDay/1e6, u.cpu*perDay)
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
