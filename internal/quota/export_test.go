package quota

import "time"

// Share returns the share that a holder has at now, and its tokens.
func (h *Holder) Share(now time.Duration, team ID) (rate, burst, tokens Amount) {
	b := h.teams[team]
	if b == nil || !b.leased || now >= b.until {
		return 0, 0, 0
	}
	return Amount(b.rate), Amount(b.burst), Amount(b.tokens)
}
