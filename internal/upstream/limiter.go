package upstream

import "time"

const (
	// meanWeight is the weight of a new call in the running mean.
	meanWeight = 0.1
	// baselineWeight is the weight of a new call that takes longer than the
	// baseline, the call time of an idle upstream. It lets the baseline follow an
	// upstream that has become slower permanently.
	baselineWeight = 0.01
	// congestionFactor is the ratio of the mean call time to the baseline above
	// which the upstream counts as congested.
	congestionFactor = 2.0
	// decreaseFactor is applied to the limit of a congested upstream, at most once
	// in each mean call time.
	decreaseFactor = 0.9
)

// limiter estimates how many concurrent calls an upstream handles without
// congestion, up to its announced slots. It lowers the limit in proportion when
// the upstream is congested and raises it slowly when the limit is reached without
// congestion. It reads no clock and is not safe for concurrent use.
type limiter struct {
	slots       int
	fixed       bool // The limit stays at slots.
	estimate    float64
	meanSeconds float64 // Running mean of the call time; 0 until the first call.
	// baselineSeconds is the estimated call time of the idle upstream.
	baselineSeconds float64
	lastDecrease    time.Time // When the limit was last lowered.
}

// newLimiter returns a limiter that starts at slots.
func newLimiter(slots int) limiter {
	return limiter{slots: slots, estimate: float64(slots)}
}

// limit returns how many calls may run concurrently, at least 1.
func (l *limiter) limit() int { return max(1, int(l.estimate)) }

// meanTime returns the running mean of the call time; 0 until the first call.
func (l *limiter) meanTime() time.Duration {
	return time.Duration(l.meanSeconds * float64(time.Second))
}

// observe records a call that ended at now, when running calls held slots. Calls
// that failed, or whose duration is 0, are ignored.
func (l *limiter) observe(now time.Time, duration time.Duration, running int, failed bool) {
	if duration <= 0 || failed {
		return
	}
	t := duration.Seconds()
	if l.meanSeconds == 0 {
		l.meanSeconds, l.baselineSeconds = t, t
	}
	l.meanSeconds += meanWeight * (t - l.meanSeconds)
	if t < l.baselineSeconds {
		l.baselineSeconds = t
	} else {
		l.baselineSeconds += baselineWeight * (t - l.baselineSeconds)
	}
	if l.fixed {
		return
	}
	if l.meanSeconds > congestionFactor*l.baselineSeconds && running >= l.limit() {
		if now.Sub(l.lastDecrease) >= l.meanTime() {
			l.lastDecrease = now
			l.estimate = max(1, l.estimate*decreaseFactor)
		}
		return
	}
	if running >= l.limit() {
		// Adds about one slot each time that limit() calls have ended.
		l.estimate = min(float64(l.slots), l.estimate+1/l.estimate)
	}
}
