package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Config says where a run goes.
type Config struct {
	Mix Mix
	// Targets are the callers' addresses of the entries, used in turn.
	Targets []string
	// MaxInFlight bounds the requests that are open at once. An arrival beyond
	// it is not sent, and counted as such: the run has then not kept its mix.
	MaxInFlight int
	// Each, where set, is called with each answer, from one goroutine at a time.
	Each func(Answer)
}

// DefaultMaxInFlight is the default of Config.MaxInFlight.
const DefaultMaxInFlight = 4096

// Run sends the mix and returns its report. It ends early with ctx, and never
// later than the duration, the deadline and a grace.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Mix.Validate(); err != nil {
		return nil, err
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	r := newRunner(cfg)
	before := readCounters(ctx, r.client, cfg.Targets)
	r.drive(ctx)
	r.report.Counters = readCounters(context.WithoutCancel(ctx), r.client, cfg.Targets).minus(before)
	r.client.CloseIdleConnections()
	return r.report, nil
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}}
}

func newRunner(cfg Config) *runner {
	return &runner{cfg: cfg, client: newClient(cfg.MaxInFlight), report: newReport(cfg.Mix), slots: make(chan struct{}, cfg.MaxInFlight)}
}

type runner struct {
	cfg    Config
	client *http.Client
	slots  chan struct{}

	mu     sync.Mutex // guards report, and orders the calls of Config.Each
	report *Report
}

func (r *runner) drive(ctx context.Context) {
	plan := NewPlan(r.cfg.Mix)
	start := time.Now()
	var open sync.WaitGroup
	for {
		a, ok := plan.Next()
		if !ok || !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.notSent()
			continue
		}
		open.Go(func() {
			defer func() { <-r.slots }()
			target := r.cfg.Targets[a.Number%len(r.cfg.Targets)]
			r.take(send(ctx, r.client, r.cfg.Mix, target, a, start.Add(a.At)))
		})
	}
	open.Wait()
	r.report.Elapsed = time.Since(start)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *runner) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.NotSent++
}

func (r *runner) take(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(a)
	if r.cfg.Each != nil {
		r.cfg.Each(a)
	}
}
