package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailingPart(t *testing.T) {
	var h health
	require.Zero(t, h.failing())
	now := time.Unix(1000, 0)
	h.observe(now, true)
	require.LessOrEqual(t, h.failing(), 250, "one failure says little")
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		h.observe(now, i%3 == 0)
	}
	require.InDelta(t, 333, h.failing(), 40)
	for range 20 {
		now = now.Add(time.Second)
		h.observe(now, false)
	}
	require.Less(t, h.failing(), 20, "it is sound again")
}
