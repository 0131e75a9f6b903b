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

// testStart is the time at which the proxies' clocks stand.
var testStart = time.Unix(1000, 0)

// newProxy returns a proxy with a fixed clock.
func newProxy() *upstream.Proxy {
	return upstream.New(upstream.Config{Clock: func() time.Time { return testStart }, Counters: &count.Set{}, Events: event.New("d", "z")})
}

func announcement(id, service, address string) upstream.Announcement {
	return upstream.Announcement{
		ID: id, Service: service, Version: "v1", Address: address, Slots: 4, Connections: 8, Lease: config.Duration(5 * time.Second),
	}
}

// address is that of the upstreams in these tests; nothing listens on it.
const address = "127.0.0.1:9000"

// states returns the state of each upstream by ID.
func states(p *upstream.Proxy) map[string]directory.State {
	all := map[string]directory.State{}
	for _, u := range p.Upstreams() {
		all[u.ID] = u.State
	}
	return all
}

// Announcements that arrive after newer ones change nothing. Otherwise a delayed
// announcement could make a draining upstream ready again, or drain one that has
// restarted.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	p := newProxy()
	a := announcement("w", "stock", address)
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 4}, true), upstream.ErrStale)
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 9, Sequence: 50}, true), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))

	// A draining upstream does not become ready again in the same incarnation.
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 6}, true))
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 7}, false))
	require.Equal(t, map[string]directory.State{"w": directory.StateDraining}, states(p))

	// Its next incarnation starts as ready, under the same ID.
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 11, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 9}, true), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
}

// If two upstreams announce the same address, the newer one replaces the older
// one. Later announcements of the older one are stale.
func TestNewUpstreamReplacesOldAtSameAddress(t *testing.T) {
	p := newProxy()
	old, next := announcement("old", "stock", address), announcement("next", "desk", address)
	require.NoError(t, p.Heartbeat(testStart, old, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.NoError(t, p.Heartbeat(testStart, next, upstream.Incarnation{Start: 20, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(p))
	require.ErrorIs(t, p.Heartbeat(testStart, old, upstream.Incarnation{Start: 10, Sequence: 6}, false), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(p))
}

// An announcement of another writer, for a service that the configuration does not have,
// must not end the upstream at its address. One for a service that it has does, and so does
// any while the present upstream's service does not exist either.
func TestAnnouncementForUnknownServiceEndsNoUpstream(t *testing.T) {
	services := map[string]bool{"stock": true, "desk": true}
	p := upstream.New(upstream.Config{
		Clock: func() time.Time { return testStart }, Counters: &count.Set{}, Events: event.New("d", "z"),
		IsService: func(name string) bool { return services[name] },
	})
	require.NoError(t, p.Heartbeat(testStart, announcement("w", "stock", address), upstream.Incarnation{Start: 10, Sequence: 1}, false))
	odd := announcement("odd", "nowhere", address)
	require.ErrorIs(t, p.Heartbeat(testStart, odd, upstream.Incarnation{Start: 20, Sequence: 1}, false), upstream.ErrStale)
	odd.ID, odd.Address = "w", "127.0.0.1:9001"
	require.ErrorIs(t, p.Heartbeat(testStart, odd, upstream.Incarnation{Start: 20, Sequence: 1}, false), upstream.ErrStale)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
	require.NoError(t, p.Heartbeat(testStart, announcement("w", "stock", address), upstream.Incarnation{Start: 10, Sequence: 2}, false))
	require.NoError(t, p.Heartbeat(testStart, announcement("next", "desk", address), upstream.Incarnation{Start: 20, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"next": directory.StateReady}, states(p))
	delete(services, "desk")
	require.NoError(t, p.Heartbeat(testStart, announcement("after", "nowhere", address), upstream.Incarnation{Start: 30, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"after": directory.StateReady}, states(p))
}

// A delayed announcement does not add an upstream again that was replaced at its
// address. Ended upstreams are remembered for a limited time only.
func TestEndedUpstreamIsNotReadded(t *testing.T) {
	p := newProxy()
	old := announcement("old", "stock", address)
	require.NoError(t, p.Heartbeat(testStart, old, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.NoError(t, p.Heartbeat(testStart, announcement("next", "stock", address), upstream.Incarnation{Start: 20, Sequence: 1}, false))
	require.NoError(t, p.Remove(testStart, "next"))
	require.ErrorIs(t, p.Heartbeat(testStart, old, upstream.Incarnation{Start: 10, Sequence: 6}, false), upstream.ErrStale)
	p.Expire(testStart.Add(time.Hour))
	require.NoError(t, p.Heartbeat(testStart.Add(time.Hour), old, upstream.Incarnation{Start: 10, Sequence: 7}, false))
}

// Announcements with an invalid field are rejected and change nothing.
func TestInvalidAnnouncementIsRejected(t *testing.T) {
	p := newProxy()
	for _, invalidate := range []func(*upstream.Announcement){
		func(a *upstream.Announcement) { a.ID = "" },
		func(a *upstream.Announcement) { a.Service = "No Name" },
		func(a *upstream.Announcement) { a.Address = "host:1" },
		func(a *upstream.Announcement) { a.Slots = 0 },
	} {
		a := announcement("w", "stock", address)
		invalidate(&a)
		require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 1, Sequence: 1}, false), upstream.ErrInvalid)
	}
	require.Empty(t, p.Upstreams())
}

// An announcement that was sent before the upstream drained or left, and that
// arrives afterwards, does not bring it back. Its next start does.
func TestLateAnnouncementDoesNotUndoDrain(t *testing.T) {
	p := newProxy()
	a := announcement("w", "stock", address)
	a.Start = 5
	require.NoError(t, p.Announce(testStart, a))
	require.NoError(t, p.Drain(testStart, "w"))
	require.NoError(t, p.Announce(testStart, a))
	require.Equal(t, map[string]directory.State{"w": directory.StateDraining}, states(p))
	require.NoError(t, p.Remove(testStart, "w"))
	require.ErrorIs(t, p.Announce(testStart, a), upstream.ErrStale)
	require.Empty(t, p.Upstreams())
	a.Start = 6
	require.NoError(t, p.Announce(testStart, a))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
}

// After its lease has expired, a late announcement does not bring an upstream back: it
// may have ended, or have left. One that was only paused announces itself with a higher
// sequence.
func TestLateAnnouncementDoesNotUndoExpiry(t *testing.T) {
	a := announcement("w", "stock", address)
	for name, draining := range map[string]bool{"silent": false, "draining": true} {
		p := newProxy()
		require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 5}, draining), name)
		expired := testStart.Add(time.Duration(a.Lease) + time.Second)
		p.Expire(expired)
		require.Empty(t, p.Upstreams(), name)
		require.ErrorIs(t, p.Heartbeat(expired, a, upstream.Incarnation{Start: 10, Sequence: 4}, false), upstream.ErrStale, name)
		err := p.Heartbeat(expired, a, upstream.Incarnation{Start: 10, Sequence: 6}, false)
		require.Equal(t, draining, err != nil, name)
		require.NoError(t, p.Heartbeat(expired, a, upstream.Incarnation{Start: 11, Sequence: 1}, false), name)
	}
}

// The announcement of a paused upstream without a sequence is accepted after its lease
// has expired.
func TestPausedUpstreamAnnouncesItselfAgain(t *testing.T) {
	p := newProxy()
	a := announcement("w", "stock", address)
	a.Start = 5
	require.NoError(t, p.Announce(testStart, a))
	expired := testStart.Add(time.Duration(a.Lease) + time.Second)
	p.Expire(expired)
	require.NoError(t, p.Announce(expired, a))
}
