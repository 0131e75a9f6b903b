// Package retryafter computes when rejected callers should retry. It reads no clock
// and does no I/O.
package retryafter

import "time"

// Spacing spreads the retries of rejected callers, in order of rejection, over the
// time in which capacity becomes free. This avoids a thundering herd. The zero value
// is ready for use. It is not safe for concurrent use.
type Spacing struct {
	next time.Time // Earliest retry of the next rejected caller.
}

const (
	// minDelay keeps callers from retrying within a round trip.
	minDelay = 20 * time.Millisecond
	// maxDelay bounds how far retries are spread: after that time most callers have
	// given up.
	maxDelay = time.Second
)

// Delay returns the retry-after delay of a caller that could be served after wait,
// if one more caller can be served in each interval.
func (s *Spacing) Delay(now time.Time, wait, interval time.Duration) time.Duration {
	at := now.Add(max(wait, minDelay))
	if s.next.After(at) {
		at = s.next
	}
	s.next = at.Add(interval)
	if latest := now.Add(maxDelay); s.next.After(latest) {
		s.next = latest
	}
	return at.Sub(now)
}
