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

// directoriesComplete reports whether the directory of each running daemon holds as
// many live daemons as are running.
func directoriesComplete(f *fleet.Fleet) bool {
	daemons := f.Daemons()
	for _, d := range daemons {
		if len(d.Hub().View().Live()) != len(daemons) {
			return false
		}
	}
	return true
}

// TestRandomOneWayPartitions cuts random links between daemons and from daemons to
// the source, each in one direction, while changes are applied. It guards against
// revisions that decrease, daemons that expand a revision differently, and daemons
// that do not converge once all links are restored.
func TestRandomOneWayPartitions(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 77))
			n := newNetwork()
			f := startFleet(t, fleet.Config{Seed: seed, Dial: n.dial, Witnesses: witnesses, Shape: directory.Shape{Relays: 1, Fanout: 2}})
			startDaemons(t, f, 12)
			r := apply(t, f, "first", kileleObjects(t)...)
			eventually(t, "convergence", func() bool { return converged(f, r) && directoriesComplete(f) })
			m := startMonitor(t, f)
			targets := f.SourceAddresses()
			for i := range 12 {
				targets = append(targets, f.Daemon(fmt.Sprintf("d%d", i)).Addresses().Peer)
			}
			for round := range 8 {
				for i := range 12 {
					for _, to := range targets {
						n.setCut(random.IntN(100) < 35, fmt.Sprintf("d%d", i), to)
					}
				}
				r = apply(t, f, fmt.Sprintf("c%d", round), clubsContract(t, 7000+round))
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			for i := range 12 {
				n.setCut(false, fmt.Sprintf("d%d", i), targets...)
			}
			eventually(t, "convergence", func() bool { return converged(f, r) && directoriesComplete(f) })
			m.finish()
		})
	}
}

// TestIsolatedZoneServesAndCatchesUp partitions a data centre, with its daemon and
// its replica, from all others. Its daemon must serve its own calls with the
// configuration that it has and report the age of that; the others must accept
// changes; after the partition the data centre must converge.
func TestIsolatedZoneServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startMesh(t, fleet.Config{Dial: n.dial}, 0)
	isolated := f.Daemon("d2")
	before := isolated.Hub().State().Revision()
	m := startMonitor(t, f)
	setCut := func(cut bool) {
		inside := []string{isolated.Addresses().Peer, f.Replica(2).Config.Listen}
		outside := []string{
			f.Daemon("d0").Addresses().Peer, f.Daemon("d1").Addresses().Peer,
			f.Replica(0).Config.Listen, f.Replica(1).Config.Listen,
		}
		for _, from := range []string{"d2", f.Replica(2).Config.Name} {
			n.setCut(cut, from, outside...)
		}
		for _, from := range []string{"d0", "d1", f.Replica(0).Config.Name, f.Replica(1).Config.Name} {
			n.setCut(cut, from, inside...)
		}
	}
	setCut(true)
	others := f.Client()
	others.Sources = others.Sources[:2]
	eventually(t, "leader outside the data centre", func() bool { l := f.Leader(); return l == 0 || l == 1 })
	r := applyWith(t, others, "change-during-partition", clubsContract(t, 900000001))
	eventually(t, "convergence outside the data centre", func() bool {
		return f.Daemon("d0").Hub().State().Revision() >= r && f.Daemon("d1").Hub().State().Revision() >= r
	})
	const minAge = 2 * time.Second
	eventually(t, "reported age of the configuration", func() bool {
		return isolated.Status(time.Now()).AgeMillis > minAge.Milliseconds()
	})
	require.Equal(t, before, isolated.Hub().State().Revision())
	c := newCaller(t)
	for i := range 20 {
		a := c.call(isolated.Addresses().Outbound, http.MethodGet, "/internal/wax", fmt.Sprintf("alone-%d", i), strings.NewReader(""), nil)
		require.Equal(t, http.StatusOK, a.status, "%v", a)
	}
	setCut(false)
	eventually(t, "convergence", func() bool { return converged(f, r) && directoriesComplete(f) })
	m.finish()
}
