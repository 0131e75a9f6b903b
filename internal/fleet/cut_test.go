package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
)

// knowsAll reports whether each daemon's directory holds every daemon.
func knowsAll(f *fleet.Fleet) bool {
	daemons := f.Daemons()
	for _, d := range daemons {
		if len(d.Hub().View().Live()) != len(daemons) {
			return false
		}
	}
	return true
}

// TestRandomCuts cuts ways between daemons, and from daemons to the source, at
// random and each in one direction, while changes go on. No daemon's revision
// ever falls, all expand alike, and once the ways are open again everyone has
// everything.
func TestRandomCuts(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 77))
			n := newNetwork()
			f := start(t, fleet.Config{Seed: seed, Dial: n.dial, Witnesses: keepers, Shape: directory.Shape{Relays: 1, Fanout: 2}})
			startDaemons(t, f, 12)
			r := apply(t, f, "first", kilele(t)...)
			eventually(t, "convergence", func() bool { return everywhere(f, r) && knowsAll(f) })
			w := startWatch(t, f)
			targets := f.SourceAddresses()
			for i := range 12 {
				targets = append(targets, f.Daemon(fmt.Sprintf("d%d", i)).Addresses().Peer)
			}
			for round := range 8 {
				for i := range 12 {
					for _, to := range targets {
						n.set(random.IntN(100) < 35, fmt.Sprintf("d%d", i), to)
					}
				}
				r = apply(t, f, fmt.Sprintf("c%d", round), limit(t, 7000+round))
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			for i := range 12 {
				n.set(false, fmt.Sprintf("d%d", i), targets...)
			}
			eventually(t, "convergence", func() bool { return everywhere(f, r) && knowsAll(f) })
			w.end()
		})
	}
}

// TestRegionAlone cuts a data centre with its daemons and its replica off from
// all others. It goes on serving its own calls with what it has and says how
// old that is; the others go on with changes; after the cut it catches up.
func TestRegionAlone(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := mesh(t, fleet.Config{Dial: n.dial}, 0)
	alone := f.Daemon("d2")
	before := alone.Hub().State().Revision()
	w := startWatch(t, f)
	setCut := func(cut bool) {
		inside := []string{alone.Addresses().Peer, f.Replica(2).Config.Listen}
		outside := []string{
			f.Daemon("d0").Addresses().Peer, f.Daemon("d1").Addresses().Peer,
			f.Replica(0).Config.Listen, f.Replica(1).Config.Listen,
		}
		for _, from := range []string{"d2", f.Replica(2).Config.Name} {
			n.set(cut, from, outside...)
		}
		for _, from := range []string{"d0", "d1", f.Replica(0).Config.Name, f.Replica(1).Config.Name} {
			n.set(cut, from, inside...)
		}
	}
	setCut(true)
	others := f.Client()
	others.Sources = others.Sources[:2]
	eventually(t, "a leader outside", func() bool { l := f.Leader(); return l == 0 || l == 1 })
	r := applyBy(t, others, "during", limit(t, 900000001))
	eventually(t, "convergence outside", func() bool {
		return f.Daemon("d0").Hub().State().Revision() >= r && f.Daemon("d1").Hub().State().Revision() >= r
	})
	const old = 2 * time.Second
	eventually(t, "a daemon that says it is behind", func() bool {
		return alone.Status(time.Now()).AgeMillis > old.Milliseconds()
	})
	require.Equal(t, before, alone.Hub().State().Revision())
	c := newCaller(t)
	for i := range 20 {
		a := c.call(alone.Addresses().Outbound, http.MethodGet, "/internal/wax", fmt.Sprintf("alone-%d", i), strings.NewReader(""), nil)
		require.Equal(t, http.StatusOK, a.status, "%v", a)
	}
	setCut(false)
	eventually(t, "convergence", func() bool { return everywhere(f, r) && knowsAll(f) })
	w.end()
}
