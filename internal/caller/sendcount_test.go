package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Each of the limits ends the sends of a call, and none is passed over because another
// send was counted in between.
func TestSendsOfOneCallAreLimited(t *testing.T) {
	const maxAttempts = 3
	require.False(t, sendCount{sends: 3, attempts: 2, fullQueues: 1}.exhausted(maxAttempts))
	for _, n := range []sendCount{
		{sends: 4}, {sends: 5, attempts: 1}, {sends: 3, attempts: 3}, {sends: 4, attempts: 4}, {sends: 2, fullQueues: 2}, {sends: 3, fullQueues: 3},
	} {
		require.True(t, n.exhausted(maxAttempts), "%+v", n)
	}
}

// The outcome that the inbound proxy states reaches the caller: a call whose deadline
// passed there is not reported as broken off.
func TestUnknownOutcomeKeepsItsReason(t *testing.T) {
	for reason, want := range map[call.Reason]call.Reason{
		call.ReasonDeadline: call.ReasonDeadline, call.ReasonBroken: call.ReasonBroken, "": call.ReasonBroken,
	} {
		r := &http.Response{Header: http.Header{}, Body: http.NoBody}
		r.Header.Set(call.HeaderRun, string(call.ExecutionUnknown))
		r.Header.Set(call.HeaderReason, string(reason))
		_, err := readResponse(r, r.Body)
		callErr := call.AsError(err)
		require.Equal(t, call.ExecutionUnknown, callErr.Execution)
		require.Equal(t, want, callErr.Reason)
	}
	r := &http.Response{Header: http.Header{}, Body: http.NoBody}
	r.Header.Set(call.HeaderRun, string(call.NotExecuted))
	r.Header.Set(call.HeaderOpens, "30000")
	_, err := readResponse(r, r.Body)
	require.Equal(t, 30*time.Millisecond, call.AsError(err).Opens)
}
