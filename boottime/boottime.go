// Package boottime reads the clock that leases are measured on. Unlike the
// monotonic clock of package time it keeps running while the machine is
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no CLOCK_BOOTTIME; run on Linux 2.6.39 or later: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
