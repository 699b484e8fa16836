package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/load"
)

// loadOptions holds the flags of load. The field mix holds the flags that set a
// field of load.Mix directly; the other flags need parsing or are not part of it.
type loadOptions struct {
	mix                                 load.Mix
	arrivals, work, teams, targets, csv string
	maxInFlight                         int
}

func loadCommand(c *client) *ffcli.Command {
	var o loadOptions
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	o.bind(fs)
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "carawayctl load -targets IP:port,... -route NAME [flags]",
		ShortHelp:  "send a generated load to a running system whose upstreams are stand-ins, and measure the answers",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.load(ctx, o) },
	}
}

func (o *loadOptions) bind(fs *flag.FlagSet) {
	m := &o.mix
	fs.StringVar(&o.targets, "targets", "127.0.0.1:8080", "IP:port at which each entry serves callers, comma-separated, used in turn")
	fs.Uint64Var(&m.Seed, "seed", 1, "seed of the random generator")
	fs.StringVar(&o.arrivals, "arrivals", string(load.Poisson), "arrival process: poisson or bursty")
	fs.Float64Var(&m.Rate, "rate", 5, "mean arrivals per second")
	fs.DurationVar(&m.BurstEvery, "burst-every", 5*time.Second, "time from the start of one burst to the next")
	fs.DurationVar(&m.BurstLength, "burst-length", 500*time.Millisecond, "length of a burst")
	fs.Float64Var(&m.BurstFactor, "burst-factor", 8, "factor by which the rate is higher during a burst")
	fs.DurationVar(&m.Duration, "duration", 10*time.Second, "how long requests are sent")
	fs.IntVar(&m.MaxArrivals, "max-arrivals", 100000, "maximum number of arrivals")
	fs.StringVar(&o.work, "work", load.DefaultWork, "distribution of a task's run time: share:median:sigma of lognormals, comma-separated; from 50ms to 8s")
	fs.IntVar(&m.MinTasks, "min-tasks", 1, "number of tasks of the smallest job")
	fs.IntVar(&m.MaxTasks, "max-tasks", 150, "number of tasks of the largest job; sizes are log-uniform")
	fs.Float64Var(&m.SingleShare, "singles", 0.3, "share of single requests")
	fs.Float64Var(&m.CancelShare, "cancels", 0, "share of requests whose caller disconnects before the answer")
	fs.DurationVar(&m.Deadline, "deadline", 30*time.Second, "deadline of each request")
	fs.BoolVar(&m.IdempotencyKeys, "keyed", false, "give each job an Idempotency-Key")
	fs.StringVar(&m.Route, "route", "", "route of the jobs")
	fs.StringVar(&m.Path, "path", "", "path of the single requests")
	fs.StringVar(&o.teams, "teams", "load", "teams, comma-separated; each request is of one chosen at random")
	fs.IntVar(&o.maxInFlight, "max-in-flight", load.DefaultMaxInFlight, "maximum number of requests in flight; further arrivals are counted and not sent")
	fs.StringVar(&o.csv, "csv", "", "file to write as CSV, with a line for each answer")
}

// config parses and validates the flags.
func (o loadOptions) config() (load.Config, error) {
	m := o.mix
	m.Arrivals = load.ArrivalProcess(o.arrivals)
	m.Teams = strings.Split(o.teams, ",")
	var err error
	if m.Work, err = load.ParseWork(o.work); err != nil {
		return load.Config{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	if err := m.Validate(); err != nil {
		return load.Config{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	return load.Config{Mix: m, Targets: strings.Split(o.targets, ","), MaxInFlight: o.maxInFlight}, nil
}

func (c *client) load(ctx context.Context, o loadOptions) error {
	cfg, err := o.config()
	if err != nil {
		return err
	}
	flush := func() error { return nil }
	if o.csv != "" {
		f, err := os.Create(o.csv)
		if err != nil {
			return err
		}
		defer f.Close()
		w := load.NewCSV(f)
		cfg.OnAnswer = w.Write
		flush = w.Flush
	}
	rep, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := flush(); err != nil {
		return err
	}
	if err := c.print(newLoadResult(rep), func(w *tabwriter.Writer) { writeLoad(w, rep) }); err != nil {
		return err
	}
	if rep.Faults > 0 {
		return fmt.Errorf("%d of %d answers were wrong, the first: %s", rep.Faults, rep.Sent, rep.Examples[0])
	}
	return nil
}

// loadResult is the output of load with -o json.
type loadResult struct {
	*load.Report
	ElapsedMS int64     `json:"elapsed_ms"`
	Jobs      lagResult `json:"jobs"`
	Singles   lagResult `json:"singles"`
	// LateP99MS is the 99th percentile of the delay with which this tool sent its
	// requests.
	LateP99MS       float64 `json:"late_p99_ms"`
	WastedPerAnswer float64 `json:"wasted_messages_per_useful_answer"`
}

// lagResult summarizes the lag of complete answers: the time beyond their ideal
// response time.
type lagResult struct {
	// Whole is the number of complete answers.
	Whole int64   `json:"whole"`
	P50MS float64 `json:"lag_p50_ms"`
	P95MS float64 `json:"lag_p95_ms"`
	P99MS float64 `json:"lag_p99_ms"`
	// MeanRatio is the mean ratio of the response time to the ideal one.
	MeanRatio float64 `json:"mean_ratio"`
}

func newLoadResult(r *load.Report) loadResult {
	return loadResult{
		Report:          r,
		ElapsedMS:       r.Elapsed.Milliseconds(),
		Jobs:            newLagResult(r.Jobs),
		Singles:         newLagResult(r.Singles),
		LateP99MS:       float64(r.SendDelays.ValueAtPercentile(99)) / 1000,
		WastedPerAnswer: r.WastedMessagesPerAnswer(),
	}
}

func newLagResult(l *load.Lags) lagResult {
	return lagResult{Whole: l.Count(), P50MS: ms(l.Lag(50)), P95MS: ms(l.Lag(95)), P99MS: ms(l.Lag(99)), MeanRatio: l.MeanRatio()}
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func writeLoad(w *tabwriter.Writer, r *load.Report) {
	fmt.Fprintf(w, "sent %d in %v (seed %d); %d not sent because of -max-in-flight; %d callers disconnected as scheduled\n", r.Sent, r.Elapsed.Round(time.Millisecond), r.Mix.Seed, r.NotSent, r.Disconnected)
	fmt.Fprintln(w, "WHOLE ANSWERS\tCOUNT\tLAG P50\tP95\tP99\tMEAN RATIO TO IDEAL")
	for _, row := range []struct {
		name string
		lags *load.Lags
	}{{"jobs", r.Jobs}, {"single requests", r.Singles}} {
		fmt.Fprintf(w, "%s\t%d\t%.2f ms\t%.2f ms\t%.2f ms\t%.3f\n", row.name, row.lags.Count(), ms(row.lags.Lag(50)), ms(row.lags.Lag(95)), ms(row.lags.Lag(99)), row.lags.MeanRatio())
	}
	fmt.Fprintf(w, "refused %s\n", formatCounts(r.Refused))
	fmt.Fprintf(w, "wrong answers %d\n", r.Faults)
	for _, e := range r.Examples {
		fmt.Fprintf(w, "  %s\n", e)
	}
	fmt.Fprintf(w, "messages %d, wasted per useful answer %.2f; link bytes sent %d, received %d\n", r.Counters.Messages(), r.WastedMessagesPerAnswer(), r.Counters.BytesSent, r.Counters.BytesReceived)
	fmt.Fprintf(w, "  by entries: %s\n", formatCounts(r.Counters.Sent))
	fmt.Fprintf(w, "  by agents: %s\n", formatCounts(r.Counters.FromAgents))
	fmt.Fprintf(w, "send delay of this tool p99 %.2f ms; counters of %d targets could not be read\n", float64(r.SendDelays.ValueAtPercentile(99))/1000, r.Counters.UnreadTargets)
}

// formatCounts formats the counts other than zero as key=value pairs, sorted by
// key.
func formatCounts[N int | int64](m map[string]N) string {
	var parts []string
	for k, n := range m {
		if n != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", k, n))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
