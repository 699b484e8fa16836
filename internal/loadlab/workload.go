// Package loadlab drives the schedulers of package dispatch under fake time,
// with fake upstreams that have service times, several entries and network
// latencies, and compares them with a clairvoyant floor. It runs nothing else
// of the system.
package loadlab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Site is the shape of one installation.
type Site struct {
	Name    string
	Domains int
	// Latency is one way between failure domains, and local within one.
	Latency time.Duration
	Local   time.Duration
	Entries int
	Workers int
	Slots   int
}

// The two sites of today.
var (
	Bagmati = Site{Name: "bagmati", Domains: 4, Latency: 1500 * time.Microsecond, Local: 100 * time.Microsecond, Entries: 3, Workers: 11, Slots: 8}
	Bayern  = Site{Name: "bayern", Domains: 3, Latency: time.Millisecond, Local: 100 * time.Microsecond, Entries: 3, Workers: 11, Slots: 8}
)

// Fault is what goes wrong in a run.
type Fault string

// The faults.
const (
	FaultNone     Fault = "none"
	FaultSlow     Fault = "slow-worker"
	FaultFailing  Fault = "failing-worker"
	FaultEntry    Fault = "entry-lost"
	FaultDeclared Fault = "declared-wrong"
	FaultBurst    Fault = "burst"
	FaultCancel   Fault = "cancel-wave"
	// FaultTogether is all of them but the burst.
	FaultTogether Fault = "together"
)

// Faults lists them all.
var Faults = []Fault{FaultNone, FaultSlow, FaultFailing, FaultEntry, FaultDeclared, FaultBurst, FaultCancel, FaultTogether}

// Config is one run.
type Config struct {
	Site   Site
	Policy Policy
	Load   float64
	Fault  Fault
	Seed   uint64
	// Span is how long jobs arrive; those of the first Warmup are not counted.
	Span   time.Duration
	Warmup time.Duration
	// Deadline is each job's, from its arrival.
	Deadline time.Duration
}

const (
	minTask = 50 * time.Millisecond
	maxTask = time.Second
	// tailShare is the part of tasks that take from minTail to maxTail.
	tailShare = 0.03
	minTail   = 2 * time.Second
	maxTail   = 5 * time.Second
	// declaredSpread is the standard deviation of the logarithm of declared
	// over true run time where declarations are about right.
	declaredSpread = 0.3
	burstFactor    = 5
	burstSpan      = 2 * time.Second
	teams          = 57
)

// jobSizes are the classes of job sizes with their shares.
var jobSizes = []struct {
	share    float64
	min, max int
}{
	{0.50, 1, 1},
	{0.30, 2, 10},
	{0.15, 11, 50},
	{0.05, 51, contract.MaxTasks},
}

// meanTask and meanSize are the means of the mix.
func meanTask() time.Duration {
	body := (maxTask - minTask).Seconds() / math.Log(maxTask.Seconds()/minTask.Seconds())
	tail := (minTail + maxTail).Seconds() / 2
	return time.Duration(((1-tailShare)*body + tailShare*tail) * float64(time.Second))
}

func meanSize() float64 {
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
	total    time.Duration
}

// workload draws the jobs of a run. It depends on the seed, the load, the
// span, the site's capacity and the fault, and not on the policy.
func workload(cfg Config) []*simJob {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	slots := float64(cfg.Site.Workers * cfg.Site.Slots)
	perSecond := cfg.Load * slots / (meanSize() * meanTask().Seconds())
	var jobs []*simJob
	at := time.Duration(0)
	for {
		rate := perSecond
		if cfg.Fault == FaultBurst && at >= cfg.Span/2 && at < cfg.Span/2+burstSpan {
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
	j := &simJob{id: contract.JobID(fmt.Sprintf("j%06d", n)), at: at, team: fmt.Sprintf("team%02d", rng.IntN(teams))}
	for range drawSize(rng) {
		w := drawTask(rng)
		j.work = append(j.work, w)
		j.total += w
		j.declared = append(j.declared, contract.Demand{Slots: 1, DeclaredMillis: drawDeclared(cfg.Fault, rng, w)})
	}
	return j
}

func drawSize(rng *rand.Rand) int {
	u := rng.Float64()
	for _, c := range jobSizes {
		if u < c.share {
			return c.min + rng.IntN(c.max-c.min+1)
		}
		u -= c.share
	}
	return 1
}

func drawTask(rng *rand.Rand) time.Duration {
	if rng.Float64() < tailShare {
		return minTail + time.Duration(rng.Int64N(int64(maxTail-minTail)))
	}
	ratio := math.Pow(maxTask.Seconds()/minTask.Seconds(), rng.Float64())
	return time.Duration(float64(minTask) * ratio)
}

func drawDeclared(f Fault, rng *rand.Rand, work time.Duration) int {
	off := math.Exp(declaredSpread * rng.NormFloat64())
	if f == FaultDeclared || f == FaultTogether {
		off = math.Pow(10, 2*rng.Float64()-1)
	}
	return max(1, int(float64(work.Milliseconds())*off))
}
