package metrics

import "expvar"

// CallersDisconnected counts callers that disconnected before their answer. They count
// against no service-level objective.
var CallersDisconnected = expvar.NewInt("caraway_callers_left")
