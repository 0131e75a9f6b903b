package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

var began = time.Unix(1000, 0)

func newGate() *upstream.Proxy {
	return upstream.New(upstream.Config{Clock: func() time.Time { return began }, Counters: &count.Set{}, Events: event.New("d", "z")})
}

func announcement(id, service, address string) upstream.Announcement {
	return upstream.Announcement{
		ID: id, Service: service, Version: "v1", Address: address, Slots: 4, Connections: 8, Lease: config.Duration(5 * time.Second),
	}
}

const address = "127.0.0.1:9000"

// states returns the state of each upstream by ID.
func states(g *upstream.Proxy) map[string]directory.State {
	all := map[string]directory.State{}
	for _, u := range g.Upstreams() {
		all[u.ID] = u.State
	}
	return all
}

// Announcements that arrive late change nothing.
func TestOvertakenAnnouncements(t *testing.T) {
	g := newGate()
	a := announcement("w", "stock", address)
	require.NoError(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.ErrorIs(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 4}, true), upstream.ErrStale)
	require.ErrorIs(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 9, Sequence: 50}, true), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(g))

	// Once it drains it does not become ready again in this life.
	require.NoError(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 6}, true))
	require.NoError(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 7}, false))
	require.Equal(t, map[string]directory.State{"w": directory.StateDraining}, states(g))

	// Its next life begins anew, under the same ID.
	require.NoError(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 11, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(g))
	require.ErrorIs(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 10, Sequence: 9}, true), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(g))
}

// An address that another upstream has taken over belongs to that one alone,
// whatever the earlier one still says.
func TestAddressIsTakenOver(t *testing.T) {
	g := newGate()
	old, next := announcement("old", "stock", address), announcement("next", "desk", address)
	require.NoError(t, g.Heartbeat(began, old, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.NoError(t, g.Heartbeat(began, next, upstream.Incarnation{Start: 20, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(g))
	require.ErrorIs(t, g.Heartbeat(began, old, upstream.Incarnation{Start: 10, Sequence: 6}, false), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(g))
}

// An announcement that was held up does not bring back an upstream whose place
// was taken, and what is remembered of the ended ones is bounded in time.
func TestEndedUpstreamStaysAway(t *testing.T) {
	g := newGate()
	old := announcement("old", "stock", address)
	require.NoError(t, g.Heartbeat(began, old, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.NoError(t, g.Heartbeat(began, announcement("next", "stock", address), upstream.Incarnation{Start: 20, Sequence: 1}, false))
	require.NoError(t, g.Leave(began, "next"))
	require.ErrorIs(t, g.Heartbeat(began, old, upstream.Incarnation{Start: 10, Sequence: 6}, false), upstream.ErrStale)
	g.Expire(began.Add(time.Hour))
	require.NoError(t, g.Heartbeat(began.Add(time.Hour), old, upstream.Incarnation{Start: 10, Sequence: 7}, false))
}

// What no upstream would say is refused and changes nothing.
func TestInvalidAnnouncement(t *testing.T) {
	g := newGate()
	for _, spoil := range []func(*upstream.Announcement){
		func(a *upstream.Announcement) { a.ID = "" },
		func(a *upstream.Announcement) { a.Service = "No Name" },
		func(a *upstream.Announcement) { a.Address = "host:1" },
		func(a *upstream.Announcement) { a.Slots = 0 },
	} {
		a := announcement("w", "stock", address)
		spoil(&a)
		require.ErrorIs(t, g.Heartbeat(began, a, upstream.Incarnation{Start: 1, Sequence: 1}, false), upstream.ErrInvalid)
	}
	require.Empty(t, g.Upstreams())
}
