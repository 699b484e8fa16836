package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Config holds the settings of a run.
type Config struct {
	Mix Mix
	// Targets lists the HTTP addresses of the entries, which are used round-robin.
	Targets []string
	// MaxInFlight limits the number of concurrent requests. An arrival beyond the limit
	// is not sent but counted in Report.NotSent; the run then deviates from its mix.
	MaxInFlight int
	// OnAnswer, if set, is called with each answer, by one goroutine at a time.
	OnAnswer func(Answer)
}

// DefaultMaxInFlight is the default for Config.MaxInFlight.
const DefaultMaxInFlight = 4096

// Run sends the arrivals of the mix, waits for their answers and returns the report. It
// returns an error if the mix is invalid. Run stops early when ctx is cancelled, and
// ends at the latest after the sum of the duration, the deadline and a grace period.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Mix.Validate(); err != nil {
		return nil, err
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	r := newRunner(cfg)
	before := readCounters(ctx, r.client, cfg.Targets)
	r.sendAll(ctx)
	r.report.Counters = readCounters(context.WithoutCancel(ctx), r.client, cfg.Targets).minus(before)
	r.client.CloseIdleConnections()
	return r.report, nil
}

func newClient(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: conns, MaxIdleConnsPerHost: conns, DisableCompression: true}}
}

func newRunner(cfg Config) *runner {
	return &runner{cfg: cfg, client: newClient(cfg.MaxInFlight), report: newReport(cfg.Mix), inFlight: make(chan struct{}, cfg.MaxInFlight)}
}

// runner executes one run.
type runner struct {
	cfg      Config
	client   *http.Client
	inFlight chan struct{} // has one element for each request in progress

	mu     sync.Mutex // guards report and serializes calls of Config.OnAnswer
	report *Report
}

func (r *runner) sendAll(ctx context.Context) {
	plan := NewPlan(r.cfg.Mix)
	start := time.Now()
	var senders sync.WaitGroup
	for {
		a, ok := plan.Next()
		if !ok || !sleepUntil(ctx, start.Add(a.ScheduledAt)) {
			break
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.countNotSent()
			continue
		}
		senders.Go(func() {
			defer func() { <-r.inFlight }()
			target := r.cfg.Targets[a.Number%len(r.cfg.Targets)]
			r.addAnswer(send(ctx, r.client, r.cfg.Mix, target, a, start.Add(a.ScheduledAt)))
		})
	}
	senders.Wait()
	r.report.Elapsed = time.Since(start)
}

// sleepUntil waits until the given time. It returns false if ctx is cancelled first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (r *runner) countNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.NotSent++
}

func (r *runner) addAnswer(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(a)
	if r.cfg.OnAnswer != nil {
		r.cfg.OnAnswer(a)
	}
}
