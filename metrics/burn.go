package metrics

import (
	"expvar"
	"sync/atomic"
)

// burnSource is where caraway_burn comes from.
var burnSource atomic.Pointer[func() any]

// SetBurn makes caraway_burn show what f returns: the burn of each objective.
func SetBurn(f func() any) { burnSource.Store(&f) }

func init() {
	expvar.Publish("caraway_burn", expvar.Func(func() any {
		if f := burnSource.Load(); f != nil {
			return (*f)()
		}
		return nil
	}))
}
