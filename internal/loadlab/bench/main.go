// Command bench compares all scheduling policies with the floor of package loadlab. It
// prints tables of the results and optionally writes a plot.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/carawaylanding/carawaylanding/internal/loadlab"
)

// loads lists the offered loads, as shares of the capacity.
var loads = []float64{0.5, 0.7, 0.9, 1.2}

// faultLoad is the offered load of the runs with faults.
const faultLoad = 0.7

type options struct {
	span  time.Duration
	seeds int
	plot  string
	// load, policy and fault select runs; zero or empty selects all.
	load   float64
	policy string
	fault  string
}

func main() {
	var o options
	flag.DurationVar(&o.span, "span", 60*time.Second, "time during which jobs arrive in each run")
	flag.IntVar(&o.seeds, "seeds", 3, "number of seeds, counted from 1")
	flag.StringVar(&o.plot, "plot", "", "file to write the plot to, PNG or SVG; empty for no plot")
	flag.Float64Var(&o.load, "load", 0, "run only this load, without faults")
	flag.StringVar(&o.policy, "policy", "", "run only this policy")
	flag.StringVar(&o.fault, "fault", "", "run only this fault, at the fixed load for faults")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (o options) config(s loadlab.Site, p loadlab.Policy, load float64, f loadlab.Fault) loadlab.Config {
	return loadlab.Config{
		Site: s, Policy: p, Load: load, Fault: f,
		Span: o.span, Warmup: o.span / 10, Deadline: 10 * time.Second,
	}
}

func (o options) seedList() []uint64 {
	out := make([]uint64, o.seeds)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

func run(o options) error {
	fmt.Printf("span %s, seeds 1 to %d\n", o.span, o.seeds)
	var results []loadlab.Result
	for _, site := range []loadlab.Site{loadlab.Bagmati, loadlab.Bayern} {
		fmt.Printf("\n%s, no faults\n", site.Name)
		tw := newTable()
		for _, load := range loads {
			for _, p := range loadlab.Policies {
				if o.load != 0 && o.load != load || o.policy != "" && o.policy != p.Name || o.fault != "" {
					continue
				}
				r := loadlab.Run(o.config(site, p, load, loadlab.FaultNone), o.seedList())
				results = append(results, r)
				writeRow(tw, r)
			}
		}
		tw.Flush()
		o.printFaultRuns(site)
	}
	if o.plot == "" {
		return nil
	}
	return plotResults(o.plot, results)
}

func (o options) printFaultRuns(site loadlab.Site) {
	fmt.Printf("\n%s, with faults at load %.2f\n", site.Name, faultLoad)
	tw := newTable()
	for _, f := range loadlab.Faults {
		for _, p := range []loadlab.Policy{loadlab.Credits, loadlab.CreditsMessages} {
			if o.fault != "" && o.fault != string(f) || o.policy != "" && o.policy != p.Name || o.load != 0 {
				continue
			}
			writeRow(tw, loadlab.Run(o.config(site, p, faultLoad, f), o.seedList()))
		}
	}
	tw.Flush()
}

func newTable() *tabwriter.Writer {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "load\tpolicy\tfault\tjobs\tmean ms\tover floor\tp99 ms\tover floor\tsingles p99 lag\tgoodput\trefused\trefused later\texpired\tfailed\tearly failed\tlate failed\tqueued at worker\twasted\tunanswered asks\tidle loans\tasks\tloans\t")
	return tw
}

func writeRow(tw *tabwriter.Writer, r loadlab.Result) {
	c := r.Counts
	fmt.Fprintf(tw, "%.2f\t%s\t%s\t%d\t%.0f\t%+.1f%%\t%.0f\t%+.1f%%\t%.0f\t%.3f\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n",
		r.Config.Load, r.Config.Policy.Name, r.Config.Fault, r.Jobs,
		millis(r.Mean), 100*r.MeanOverhead(), millis(r.P99), 100*r.P99Overhead(), millis(r.SingleTaskLagP99),
		r.Goodput, r.Refused, r.RefusedLater, r.Expired, r.Failed, 100*r.EarlyFailedShare, 100*r.LateFailedShare,
		float64(c.QueuedStarts)/float64(max(1, c.Starts)), r.WastedPerResult(), float64(c.UnansweredAsks)/float64(max(1, c.UsefulResults)), float64(c.IdleLoans)/float64(max(1, c.UsefulResults)), r.AsksPerResult(), r.LoansPerResult())
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
