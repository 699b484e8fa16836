package metrics

import "expvar"

// CallersLeft counts callers that left before their answer; it counts under no
// service-level objective.
var CallersLeft = expvar.NewInt("caraway_callers_left")
