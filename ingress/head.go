package ingress

import "bytes"

// headerLineBytes is the memory that one line of a parsed head takes besides its text: the
// entry of the map, the slice of values, and what the growth of the map leaves behind.
const headerLineBytes = 192

// headScanner follows the bytes of a head as they arrive, before they are parsed.
type headScanner struct {
	// bytes and lines are the size of the head so far, empty lines before it included.
	bytes, lines int64
	// started is set once a line that is not empty has begun.
	started bool
	// lineLength is the number of bytes in the current line, a carriage return left out.
	lineLength int
	ended      bool
}

// feed scans the next bytes up to the end of the head.
func (s *headScanner) feed(p []byte) {
	for len(p) > 0 && !s.ended {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			s.addToLine(p)
			return
		}
		s.addToLine(p[:n])
		p = p[n:]
		s.lines++
		s.ended = s.started && s.lineLength == 0
		s.lineLength = 0
	}
}

// addToLine counts bytes of the current line, perhaps with the line break.
func (s *headScanner) addToLine(p []byte) {
	s.bytes += int64(len(p))
	s.lineLength += len(bytes.TrimRight(p, "\r\n"))
	s.started = s.started || s.lineLength > 0
}

// cost returns the memory that the head takes once it is parsed, in bytes.
func (s *headScanner) cost() int64 { return s.bytes + s.lines*headerLineBytes }
