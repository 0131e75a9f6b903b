package upstream

import (
	"math"
	"time"
)

// health follows which part of the calls at an upstream fail. It reads no clock
// and is not safe for concurrent use. The zero value is an upstream without
// failures.
//
// It answers upstreams that fail part of their calls, or lose answers, while
// they announce themselves as sound. The gate sees all calls to its upstream and
// tells the part with each answer, so that an entry that calls it seldom need
// not fail several times to find out.
type health struct {
	at     time.Time
	calls  float64
	failed float64
}

const (
	// healthDecay is the time in which a count falls to 1/e.
	healthDecay = 3 * time.Second
	// healthPrior is how many sound calls are taken to have come before, so that
	// one failure among few calls says little.
	healthPrior = 3.0
)

// observe counts a call that ended at now.
func (h *health) observe(now time.Time, failed bool) {
	if passed := now.Sub(h.at); passed > 0 {
		left := math.Exp(-passed.Seconds() / healthDecay.Seconds())
		h.calls *= left
		h.failed *= left
		h.at = now
	}
	h.calls++
	if failed {
		h.failed++
	}
}

// failing returns the part of the calls that failed lately, in thousandths.
func (h *health) failing() int {
	return int(thousand * h.failed / (h.calls + healthPrior))
}
