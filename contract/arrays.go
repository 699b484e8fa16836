package contract

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// DecodeArray decodes an array-encoded struct of any version into the struct that v
// points to. The msgpack library refuses an array whose length is not the number of
// the struct's fields. Here, fields at the end that the array lacks keep their value,
// and elements for which the struct has no field are skipped. The struct must have
// no embedded and no unexported fields.
func DecodeArray(dec *msgpack.Decoder, v any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	fields := reflect.ValueOf(v).Elem()
	for i := range n {
		if i >= fields.NumField() {
			err = dec.Skip()
		} else {
			err = dec.Decode(fields.Field(i).Addr().Interface())
		}
		if err != nil {
			return fmt.Errorf("decode element %d of %T: %w", i, v, err)
		}
	}
	return nil
}
