package metrics

import (
	"expvar"
	"sync/atomic"
)

// burnSource is the function that returns the value of caraway_burn; nil until
// SetBurn is called.
var burnSource atomic.Pointer[func() any]

// SetBurn makes f the source of caraway_burn: the burn rate of the error budget of
// each objective. f is called on each read and must be safe for concurrent use.
func SetBurn(f func() any) { burnSource.Store(&f) }

func init() {
	expvar.Publish("caraway_burn", expvar.Func(func() any {
		if f := burnSource.Load(); f != nil {
			return (*f)()
		}
		return nil
	}))
}
