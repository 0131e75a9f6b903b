// Package wait lets duties rest.
package wait

import "time"

// For waits for a span. It returns false at once if stop is closed before.
func For(span time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}
