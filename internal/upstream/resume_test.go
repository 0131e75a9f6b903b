package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// previousUpstreams returns what the daemon's previous incarnation knew: one
// upstream that started an hour ago.
func previousUpstreams(state directory.State) []directory.Upstream {
	return []directory.Upstream{{ID: "w", Service: "stock", Version: "v1", Slots: 4, Connections: 8, State: state, Since: testStart.Add(-time.Hour)}}
}

// A restarted daemon sends calls to its upstream at once. When the upstream
// announces itself, it keeps its registration and start time. If it does not, the
// registration ends before the time after which an upstream that has left must get
// no more calls, 2 s.
func TestResumeKeepsUpstreamUntilHeartbeat(t *testing.T) {
	p := newProxy()
	require.Equal(t, 1, p.Resume(testStart, address, previousUpstreams(directory.StateReady)))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
	require.Equal(t, testStart.Add(-time.Hour), p.Upstreams()[0].Since, "the start time is kept")

	a := announcement("w", "stock", address)
	require.NoError(t, p.Heartbeat(testStart.Add(time.Second), a, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.ErrorIs(t, p.Heartbeat(testStart.Add(time.Second), a, upstream.Incarnation{Start: 10, Sequence: 4}, false), upstream.ErrStale)
	require.Equal(t, testStart.Add(-time.Hour), p.Upstreams()[0].Since, "the start time is kept after the heartbeat")
	p.Expire(testStart.Add(4 * time.Second))
	require.Len(t, p.Upstreams(), 1, "the heartbeat renewed the lease")

	unannounced := newProxy()
	require.Equal(t, 1, unannounced.Resume(testStart, address, previousUpstreams(directory.StateReady)))
	unannounced.Expire(testStart.Add(2 * time.Second))
	require.Empty(t, unannounced.Upstreams())
}

// What an upstream has announced takes precedence over what the daemon's previous
// incarnation knew: draining upstreams and addresses that are in use are not
// resumed, and a newer upstream replaces a resumed one.
func TestResumeDefersToAnnouncedState(t *testing.T) {
	draining := newProxy()
	require.Zero(t, draining.Resume(testStart, address, previousUpstreams(directory.StateDraining)))
	require.Empty(t, draining.Upstreams())

	occupied := newProxy()
	require.NoError(t, occupied.Heartbeat(testStart, announcement("other", "stock", address), upstream.Incarnation{Start: 10, Sequence: 1}, false))
	require.Zero(t, occupied.Resume(testStart, address, previousUpstreams(directory.StateReady)))

	replaced := newProxy()
	require.Equal(t, 1, replaced.Resume(testStart, address, previousUpstreams(directory.StateReady)))
	require.NoError(t, replaced.Heartbeat(testStart, announcement("next", "stock", address), upstream.Incarnation{Start: 10, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(replaced))
}

// A stopping proxy rejects all changes, because its daemon can no longer publish
// them.
func TestStoppingProxyRejectsAnnouncements(t *testing.T) {
	p := newProxy()
	a := announcement("w", "stock", address)
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 1}, false))
	p.StopAnnouncements()
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 2}, true), upstream.ErrStopping)
	require.ErrorIs(t, p.Announce(testStart, a), upstream.ErrStopping)
	require.ErrorIs(t, p.Drain(testStart, "w"), upstream.ErrStopping)
	require.ErrorIs(t, p.Remove(testStart, "w"), upstream.ErrStopping)
}
