package testbed

import (
	"os"
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// busyVariable makes the test binary run busy threads instead of the tests.
const busyVariable = "CARAWAYLANDING_TEST_BUSY"

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
	os.Exit(m.Run())
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
