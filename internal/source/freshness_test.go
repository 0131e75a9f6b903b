package source

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/feed"
)

// A read may be late because this replica or the leader was stopped, and a newer revision
// may have been accepted meanwhile. It must count from the time before it began.
func TestLateReadCountsFromItsBegin(t *testing.T) {
	now := 100 * time.Second
	c := Config{Name: "r", BootClock: func() time.Duration { return now }}.withDefaults()
	n := &Node{config: c, hub: feed.NewHub(feed.HubConfig{Host: "r", Instance: 1, Source: true, Counters: c.Counters}), stop: make(chan struct{})}
	require.NoError(t, n.confirmFreshness(func() (confirmedRead, error) {
		now += 9 * time.Second
		return confirmedRead{}, nil
	}))
	freshAt, known := n.hub.FreshAt()
	require.True(t, known)
	require.Equal(t, 100*time.Second, freshAt)
	require.Error(t, n.confirmFreshness(func() (confirmedRead, error) { return confirmedRead{revision: 1}, nil }), "not in force")
	require.Error(t, n.confirmFreshness(func() (confirmedRead, error) { return confirmedRead{}, ErrNoLeader }))
	freshAt, _ = n.hub.FreshAt()
	require.Equal(t, 100*time.Second, freshAt)
}
