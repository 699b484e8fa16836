package link

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxNesting is the deepest nesting of arrays and maps in a message. The messages of this
// version have less than ten levels.
const maxNesting = 64

var errTruncated = errors.New("the body ends within a value")

// checkBody checks the shape of an encoded message before it is decoded. The decoder
// calls itself for each level of nesting, and allocates what an array claims to hold, so
// that a few bytes of another writer could end the process.
func checkBody(body []byte) error {
	// open holds, for each array or map that is not complete, how many values are missing.
	var open [maxNesting]uint64
	depth := 0
	for {
		v, err := readHead(body)
		if err != nil {
			return err
		}
		body = body[v.size:]
		if v.values > uint64(len(body)) {
			return fmt.Errorf("an array or map claims %d values, and %d bytes are left: send whole messages", v.values, len(body))
		}
		if v.values > 0 {
			if depth == maxNesting {
				return fmt.Errorf("values are nested deeper than %d levels: run the same version on both ends", maxNesting)
			}
			open[depth] = v.values
			depth++
			continue
		}
		for depth > 0 {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// head is the head of an encoded value: its size in bytes, with the content of a value
// that holds no others, and the number of values that follow as its content.
type head struct {
	size   int
	values uint64
}

// readHead reads the head of the value at the start of data, in the MessagePack format.
func readHead(data []byte) (head, error) {
	if len(data) == 0 {
		return head{}, errTruncated
	}
	code := data[0]
	var h head
	switch {
	case code <= 0x7f || code >= 0xe0:
		h.size = 1
	case code <= 0x8f:
		h = head{1, 2 * uint64(code&0x0f)}
	case code <= 0x9f:
		h = head{1, uint64(code & 0x0f)}
	case code <= 0xbf:
		h.size = 1 + int(code&0x1f)
	default:
		f := formats[code-0xc0]
		if f.invalid || len(data) < 1+f.lengthBytes {
			return head{}, errTruncated
		}
		n := readLength(data[1 : 1+f.lengthBytes])
		h.size = 1 + f.lengthBytes + f.fixed
		if f.valuesPerItem > 0 {
			h.values = n * f.valuesPerItem
		} else if n > uint64(len(data)) {
			return head{}, errTruncated
		} else {
			h.size += int(n)
		}
	}
	if h.size > len(data) {
		return head{}, errTruncated
	}
	return h, nil
}

// format is the format of a value by its first byte.
type format struct {
	invalid bool
	// lengthBytes is the size of the length that follows the first byte.
	lengthBytes int
	// fixed is the size of the content besides what the length says.
	fixed int
	// valuesPerItem is set for arrays and maps, whose length is their number of items.
	valuesPerItem uint64
}

// formats holds the formats of the first bytes from 0xc0 to 0xdf.
var formats = [32]format{
	0x00: {}, 0x01: {invalid: true}, 0x02: {}, 0x03: {}, // nil, unused, false, true
	0x04: {lengthBytes: 1}, 0x05: {lengthBytes: 2}, 0x06: {lengthBytes: 4}, // bytes
	0x07: {lengthBytes: 1, fixed: 1}, 0x08: {lengthBytes: 2, fixed: 1}, 0x09: {lengthBytes: 4, fixed: 1}, // extensions
	0x0a: {fixed: 4}, 0x0b: {fixed: 8}, // floats
	0x0c: {fixed: 1}, 0x0d: {fixed: 2}, 0x0e: {fixed: 4}, 0x0f: {fixed: 8}, // unsigned integers
	0x10: {fixed: 1}, 0x11: {fixed: 2}, 0x12: {fixed: 4}, 0x13: {fixed: 8}, // signed integers
	0x14: {fixed: 2}, 0x15: {fixed: 3}, 0x16: {fixed: 5}, 0x17: {fixed: 9}, 0x18: {fixed: 17}, // extensions of fixed size
	0x19: {lengthBytes: 1}, 0x1a: {lengthBytes: 2}, 0x1b: {lengthBytes: 4}, // strings
	0x1c: {lengthBytes: 2, valuesPerItem: 1}, 0x1d: {lengthBytes: 4, valuesPerItem: 1}, // arrays
	0x1e: {lengthBytes: 2, valuesPerItem: 2}, 0x1f: {lengthBytes: 4, valuesPerItem: 2}, // maps
}

// readLength reads a big-endian length of 0, 1, 2 or 4 bytes.
func readLength(data []byte) uint64 {
	switch len(data) {
	case 1:
		return uint64(data[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(data))
	case 4:
		return uint64(binary.BigEndian.Uint32(data))
	}
	return 0
}
