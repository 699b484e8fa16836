package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// defaultEstimate is the run time of a task of which nothing is known.
	defaultEstimate = 300 * time.Millisecond
	// maxDeviation bounds an estimate to this many times the route's typical
	// run time, up and down, whatever is declared.
	maxDeviation = 16
	// learnMin is the least weight of a new observation in an average.
	learnMin = 1.0 / 64
	// maxCallers bounds the pairs of team and route that are learned apart.
	maxCallers = 4096
	// priorVariance is the assumed variance of the logarithm of declared over
	// actual run time before anything is learned.
	priorVariance = 0.25
)

// average is an average that forgets: plain at first, exponential later.
type average struct {
	n        float64
	mean     float64
	variance float64
}

func (a *average) add(x float64) {
	a.n++
	weight := max(1/a.n, learnMin)
	diff := x - a.mean
	a.mean += weight * diff
	a.variance += weight * (diff*diff*(1-weight) - a.variance)
}

// routeTimes is what is learned of a route's run times, as logarithms of
// seconds.
type routeTimes struct {
	elapsed average
	ratio   average // of actual over declared
}

type caller struct{ team, route string }

// estimator learns run times by route and corrects what callers declare by
// what their earlier declarations were worth.
type estimator struct {
	routes  map[string]*routeTimes
	callers map[caller]*average
}

func newEstimator() estimator {
	return estimator{routes: make(map[string]*routeTimes), callers: make(map[caller]*average)}
}

// estimate returns the expected run time of a task.
func (e *estimator) estimate(team, route string, d contract.Demand) time.Duration {
	declared := time.Duration(d.Millis) * time.Millisecond
	r := e.routes[route]
	if r == nil {
		if declared > 0 {
			return min(max(declared, defaultEstimate/maxDeviation), defaultEstimate*maxDeviation)
		}
		return defaultEstimate
	}
	typical := r.elapsed.mean
	if declared <= 0 {
		return seconds(math.Exp(typical + r.elapsed.variance/2))
	}
	bias := e.bias(caller{team, route}, r)
	corrected := math.Log(declared.Seconds()) + bias.mean
	trust := r.elapsed.variance / (r.elapsed.variance + bias.variance + 1e-9)
	guess := trust*corrected + (1-trust)*typical
	limit := math.Log(maxDeviation)
	return seconds(math.Exp(min(max(guess, typical-limit), typical+limit)))
}

// callerWeight is how many observations of one caller outweigh the route's.
const callerWeight = 8

// bias returns the mean and variance of the caller's logarithm of actual over
// declared run time, leaning on the route's while the caller is little known.
func (e *estimator) bias(c caller, r *routeTimes) average {
	route := r.ratio
	if route.n == 0 {
		route.variance = priorVariance
	}
	own := e.callers[c]
	if own == nil {
		return route
	}
	share := own.n / (own.n + callerWeight)
	return average{
		mean:     share*own.mean + (1-share)*route.mean,
		variance: share*own.variance + (1-share)*route.variance,
	}
}

// learn takes the measured run time of a task.
func (e *estimator) learn(team, route string, d contract.Demand, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := e.routes[route]
	if r == nil {
		if len(e.routes) >= maxCallers {
			return
		}
		r = new(routeTimes)
		e.routes[route] = r
	}
	actual := math.Log(elapsed.Seconds())
	r.elapsed.add(actual)
	if d.Millis <= 0 {
		return
	}
	ratio := actual - math.Log(float64(d.Millis)/1000)
	r.ratio.add(ratio)
	c := caller{team, route}
	own := e.callers[c]
	if own == nil {
		if len(e.callers) >= maxCallers {
			return
		}
		own = new(average)
		e.callers[c] = own
	}
	own.add(ratio)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
