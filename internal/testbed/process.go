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
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a process of a Bed. It can be started again after it has exited.
type Process struct {
	Name string
	// HTTP, Link and Admin are the addresses that the process listens on; an empty
	// one is not used.
	HTTP, Link, Admin string

	binary  string
	args    []string
	logFile string

	mu   sync.Mutex // guards cmd and done
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has exited
}

// FreeAddr draws from ports below the range that the operating system uses for
// outgoing connections, so that no outgoing connection takes a drawn port.
const (
	firstPort    = 10_000
	lastPort     = 32_000
	maxPortDraws = 100
)

// drawnPorts are the ports that FreeAddr has tried: a port whose process does not
// listen on it yet must not be drawn for another process.
var drawnPorts sync.Map // of int to struct{}

// FreeAddr returns a loopback address that was free when it was checked, and that
// no earlier call in this process returned.
func FreeAddr() (string, error) {
	lastErr := errors.New("no free port: every port drawn was drawn before")
	for range maxPortDraws {
		port := firstPort + rand.N(lastPort-firstPort)
		if _, drawn := drawnPorts.LoadOrStore(port, struct{}{}); drawn {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			lastErr = err
			continue
		}
		ln.Close()
		return addr, nil
	}
	return "", lastErr
}

// Limits of the start of a process.
const (
	maxStartAttempts   = 20
	startRetryInterval = 250 * time.Millisecond
	startTimeout       = 20 * time.Second
)

// Start starts the process, or restarts it after its exit, and returns once it
// listens on all its addresses. If another process uses one of its ports, Start
// retries.
func (p *Process) Start() error {
	var err error
	for range maxStartAttempts {
		var inUse bool
		inUse, err = p.startOnce()
		if !inUse {
			return err
		}
		time.Sleep(startRetryInterval)
	}
	return err
}

// startOnce starts the process and waits until it listens. It returns true if the
// start failed because a port was in use.
func (p *Process) startOnce() (bool, error) {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return false, err
	}
	defer log.Close()
	offset, err := log.Seek(0, 2)
	if err != nil {
		return false, err
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = ownGroup()
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
	output, _ := os.ReadFile(p.logFile)
	output = output[min(offset, int64(len(output))):]
	return bytes.Contains(output, []byte("address already in use")), fmt.Errorf("%s did not start: %s", p.Name, output)
}

// ownGroup returns the attributes of a process in its own process group, which the
// kernel kills when this process ends. In the group of the tests, a frozen process
// could run again: when the shell that started the tests in the background exits, the
// kernel sends SIGHUP and SIGCONT to the group if a process in it is stopped. Killing
// with the parent replaces the interrupt key of a terminal, which reaches one group
// only. The kernel does so when the thread that started the process ends, but the Go
// runtime ends no threads except those that a goroutine has locked.
func ownGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// awaitListening waits until the process listens. It returns false if done is
// closed first or the start times out.
func (p *Process) awaitListening(done <-chan struct{}) bool {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
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

// current returns the last started command, or nil, and the channel that is closed
// when it exits.
func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal to the process. It fails if the process was not started.
func (p *Process) Signal(s syscall.Signal) error {
	cmd, _ := p.current()
	if cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return cmd.Process.Signal(s)
}

// Freeze suspends the process with SIGSTOP and returns once all its threads have
// stopped: a thread that runs on a processor may go on for some milliseconds after
// the signal. It fails if they have not stopped within freezeTimeout.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(freezeTimeout); ; time.Sleep(time.Millisecond) {
		stopped, err := p.Frozen()
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s still runs %s after SIGSTOP", p.Name, freezeTimeout)
		}
	}
}

// Frozen reports whether each thread of the process is stopped. It fails if the
// process is gone.
func (p *Process) Frozen() (bool, error) { return allThreadsStopped(p.PID()) }

const freezeTimeout = 10 * time.Second

// allThreadsStopped reports whether each thread of the process is stopped by a
// signal, or has exited. It fails if the process is gone.
func allThreadsStopped(pid int) (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	if len(threads) == 0 {
		return false, fmt.Errorf("process %d is gone", pid)
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue
		}
		if err != nil {
			return false, err
		}
		// The state follows the command name, which is in parentheses.
		if i := bytes.LastIndexByte(stat, ')'); i < 0 || i+2 >= len(stat) || !bytes.ContainsRune([]byte("TtZX"), rune(stat[i+2])) {
			return false, nil
		}
	}
	return true, nil
}

// Kill sends SIGKILL to the process and waits for it to exit. It does nothing if the
// process was not started.
func (p *Process) Kill() {
	cmd, done := p.current()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// Stop sends SIGTERM, which makes the process drain, and waits for it to exit. It
// returns an error if ctx ends first.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the process to exit. It returns an error if ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	_, done := p.current()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
	}
}

// PID returns the process ID. The process must have been started.
func (p *Process) PID() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}
