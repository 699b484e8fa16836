// Package loadlab simulates the schedulers of package dispatch in virtual time, with
// several entries, workers with service times, and network latencies. It compares their
// response times with the floor: the response times of a clairvoyant reference schedule.
// No other part of the system runs in the simulation.
package loadlab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Site describes the size and network of one installation.
type Site struct {
	Name    string
	Domains int
	// Latency is the one-way latency between failure domains, and LocalLatency that
	// within one.
	Latency      time.Duration
	LocalLatency time.Duration
	Entries      int
	Workers      int
	Slots        int // per worker
}

// The current installations.
var (
	Bagmati = Site{Name: "bagmati", Domains: 4, Latency: 1500 * time.Microsecond, LocalLatency: 100 * time.Microsecond, Entries: 3, Workers: 11, Slots: 8}
	Bayern  = Site{Name: "bayern", Domains: 3, Latency: time.Millisecond, LocalLatency: 100 * time.Microsecond, Entries: 3, Workers: 11, Slots: 8}
)

// Fault is a fault that is injected into a run, half-way through its span.
type Fault string

// The faults. FaultWrongDeclarations lasts for the whole run.
const (
	FaultNone              Fault = "none"
	FaultSlow              Fault = "slow-worker"
	FaultFailing           Fault = "failing-worker"
	FaultEntryLost         Fault = "entry-lost"
	FaultWrongDeclarations Fault = "declared-wrong"
	FaultBurst             Fault = "burst"
	FaultCancel            Fault = "cancel-wave"
	// FaultCombined combines all faults except FaultBurst.
	FaultCombined Fault = "together"
)

// Faults lists all faults.
var Faults = []Fault{FaultNone, FaultSlow, FaultFailing, FaultEntryLost, FaultWrongDeclarations, FaultBurst, FaultCancel, FaultCombined}

// Config holds the settings of a run.
type Config struct {
	Site   Site
	Policy Policy
	Load   float64 // offered work over capacity
	Fault  Fault
	Seed   uint64
	// Span is the time during which jobs arrive. Jobs that arrive during the first Warmup
	// are not measured.
	Span   time.Duration
	Warmup time.Duration
	// Deadline is the time from the arrival of a job to its deadline.
	Deadline time.Duration
}

const (
	minTaskTime = 50 * time.Millisecond
	maxTaskTime = time.Second
	// tailShare is the share of the tasks that take from minTailTime to maxTailTime.
	tailShare   = 0.03
	minTailTime = 2 * time.Second
	maxTailTime = 5 * time.Second
	// declaredSigma is the standard deviation of the logarithm of declared over true run
	// time, unless the fault makes declarations wrong.
	declaredSigma = 0.3
	burstFactor   = 5
	burstDuration = 2 * time.Second
	teamCount     = 57
)

// jobSizes lists classes of job sizes and their shares. Sizes within a class are
// uniformly distributed.
var jobSizes = []struct {
	share    float64
	min, max int
}{
	{0.50, 1, 1},
	{0.30, 2, 10},
	{0.15, 11, 50},
	{0.05, 51, contract.MaxTasks},
}

// meanTaskTime returns the mean run time of a task. It is log-uniform for most tasks, and
// uniform for those in the tail.
func meanTaskTime() time.Duration {
	body := (maxTaskTime - minTaskTime).Seconds() / math.Log(maxTaskTime.Seconds()/minTaskTime.Seconds())
	tail := (minTailTime + maxTailTime).Seconds() / 2
	return time.Duration(((1-tailShare)*body + tailShare*tail) * float64(time.Second))
}

// meanJobSize returns the mean number of tasks of a job.
func meanJobSize() float64 {
	sum := 0.0
	for _, c := range jobSizes {
		sum += c.share * float64(c.min+c.max) / 2
	}
	return sum
}

// simJob is one job of the workload.
type simJob struct {
	id       contract.JobID
	at       time.Duration
	team     string
	work     []time.Duration
	declared []contract.Demand
	total    time.Duration // sum of work
}

// workload draws the jobs of a run. They depend on the seed, the load, the span, the
// site's capacity and the fault, but not on the policy, so that all policies are
// compared on the same jobs.
func workload(cfg Config) []*simJob {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	slots := float64(cfg.Site.Workers * cfg.Site.Slots)
	perSecond := cfg.Load * slots / (meanJobSize() * meanTaskTime().Seconds())
	var jobs []*simJob
	at := time.Duration(0)
	for {
		rate := perSecond
		if cfg.Fault == FaultBurst && at >= cfg.Span/2 && at < cfg.Span/2+burstDuration {
			rate *= burstFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= cfg.Span {
			return jobs
		}
		jobs = append(jobs, drawJob(cfg, rng, len(jobs), at))
	}
}

func drawJob(cfg Config, rng *rand.Rand, n int, at time.Duration) *simJob {
	j := &simJob{id: contract.JobID(fmt.Sprintf("j%06d", n)), at: at, team: fmt.Sprintf("team%02d", rng.IntN(teamCount))}
	for range drawJobSize(rng) {
		w := drawTaskTime(rng)
		j.work = append(j.work, w)
		j.total += w
		j.declared = append(j.declared, contract.Demand{Slots: 1, DeclaredMillis: drawDeclaredMillis(cfg.Fault, rng, w)})
	}
	return j
}

func drawJobSize(rng *rand.Rand) int {
	u := rng.Float64()
	for _, c := range jobSizes {
		if u < c.share {
			return c.min + rng.IntN(c.max-c.min+1)
		}
		u -= c.share
	}
	return 1
}

func drawTaskTime(rng *rand.Rand) time.Duration {
	if rng.Float64() < tailShare {
		return minTailTime + time.Duration(rng.Int64N(int64(maxTailTime-minTailTime)))
	}
	ratio := math.Pow(maxTaskTime.Seconds()/minTaskTime.Seconds(), rng.Float64())
	return time.Duration(float64(minTaskTime) * ratio)
}

// drawDeclaredMillis draws the declared run time of a task. Under
// FaultWrongDeclarations and FaultCombined it is wrong by a factor from 0.1 to 10.
func drawDeclaredMillis(f Fault, rng *rand.Rand, work time.Duration) int {
	factor := math.Exp(declaredSigma * rng.NormFloat64())
	if f == FaultWrongDeclarations || f == FaultCombined {
		factor = math.Pow(10, 2*rng.Float64()-1)
	}
	return max(1, int(float64(work.Milliseconds())*factor))
}
