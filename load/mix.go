// Package load is an open-loop load generator. It sends a configured mix of jobs and
// single requests to a running system and checks and measures the answers. The
// schedule of arrivals is fixed in advance and does not wait for answers, and the
// response time of each arrival is measured from its scheduled time. The upstreams
// must implement the payload fields work_ms and echo like internal/standin.
package load

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// ArrivalProcess is the type of the arrival process.
type ArrivalProcess string

// The arrival processes.
const (
	// Poisson generates independent arrivals at a constant rate.
	Poisson ArrivalProcess = "poisson"
	// Bursty generates independent arrivals whose rate is multiplied by BurstFactor for
	// the first BurstLength of each BurstEvery. The mean rate is still Rate.
	Bursty ArrivalProcess = "bursty"
)

// Mix describes the load of a run. Equal mixes generate equal arrivals.
type Mix struct {
	Seed     uint64
	Arrivals ArrivalProcess
	// Rate is the mean number of arrivals per second.
	Rate        float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
	// Duration and MaxArrivals limit the run; it ends at whichever is reached first.
	Duration    time.Duration
	MaxArrivals int

	// Work is the distribution of a task's work, which is its run time at the upstream.
	Work WorkDistribution
	// MinTasks and MaxTasks are the bounds of the number of tasks of a job, which has a
	// log-uniform distribution.
	MinTasks, MaxTasks int
	// SingleShare is the share of the arrivals that are single requests, from 0 to 1.
	SingleShare float64
	// CancelShare is the share of the arrivals whose caller disconnects before the work
	// ends, from 0 to 1.
	CancelShare float64
	// Deadline is the time limit that is sent with each request.
	Deadline time.Duration
	// IdempotencyKeys is set if each job is sent with an Idempotency-Key.
	IdempotencyKeys bool

	// TargetsAreUpstreams is set if the targets are upstreams instead of entries, as a
	// baseline for comparison. The answers of upstreams have no outcome header.
	TargetsAreUpstreams bool
	// Route is the route of the jobs, and Path the path of the single requests.
	Route, Path string
	// Teams lists the teams, one of which is drawn at random for each arrival.
	Teams []string
}

// WorkDistribution is a mixture of lognormal distributions.
type WorkDistribution []Component

// Component is one lognormal distribution and its share of the mixture. Shares are
// relative to the sum of all shares.
type Component struct {
	Share  float64
	Median time.Duration
	Sigma  float64
}

// Bounds of a task's work. Values drawn outside of them are clamped.
const (
	minWork = 50 * time.Millisecond
	maxWork = 8 * time.Second
)

// DefaultWork describes mostly short tasks and a few that take several seconds.
const DefaultWork = "0.92:150ms:0.6,0.08:2s:0.4"

// ParseWork parses a comma-separated list of components of the form
// share:median:sigma.
func ParseWork(s string) (WorkDistribution, error) {
	var w WorkDistribution
	for component := range strings.SplitSeq(s, ",") {
		fields := strings.Split(component, ":")
		if len(fields) != 3 {
			return nil, fmt.Errorf("work %q: write share:median:sigma, such as 0.9:150ms:0.6", component)
		}
		share, err1 := strconv.ParseFloat(fields[0], 64)
		median, err2 := time.ParseDuration(fields[1])
		sigma, err3 := strconv.ParseFloat(fields[2], 64)
		if err := errors.Join(err1, err2, err3); err != nil || share <= 0 || median <= 0 || sigma < 0 {
			return nil, fmt.Errorf("work %q: give a share over 0, a median such as 150ms and a sigma of 0 or more", component)
		}
		w = append(w, Component{Share: share, Median: median, Sigma: sigma})
	}
	return w, nil
}

// Validate returns an error that joins all invalid values of the mix, each with the
// accepted values.
func (m Mix) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(m.Arrivals == Poisson || m.Arrivals == Bursty, "unknown arrival process %q: give poisson or bursty", m.Arrivals)
	check(m.Rate > 0, "rate %v: give a number over 0", m.Rate)
	check(m.Duration > 0 && m.MaxArrivals > 0, "the run has no bound: give a duration and a maximum number of arrivals over 0")
	check(len(m.Work) > 0, "work is empty: give a distribution such as %s", DefaultWork)
	check(m.MinTasks >= 1 && m.MaxTasks >= m.MinTasks && m.MaxTasks <= contract.MaxTasks, "job sizes %d to %d: give 1 to %d", m.MinTasks, m.MaxTasks, contract.MaxTasks)
	check(m.SingleShare >= 0 && m.SingleShare <= 1, "share of single requests %v: give 0 to 1", m.SingleShare)
	check(m.CancelShare >= 0 && m.CancelShare <= 1, "share of cancelled arrivals %v: give 0 to 1", m.CancelShare)
	check(m.Deadline > 0 && m.Deadline <= contract.MaxDeadline, "deadline %v: give up to %v", m.Deadline, contract.MaxDeadline)
	check(len(m.Teams) > 0, "no team: give one or more")
	check(m.SingleShare == 0 || strings.HasPrefix(m.Path, "/"), "path %q: give the path of the single requests, such as /cards", m.Path)
	check(m.SingleShare == 1 || m.Route != "", "no route: give the route of the jobs")
	check(!m.TargetsAreUpstreams || m.SingleShare == 1, "upstreams as targets accept no jobs: set the share of single requests to 1")
	if m.Arrivals == Bursty {
		check(m.BurstLength > 0 && m.BurstEvery > m.BurstLength && m.BurstFactor > 1, "bursts of length %v every %v with factor %v: give a length under the interval and a factor over 1", m.BurstLength, m.BurstEvery, m.BurstFactor)
	}
	return errors.Join(errs...)
}
