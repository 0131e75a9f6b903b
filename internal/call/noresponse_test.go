package call_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Only a call of which nothing was sent is told not to have run.
func TestLost(t *testing.T) {
	late, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	for _, test := range []struct {
		ctx    context.Context
		sent   bool
		run    call.Execution
		reason call.Reason
	}{
		{context.Background(), true, call.ExecutionUnknown, call.ReasonBroken},
		{late, true, call.ExecutionUnknown, call.ReasonDeadline},
		{context.Background(), false, call.NotExecuted, call.ReasonUnreachable},
		{late, false, call.NotExecuted, call.ReasonDeadline},
	} {
		r := call.NoResponse(test.ctx, test.sent)
		require.Equal(t, test.run, r.Execution)
		require.Equal(t, test.reason, r.Reason)
	}
}
