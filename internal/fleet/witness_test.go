package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
)

// witnesses are the hosts whose daemons remember other daemons' minimum revisions.
var witnesses = []string{"d0", "d1", "d2", "d3"}

// stopSource stops all source replicas.
func stopSource(f *fleet.Fleet) {
	for i := range f.Replicas() {
		f.StopReplica(i)
	}
}

// restartDaemon crashes a daemon and starts it again, in the data centre sokoine,
// whichever it was in before.
func restartDaemon(t *testing.T, f *fleet.Fleet, host string) {
	t.Helper()
	f.StopDaemon(host)
	_, err := f.StartDaemon(host, "sokoine")
	require.NoError(t, err)
}

// TestRestartedDaemonServesWithoutSource restarts each daemon in turn while the
// source is down. The witnesses supply its minimum revision and the configuration,
// so that it must become ready. The next daemon is restarted once the last one has
// recorded the others' minimum revisions again, since a restart loses them.
func TestRestartedDaemonServesWithoutSource(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Witnesses: witnesses})
	startDaemons(t, f, 4)
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	stopSource(f)
	for _, host := range witnesses {
		restartDaemon(t, f, host)
		eventually(t, "readiness of "+host, func() bool {
			d := f.Daemon(host)
			return d.Ready() && d.Hub().State().Revision() >= r
		})
		eventually(t, "minimum revisions that "+host+" records", func() bool { return f.Daemon(host).WitnessedHosts() == len(witnesses)-1 })
	}
}

// TestRestartedDaemonServesNoOlderRevision has a single daemon get a revision, and
// restarts it while the source is down. The other daemons have only an older
// revision, so that it must not be ready until the source is back.
func TestRestartedDaemonServesNoOlderRevision(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startFleet(t, fleet.Config{Witnesses: witnesses, Dial: n.dial})
	startDaemons(t, f, 4)
	first := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, first) })
	address := f.Daemon("d0").Addresses().Peer
	for _, host := range []string{"d1", "d2", "d3"} {
		n.setCut(true, host, append(f.SourceAddresses(), address)...)
	}
	second := apply(t, f, "second", clubsContract(t, 77))
	eventually(t, "second revision on one daemon", func() bool { return f.Daemon("d0").Hub().State().Revision() == second })
	stopSource(f)
	restartDaemon(t, f, "d0")
	d := f.Daemon("d0")
	eventually(t, "first revision from the witnesses", func() bool { return d.Hub().State().Revision() == first })
	// For half a second the daemon must not become ready.
	for range 50 {
		require.False(t, d.Ready(), "serves revision %d after %d", d.Hub().State().Revision(), second)
		time.Sleep(10 * time.Millisecond)
	}
	for i := range f.Replicas() {
		require.NoError(t, f.StartReplica(i))
	}
	eventually(t, "readiness", func() bool { return d.Ready() && d.Hub().State().Revision() >= second })
}

// TestRestartedWitnessesDoNotCount restarts most witnesses of a daemon, which lose
// its minimum revision, and then the daemon. Without the source it must not be
// ready, since no majority of the witnesses has recorded its minimum revision.
func TestRestartedWitnessesDoNotCount(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startFleet(t, fleet.Config{Witnesses: witnesses, Dial: n.dial})
	startDaemons(t, f, 4)
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	stopSource(f)
	// The daemon cannot report its minimum revision to these witnesses again.
	n.setCut(true, "d0", f.Daemon("d1").Addresses().Peer, f.Daemon("d2").Addresses().Peer)
	restartDaemon(t, f, "d1")
	eventually(t, "first witness", f.Daemon("d1").Ready)
	restartDaemon(t, f, "d2")
	eventually(t, "second witness", f.Daemon("d2").Ready)
	f.StopDaemon("d0")
	n.setCut(false, "d0", f.Daemon("d1").Addresses().Peer, f.Daemon("d2").Addresses().Peer)
	restartDaemon(t, f, "d0")
	d := f.Daemon("d0")
	eventually(t, "configuration", func() bool { return d.Hub().State().Revision() == r })
	// For half a second the daemon must not become ready.
	for range 50 {
		require.False(t, d.Ready())
		time.Sleep(10 * time.Millisecond)
	}
}
