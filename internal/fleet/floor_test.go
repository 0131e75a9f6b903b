package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
)

var keepers = []string{"d0", "d1", "d2", "d3"}

func stopSource(f *fleet.Fleet) {
	for i := range f.Replicas() {
		f.StopReplica(i)
	}
}

func restart(t *testing.T, f *fleet.Fleet, host string) {
	t.Helper()
	f.StopDaemon(host)
	_, err := f.StartDaemon(host, "sokoine")
	require.NoError(t, err)
}

// TestRestartWithTheSourceDown restarts each daemon in turn while there is no
// source. Their keepers tell them their floors and bring them up to date. The
// next one is restarted once the last one has been told what to remember.
func TestRestartWithTheSourceDown(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{Witnesses: keepers})
	startDaemons(t, f, 4)
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	stopSource(f)
	for _, host := range keepers {
		restart(t, f, host)
		eventually(t, "readiness of "+host, func() bool {
			d := f.Daemon(host)
			return d.Ready() && d.Hub().State().Revision() >= r
		})
		eventually(t, "the floors that "+host+" keeps", func() bool { return f.Daemon(host).MinRevisionsKept() == len(keepers)-1 })
	}
}

// TestRestartServesNothingOlder has one daemon alone put a revision in force,
// and restarts it while there is no source. Its keepers can bring it only what
// is older, so it does not serve until the source is back.
func TestRestartServesNothingOlder(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := start(t, fleet.Config{Witnesses: keepers, Dial: n.dial})
	startDaemons(t, f, 4)
	first := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, first) })
	alone := f.Daemon("d0").Addresses().Peer
	for _, host := range []string{"d1", "d2", "d3"} {
		n.set(true, host, append(f.SourceAddresses(), alone)...)
	}
	second := apply(t, f, "second", limit(t, 77))
	eventually(t, "the second revision on one daemon", func() bool { return f.Daemon("d0").Hub().State().Revision() == second })
	stopSource(f)
	restart(t, f, "d0")
	d := f.Daemon("d0")
	eventually(t, "what the keepers have", func() bool { return d.Hub().State().Revision() == first })
	for range 50 {
		require.False(t, d.Ready(), "it serves revision %d after %d", d.Hub().State().Revision(), second)
		time.Sleep(10 * time.Millisecond)
	}
	for i := range f.Replicas() {
		require.NoError(t, f.StartReplica(i))
	}
	eventually(t, "readiness", func() bool { return d.Ready() && d.Hub().State().Revision() >= second })
}

// TestForgetfulKeepersDoNotCount restarts most keepers of a daemon, which
// forget its floor, and then the daemon. Without the source it does not serve.
func TestForgetfulKeepersDoNotCount(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := start(t, fleet.Config{Witnesses: keepers, Dial: n.dial})
	startDaemons(t, f, 4)
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	stopSource(f)
	// The daemon can't tell its keepers again.
	n.set(true, "d0", f.Daemon("d1").Addresses().Peer, f.Daemon("d2").Addresses().Peer)
	restart(t, f, "d1")
	eventually(t, "the first keeper", f.Daemon("d1").Ready)
	restart(t, f, "d2")
	eventually(t, "the second keeper", f.Daemon("d2").Ready)
	f.StopDaemon("d0")
	n.set(false, "d0", f.Daemon("d1").Addresses().Peer, f.Daemon("d2").Addresses().Peer)
	restart(t, f, "d0")
	d := f.Daemon("d0")
	eventually(t, "the configuration", func() bool { return d.Hub().State().Revision() == r })
	for range 50 {
		require.False(t, d.Ready())
		time.Sleep(10 * time.Millisecond)
	}
}
