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
		f := mesh(t, fleet.Config{Linger: 200 * time.Millisecond, Seed: uint64(round), Dial: n.dial}, 0)
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

// TestLastGateThatLeaves has the only daemon with an upstream of a service
// leave. Its gate serves calls until it is closed.
func TestLastGateThatLeaves(t *testing.T) {
	t.Parallel()
	f := mesh(t, fleet.Config{Linger: 2 * time.Second}, 0)
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
	a := newCaller(t).call(f.Daemon("d0").Addresses().Caller, http.MethodPost, "/internal/bookings", "last", strings.NewReader("deposit"), nil)
	require.Equal(t, http.StatusOK, a.status, "%v", a)
	group.Wait()
}
