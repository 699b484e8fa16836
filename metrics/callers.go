package metrics

import "expvar"

// CallersLeft counts callers that disconnected before their answer. They count
// against no service-level objective.
var CallersLeft = expvar.NewInt("caraway_callers_left")
