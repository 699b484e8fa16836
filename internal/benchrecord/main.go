// Benchrecord measures the latency that the quorum write of a job's record adds. It
// sends jobs with and without an idempotency key alternately to separate processes
// on loopback. In production, the network adds one round trip between failure
// domains per job.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

const (
	hubs    = 3
	workers = 3
	slots   = 8
	// maxMicros is the highest value, in microseconds, that the histograms record.
	maxMicros         = 10_000_000
	significantDigits = 3
)

type options struct {
	bin                              string
	jobsPerKind, tasksPerJob, workMS int
	timeout                          time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder of the built programs")
	flag.IntVar(&o.jobsPerKind, "jobs", 1000, "number of jobs of each kind")
	flag.IntVar(&o.tasksPerJob, "tasks", 8, "number of tasks of each job")
	flag.IntVar(&o.workMS, "work-ms", 5, "work time of each task in milliseconds")
	flag.DurationVar(&o.timeout, "limit", 2*time.Minute, "maximum duration of the run")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench-record failed:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "caraway-bench-record-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	bed := testbed.New(o.bin, dir)
	defer bed.Close()
	sys, err := bed.Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur"},
		Hubs:    hubs, Workers: workers, Slots: slots, Pools: []string{"formula"},
	})
	if err != nil {
		return err
	}
	if err := sys.StartAll(); err != nil {
		return err
	}
	addr := sys.Hubs[0].HTTP
	if err := warmUp(ctx, sys.Hubs[0].Admin, addr, o); err != nil {
		return err
	}
	return measure(ctx, addr, o)
}

// warmUp applies the tables and waits until a first keyed job succeeds.
func warmUp(ctx context.Context, admin, addr string, o options) error {
	edit := contract.Edit{
		ID:        "bench",
		PutRoutes: []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}},
		PutPools:  []contract.Pool{{Name: "formula"}},
	}
	body, err := json.Marshal(edit)
	if err != nil {
		return err
	}
	if err := testbed.Await(ctx, func() error { return post(ctx, admin, "/admin/edits", "", body) }); err != nil {
		return err
	}
	return testbed.Await(ctx, func() error { return post(ctx, addr, "/v1/jobs", "warm", jobBody(o)) })
}

func jobBody(o options) []byte {
	spec := contract.JobSpec{Route: "cards", Team: "bench"}
	for range o.tasksPerJob {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: json.RawMessage(fmt.Sprintf(`{"work_ms": %d}`, o.workMS))})
	}
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return body
}

// measure sends jobs with and without a key alternately and prints the latencies.
func measure(ctx context.Context, addr string, o options) error {
	body := jobBody(o)
	plain := hdrhistogram.New(1, maxMicros, significantDigits)
	keyed := hdrhistogram.New(1, maxMicros, significantDigits)
	for i := range o.jobsPerKind {
		for _, kind := range []struct {
			hist *hdrhistogram.Histogram
			key  string
		}{{plain, ""}, {keyed, fmt.Sprint("bench-", i)}} {
			began := time.Now()
			if err := post(ctx, addr, "/v1/jobs", kind.key, body); err != nil {
				return err
			}
			if err := kind.hist.RecordValue(time.Since(began).Microseconds()); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d jobs of each kind, one at a time, %d tasks of %d ms, %d record holders\n", o.jobsPerKind, o.tasksPerJob, o.workMS, hubs)
	printQuantiles("without a key", plain)
	printQuantiles("with a key", keyed)
	fmt.Printf("%-14s p50 %+7.3f ms  p99 %+7.3f ms\n", "added",
		millis(keyed.ValueAtQuantile(50)-plain.ValueAtQuantile(50)), millis(keyed.ValueAtQuantile(99)-plain.ValueAtQuantile(99)))
	return nil
}

// printQuantiles prints the quantiles of a histogram of microseconds.
func printQuantiles(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-14s p50 %7.3f ms  p99 %7.3f ms\n", name, millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)))
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// post sends a POST request, with an idempotency key unless key is empty. It returns
// an error unless the status is 200.
func post(ctx context.Context, addr, path, key string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(forward.HeaderIdempotencyKey, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", res.Status, answer)
	}
	return nil
}
