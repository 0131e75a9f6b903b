package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Keys must not be accepted without a freshness time, nor from the end of their validity on.
func TestKeysExpireWithoutFreshness(t *testing.T) {
	const freshAt, validity = 20 * time.Second, 4 * time.Second
	require.True(t, keysValidAt(freshAt+validity-1, freshAt, true, validity))
	require.False(t, keysValidAt(freshAt+validity, freshAt, true, validity))
	require.False(t, keysValidAt(time.Second, 0, false, validity), "unknown, soon after the host booted")
	require.True(t, keysValidAt(freshAt, 0, false, 0), "no bound")
}
