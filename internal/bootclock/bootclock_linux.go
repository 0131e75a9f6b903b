package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host has booted, its suspensions included. It is safe for
// concurrent use.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error()) // Each kernel that Go supports has this clock.
	}
	return time.Duration(t.Nano())
}
