package call

import (
	"context"
	"errors"
	"fmt"
)

// NoResponse returns the error for a call that got no response. sent states
// whether any byte of it may have been sent; ctx is the context with the
// deadline of the call, which is cancelled when the caller leaves.
func NoResponse(ctx context.Context, sent bool) *Error {
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case sent && cancelled:
		return UnknownError(ReasonCallerLeft)
	case cancelled:
		return NotExecutedError(ReasonCallerLeft)
	case sent && deadlineExceeded:
		return UnknownError(ReasonDeadline)
	case sent:
		return UnknownError(ReasonBroken)
	case deadlineExceeded:
		return NotExecutedError(ReasonDeadline)
	default:
		return NotExecutedError(ReasonUnreachable)
	}
}

// BodyError returns the error for a call whose response ended within its body with err. ctx is
// as for NoResponse. AsError returns the *Error in it, whose Execution is ExecutionUnknown:
// no whole response exists that could be passed on.
func BodyError(ctx context.Context, err error) error {
	return fmt.Errorf("%w: response ended early: %w", NoResponse(ctx, true), err)
}
