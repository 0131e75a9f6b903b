package upstream

import "time"

const (
	// meanWeight is the weight of a new call in the running mean.
	meanWeight = 0.1
	// baseWeight lets the base time, which is that of an idle upstream, follow
	// an upstream that has become slower for good.
	baseWeight = 0.01
	// congestionFactor is how many times the base time a call may take before the
	// upstream is taken to be crowded.
	congestionFactor = 2.0
	// decreaseFactor is applied to the limit of a crowded upstream, at most once in
	// each mean time.
	decreaseFactor = 0.9
)

// limiter learns how many calls an upstream runs well at once, up to the slots
// that it declared. It reads no clock and is not safe for concurrent use.
type limiter struct {
	slots   int
	fixed   bool // The limit stays at slots.
	learned float64
	mean    float64 // Seconds; 0 until the first call.
	base    float64
	cut     time.Time // When the limit was last lowered.
}

func newLimiter(slots int) limiter {
	return limiter{slots: slots, learned: float64(slots)}
}

// limit returns how many calls may run at once.
func (l *limiter) limit() int { return max(1, int(l.learned)) }

// typical returns the running mean of the time that a call takes.
func (l *limiter) typical() time.Duration {
	return time.Duration(l.mean * float64(time.Second))
}

// observe learns from a call that ended at now, with running calls beside it.
func (l *limiter) observe(now time.Time, took time.Duration, running int, failed bool) {
	if took <= 0 || failed {
		return
	}
	t := took.Seconds()
	if l.mean == 0 {
		l.mean, l.base = t, t
	}
	l.mean += meanWeight * (t - l.mean)
	if t < l.base {
		l.base = t
	} else {
		l.base += baseWeight * (t - l.base)
	}
	if l.fixed {
		return
	}
	if l.mean > congestionFactor*l.base && running >= l.limit() {
		if now.Sub(l.cut) >= l.typical() {
			l.cut = now
			l.learned = max(1, l.learned*decreaseFactor)
		}
		return
	}
	if running >= l.limit() {
		l.learned = min(float64(l.slots), l.learned+1/l.learned)
	}
}
