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
		run    call.Run
		reason call.Reason
	}{
		{context.Background(), true, call.RunUnknown, call.ReasonBroken},
		{late, true, call.RunUnknown, call.ReasonDeadline},
		{context.Background(), false, call.RunNot, call.ReasonUnreachable},
		{late, false, call.RunNot, call.ReasonDeadline},
	} {
		r := call.Lost(test.ctx, test.sent)
		require.Equal(t, test.run, r.Run)
		require.Equal(t, test.reason, r.Reason)
	}
}
