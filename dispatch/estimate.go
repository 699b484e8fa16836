package dispatch

import (
	"math"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

const (
	// defaultEstimate is the estimated run time of a task without a declared
	// run time on a route without observations.
	defaultEstimate = 300 * time.Millisecond
	// maxDeviationFactor is the largest factor by which an estimate may differ
	// from the route's typical run time, or from defaultEstimate if there is
	// none, whatever run time is declared.
	maxDeviationFactor = 16
	// minObservationWeight is the least weight of a new observation in a
	// movingAverage.
	minObservationWeight = 1.0 / 64
	// maxTrackedRoutes bounds the number of routes whose run times are learned,
	// and the number of pairs of team and route.
	maxTrackedRoutes = 4096
	// priorVariance is the assumed variance of the logarithm of actual over
	// declared run time before the first observation.
	priorVariance = 0.25
)

// movingAverage holds the mean and variance of a series of observations. It
// weighs all observations equally until there are 1/minObservationWeight of
// them, and is an exponential moving average from then on.
type movingAverage struct {
	count    float64
	mean     float64
	variance float64
}

// add adds an observation.
func (a *movingAverage) add(x float64) {
	a.count++
	weight := max(1/a.count, minObservationWeight)
	diff := x - a.mean
	a.mean += weight * diff
	a.variance += weight * (diff*diff*(1-weight) - a.variance)
}

// routeTimes holds the run times observed on a route.
type routeTimes struct {
	logElapsed movingAverage // logarithm of the run time in seconds
	logRatio   movingAverage // logarithm of actual over declared run time
}

// teamRoute identifies one team's tasks on one route.
type teamRoute struct{ team, route string }

// estimator estimates the run times of tasks from those observed on their
// routes. It corrects declared run times by the ratio of actual to declared run
// times of earlier tasks on the same route, mainly those of the same team.
type estimator struct {
	routes     map[string]*routeTimes
	teamRoutes map[teamRoute]*movingAverage // logarithm of actual over declared run time
}

func newEstimator() estimator {
	return estimator{routes: make(map[string]*routeTimes), teamRoutes: make(map[teamRoute]*movingAverage)}
}

// estimate returns the expected run time of a task. If a run time is declared,
// the estimate is the average of the corrected declaration and the route's
// typical run time, in logarithms and weighted by their inverse variances.
func (e *estimator) estimate(team, route string, d contract.Demand) time.Duration {
	declared := time.Duration(d.DeclaredMillis) * time.Millisecond
	r := e.routes[route]
	if r == nil {
		if declared > 0 {
			return min(max(declared, defaultEstimate/maxDeviationFactor), defaultEstimate*maxDeviationFactor)
		}
		return defaultEstimate
	}
	typical := r.logElapsed.mean
	if declared <= 0 {
		return seconds(math.Exp(typical + r.logElapsed.variance/2))
	}
	bias := e.bias(teamRoute{team, route}, r)
	corrected := math.Log(declared.Seconds()) + bias.mean
	weight := r.logElapsed.variance / (r.logElapsed.variance + bias.variance + 1e-9)
	average := weight*corrected + (1-weight)*typical
	limit := math.Log(maxDeviationFactor)
	return seconds(math.Exp(min(max(average, typical-limit), typical+limit)))
}

// teamRouteWeight is the number of observations of a team on a route that weigh
// as much as the observations of all teams on that route.
const teamRouteWeight = 8

// bias returns the mean and variance of the logarithm of actual over declared
// run time of a team's tasks on a route. While there are few observations of
// the team, they are blended with those of all teams on the route.
func (e *estimator) bias(key teamRoute, r *routeTimes) movingAverage {
	route := r.logRatio
	if route.count == 0 {
		route.variance = priorVariance
	}
	own := e.teamRoutes[key]
	if own == nil {
		return route
	}
	weight := own.count / (own.count + teamRouteWeight)
	return movingAverage{
		mean:     weight*own.mean + (1-weight)*route.mean,
		variance: weight*own.variance + (1-weight)*route.variance,
	}
}

// observe records the measured run time of a task.
func (e *estimator) observe(team, route string, d contract.Demand, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	r := e.routes[route]
	if r == nil {
		if len(e.routes) >= maxTrackedRoutes {
			return
		}
		r = new(routeTimes)
		e.routes[route] = r
	}
	actual := math.Log(elapsed.Seconds())
	r.logElapsed.add(actual)
	if d.DeclaredMillis <= 0 {
		return
	}
	ratio := actual - math.Log(float64(d.DeclaredMillis)/1000)
	r.logRatio.add(ratio)
	key := teamRoute{team, route}
	own := e.teamRoutes[key]
	if own == nil {
		if len(e.teamRoutes) >= maxTrackedRoutes {
			return
		}
		own = new(movingAverage)
		e.teamRoutes[key] = own
	}
	own.add(ratio)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
