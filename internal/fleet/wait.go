package fleet

import (
	"context"
	"time"
)

// Wait calls done every 5 ms until it returns true, timeout has passed or ctx
// ends. It returns the last result of done, which it calls at least once.
func Wait(ctx context.Context, timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if done() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return done()
}
