// Package bootclock reads a clock that also counts the time for which the host was
// suspended, unlike the monotonic clock of package time.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started. It panics if the system has no such
// clock, which Linux has since version 2.6.39.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
