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

// TestLeavingGateAndDeafEntries has a daemon leave while the entries that use
// its gate hear nothing of it, as behind a cut. They go on calling the gate
// until it is closed, and no booking is cut off all the same.
func TestLeavingGateAndDeafEntries(t *testing.T) {
	t.Parallel()
	for round := range 4 {
		n := newNetwork()
		f := mesh(t, fleet.Config{DrainTime: 200 * time.Millisecond, Seed: uint64(round), Dial: n.dial}, 0)
		everyone := f.SourceAddresses()
		for _, d := range f.Daemons() {
			everyone = append(everyone, d.Addresses().Peer)
		}
		answers := storm(t, f, uint64(40+round), http.MethodPost, "/internal/bookings", func(*rand.Rand) {
			time.Sleep(100 * time.Millisecond)
			n.set(true, "d0", everyone...)
			n.set(true, "d1", everyone...)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			require.NoError(t, f.LeaveDaemon(ctx, "d2"))
			time.Sleep(100 * time.Millisecond)
		})
		requireAllAnswered(t, f, answers)
		f.Stop()
	}
}

// TestRestartedGateIsMissedBriefly stops the daemon beside the only upstream of
// a service and starts it again. Until shortly before it stops its gate serves
// the others' calls, and it goes on with its upstream, which announces itself
// only much later.
func TestRestartedGateIsMissedBriefly(t *testing.T) {
	t.Parallel()
	address := ""
	f := start(t, fleet.Config{
		DrainTime: 1200 * time.Millisecond, Withdraw: 300 * time.Millisecond,
		Upstream: func(host string) string {
			if host == "d2" {
				return address
			}
			return ""
		},
	})
	startDaemons(t, f, 3)
	address = startWorker(t, f, "d2", "booking", "v1", 0).Address()
	apply(t, f, "first", kilele(t)...)
	targets := func() int { return len(f.Daemon("d0").Hub().View().Targets("booking", "v1")) }
	eventually(t, "the upstream", func() bool { return targets() == 1 })

	left := make(chan error, 1)
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		left <- f.LeaveDaemon(ctx, "d2")
	}()
	time.Sleep(500 * time.Millisecond)
	r, ok := f.Daemon("d0").Hub().Record("d2")
	require.True(t, ok)
	require.False(t, r.Leaving, "others go on sending calls for a while")
	eventually(t, "the word that it leaves", func() bool {
		r, _ := f.Daemon("d0").Hub().Record("d2")
		return r.Leaving
	})
	require.GreaterOrEqual(t, time.Since(began), 800*time.Millisecond)
	require.NoError(t, <-left)
	// A replica that has not heard the last word yet leads to no resuming, and the
	// daemon may meet any of them.
	eventually(t, "its last word", func() bool {
		for i := range 3 {
			if r, _ := f.Replica(i).Node.Hub().Record("d2"); !r.Stopped {
				return false
			}
		}
		return true
	})
	f.Standin("booking-d2-v1").Kill() // Nobody announces it any more.
	d, err := f.StartDaemon("d2", zones[2])
	require.NoError(t, err)
	eventually(t, "the resumed upstream", func() bool { return d.Counters().Get("upstreams_resumed") == 1 && targets() == 1 })
	eventually(t, "its end without an announcement", func() bool { return targets() == 0 })
}

// TestLastGateThatLeaves has the only daemon with an upstream of a service
// leave. Its gate serves calls until it is closed.
func TestLastGateThatLeaves(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{DrainTime: 2 * time.Second}, 0)
	for _, host := range []string{"d0", "d1"} {
		require.NoError(t, f.Standin("booking-"+host+"-v1").Leave(context.Background()))
	}
	eventually(t, "a single upstream", func() bool { return len(f.Daemon("d0").Hub().View().Targets("booking", "v1")) == 1 })
	leaving := f.Daemon("d2")
	var group sync.WaitGroup
	group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		require.NoError(t, leaving.Leave(ctx))
	})
	eventually(t, "the word that it leaves", func() bool {
		r, ok := f.Daemon("d0").Hub().Record("d2")
		return ok && r.Leaving
	})
	a := newCaller(t).call(f.Daemon("d0").Addresses().Outbound, http.MethodPost, "/internal/bookings", "last", strings.NewReader("deposit"), nil)
	require.Equal(t, http.StatusOK, a.status, "%v", a)
	group.Wait()
}
