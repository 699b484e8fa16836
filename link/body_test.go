package link

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// rawFrame returns a frame with the given body.
func rawFrame(k contract.MessageKind, body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	out[4] = byte(k)
	return append(out, body...)
}

// TestMalformedBodiesEndNoProcess guards against a process that ends since another writer's
// message is nested too deeply for the decoder's stack, or claims more values than fit
// into memory.
func TestMalformedBodiesEndNoProcess(t *testing.T) {
	deep := bytes.Repeat([]byte{0x91}, 16<<20)
	cases := map[string][]byte{
		"nested arrays":                       deep,
		"nested beyond the known fields":      append([]byte{0xdc, 0, 30, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0}, deep...),
		"nested under an unknown key":         append([]byte{0x81, 0xa1, 'x'}, deep...),
		"nested maps":                         bytes.Repeat([]byte{0x81, 0xa1, 'x'}, 1<<20),
		"an array with too many values":       {0x91, 0xdd, 0xff, 0xff, 0xff, 0xff},
		"a field with too many values":        {0x93, 0xc0, 0xc0, 0xdd, 0xff, 0xff, 0xff, 0xff},
		"a map with too many items":           {0xdf, 0xff, 0xff, 0xff, 0xff},
		"a string that is too long":           {0x91, 0xdb, 0xff, 0xff, 0xff, 0xff},
		"bytes that are too long":             {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"an extension that is too long":       {0x91, 0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"a byte that begins no value":         {0x91, 0xc1},
		"no value":                            {},
		"a number that is cut off":            {0x91, 0xcf, 1, 2},
		"a length that is cut off":            {0x91, 0xdd, 0},
		"an array that lacks its last value":  {0x92, 0x01},
		"a map that lacks the value of a key": {0x81, 0xa1, 'x'},
	}
	for name, body := range cases {
		for k := range 256 {
			if contract.NewMessage(contract.MessageKind(k)) == nil {
				continue
			}
			_, err := ReadFrame(bytes.NewReader(rawFrame(contract.MessageKind(k), body)))
			must.Error(t, err, must.Sprint(name, " as kind ", k))
		}
	}
}

// TestBodiesOfAllFormatsPass checks that the check of a body accepts each format.
func TestBodiesOfAllFormatsPass(t *testing.T) {
	fill := func(head []byte, n int) []byte { return append(head, make([]byte, n)...) }
	bodies := [][]byte{
		{0x00}, {0x7f}, {0xe0}, {0xff}, {0xc0}, {0xc2}, {0xc3}, {0x80}, {0x90}, {0xa0},
		fill([]byte{0xbf}, 31), fill([]byte{0xc4, 3}, 3), fill([]byte{0xc5, 0, 3}, 3), fill([]byte{0xc6, 0, 0, 0, 3}, 3),
		fill([]byte{0xc7, 3}, 4), fill([]byte{0xc8, 0, 3}, 4), fill([]byte{0xc9, 0, 0, 0, 3}, 4),
		fill([]byte{0xca}, 4), fill([]byte{0xcb}, 8),
		fill([]byte{0xcc}, 1), fill([]byte{0xcd}, 2), fill([]byte{0xce}, 4), fill([]byte{0xcf}, 8),
		fill([]byte{0xd0}, 1), fill([]byte{0xd1}, 2), fill([]byte{0xd2}, 4), fill([]byte{0xd3}, 8),
		fill([]byte{0xd4}, 2), fill([]byte{0xd5}, 3), fill([]byte{0xd6}, 5), fill([]byte{0xd7}, 9), fill([]byte{0xd8}, 17),
		fill([]byte{0xd9, 3}, 3), fill([]byte{0xda, 0, 3}, 3), fill([]byte{0xdb, 0, 0, 0, 3}, 3),
		fill([]byte{0xdc, 0, 3}, 3), fill([]byte{0xdd, 0, 0, 0, 3}, 3), fill([]byte{0xde, 0, 2}, 4), fill([]byte{0xdf, 0, 0, 0, 2}, 4),
		{0x92, 0x91, 0x01, 0x81, 0x01, 0x02},
	}
	for _, b := range bodies {
		must.NoError(t, checkBody(b), must.Sprintf("% x", b))
		must.NoError(t, checkBody(append([]byte{0x92}, append(bytes.Clone(b), 0x01)...)), must.Sprintf("% x in an array", b))
		must.Error(t, checkBody(b[:len(b)-1]), must.Sprintf("% x cut off", b))
	}
}

// BenchmarkCheckBody measures the check of a report with a hundred runs, beside its decoding.
func BenchmarkCheckBody(b *testing.B) {
	m := &contract.WorkerReport{Running: make([]contract.PlacedRun, 100)}
	for i := range m.Running {
		m.Running[i] = contract.PlacedRun{RunRef: contract.RunRef{Job: "5c0e7a21d94b36f8", Task: uint32(i), Run: 1 << 40}}
	}
	frame, err := AppendFrame(nil, Frame{Message: m})
	must.NoError(b, err)
	body := frame[headerBytes:]
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			_ = checkBody(body)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = DecodeMessage(contract.KindWorkerReport, body)
		}
	})
}

// TestClaimedSizeTakesNoMemory guards against a process that runs out of memory since other
// writers announce large messages that never arrive.
func TestClaimedSizeTakesNoMemory(t *testing.T) {
	frame := rawFrame(contract.KindHubState, []byte{0x90})
	binary.BigEndian.PutUint32(frame, MaxFrameBytes)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, err := ReadFrame(bytes.NewReader(frame))
			must.Error(b, err)
		}
	}).AllocedBytesPerOp()
	must.Less(t, 1<<20, allocated)
}

// TestLargeBodyArrivesWhole checks a body that is read in parts.
func TestLargeBodyArrivesWhole(t *testing.T) {
	m := &contract.JobSubmit{Spec: string(bytes.Repeat([]byte("x"), 3*maxBodyAtOnce))}
	frame, err := AppendFrame(nil, Frame{Message: m})
	must.NoError(t, err)
	got, err := ReadFrame(bytes.NewReader(frame))
	must.NoError(t, err)
	must.Eq(t, m.Spec, got.Message.(*contract.JobSubmit).Spec)
	_, err = ReadFrame(bytes.NewReader(frame[:len(frame)-1]))
	must.Error(t, err)
}
