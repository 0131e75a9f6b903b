package fleet_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/fleet"
)

// TestLeavingDaemonServesPartitionedDaemons shuts a daemon down gracefully while the
// daemons that call it are partitioned from all control messages, so that they do
// not know of the shutdown. They call its inbound proxy until that is closed.
// Every booking must succeed, and none may be executed twice.
func TestLeavingDaemonServesPartitionedDaemons(t *testing.T) {
	t.Parallel()
	for round := range 4 {
		n := newNetwork()
		f := startMesh(t, fleet.Config{DrainTime: 200 * time.Millisecond, Seed: uint64(round), Dial: n.dial}, 0)
		controlAddresses := f.SourceAddresses()
		for _, d := range f.Daemons() {
			controlAddresses = append(controlAddresses, d.Addresses().Peer)
		}
		attempts := callDuring(t, f, uint64(40+round), http.MethodPost, "/internal/bookings", func(*rand.Rand) {
			time.Sleep(100 * time.Millisecond)
			n.setCut(true, "d0", controlAddresses...)
			n.setCut(true, "d1", controlAddresses...)
			ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
			defer cancel()
			require.NoError(t, f.LeaveDaemon(ctx, "d2"))
			time.Sleep(100 * time.Millisecond)
		})
		requireAllSucceeded(t, f, attempts)
		f.Stop()
	}
}

// TestRestartedDaemonResumesUpstream gracefully restarts the daemon of the only
// upstream of a service. While the daemon drains, it must withdraw the upstream only
// for the last 300 ms, so that other daemons go on calling it. After the restart
// it must resume the upstream without an announcement, and drop it if none
// follows.
func TestRestartedDaemonResumesUpstream(t *testing.T) {
	t.Parallel()
	address := ""
	f := startFleet(t, fleet.Config{
		DrainTime: 1200 * time.Millisecond, WithdrawTime: 300 * time.Millisecond,
		Upstream: func(host string) string {
			if host == "d2" {
				return address
			}
			return ""
		},
	})
	startDaemons(t, f, 3)
	address = startUpstream(t, f, "d2", "booking", "v1", 0).Address()
	apply(t, f, "first", kileleObjects(t)...)
	targets := func() int { return len(f.Daemon("d0").Hub().View().Targets("booking", "v1")) }
	eventually(t, "upstream", func() bool { return targets() == 1 })

	leaveDone := make(chan error, 1)
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		leaveDone <- f.LeaveDaemon(ctx, "d2")
	}()
	time.Sleep(500 * time.Millisecond)
	r, ok := f.Daemon("d0").Hub().Record("d2")
	require.True(t, ok)
	require.False(t, r.Leaving, "the daemon is marked as leaving too early")
	eventually(t, "record of the leaving daemon", func() bool {
		r, _ := f.Daemon("d0").Hub().Record("d2")
		return r.Leaving
	})
	require.GreaterOrEqual(t, time.Since(began), 800*time.Millisecond)
	require.NoError(t, <-leaveDone)
	// The daemon may contact any replica when it starts. It does not resume the
	// upstream if that replica does not have its final record.
	eventually(t, "final record of the daemon on all replicas", func() bool {
		for i := range 3 {
			if r, _ := f.Replica(i).Node.Hub().Record("d2"); !r.Stopped {
				return false
			}
		}
		return true
	})
	f.Standin("booking-d2-v1").Kill() // No announcement follows.
	d, err := f.StartDaemon("d2", zones[2])
	require.NoError(t, err)
	eventually(t, "resumed upstream", func() bool { return d.Counters().Get("upstreams_resumed") == 1 && targets() == 1 })
	eventually(t, "removal of the upstream without an announcement", func() bool { return targets() == 0 })
}

// TestLastInboundProxyServesWhileLeaving shuts down the only daemon that has an
// upstream of a service. Its inbound proxy must serve calls until it is closed,
// also when other daemons know that it is leaving.
func TestLastInboundProxyServesWhileLeaving(t *testing.T) {
	t.Parallel()
	f := startMesh(t, fleet.Config{DrainTime: 2 * time.Second}, 0)
	for _, host := range []string{"d0", "d1"} {
		require.NoError(t, f.Standin("booking-"+host+"-v1").Leave(context.Background()))
	}
	eventually(t, "single upstream", func() bool { return len(f.Daemon("d0").Hub().View().Targets("booking", "v1")) == 1 })
	leaving := f.Daemon("d2")
	var group sync.WaitGroup
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		require.NoError(t, leaving.Leave(ctx))
	})
	eventually(t, "record of the leaving daemon", func() bool {
		r, ok := f.Daemon("d0").Hub().Record("d2")
		return ok && r.Leaving
	})
	a := newCaller(t).call(f.Daemon("d0").Addresses().Outbound, http.MethodPost, "/internal/bookings", "last", strings.NewReader("deposit"), nil)
	require.Equal(t, http.StatusOK, a.status, "%v", a)
	group.Wait()
}
