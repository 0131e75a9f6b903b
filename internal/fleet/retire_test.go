package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// hasReady reports whether a daemon has an upstream that gets calls.
func hasReady(d *daemon.Daemon) bool {
	for _, u := range d.Inbound().Upstreams() {
		if u.State == directory.StateReady {
			return true
		}
	}
	return false
}

// Guards against an acknowledged leave that is forgotten with the daemon's process. An
// upstream leaves, or says that it drains, and its daemon is killed, alone or with all
// replicas of the source. Announcements that were sent before the leave reach the next
// incarnation before and after it knows of it: the upstream must not be ready again. Its
// next start must be.
func TestAcknowledgedLeaveBindsNextIncarnation(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	waitForLeader(t, f)
	startDaemons(t, f, 3)
	born := time.Now().Add(-time.Minute).UnixMilli()
	for name, killSource := range map[string]bool{"daemon alone": false, "with the source": true} {
		born += 1000
		a := upstream.Announcement{
			ID: "w", Service: "stock", Version: "v1", Address: "127.0.0.1:9", Slots: 1, Connections: 2, Lease: config.Duration(30 * time.Second), Start: born,
		}
		announce := func(d *daemon.Daemon, sequence uint64) {
			err := d.Inbound().Heartbeat(time.Now(), a, upstream.Incarnation{Start: born, Sequence: sequence}, false)
			if err != nil {
				require.ErrorIs(t, err, upstream.ErrStale, name)
			}
		}
		d := f.Daemon("d1")
		eventually(t, "registration", func() bool {
			announce(d, 1)
			return hasReady(d)
		})
		require.NoError(t, d.Retire("w", born), name)
		f.StopDaemon("d1")
		if killSource {
			for i := range f.Replicas() {
				f.StopReplica(i)
			}
			for i := range f.Replicas() {
				require.NoError(t, f.StartReplica(i))
			}
		}
		d, err := f.StartDaemon("d1", zones[1])
		require.NoError(t, err)
		announce(d, 2) // Calls wait until the daemon knows of the leave.
		eventually(t, "readiness", d.Ready)
		for sequence := uint64(3); sequence < 20; sequence++ {
			announce(d, sequence)
			require.False(t, hasReady(d), name)
			time.Sleep(5 * time.Millisecond)
		}
	}
	born += 1000
	next := upstream.Announcement{ID: "w", Service: "stock", Version: "v1", Address: "127.0.0.1:9", Slots: 1, Connections: 2, Lease: config.Duration(30 * time.Second)}
	require.NoError(t, f.Daemon("d1").Inbound().Heartbeat(time.Now(), next, upstream.Incarnation{Start: born, Sequence: 1}, false))
	require.True(t, hasReady(f.Daemon("d1")))
}

// A leave that the source cannot record must not be acknowledged. It stops new calls
// all the same, and is acknowledged once the source is back.
func TestLeaveIsAcknowledgedOnlyOnceRecorded(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	waitForLeader(t, f)
	startDaemons(t, f, 1)
	d := f.Daemon("d0")
	eventually(t, "readiness", d.Ready)
	a := upstream.Announcement{ID: "w", Service: "stock", Version: "v1", Address: "127.0.0.1:9", Slots: 1, Connections: 2, Lease: config.Duration(30 * time.Second)}
	require.NoError(t, d.Inbound().Heartbeat(time.Now(), a, upstream.Incarnation{Start: 10, Sequence: 1}, false))
	require.True(t, hasReady(d))
	for i := range f.Replicas() {
		f.StopReplica(i)
	}
	begin := time.Now()
	require.ErrorIs(t, d.Retire("w", 10), daemon.ErrNotRecorded)
	require.Less(t, time.Since(begin), time.Second, "the upstream waits for a second only")
	require.False(t, hasReady(d))
	for i := range f.Replicas() {
		require.NoError(t, f.StartReplica(i))
	}
	eventually(t, "acknowledgement", func() bool { return d.Retire("w", 10) == nil })
	retired, err := f.Replica(0).Node.Retirements("d0")
	require.NoError(t, err)
	require.Equal(t, int64(10), retired[0].Start)
}
