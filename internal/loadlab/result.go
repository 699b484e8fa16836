package loadlab

import (
	"math"
	"slices"
	"time"
)

// Counts holds the numbers of messages and of results in a run.
type Counts struct {
	Starts int
	// UsefulResults counts results of jobs that had not ended.
	UsefulResults int
	// QueuedStarts counts starts that found no free slot at the worker.
	QueuedStarts int
	// LateResults counts results that arrived after the end of their job, unless the
	// job was refused. StoppedTasks counts running tasks that were stopped.
	LateResults  int
	StoppedTasks int
	// Asks, Loans and Grants count the messages of the credit protocol, and Suspects the
	// reports of suspected workers. UnansweredAsks counts requests for credits that were
	// repeated before a loan came, and IdleLoans loans that caused no start immediately.
	Asks           int
	UnansweredAsks int
	Loans          int
	IdleLoans      int
	Grants         int
	Suspects       int
	Cancels        int
}

// Wasted returns the number of messages that contributed to no useful result. These are
// all but starts, useful results, loans that caused a start, and the requests for them.
func (c Counts) Wasted() int {
	return c.LateResults + c.UnansweredAsks + c.IdleLoans + c.Grants + c.Suspects + c.Cancels
}

// Result holds the measurements of one or more runs.
type Result struct {
	Config Config
	// Jobs is the number of jobs that arrived after Warmup. The counts below refer to
	// these jobs.
	Jobs     int
	Complete int
	// Refused counts jobs that were refused on arrival, and RefusedLater those refused
	// later.
	Refused      int
	RefusedLater int
	Failed       int
	Expired      int
	// Mean and P99 are the mean and the 99th percentile of the response times of complete
	// jobs. FloorMean and FloorP99 are those of the same jobs under the floor.
	Mean, P99           time.Duration
	FloorMean, FloorP99 time.Duration
	// SingleTaskLagP99 is the 99th percentile of the response time minus the run time,
	// over jobs of one task.
	SingleTaskLagP99 time.Duration
	// RoundTrip is the network round-trip time between failure domains.
	RoundTrip time.Duration
	// Goodput is the work of complete jobs divided by the capacity.
	Goodput float64
	// EarlyFailedShare and LateFailedShare are the shares of jobs that failed because of
	// the failing worker, among those that arrived within earlySpan after the fault, and
	// later.
	EarlyFailedShare, LateFailedShare float64
	Counts                            Counts
}

// earlySpan is the time after a fault during which job failures are counted as early.
const earlySpan = 10 * time.Second

// WastedPerResult returns the number of wasted messages per useful result.
func (r Result) WastedPerResult() float64 { return ratio(r.Counts.Wasted(), r.Counts.UsefulResults) }

// LoansPerResult returns the number of loans per useful result.
func (r Result) LoansPerResult() float64 { return ratio(r.Counts.Loans, r.Counts.UsefulResults) }

// AsksPerResult returns the number of requests for credits per useful result.
func (r Result) AsksPerResult() float64 { return ratio(r.Counts.Asks, r.Counts.UsefulResults) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// MeanOverhead returns the relative excess of the mean response time, minus one round
// trip, over that of the floor. It is zero without a floor.
func (r Result) MeanOverhead() float64 { return overhead(r.Mean, r.FloorMean, r.RoundTrip) }

// P99Overhead returns the relative excess of the 99th percentile of the response time,
// minus one round trip, over that of the floor. It is zero without a floor.
func (r Result) P99Overhead() float64 { return overhead(r.P99, r.FloorP99, r.RoundTrip) }

func overhead(response, floor, roundTrip time.Duration) float64 {
	if floor == 0 {
		return 0
	}
	return float64(response-roundTrip)/float64(floor) - 1
}

// Run simulates the configuration once for each seed and returns the combined result. It
// ignores cfg.Seed.
func Run(cfg Config, seeds []uint64) Result {
	var all samples
	for _, seed := range seeds {
		cfg.Seed = seed
		jobs := workload(cfg)
		sim := newSimulation(cfg)
		sim.run(jobs)
		all.add(sim, jobs, floor(cfg.Site, sim.completedJobs(jobs)))
	}
	return all.result(cfg, len(seeds))
}

// completedJobs returns the jobs with a complete answer. The floor serves only these:
// with the others in its queue, its response times would be longer, and a policy that
// refuses many jobs would appear better than it is.
func (sim *simulation) completedJobs(jobs []*simJob) []*simJob {
	var out []*simJob
	for _, j := range jobs {
		if sim.runs[j.id].complete {
			out = append(out, j)
		}
	}
	return out
}

// samples collects the measurements of several runs.
type samples struct {
	responses, floors      []time.Duration
	singleLags             []time.Duration
	refused, refusedLater  int
	failed, expired        int
	jobs                   int
	work                   time.Duration
	earlyJobs, earlyFailed int
	lateJobs, lateFailed   int
	counts                 Counts
}

func (s *samples) add(sim *simulation, jobs []*simJob, floor map[*simJob]time.Duration) {
	for _, j := range jobs {
		r := sim.runs[j.id]
		if (sim.cfg.Fault == FaultFailing || sim.cfg.Fault == FaultCombined) && j.at >= sim.faultAt {
			s.addFaultSample(r, j.at-sim.faultAt)
		}
		if r.complete && r.endedAt >= sim.cfg.Warmup && r.endedAt < sim.cfg.Span {
			s.work += j.total
		}
		if j.at < sim.cfg.Warmup {
			continue
		}
		s.jobs++
		switch {
		case r.complete:
			s.responses = append(s.responses, r.endedAt-j.at)
			s.floors = append(s.floors, floor[j])
			if len(j.work) == 1 {
				s.singleLags = append(s.singleLags, r.endedAt-j.at-j.work[0])
			}
		case r.refused:
			s.refused++
			if r.endedAt > j.at {
				s.refusedLater++
			}
		case r.failed:
			s.failed++
		case !r.interrupted:
			s.expired++
		}
	}
	s.counts = s.counts.plus(sim.counts)
}

// addFaultSample counts a job that arrived after the fault, at the given time since then.
func (s *samples) addFaultSample(r *jobRun, since time.Duration) {
	failed := 0
	if r.failedByFault {
		failed = 1
	}
	if since < earlySpan {
		s.earlyJobs++
		s.earlyFailed += failed
		return
	}
	s.lateJobs++
	s.lateFailed += failed
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Starts: c.Starts + o.Starts, UsefulResults: c.UsefulResults + o.UsefulResults, QueuedStarts: c.QueuedStarts + o.QueuedStarts,
		LateResults: c.LateResults + o.LateResults, StoppedTasks: c.StoppedTasks + o.StoppedTasks, Asks: c.Asks + o.Asks, Loans: c.Loans + o.Loans,
		UnansweredAsks: c.UnansweredAsks + o.UnansweredAsks, IdleLoans: c.IdleLoans + o.IdleLoans, Grants: c.Grants + o.Grants, Suspects: c.Suspects + o.Suspects, Cancels: c.Cancels + o.Cancels,
	}
}

func (s *samples) result(cfg Config, runs int) Result {
	span := (cfg.Span - cfg.Warmup).Seconds() * float64(runs)
	slots := float64(cfg.Site.Workers * cfg.Site.Slots)
	return Result{
		Config:           cfg,
		Jobs:             s.jobs,
		Complete:         len(s.responses),
		Refused:          s.refused - s.refusedLater,
		RefusedLater:     s.refusedLater,
		Failed:           s.failed,
		Expired:          s.expired,
		Mean:             mean(s.responses),
		P99:              quantile(s.responses, 0.99),
		FloorMean:        mean(s.floors),
		FloorP99:         quantile(s.floors, 0.99),
		SingleTaskLagP99: quantile(s.singleLags, 0.99),
		RoundTrip:        2 * cfg.Site.Latency,
		Goodput:          s.work.Seconds() / (slots * span),
		EarlyFailedShare: ratio(s.earlyFailed, s.earlyJobs),
		LateFailedShare:  ratio(s.lateFailed, s.lateJobs),
		Counts:           s.counts,
	}
}

func mean(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	var sum time.Duration
	for _, x := range d {
		sum += x
	}
	return sum / time.Duration(len(d))
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
