package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Callers that find all upstreams full return one after the other, at the rate at which
// calls of this daemon are served, and not all when the first upstream has room.
func TestFullServiceSpreadsReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	var f fullServices
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		f.recordServed(now, "s")
	}
	var delays []time.Duration
	for range 10 {
		callErr := f.reject(now, "s", 30*time.Millisecond)
		require.Equal(t, call.NotExecuted, callErr.Execution)
		require.Equal(t, call.ReasonShed, callErr.Reason)
		delays = append(delays, callErr.RetryAfter)
	}
	require.Equal(t, 30*time.Millisecond, delays[0])
	for i := range delays[1:] {
		require.InDelta(t, 50*time.Millisecond, delays[i+1]-delays[i], float64(time.Millisecond))
	}
	require.Equal(t, 30*time.Millisecond, f.reject(now, "other", 30*time.Millisecond).RetryAfter)
}

// The mean size of a route's calls follows the bodies; unknown lengths count as none.
func TestRouteBytesFollowBodies(t *testing.T) {
	var b routeBytes
	require.EqualValues(t, headerBytes, b.mean("r"))
	for range 200 {
		b.record("r", 4000, 1500)
		b.record("q", -1, 1500)
	}
	require.InDelta(t, headerBytes+5500, b.mean("r"), 1)
	require.InDelta(t, headerBytes+1500, b.mean("q"), 1)
}
