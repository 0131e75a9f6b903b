//go:build !linux

// Package bootclock reads a clock that also counts the time for which the host was
// suspended, where the system has one.
package bootclock

import "time"

// start is when the process started.
var start = time.Now()

// Now returns the time since the process started, on the monotonic clock.
func Now() time.Duration { return time.Since(start) }
