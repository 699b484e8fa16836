package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/carawaylanding/carawaylanding/contract"
)

// The design size.
const (
	designWorkers = 7000
	designStarts  = 200_000 // task starts per second at peak
	designDomains = 22
	designEdits   = 4300 // edits per day
)

// The topology for the design size: the entries in each failure domain and the
// entries that each worker links to.
const (
	entriesPerDomain = 3
	designEntries    = entriesPerDomain * designDomains
	linksPerWorker   = 2
	workersPerEntry  = designWorkers * linksPerWorker / designEntries
	startsPerEntry   = designStarts / designEntries
	// peerLinks is the number of links between an entry and the other entries: two for
	// each other entry, as each of the two dials the other.
	peerLinks = 2 * (designEntries - 1)
	// linksPerEntry is the number of all links of an entry.
	linksPerEntry   = workersPerEntry + peerLinks
	startsPerWorker = designStarts / designWorkers
)

// The resource budget of one process for control work, without the tasks themselves.
const (
	cpuBudget     = 0.034    // share of one core
	memoryBudget  = 32 << 20 // bytes
	trafficBudget = 9_000    // bytes per second
)

const (
	secondsPerDay = 86_400
	// recordHolders is the number of entries that hold one job's record.
	recordHolders = 3
	// recordRetentionSeconds is how long a record is kept: a deadline of 30 s plus the
	// retention period of 600 s.
	recordRetentionSeconds = 630
	// designJobs is the number of jobs per second if all jobs have the maximum size.
	designJobs = designStarts / contract.MaxTasks
	// recordsPerEntry is the number of records at one entry if the records are spread
	// evenly over the entries.
	recordsPerEntry = designJobs * recordRetentionSeconds * recordHolders / designEntries
)

// figure is a projected value at the design size. A zero budget means that the value
// has no budget, such as the usage by the tasks themselves; its verdict is "work".
type figure struct {
	role, what, unit string
	value, budget    float64
}

func (f figure) verdict() string {
	switch {
	case f.budget == 0:
		return "work"
	case f.value <= f.budget:
		return "within"
	}
	return "EXCEEDS"
}

// slopesByName holds slopes by name, size and unit.
type slopesByName map[string]slope

func indexSlopes(all []slope) slopesByName {
	m := make(slopesByName, len(all))
	for _, s := range all {
		m[s.name+"|"+s.size+"|"+s.unit] = s
	}
	return m
}

// at returns the cost at size n according to the given slope.
func (m slopesByName) at(name, size, unit string, n float64) (float64, error) {
	s, ok := m[name+"|"+size+"|"+unit]
	if !ok {
		return 0, fmt.Errorf("no slope %q by %q in %q", name, size, unit)
	}
	return s.at(n), nil
}

// projectionItem defines a figure by a slope, identified by slope, per and unit, and
// the size to project it to.
type projectionItem struct {
	role, what       string
	slope, per, unit string
	size             float64
	budget           float64
}

var projectionItems = []projectionItem{
	{"entry", "resident, idle", "entry memory", "idle worker", "bytes", linksPerEntry, memoryBudget},
	{"entry", "processor, idle links", "entry processor time", "idle worker", "core share", linksPerEntry, cpuBudget},
	{"entry", "links, idle", "entry link traffic", "idle worker", "bytes/s", linksPerEntry, trafficBudget},
	{"entry", "processor, starts at the peak", "entry processor time", "start/s", "core share", startsPerEntry, 0},
	{"entry", "links, starts at the peak", "entry link traffic", "start/s", "bytes/s", startsPerEntry, 0},
	{"entry", "one decision", "scheduler decision", "worker known", "ns", workersPerEntry, 0},
	{"agent", "processor, starts at the peak", "agent processor time", "start/s", "core share", startsPerWorker, 0},
	{"entry", "job records, jobs of 150 tasks", "holder memory, jobs of 150 tasks", "record", "bytes", recordsPerEntry, memoryBudget},
	{"control", "ledger disk, starts at the peak, a second", "ledger file", "outcome", "bytes", designStarts, 0},
	{"control", "agreed value of 1,000 routes", "tables value", "route", "bytes", 1000, 0},
}

// project returns the figures at the design size.
func project(all []slope) ([]figure, error) {
	m := indexSlopes(all)
	var out []figure
	for _, it := range projectionItems {
		v, err := m.at(it.slope, it.per, it.unit, it.size)
		if err != nil {
			return nil, err
		}
		out = append(out, figure{it.role, it.what, it.unit, v, it.budget})
	}
	delta, err := m.at("tables delta", "changed route", "bytes", 1)
	if err != nil {
		return nil, err
	}
	out = append(out, figure{"entry", "deltas to its workers", "bytes/s", delta * designEdits * workersPerEntry / secondsPerDay, trafficBudget})
	sync, err := m.at("ledger sync", "outcome in the batch", "ns", designStarts)
	if err != nil {
		return nil, err
	}
	out = append(out, figure{"control", "ledger, starts at the peak, one sync a second", "core share", sync / nsPerSecond, cpuBudget})
	return out, nil
}

func printProjection(out io.Writer, figures []figure) {
	fmt.Fprintf(out, "\nat %d workers, %d starts/s, %d entries, %d links per worker: %d workers, %d links and %d starts/s per entry\n",
		designWorkers, designStarts, designEntries, linksPerWorker, workersPerEntry, linksPerEntry, startsPerEntry)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tWHAT\tVALUE\tUNIT\tBUDGET\tVERDICT")
	for _, f := range figures {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%.4g\t%s\n", f.role, f.what, f.value, f.unit, f.budget, f.verdict())
	}
	w.Flush()
}
