package call

import (
	"context"
	"errors"
)

// NoResponse tells what is known of a call to which no answer came. sent is whether
// any of it may have been sent, and ctx the context with its deadline.
func NoResponse(ctx context.Context, sent bool) *Error {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case sent && late:
		return UnknownError(ReasonDeadline)
	case sent:
		return UnknownError(ReasonBroken)
	case late:
		return NotExecutedError(ReasonDeadline)
	default:
		return NotExecutedError(ReasonUnreachable)
	}
}
