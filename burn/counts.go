package burn

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Counts holds the counts of one host, or the merged counts of several.
type Counts struct {
	At     time.Time     `json:"at"`
	Routes []RouteCounts `json:"routes"`
}

// RouteCounts holds the counts of one route.
type RouteCounts struct {
	Route string `json:"route"`
	// ObjectiveMS is the route's lag objective in milliseconds; zero means none.
	ObjectiveMS int64             `json:"objective_ms"`
	Indicators  []IndicatorCounts `json:"indicators"`
}

// IndicatorCounts holds the counts of one indicator. The field Windows has one entry
// for each of the package's Windows, in the same order. Fine and Coarse hold the
// buckets that are not empty.
type IndicatorCounts struct {
	Indicator Indicator `json:"indicator"`
	Windows   []Count   `json:"windows"`
	Fine      []Point   `json:"fine,omitempty"`
	Coarse    []Point   `json:"coarse,omitempty"`
}

// Count is a number of events and the number of bad ones among them.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

// Point is the count of one time bucket.
type Point struct {
	Start time.Time `json:"start"`
	Count
}

func (c Count) plus(o Count) Count { return Count{Total: c.Total + o.Total, Bad: c.Bad + o.Bad} }

// Rate returns the burn rate of the error budget. At a rate of 1, the budget lasts
// exactly for the period of the objective. The rate is zero without events, and if
// the target leaves no budget.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Merge adds up the counts of several hosts and sorts the routes by name.
func Merge(all ...Counts) Counts {
	out := Counts{Routes: []RouteCounts{}}
	index := make(map[string]int)
	for _, c := range all {
		if out.At.Before(c.At) {
			out.At = c.At
		}
		for _, r := range c.Routes {
			i, ok := index[r.Route]
			if !ok {
				index[r.Route] = len(out.Routes)
				out.Routes = append(out.Routes, r)
				continue
			}
			out.Routes[i] = mergeRoute(out.Routes[i], r)
		}
	}
	sortRoutes(out.Routes)
	return out
}

func mergeRoute(a, b RouteCounts) RouteCounts {
	out := RouteCounts{Route: a.Route, ObjectiveMS: max(a.ObjectiveMS, b.ObjectiveMS)}
	for _, name := range Indicators {
		ia, ib := a.indicator(name), b.indicator(name)
		merged := IndicatorCounts{Indicator: name, Windows: make([]Count, len(Windows))}
		for i := range Windows {
			merged.Windows[i] = ia.window(i).plus(ib.window(i))
		}
		merged.Fine = mergePoints(ia.Fine, ib.Fine)
		merged.Coarse = mergePoints(ia.Coarse, ib.Coarse)
		out.Indicators = append(out.Indicators, merged)
	}
	return out
}

func (r RouteCounts) indicator(name Indicator) IndicatorCounts {
	for _, ic := range r.Indicators {
		if ic.Indicator == name {
			return ic
		}
	}
	return IndicatorCounts{Indicator: name}
}

// window returns the count of Windows[i]. It is zero if the host that sent the
// counts runs another version and has fewer windows.
func (c IndicatorCounts) window(i int) Count {
	if i < len(c.Windows) {
		return c.Windows[i]
	}
	return Count{}
}

func mergePoints(a, b []Point) []Point {
	out := slices.Concat(a, b)
	slices.SortStableFunc(out, func(x, y Point) int { return x.Start.Compare(y.Start) })
	merged := out[:0]
	for _, p := range out {
		if n := len(merged); n > 0 && merged[n-1].Start.Equal(p.Start) {
			merged[n-1].Count = merged[n-1].plus(p.Count)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

// Report holds the burn rates and alerts of all error budgets.
type Report struct {
	At      time.Time `json:"at"`
	Budgets []Budget  `json:"budgets"`
}

// Budget is the error budget of one indicator on one route.
type Budget struct {
	Route       string       `json:"route"`
	ObjectiveMS int64        `json:"objective_ms,omitempty"`
	Indicator   Indicator    `json:"indicator"`
	Target      float64      `json:"target"`
	Windows     []WindowBurn `json:"windows"`
	// Alert is the severity of the most urgent rule that matches; empty if none does.
	Alert Severity `json:"alert,omitempty"`
	// Fine and Coarse are the counts over time.
	Fine   []Point `json:"-"`
	Coarse []Point `json:"-"`
}

// WindowBurn is the burn rate over one window, and the count it was computed from.
type WindowBurn struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Count
}

// Evaluate computes the burn rates and alerts. It omits an indicator without events
// in the longest window.
func Evaluate(c Counts, targets Targets) Report {
	rep := Report{At: c.At, Budgets: []Budget{}}
	for _, r := range c.Routes {
		for _, name := range Indicators {
			ic := r.indicator(name)
			if ic.window(len(Windows)-1).Total == 0 {
				continue
			}
			rep.Budgets = append(rep.Budgets, evaluateBudget(r, ic, targets[name]))
		}
	}
	return rep
}

func evaluateBudget(r RouteCounts, ic IndicatorCounts, target float64) Budget {
	b := Budget{Route: r.Route, Indicator: ic.Indicator, Target: target, Fine: ic.Fine, Coarse: ic.Coarse}
	if ic.Indicator == Lag {
		b.ObjectiveMS = r.ObjectiveMS
	}
	for i, w := range Windows {
		c := ic.window(i)
		b.Windows = append(b.Windows, WindowBurn{Window: WindowName(w), Rate: c.Rate(target), Count: c})
	}
	for _, rule := range Rules {
		if b.rate(rule.Short) >= rule.Rate && b.rate(rule.Long) >= rule.Rate {
			b.Alert = rule.Severity
			break
		}
	}
	return b
}

func (b Budget) rate(window time.Duration) float64 {
	i, ok := slices.BinarySearchFunc(Windows, window, cmp.Compare)
	if !ok {
		return 0
	}
	return b.Windows[i].Rate
}

// WindowName returns the window in short form, such as 5m or 3d.
func WindowName(w time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case w%day == 0:
		return formatUnits(w, day, "d")
	case w%time.Hour == 0:
		return formatUnits(w, time.Hour, "h")
	}
	return formatUnits(w, time.Minute, "m")
}

func formatUnits(w, unit time.Duration, suffix string) string {
	return strconv.FormatInt(int64(w/unit), 10) + suffix
}
