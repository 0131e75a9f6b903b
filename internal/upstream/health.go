package upstream

import (
	"math"
	"time"
)

// health estimates the fraction of an upstream's calls that fail. It reads no
// clock and is not safe for concurrent use. The zero value is an upstream without
// failures.
//
// It is for upstreams that fail some of their calls, or lose responses, while they
// announce themselves as ready. The inbound proxy sees all calls to its upstream
// and reports the fraction with each response. An outbound proxy that calls the
// upstream seldom so detects the failures without failing several calls of its
// own.
type health struct {
	updated time.Time
	calls   float64
	failed  float64
}

const (
	// healthDecayTime is the time in which a past call's weight falls to 1/e.
	healthDecayTime = 3 * time.Second
	// healthPriorCalls is the number of successful calls that are assumed in
	// advance, so that one failure among few calls has little weight.
	healthPriorCalls = 3.0
)

// observe counts a call that ended at now.
func (h *health) observe(now time.Time, failed bool) {
	if elapsed := now.Sub(h.updated); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / healthDecayTime.Seconds())
		h.calls *= decay
		h.failed *= decay
		h.updated = now
	}
	h.calls++
	if failed {
		h.failed++
	}
}

// failedPermille returns the fraction of recent calls that failed, in thousandths.
func (h *health) failedPermille() int {
	return int(permille * h.failed / (h.calls + healthPriorCalls))
}
