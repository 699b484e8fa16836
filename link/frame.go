package link

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// MaxFrameBytes is the maximum size of a frame's body.
const MaxFrameBytes = 24 << 20

// headerBytes is the size of a frame's header: body length (4), kind (1),
// flags (1), sequence number (8), all big-endian.
const headerBytes = 14

// flagReply is set in the flags of a frame that is a reply.
const flagReply = 1

// Frame is one message on the wire. Seq is the sequence number of a request,
// which its reply repeats; it is zero if the message expects no reply.
type Frame struct {
	Seq     uint64
	Reply   bool
	Message contract.Message
}

// AppendFrame appends the encoded frame to buf. It returns an error, and buf
// without the frame, if the body is larger than MaxFrameBytes.
func AppendFrame(buf []byte, f Frame) ([]byte, error) {
	start := len(buf)
	var header [headerBytes]byte
	b := bytes.NewBuffer(append(buf, header[:]...))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(f.Message); err != nil {
		return buf, fmt.Errorf("encode message kind %d: %w", f.Message.MessageKind(), err)
	}
	out := b.Bytes()
	size := len(out) - start - headerBytes
	if size > MaxFrameBytes {
		return buf, fmt.Errorf("frame body has %d bytes: send at most %d", size, MaxFrameBytes)
	}
	frame := out[start:]
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame[4] = byte(f.Message.MessageKind())
	if f.Reply {
		frame[5] = flagReply
	}
	binary.BigEndian.PutUint64(frame[6:], f.Seq)
	return out, nil
}

// ReadFrame reads and decodes one frame. If the header announces a body of more than
// MaxFrameBytes, it returns an error before it allocates the body.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return Frame{}, fmt.Errorf("received frame header announces a body of %d bytes: the limit is %d", size, MaxFrameBytes)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return Frame{}, err
	}
	m, err := DecodeMessage(contract.MessageKind(header[4]), body)
	if err != nil {
		return Frame{}, err
	}
	return Frame{Seq: binary.BigEndian.Uint64(header[6:]), Reply: header[5]&flagReply != 0, Message: m}, nil
}

// maxBodyAtOnce is the size up to which a body is allocated before it has arrived, in
// bytes.
const maxBodyAtOnce = 64 << 10

// readBody reads a body. A large one takes memory only as it arrives, since the size is the
// peer's claim.
func readBody(r io.Reader, size int) ([]byte, error) {
	if size <= maxBodyAtOnce {
		body := make([]byte, size)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// DecodeMessage decodes the body of a message of the given kind. It returns an
// error if the kind is unknown.
func DecodeMessage(k contract.MessageKind, body []byte) (contract.Message, error) {
	m := contract.NewMessage(k)
	if m == nil {
		return nil, fmt.Errorf("message kind %d is not known: run the same version on both ends", k)
	}
	if err := checkBody(body); err != nil {
		metrics.MalformedMessages.Add(1)
		return nil, fmt.Errorf("message kind %d is malformed: %w", k, err)
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message kind %d: %w", k, err)
	}
	return m, nil
}
