package caller

import (
	"sync"
	"time"
)

// timeoutTracker records the longest timeout that callers of each route have
// recently sent, which is taken for the timeout of a first attempt. A caller
// that retries after an error response sends a shorter one; the difference is
// the time that it has used up. The zero value is ready for use.
// It is safe for concurrent use.
type timeoutTracker struct {
	mutex   sync.Mutex
	longest map[string]time.Duration // The longest recent timeout, by route name.
}

const (
	// timeoutDecay is the fraction by which the longest timeout shrinks with
	// each call, so that callers whose timeouts have become shorter are not
	// mistaken for callers that retry.
	timeoutDecay = 0.002
	// firstAttemptSlack is the fraction of the longest timeout by which the
	// timeout of a first attempt may be shorter.
	firstAttemptSlack = 0.05
	// maxTrackedRoutes limits the number of routes in a timeoutTracker. When
	// it is reached, all of them are dropped.
	maxTrackedRoutes = 4096
)

// elapsed returns how much of its time a caller with the given remaining time
// has used up, or 0 if the call is taken for a first attempt. A remaining time
// of 0 or less means that the caller sent no timeout.
func (t *timeoutTracker) elapsed(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.longest == nil || len(t.longest) >= maxTrackedRoutes {
		t.longest = map[string]time.Duration{}
	}
	longest := t.longest[route]
	longest -= time.Duration(timeoutDecay * float64(longest))
	longest = max(longest, remaining)
	t.longest[route] = longest
	elapsed := longest - remaining
	if elapsed <= time.Duration(firstAttemptSlack*float64(longest)) {
		return 0
	}
	return elapsed
}
