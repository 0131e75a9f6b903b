package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The failure rate follows the recent calls: one failure among few calls has
// little weight, a third of failing calls is measured as such, and the rate falls
// again once the upstream has recovered.
func TestFailedPermilleFollowsFailures(t *testing.T) {
	var h health
	require.Zero(t, h.failedPermille())
	now := time.Unix(1000, 0)
	h.observe(now, true)
	require.LessOrEqual(t, h.failedPermille(), 250, "one failure has little weight")
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		h.observe(now, i%3 == 0)
	}
	require.InDelta(t, 333, h.failedPermille(), 40)
	for range 20 {
		now = now.Add(time.Second)
		h.observe(now, false)
	}
	require.Less(t, h.failedPermille(), 20, "the upstream has recovered")
}
