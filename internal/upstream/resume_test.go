package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

func known(state directory.State) []directory.Upstream {
	return []directory.Upstream{{ID: "w", Service: "stock", Version: "v1", Slots: 4, Connections: 8, State: state, Since: began.Add(-time.Hour)}}
}

// A daemon that starts again goes on with its upstream at once. When the
// upstream announces itself, its calls are not disturbed; if it does not, it is
// gone before one that has left may no longer be called.
func TestResumedUpstream(t *testing.T) {
	g := newGate()
	require.Equal(t, 1, g.Resume(began, address, known(directory.StateReady)))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(g))
	require.Equal(t, began.Add(-time.Hour), g.Upstreams()[0].Since, "it is not a new one")

	a := announcement("w", "stock", address)
	require.NoError(t, g.Heartbeat(began.Add(time.Second), a, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.ErrorIs(t, g.Heartbeat(began.Add(time.Second), a, upstream.Incarnation{Start: 10, Sequence: 4}, false), upstream.ErrStale)
	require.Equal(t, began.Add(-time.Hour), g.Upstreams()[0].Since, "it is still the same one")
	g.Expire(began.Add(4 * time.Second))
	require.Len(t, g.Upstreams(), 1, "its lease is renewed")

	silent := newGate()
	require.Equal(t, 1, silent.Resume(began, address, known(directory.StateReady)))
	silent.Expire(began.Add(2 * time.Second))
	require.Empty(t, silent.Upstreams())
}

// What the upstream itself says goes before what an earlier life knew.
func TestWhatIsNotResumed(t *testing.T) {
	draining := newGate()
	require.Zero(t, draining.Resume(began, address, known(directory.StateDraining)))
	require.Empty(t, draining.Upstreams())

	taken := newGate()
	require.NoError(t, taken.Heartbeat(began, announcement("other", "stock", address), upstream.Incarnation{Start: 10, Sequence: 1}, false))
	require.Zero(t, taken.Resume(began, address, known(directory.StateReady)))

	replaced := newGate()
	require.Equal(t, 1, replaced.Resume(began, address, known(directory.StateReady)))
	require.NoError(t, replaced.Heartbeat(began, announcement("next", "stock", address), upstream.Incarnation{Start: 10, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(replaced))
}

// A gate that is about to stop acknowledges nothing that it could not tell
// anyone.
func TestRetiredGate(t *testing.T) {
	g := newGate()
	a := announcement("w", "stock", address)
	require.NoError(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 1}, false))
	g.StopAnnouncements()
	require.ErrorIs(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 2}, true), upstream.ErrStopping)
	require.ErrorIs(t, g.Announce(began, a), upstream.ErrStopping)
	require.ErrorIs(t, g.Drain(began, "w"), upstream.ErrStopping)
	require.ErrorIs(t, g.Leave(began, "w"), upstream.ErrStopping)
}
