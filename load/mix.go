// Package load drives a running system with a stated mix of jobs and single
// requests, in an open loop: each arrival has its time before the run begins,
// and its answer is timed from then, whether or not earlier ones are answered.
// The upstreams must obey work_ms and echo as internal/standin does.
package load

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Arrivals is the law of the arrivals.
type Arrivals string

// The laws of the arrivals.
const (
	// Poisson has independent arrivals at a constant rate.
	Poisson Arrivals = "poisson"
	// Bursty has independent arrivals whose rate rises for BurstLength in each
	// BurstEvery, by BurstFactor; the mean stays Rate.
	Bursty Arrivals = "bursty"
)

// Mix states what a run sends.
type Mix struct {
	Seed     uint64
	Arrivals Arrivals
	// Rate is the mean number of arrivals a second.
	Rate        float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
	// Duration and MaxArrivals bound the run; whichever comes first.
	Duration    time.Duration
	MaxArrivals int

	// Work is the law of a task's time.
	Work Work
	// MinTasks and MaxTasks bound a job's size, which is log-uniform.
	MinTasks, MaxTasks int
	// SingleShare of the arrivals are single requests.
	SingleShare float64
	// CancelShare of the arrivals are left by the caller before their end.
	CancelShare float64
	// Deadline of each arrival.
	Deadline time.Duration
	// Keyed gives each job an Idempotency-Key.
	Keyed bool

	// Bare says that the targets are upstreams themselves, for comparison:
	// their answers state no outcome.
	Bare bool
	// Route is the route of the jobs, Path the path of single requests.
	Route, Path string
	Teams       []string
}

// Work is a mixture of lognormal laws.
type Work []Component

// Component is one lognormal law and its share of the mixture.
type Component struct {
	Share  float64
	Median time.Duration
	Sigma  float64
}

// Bounds of a task's time, whatever the law gives.
const (
	minWork = 50 * time.Millisecond
	maxWork = 8 * time.Second
)

// DefaultWork is mostly short tasks and a few of several seconds.
const DefaultWork = "0.92:150ms:0.6,0.08:2s:0.4"

// ParseWork reads the form share:median:sigma, comma-separated.
func ParseWork(s string) (Work, error) {
	var w Work
	for part := range strings.SplitSeq(s, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != 3 {
			return nil, fmt.Errorf("work %q: write share:median:sigma, such as 0.9:150ms:0.6", part)
		}
		share, err1 := strconv.ParseFloat(fields[0], 64)
		median, err2 := time.ParseDuration(fields[1])
		sigma, err3 := strconv.ParseFloat(fields[2], 64)
		if err := errors.Join(err1, err2, err3); err != nil || share <= 0 || median <= 0 || sigma < 0 {
			return nil, fmt.Errorf("work %q: give a share over 0, a median such as 150ms and a sigma of 0 or more", part)
		}
		w = append(w, Component{Share: share, Median: median, Sigma: sigma})
	}
	return w, nil
}

// Validate reports every fault of the mix with its remedy.
func (m Mix) Validate() error {
	var faults []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	check(m.Arrivals == Poisson || m.Arrivals == Bursty, "arrivals %q is not known: give poisson or bursty", m.Arrivals)
	check(m.Rate > 0, "rate %v: give a number over 0", m.Rate)
	check(m.Duration > 0 && m.MaxArrivals > 0, "the run has no bound: give a duration and a count over 0")
	check(len(m.Work) > 0, "work is empty: give a law such as %s", DefaultWork)
	check(m.MinTasks >= 1 && m.MaxTasks >= m.MinTasks && m.MaxTasks <= contract.MaxTasks, "job sizes %d to %d: give 1 to %d", m.MinTasks, m.MaxTasks, contract.MaxTasks)
	check(m.SingleShare >= 0 && m.SingleShare <= 1, "share of single requests %v: give 0 to 1", m.SingleShare)
	check(m.CancelShare >= 0 && m.CancelShare <= 1, "share of cancels %v: give 0 to 1", m.CancelShare)
	check(m.Deadline > 0 && m.Deadline <= contract.MaxDeadline, "deadline %v: give up to %v", m.Deadline, contract.MaxDeadline)
	check(len(m.Teams) > 0, "no team: name one or more")
	check(m.SingleShare == 0 || strings.HasPrefix(m.Path, "/"), "path %q: give the path of the single requests, such as /cards", m.Path)
	check(m.SingleShare == 1 || m.Route != "", "no route: name the route of the jobs")
	check(!m.Bare || m.SingleShare == 1, "bare upstreams take no jobs: set the share of single requests to 1")
	if m.Arrivals == Bursty {
		check(m.BurstLength > 0 && m.BurstEvery > m.BurstLength && m.BurstFactor > 1, "bursts of %v in each %v by %v: give a length under the interval and a factor over 1", m.BurstLength, m.BurstEvery, m.BurstFactor)
	}
	return errors.Join(faults...)
}
