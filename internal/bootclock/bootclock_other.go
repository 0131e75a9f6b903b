//go:build !linux

package bootclock

import "time"

var started = time.Now()

// Now returns the monotonic time since the process has started. Where the operating system
// stops the monotonic clock during a suspension, the suspension is not counted. It is safe
// for concurrent use.
func Now() time.Duration { return time.Since(started) }
