package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/carawaylanding/carawaylanding/contract"
)

// The size to design for.
const (
	designWorkers = 7000
	designStarts  = 200_000 // task starts a second at the peak
	designDomains = 22
	designEdits   = 4300 // configuration changes a day
)

// The shape that carries it: entries in each failure domain, and the entries
// that each worker is linked to.
const (
	entriesPerDomain = 3
	designEntries    = entriesPerDomain * designDomains
	linksPerWorker   = 2
	workersPerEntry  = designWorkers * linksPerWorker / designEntries
	startsPerEntry   = designStarts / designEntries
	// peerLinks are an entry's links with the other entries: each dials each.
	peerLinks = 2 * (designEntries - 1)
	// linksPerEntry are all links of an entry.
	linksPerEntry   = workersPerEntry + peerLinks
	startsPerWorker = designStarts / designWorkers
)

// The budget of one daemon for control.
const (
	budgetCPU    = 0.034    // share of a core
	budgetMemory = 32 << 20 // bytes
	budgetBytes  = 9_000    // bytes a second
)

const (
	secondsPerDay = 86_400
	// recordHolders is the number of entries that hold one job's record.
	recordHolders = 3
	// recordSeconds is how long a record is kept: the retention after a
	// deadline of 30 s.
	recordSeconds = 630
	// designJobs is the number of jobs a second when all are of the largest
	// size.
	designJobs = designStarts / contract.MaxTasks
	// recordsPerEntry is the number of records that one entry holds when each
	// job has its own holders among the entries.
	recordsPerEntry = designJobs * recordSeconds * recordHolders / designEntries
)

// line is one figure at the size to design for. A zero budget means that the
// figure is of the work itself, which no budget bounds.
type line struct {
	role, what, unit string
	value, budget    float64
}

func (l line) verdict() string {
	switch {
	case l.budget == 0:
		return "work"
	case l.value <= l.budget:
		return "within"
	}
	return "EXCEEDS"
}

// slopesByName finds slopes by name, size and unit.
type slopesByName map[string]slope

func index(all []slope) slopesByName {
	m := make(slopesByName, len(all))
	for _, s := range all {
		m[s.name+"|"+s.size+"|"+s.unit] = s
	}
	return m
}

func (m slopesByName) at(name, size, unit string, n float64) (float64, error) {
	s, ok := m[name+"|"+size+"|"+unit]
	if !ok {
		return 0, fmt.Errorf("no slope %s by %s in %s", name, size, unit)
	}
	return s.at(n), nil
}

// workoutItem says which slope gives a line, and at what size.
type workoutItem struct {
	role, what       string
	slope, per, unit string
	size             float64
	budget           float64
}

var workoutItems = []workoutItem{
	{"entry", "resident, idle", "entry memory", "idle worker", "bytes", linksPerEntry, budgetMemory},
	{"entry", "processor, idle links", "entry processor time", "idle worker", "core share", linksPerEntry, budgetCPU},
	{"entry", "links, idle", "entry link traffic", "idle worker", "bytes/s", linksPerEntry, budgetBytes},
	{"entry", "processor, starts at the peak", "entry processor time", "start/s", "core share", startsPerEntry, 0},
	{"entry", "links, starts at the peak", "entry link traffic", "start/s", "bytes/s", startsPerEntry, 0},
	{"entry", "one decision", "scheduler decision", "worker known", "ns", workersPerEntry, 0},
	{"agent", "processor, starts at the peak", "agent processor time", "start/s", "core share", startsPerWorker, 0},
	{"entry", "job records, jobs of 150 tasks", "holder memory, jobs of 150 tasks", "record", "bytes", recordsPerEntry, budgetMemory},
	{"control", "ledger disk, starts at the peak, a second", "ledger file", "outcome", "bytes", designStarts, 0},
	{"control", "agreed value of 1,000 routes", "tables value", "route", "bytes", 1000, 0},
}

// workout returns the lines at the size to design for.
func workout(all []slope) ([]line, error) {
	m := index(all)
	var out []line
	for _, it := range workoutItems {
		v, err := m.at(it.slope, it.per, it.unit, it.size)
		if err != nil {
			return nil, err
		}
		out = append(out, line{it.role, it.what, it.unit, v, it.budget})
	}
	delta, err := m.at("tables delta", "changed route", "bytes", 1)
	if err != nil {
		return nil, err
	}
	out = append(out, line{"entry", "deltas to its workers", "bytes/s", delta * designEdits * workersPerEntry / secondsPerDay, budgetBytes})
	sync, err := m.at("ledger sync", "outcome in the batch", "ns", designStarts)
	if err != nil {
		return nil, err
	}
	out = append(out, line{"control", "ledger, starts at the peak, one sync a second", "core share", sync / nsPerSecond, budgetCPU})
	return out, nil
}

func printWorkout(out io.Writer, lines []line) {
	fmt.Fprintf(out, "\nat %d workers, %d starts/s, %d entries, %d links a worker: %d workers, %d links and %d starts/s an entry\n",
		designWorkers, designStarts, designEntries, linksPerWorker, workersPerEntry, linksPerEntry, startsPerEntry)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tWHAT\tVALUE\tUNIT\tBUDGET\tVERDICT")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%.4g\t%s\n", l.role, l.what, l.value, l.unit, l.budget, l.verdict())
	}
	w.Flush()
}
