package contract

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ClientLimits are the limits on one client of an entry. A field that is zero means the
// entry's default.
type ClientLimits struct {
	// MaxHeaderBytes limits the head of a request without its first line, and MaxBodyBytes
	// its body.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout limits the time from the first byte of a head to its end, and
	// IdleTimeout the time that a connection waits for the first byte of a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// DecodeMsgpack implements msgpack.CustomDecoder. Later versions may send more fields.
func (l *ClientLimits) DecodeMsgpack(dec *msgpack.Decoder) error { return DecodeArray(dec, l) }

// Or returns the limits with those of defaults in place of zeros.
func (l ClientLimits) Or(defaults ClientLimits) ClientLimits {
	or := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	or(&l.MaxHeaderBytes, defaults.MaxHeaderBytes)
	or(&l.MaxBodyBytes, defaults.MaxBodyBytes)
	or((*int64)(&l.HeaderTimeout), int64(defaults.HeaderTimeout))
	or((*int64)(&l.IdleTimeout), int64(defaults.IdleTimeout))
	return l
}
