package testbed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the bed.
type Process struct {
	Name string
	// HTTP, Link and Admin are the process's addresses, where it has them.
	HTTP, Link, Admin string

	path string
	args []string
	log  string

	mu   sync.Mutex // guards cmd and done
	cmd  *exec.Cmd
	done chan struct{}
}

// Ports that FreeAddr draws from lie below those that the system gives to
// outgoing connections, so that none of these takes a drawn port.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portDraws = 100
)

// drawnPorts are the ports that FreeAddr has returned: a port that its process
// does not hold yet must not be drawn for another.
var drawnPorts sync.Map // of int to struct{}

// FreeAddr returns a loopback address that was free a moment ago, and that no
// earlier call in this process returned.
func FreeAddr() (string, error) {
	last := errors.New("every drawn port was drawn before")
	for range portDraws {
		port := firstPort + rand.N(lastPort-firstPort)
		if _, drawn := drawnPorts.LoadOrStore(port, struct{}{}); drawn {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			last = err
			continue
		}
		ln.Close()
		return addr, nil
	}
	return "", last
}

// Waits of a start.
const (
	startTries = 20
	startWait  = 250 * time.Millisecond
	startLimit = 20 * time.Second
)

// Start starts the process, again where it has ended, and returns once it
// listens. A port that another process holds is waited for.
func (p *Process) Start() error {
	var err error
	for range startTries {
		var inUse bool
		inUse, err = p.startOnce()
		if !inUse {
			return err
		}
		time.Sleep(startWait)
	}
	return err
}

// startOnce starts the process; it reports whether a port was in use.
func (p *Process) startOnce() (bool, error) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return false, err
	}
	defer log.Close()
	before, err := log.Seek(0, 2)
	if err != nil {
		return false, err
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return false, fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd = cmd
	p.done = done
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		close(done)
	}()
	if p.awaitListening(done) {
		return false, nil
	}
	text, _ := os.ReadFile(p.log)
	text = text[min(before, int64(len(text))):]
	return bytes.Contains(text, []byte("address already in use")), fmt.Errorf("%s did not start: %s", p.Name, text)
}

func (p *Process) awaitListening(done <-chan struct{}) bool {
	end := time.Now().Add(startLimit)
	for time.Now().Before(end) {
		select {
		case <-done:
			return false
		case <-time.After(pollInterval):
		}
		if p.listening() {
			return true
		}
	}
	return false
}

func (p *Process) listening() bool {
	for _, addr := range []string{p.HTTP, p.Link, p.Admin} {
		if addr == "" {
			continue
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		conn.Close()
	}
	return true
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	cmd, _ := p.current()
	if cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return cmd.Process.Signal(s)
}

// Kill kills the process at once and waits for its end.
func (p *Process) Kill() {
	cmd, done := p.current()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// Stop asks the process to drain and waits for its end, or for ctx.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Ended(ctx)
}

// Ended waits for the process's end, or for ctx.
func (p *Process) Ended(ctx context.Context) error {
	_, done := p.current()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
	}
}

// PID returns the process's ID.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}
