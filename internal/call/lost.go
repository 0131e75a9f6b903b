package call

import (
	"context"
	"errors"
)

// Lost tells what is known of a call to which no answer came. sent is whether
// any of it may have been sent, and ctx the context with its deadline.
func Lost(ctx context.Context, sent bool) *Refusal {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case sent && late:
		return Unknown(ReasonDeadline)
	case sent:
		return Unknown(ReasonBroken)
	case late:
		return Refuse(ReasonDeadline)
	default:
		return Refuse(ReasonUnreachable)
	}
}
