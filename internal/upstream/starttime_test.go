package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A proxy that starts next to a long-running upstream does not present it as new.
// Otherwise outbound proxies would send it fewer calls at first (slow start).
func TestStartTimeOfRunningUpstream(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	start := now.Add(-time.Hour)
	require.Equal(t, start.UnixMilli(), Incarnation{Start: start.UnixMilli()}.startTime(now).UnixMilli())
	require.Equal(t, now, Incarnation{}.startTime(now))
	require.Equal(t, now, Incarnation{Start: now.Add(time.Second).UnixMilli()}.startTime(now), "the upstream's clock is ahead")
}
