package metrics

import "expvar"

// CallersDisconnected counts callers that disconnected before their answer. They are
// not counted in the service-level objectives.
var CallersDisconnected = expvar.NewInt("caraway_callers_left")
