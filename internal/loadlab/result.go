package loadlab

import (
	"math"
	"slices"
	"time"
)

// Counts are the messages of a run.
type Counts struct {
	Starts int
	// Useful are results that their job took.
	Useful int
	// Queued are starts that found no free slot at the worker.
	Queued int
	// Late are results that no job took, Stray are tasks stopped half-way.
	Late  int
	Stray int
	// Asks, Loans, Grants and Suspects are the messages of credits.
	// VainAsks are asks that no loan followed, IdleLoans are loans that no
	// start followed at once.
	Asks      int
	VainAsks  int
	Loans     int
	IdleLoans int
	Grants    int
	Suspects  int
	Cancels   int
}

// Wasted returns the messages that produced no useful answer: all but starts,
// useful results, loans that starts were made on, and asks for such loans.
func (c Counts) Wasted() int {
	return c.Late + c.VainAsks + c.IdleLoans + c.Grants + c.Suspects + c.Cancels
}

// Result is what a run measured.
type Result struct {
	Config Config
	// Jobs are the jobs counted; those of Warmup are not.
	Jobs     int
	Complete int
	// Refused were refused on their arrival, GivenUp later.
	Refused int
	GivenUp int
	Failed  int
	Expired int
	// Mean and P99 are of complete jobs' response times; the floor's are of
	// the same jobs.
	Mean, P99           time.Duration
	FloorMean, FloorP99 time.Duration
	// SingleLag is the 99th percentile of how far the answers of jobs of one
	// task come behind their work.
	SingleLag time.Duration
	// RoundTrip is the network's own.
	RoundTrip time.Duration
	// Goodput is the work of complete jobs over the capacity.
	Goodput float64
	// EarlyFailed and LateFailed are the shares of jobs that the failing
	// worker cost, of those that arrived in the 10 s after the fault and later.
	EarlyFailed, LateFailed float64
	Counts                  Counts
}

// earlySpan is how long after a fault its cost is counted as early.
const earlySpan = 10 * time.Second

// WastedPerAnswer returns wasted messages per useful result.
func (r Result) WastedPerAnswer() float64 { return ratio(r.Counts.Wasted(), r.Counts.Useful) }

// LoansPerAnswer returns loans per useful result.
func (r Result) LoansPerAnswer() float64 { return ratio(r.Counts.Loans, r.Counts.Useful) }

// AsksPerAnswer returns asks per useful result.
func (r Result) AsksPerAnswer() float64 { return ratio(r.Counts.Asks, r.Counts.Useful) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// MeanOver returns the mean response over the floor's, less the round trip.
func (r Result) MeanOver() float64 { return over(r.Mean, r.FloorMean, r.RoundTrip) }

// P99Over returns the 99th percentile over the floor's, less the round trip.
func (r Result) P99Over() float64 { return over(r.P99, r.FloorP99, r.RoundTrip) }

func over(d, floor, trip time.Duration) float64 {
	if floor == 0 {
		return 0
	}
	return float64(d-trip)/float64(floor) - 1
}

// Run runs the configuration with each seed and adds up the results.
func Run(cfg Config, seeds []uint64) Result {
	var all samples
	for _, seed := range seeds {
		cfg.Seed = seed
		jobs := workload(cfg)
		l := newLab(cfg)
		l.run(jobs)
		all.add(l, jobs, floor(cfg.Site, l.completed(jobs)))
	}
	return all.result(cfg, len(seeds))
}

// completed returns the jobs that got their whole answer: the floor has no
// others in its queue, so that refusals don't flatter a policy.
func (l *lab) completed(jobs []*simJob) []*simJob {
	var out []*simJob
	for _, j := range jobs {
		if l.runs[j.id].complete {
			out = append(out, j)
		}
	}
	return out
}

// samples adds up runs.
type samples struct {
	response, floor  []time.Duration
	singles          []time.Duration
	refused, givenUp int
	failed, expired  int
	jobs             int
	work             time.Duration
	early, earlyBad  int
	later, laterBad  int
	counts           Counts
}

func (s *samples) add(l *lab, jobs []*simJob, floor map[*simJob]time.Duration) {
	for _, j := range jobs {
		r := l.runs[j.id]
		if (l.cfg.Fault == FaultFailing || l.cfg.Fault == FaultTogether) && j.at >= l.faultAt {
			s.addBad(r, j.at-l.faultAt)
		}
		if r.complete && r.finish >= l.cfg.Warmup && r.finish < l.cfg.Span {
			s.work += j.total
		}
		if j.at < l.cfg.Warmup {
			continue
		}
		s.jobs++
		switch {
		case r.complete:
			s.response = append(s.response, r.finish-j.at)
			s.floor = append(s.floor, floor[j])
			if len(j.work) == 1 {
				s.singles = append(s.singles, r.finish-j.at-j.work[0])
			}
		case r.refused:
			s.refused++
			if r.finish > j.at {
				s.givenUp++
			}
		case r.failed:
			s.failed++
		case !r.lost:
			s.expired++
		}
	}
	s.counts = s.counts.plus(l.count)
}

func (s *samples) addBad(r *jobRun, since time.Duration) {
	bad := 0
	if r.bad {
		bad = 1
	}
	if since < earlySpan {
		s.early++
		s.earlyBad += bad
		return
	}
	s.later++
	s.laterBad += bad
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Starts: c.Starts + o.Starts, Useful: c.Useful + o.Useful, Queued: c.Queued + o.Queued,
		Late: c.Late + o.Late, Stray: c.Stray + o.Stray, Asks: c.Asks + o.Asks, Loans: c.Loans + o.Loans,
		VainAsks: c.VainAsks + o.VainAsks, IdleLoans: c.IdleLoans + o.IdleLoans, Grants: c.Grants + o.Grants, Suspects: c.Suspects + o.Suspects, Cancels: c.Cancels + o.Cancels,
	}
}

func (s *samples) result(cfg Config, runs int) Result {
	span := (cfg.Span - cfg.Warmup).Seconds() * float64(runs)
	slots := float64(cfg.Site.Workers * cfg.Site.Slots)
	return Result{
		Config:      cfg,
		Jobs:        s.jobs,
		Complete:    len(s.response),
		Refused:     s.refused - s.givenUp,
		GivenUp:     s.givenUp,
		Failed:      s.failed,
		Expired:     s.expired,
		Mean:        mean(s.response),
		P99:         quantile(s.response, 0.99),
		FloorMean:   mean(s.floor),
		FloorP99:    quantile(s.floor, 0.99),
		SingleLag:   quantile(s.singles, 0.99),
		RoundTrip:   2 * cfg.Site.Latency,
		Goodput:     s.work.Seconds() / (slots * span),
		EarlyFailed: ratio(s.earlyBad, s.early),
		LateFailed:  ratio(s.laterBad, s.later),
		Counts:      s.counts,
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
