package burn

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Counts are what one host, or several merged, counted.
type Counts struct {
	At     time.Time     `json:"at"`
	Routes []RouteCounts `json:"routes"`
}

// RouteCounts are the counts of one route.
type RouteCounts struct {
	Route string `json:"route"`
	// ObjectiveMS is the route's objective for the lag; zero means none.
	ObjectiveMS int64             `json:"objective_ms"`
	Indicators  []IndicatorCounts `json:"indicators"`
}

// IndicatorCounts are the counts of one indicator. Windows goes with the
// package's Windows; Fine and Coarse hold the buckets that are not empty.
type IndicatorCounts struct {
	Indicator Indicator `json:"indicator"`
	Windows   []Count   `json:"windows"`
	Fine      []Point   `json:"fine,omitempty"`
	Coarse    []Point   `json:"coarse,omitempty"`
}

// Count counts events and the bad ones among them.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

// Point is the count of one bucket of time.
type Point struct {
	Start time.Time `json:"start"`
	Count
}

func (c Count) plus(o Count) Count { return Count{Total: c.Total + o.Total, Bad: c.Bad + o.Bad} }

// Rate is how fast the budget burns: 1 spends just the whole of it in the
// period of the objective.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Merge adds up the counts of several hosts.
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

// window returns the count of Windows[i]; a host of another version may have
// sent fewer.
func (c IndicatorCounts) window(i int) Count {
	if i < len(c.Windows) {
		return c.Windows[i]
	}
	return Count{}
}

func mergePoints(a, b []Point) []Point {
	out := slices.Concat(a, b)
	slices.SortStableFunc(out, func(x, y Point) int { return x.Start.Compare(y.Start) })
	kept := out[:0]
	for _, p := range out {
		if n := len(kept); n > 0 && kept[n-1].Start.Equal(p.Start) {
			kept[n-1].Count = kept[n-1].plus(p.Count)
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// Report tells how fast each budget burns.
type Report struct {
	At      time.Time `json:"at"`
	Budgets []Budget  `json:"budgets"`
}

// Budget is one objective of one route.
type Budget struct {
	Route       string       `json:"route"`
	ObjectiveMS int64        `json:"objective_ms,omitempty"`
	Indicator   Indicator    `json:"indicator"`
	Target      float64      `json:"target"`
	Windows     []WindowBurn `json:"windows"`
	// Alert is the most urgent rule that holds; empty where none does.
	Alert Severity `json:"alert,omitempty"`
	// Fine and Coarse are the counts over time.
	Fine   []Point `json:"-"`
	Coarse []Point `json:"-"`
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Count
}

// Evaluate works the burn rates and alerts out. An indicator without events
// has no budget to burn and is left out.
func Evaluate(c Counts, targets Targets) Report {
	rep := Report{At: c.At, Budgets: []Budget{}}
	for _, r := range c.Routes {
		for _, name := range Indicators {
			ic := r.indicator(name)
			if ic.window(len(Windows)-1).Total == 0 {
				continue
			}
			rep.Budgets = append(rep.Budgets, evaluate(r, ic, targets[name]))
		}
	}
	return rep
}

func evaluate(r RouteCounts, ic IndicatorCounts, target float64) Budget {
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

// WindowName returns the short form of a window, such as 5m or 3d.
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
