package burn

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// The bucket widths and time spans of the rings. Windows up to fineSpan are summed
// from the fine ring, longer ones from the coarse ring.
const (
	fineBucketWidth   = 30 * time.Second
	fineSpan          = time.Hour
	coarseBucketWidth = 10 * time.Minute
	coarseSpan        = 72 * time.Hour
)

// DefaultMaxRoutes is the default for Config.MaxRoutes.
const DefaultMaxRoutes = 256

// OtherRoutes is the name under which the routes beyond Config.MaxRoutes are counted
// together.
const OtherRoutes = "(other routes)"

// Config holds the settings of a Tracker.
type Config struct {
	// MaxRoutes limits the number of routes with their own counts, and thereby the
	// memory use. The limit is divided evenly among the shards.
	MaxRoutes int
}

const shardCount = 16

// Tracker counts answers by route. It is safe for concurrent use: the routes are
// divided into shards, each with its own lock.
type Tracker struct {
	perShard int
	seed     maphash.Seed
	shards   [shardCount]shard
}

type shard struct {
	mu     sync.Mutex // guards series
	series map[string]*series
}

// series holds the counts of one route.
type series struct {
	objective time.Duration
	fine      ring
	coarse    ring
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	if cfg.MaxRoutes == 0 {
		cfg.MaxRoutes = DefaultMaxRoutes
	}
	t := &Tracker{perShard: max(1, cfg.MaxRoutes/shardCount), seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].series = make(map[string]*series)
	}
	return t
}

// Add counts one answer. An objective of zero means that the route has no lag
// objective.
func (t *Tracker) Add(now time.Time, s contract.AnswerSample, objective time.Duration) {
	counts := classify(s, objective)
	sh := &t.shards[maphash.String(t.seed, s.Route)%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sr := sh.seriesFor(s.Route, t.perShard)
	sr.objective = objective
	sr.fine.add(now, counts)
	sr.coarse.add(now, counts)
}

// seriesFor returns the series of the route. If the shard already has limit series,
// a new route is counted under OtherRoutes. The caller holds sh.mu.
func (sh *shard) seriesFor(route string, limit int) *series {
	if sr, ok := sh.series[route]; ok {
		return sr
	}
	if len(sh.series) >= limit {
		route = OtherRoutes
	}
	sr, ok := sh.series[route]
	if !ok {
		sr = &series{fine: newRing(fineBucketWidth, fineSpan), coarse: newRing(coarseBucketWidth, coarseSpan)}
		sh.series[route] = sr
	}
	return sr
}

// callerErrorKinds holds the error kinds that the caller or its quota causes.
var callerErrorKinds = map[string]bool{
	contract.ErrBadRequest.Name: true,
	contract.ErrTooLarge.Name:   true,
	contract.ErrNoRoute.Name:    true,
	contract.ErrNoJob.Name:      true,
	contract.ErrNeverFits.Name:  true,
	contract.ErrKeyReused.Name:  true,
	contract.ErrOverQuota.Name:  true,
	contract.ErrCancelled.Name:  true,
}

// classify returns the counts of one answer: one event for each indicator that
// applies to it, in the order of Indicators.
func classify(s contract.AnswerSample, objective time.Duration) tally {
	complete := s.Kind == ""
	applies := [indicatorCount]bool{complete && objective > 0, !callerErrorKinds[s.Kind], s.Kind != contract.ErrCancelled.Name}
	bad := [indicatorCount]bool{s.Lag() > objective, !complete, s.Outcome == contract.OutcomeUnknown}
	var t tally
	for i := range applies {
		if !applies[i] {
			continue
		}
		t.total[i] = 1
		if bad[i] {
			t.bad[i] = 1
		}
	}
	return t
}

// Counts returns the counts of all routes over all windows, sorted by route.
func (t *Tracker) Counts(now time.Time) Counts {
	c := Counts{At: now, Routes: []RouteCounts{}}
	for i := range t.shards {
		c.Routes = append(c.Routes, t.shards[i].counts(now)...)
	}
	return Merge(c)
}

func (sh *shard) counts(now time.Time) []RouteCounts {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []RouteCounts
	for route, sr := range sh.series {
		out = append(out, sr.counts(route, now))
	}
	return out
}

func (sr *series) counts(route string, now time.Time) RouteCounts {
	rc := RouteCounts{Route: route, ObjectiveMS: sr.objective.Milliseconds()}
	sums := make([]tally, len(Windows))
	for i, w := range Windows {
		if w <= fineSpan {
			sums[i] = sr.fine.sum(now, w)
		} else {
			sums[i] = sr.coarse.sum(now, w)
		}
	}
	for i, name := range Indicators {
		ic := IndicatorCounts{Indicator: name, Fine: sr.fine.points(now, i), Coarse: sr.coarse.points(now, i)}
		for _, s := range sums {
			ic.Windows = append(ic.Windows, Count{Total: uint64(s.total[i]), Bad: uint64(s.bad[i])})
		}
		rc.Indicators = append(rc.Indicators, ic)
	}
	return rc
}

func sortRoutes(rs []RouteCounts) {
	slices.SortFunc(rs, func(a, b RouteCounts) int { return cmp.Compare(a.Route, b.Route) })
}
