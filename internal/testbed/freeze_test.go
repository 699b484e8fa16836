package testbed

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// busyVariable makes the test binary run busy threads instead of the tests.
const busyVariable = "CARAWAYLANDING_TEST_BUSY"

// holdVariable makes the test binary run holdFrozen instead of the tests.
const holdVariable = "CARAWAYLANDING_TEST_HOLD"

// spins counts the iterations of busy loops.
var spins atomic.Uint64

func TestMain(m *testing.M) {
	if os.Getenv(busyVariable) != "" {
		for range 8 {
			go func() {
				runtime.LockOSThread()
				for {
					spins.Add(1)
				}
			}()
		}
		time.Sleep(time.Minute)
		os.Exit(1)
	}
	if os.Getenv(holdVariable) != "" {
		os.Exit(holdFrozen())
	}
	os.Exit(m.Run())
}

// holdFrozen freezes a process, prints its own process ID and that of the frozen
// process, and kills the frozen process when file descriptor 3 reaches its end. It
// ignores SIGHUP, as under nohup.
func holdFrozen() int {
	signal.Ignore(syscall.SIGHUP)
	p := &Process{Name: "frozen", binary: "sleep", args: []string{"60"}, logFile: os.DevNull}
	if err := errors.Join(p.Start(), p.Freeze()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer p.Kill()
	fmt.Println(os.Getpid(), p.PID())
	io.Copy(io.Discard, os.NewFile(3, "end"))
	return 0
}

// holder is a shell that runs holdFrozen in the background, in one process group.
type holder struct {
	shell              *exec.Cmd
	endShell           io.Closer
	holderID, frozenID int
}

func startHolder(t *testing.T) *holder {
	t.Helper()
	end, keep, err := os.Pipe()
	must.NoError(t, err)
	t.Cleanup(func() { keep.Close() })
	h := &holder{shell: exec.Command("sh", "-c", `"$0" & read line`, os.Args[0])}
	h.shell.Env = append(os.Environ(), holdVariable+"=1")
	h.shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	h.shell.ExtraFiles = []*os.File{end}
	h.shell.Stderr = os.Stderr
	h.endShell, err = h.shell.StdinPipe()
	must.NoError(t, err)
	out, err := h.shell.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, h.shell.Start())
	end.Close()
	_, err = fmt.Fscan(out, &h.holderID, &h.frozenID)
	must.NoError(t, err)
	return h
}

// TestFrozenProcessStaysFrozenWhenTheShellExits guards against a scenario whose
// frozen host runs again: when the shell that started the tests in the background
// exits, the kernel sends SIGHUP and SIGCONT to the shell's process group if a process
// of that group is stopped.
func TestFrozenProcessStaysFrozenWhenTheShellExits(t *testing.T) {
	h := startHolder(t)
	h.endShell.Close()
	h.shell.Wait()
	stopped, err := allThreadsStopped(h.frozenID)
	must.NoError(t, err)
	must.True(t, stopped)
}

// TestProcessEndsWithItsParent guards against processes that outlive a test binary
// that was killed: they are in process groups of their own, so that the interrupt key
// of a terminal doesn't reach them.
func TestProcessEndsWithItsParent(t *testing.T) {
	h := startHolder(t)
	must.NoError(t, syscall.Kill(h.holderID, syscall.SIGKILL))
	for deadline := time.Now().Add(freezeTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err := allThreadsStopped(h.frozenID); err != nil {
			break
		}
	}
	must.ErrorIs(t, syscall.Kill(h.frozenID, 0), syscall.ESRCH)
	h.endShell.Close()
	h.shell.Wait()
}

// TestFreezeWaitsForAllThreads freezes a process whose threads are all busy, beside
// which other threads keep the processors busy: once Freeze has returned, the process
// must use no more processor time.
func TestFreezeWaitsForAllThreads(t *testing.T) {
	var stop atomic.Bool
	defer stop.Store(true)
	for range 2 * runtime.NumCPU() {
		go func() {
			for !stop.Load() {
				spins.Add(1)
			}
		}()
	}
	for range 10 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), busyVariable+"=1")
		must.NoError(t, cmd.Start())
		p := &Process{Name: "busy", cmd: cmd}
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, p.Freeze())
		stopped, err := allThreadsStopped(p.PID())
		must.NoError(t, err)
		must.True(t, stopped)
		must.NoError(t, p.Signal(syscall.SIGCONT))
		must.NoError(t, p.Signal(syscall.SIGKILL))
		cmd.Wait()
	}
}
