package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/carawaylanding/carawaylanding/burn"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/tables"
)

// observer counts this entry's answers against the service-level objectives of
// the routes in force.
type observer struct {
	tracker *burn.Tracker
	// objectives holds the latency objective of each route by name.
	objectives atomic.Pointer[map[string]time.Duration]
}

// newObserver returns an observer that follows the routes in store, and makes it
// the source of the metric caraway_burn.
func newObserver(store *tables.Store) *observer {
	o := &observer{tracker: burn.New(burn.Config{})}
	store.Watch(o.tablesChanged)
	metrics.SetBurn(func() any { return o.report(time.Now()) })
	return o
}

func (o *observer) tablesChanged(v *tables.View) {
	m := make(map[string]time.Duration, len(v.Routes))
	for _, r := range v.Routes {
		m[r.Name] = time.Duration(r.ObjectiveMS) * time.Millisecond
	}
	o.objectives.Store(&m)
}

// Answered implements entry.Observer.
func (o *observer) Answered(s contract.AnswerSample) {
	o.tracker.Add(time.Now(), s, (*o.objectives.Load())[s.Route])
}

func (o *observer) report(now time.Time) burn.Report {
	return burn.Evaluate(o.tracker.Counts(now), burn.DefaultTargets())
}

// serveBurn returns the counts of this entry. A process that is not an entry
// returns a report without routes.
func (n *Node) serveBurn(w http.ResponseWriter, _ *http.Request) {
	if n.observer == nil {
		writeJSON(w, burn.Counts{At: time.Now(), Routes: []burn.RouteCounts{}})
		return
	}
	writeJSON(w, n.observer.tracker.Counts(time.Now()))
}
