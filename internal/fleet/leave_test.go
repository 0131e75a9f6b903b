package fleet_test

import (
	"context"
	"math/rand/v2"
	"net/http"
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
		checkHistory(t, f, answers, true)
		for _, a := range answers {
			require.Equal(t, http.StatusOK, a.status, "%v", a)
		}
		f.Stop()
	}
}
