package call_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
)

// A call is reported as not executed only if nothing of it was sent. Otherwise
// the caller could retry a call that was executed.
func TestNoResponseIsNotExecutedOnlyIfNothingWasSent(t *testing.T) {
	expired, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	left, leave := context.WithCancel(context.Background())
	leave()
	for _, test := range []struct {
		ctx       context.Context
		sent      bool
		execution call.Execution
		reason    call.Reason
	}{
		{context.Background(), true, call.ExecutionUnknown, call.ReasonBroken},
		{expired, true, call.ExecutionUnknown, call.ReasonDeadline},
		{context.Background(), false, call.NotExecuted, call.ReasonUnreachable},
		{expired, false, call.NotExecuted, call.ReasonDeadline},
		{left, true, call.ExecutionUnknown, call.ReasonCallerLeft},
		{left, false, call.NotExecuted, call.ReasonCallerLeft},
	} {
		callErr := call.NoResponse(test.ctx, test.sent)
		require.Equal(t, test.execution, callErr.Execution)
		require.Equal(t, test.reason, callErr.Reason)
	}
}
