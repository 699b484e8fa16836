package metrics

import "expvar"

// ClientsRefused counts requests that were refused and connections that were closed before
// a handler ran, by listener and reason.
var ClientsRefused = expvar.NewMap("caraway_clients_refused")
