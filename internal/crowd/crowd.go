// Package crowd plays clients of an HTTP listener that use up what a process has:
// heads of many lines or without an end, bodies that stop short of their end, and many
// large bodies at once. Their connections stay open until the crowd leaves.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client writes what one client of a crowd sends. number tells the clients of a crowd
// apart. An error ends what it sends, but not its connection.
type Client func(w io.Writer, number int) error

// Timeouts of one client.
const (
	dialTimeout = 5 * time.Second
	// writeTimeout is how long a client tries to send something that the process does not
	// read.
	writeTimeout = 5 * time.Second
)

// Crowd is a number of clients with open connections.
type Crowd struct {
	mu       sync.Mutex // guards the fields below
	conns    []net.Conn
	statuses []int
	readers  sync.WaitGroup
	// answers counts the clients that have neither got an answer nor been cut off.
	answers sync.WaitGroup
}

// Gather plays size clients at once against the listener at addr. It returns once each has
// sent what it sends, was cut off, or was not read for writeTimeout.
func Gather(addr string, size int, client Client) *Crowd {
	c := &Crowd{statuses: make([]int, size)}
	var senders sync.WaitGroup
	for number := range size {
		senders.Go(func() { c.play(addr, number, client) })
	}
	senders.Wait()
	return c
}

// play connects one client and sends what it sends.
func (c *Crowd) play(addr string, number int, client Client) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	c.answers.Add(1)
	c.readers.Go(func() { c.readAnswer(conn, number) })
	// A client that is cut off has nothing more to send.
	_ = client(deadlineWriter{conn}, number)
}

// readAnswer records the status of the first answer, and reads on until the connection
// ends, so that the process is never held up by its own answers.
func (c *Crowd) readAnswer(conn net.Conn, number int) {
	r := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(r, nil); err == nil {
		c.mu.Lock()
		c.statuses[number] = resp.StatusCode
		c.mu.Unlock()
	}
	c.answers.Done()
	_, _ = io.Copy(io.Discard, r)
}

// Statuses returns the status of the first answer to each client by its number, and zero
// for those that got none.
func (c *Crowd) Statuses() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]int(nil), c.statuses...)
}

// AwaitAnswers returns once each client has got an answer or was cut off, or when the
// timeout has passed.
func (c *Crowd) AwaitAnswers(timeout time.Duration) {
	answered := make(chan struct{})
	go func() {
		c.answers.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(timeout):
	}
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.readers.Wait()
}

// deadlineWriter limits each write by writeTimeout.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// Request is the request that the clients of a crowd vary.
type Request struct {
	Method, Host string
	// Path returns the path of the client with the number.
	Path func(number int) string
	// Header holds further lines of the head, each with its line break.
	Header string
}

func (r Request) line(number int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.Method, r.Path(number), r.Host, r.Header)
}

// ManyHeaderLines sends a head of headBytes bytes, made of header lines as short as
// can be, and all but the last byte of a small body.
func ManyHeaderLines(r Request, headBytes int) Client {
	return func(w io.Writer, number int) error {
		var head strings.Builder
		head.WriteString(r.line(number) + "Content-Length: 100\r\n")
		const end = "\r\n"
		for i := 0; ; i++ {
			line := strconv.FormatInt(int64(i), 36) + ":\r\n"
			if head.Len()+len(line)+len(end) > headBytes {
				break
			}
			head.WriteString(line)
		}
		_, err := io.WriteString(w, head.String()+end+strings.Repeat(" ", 99))
		return err
	}
}

// EndlessHead sends header lines until it has sent total bytes, without an end of the head.
func EndlessHead(r Request, total int) Client {
	return func(w io.Writer, number int) error {
		if _, err := io.WriteString(w, r.line(number)); err != nil {
			return err
		}
		return repeat(w, total, func(i int) string { return "x" + strconv.FormatInt(int64(i), 36) + ":1\r\n" })
	}
}

// EndlessLine sends one header line of total bytes, without an end.
func EndlessLine(r Request, total int) Client {
	return func(w io.Writer, number int) error {
		if _, err := io.WriteString(w, r.line(number)+"Endless: "); err != nil {
			return err
		}
		return repeat(w, total, func(int) string { return strings.Repeat("x", 64) })
	}
}

// EmptyLines sends empty lines until it has sent total bytes, and no request.
func EmptyLines(total int) Client {
	return func(w io.Writer, _ int) error {
		return repeat(w, total, func(int) string { return "\r\n" })
	}
}

// repeat sends the texts of piece, in blocks, until total bytes are sent.
func repeat(w io.Writer, total int, piece func(i int) string) error {
	const blockBytes = 4 << 10
	var block strings.Builder
	for i, sent := 0, 0; sent < total; i++ {
		block.WriteString(piece(i))
		if block.Len() < blockBytes {
			continue
		}
		if _, err := io.WriteString(w, block.String()); err != nil {
			return err
		}
		sent += block.Len()
		block.Reset()
	}
	return nil
}

// WholeBody sends a whole request.
func WholeBody(r Request, body string) Client {
	return func(w io.Writer, number int) error {
		_, err := io.WriteString(w, r.line(number)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return err
	}
}

// StalledBody sends a request without the last byte of its body, in the given number of
// pieces.
func StalledBody(r Request, body string, pieces int) Client {
	return func(w io.Writer, number int) error {
		if _, err := io.WriteString(w, r.line(number)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"); err != nil {
			return err
		}
		return sendPieces(w, body[:len(body)-1], pieces, false)
	}
}

// StalledChunks sends a request with a body of unknown length, in the given number of
// chunks and without the last one.
func StalledChunks(r Request, body string, pieces int) Client {
	return func(w io.Writer, number int) error {
		if _, err := io.WriteString(w, r.line(number)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		return sendPieces(w, body[:len(body)-1], pieces, true)
	}
}

// sendPieces sends the text in pieces, each as a chunk if chunked is set.
func sendPieces(w io.Writer, text string, pieces int, chunked bool) error {
	const pause = 5 * time.Millisecond
	size := (len(text) + pieces - 1) / pieces
	for len(text) > 0 {
		n := min(size, len(text))
		piece := text[:n]
		text = text[n:]
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", n, piece)
		}
		if _, err := io.WriteString(w, piece); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// PeakMemory returns the most memory that the process has had resident at once, in bytes.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended: its status has no VmHWM", pid)
}

// OpenFiles returns the number of descriptors that the process has open.
func OpenFiles(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
