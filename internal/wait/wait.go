// Package wait provides a sleep that background goroutines can be woken from when they
// have to stop.
package wait

import "time"

// For waits for d and returns true, or returns false as soon as stop is closed. If d has
// passed and stop is closed, too, either result is possible.
func For(d time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}
