package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A gate that starts beside an upstream that has long been at work does not
// present it as a new one, which entries would hold back from.
func TestOldUpstreamIsNotNew(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	born := now.Add(-time.Hour)
	require.Equal(t, born.UnixMilli(), Incarnation{Start: born.UnixMilli()}.since(now).UnixMilli())
	require.Equal(t, now, Incarnation{}.since(now))
	require.Equal(t, now, Incarnation{Start: now.Add(time.Second).UnixMilli()}.since(now), "its clock is ahead")
}
