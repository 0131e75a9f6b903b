package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/bootclock"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// keyValidity is the validity of API keys in the tests of freshness.
const keyValidity = 4500 * time.Millisecond

// maxUsualAge is the age of the freshness that no daemon exceeds in normal operation.
const maxUsualAge = 2500 * time.Millisecond

// replaceKeyed replaces version-1 of the configuration by one with API keys, and returns its
// revision.
func replaceKeyed(t testing.TB, f *fleet.Fleet, version uint64) config.Revision {
	t.Helper()
	return replaceConfig(t, f, config.Config{Version: version, Keyed: true})
}

// replaceConfig replaces the configuration of the version before, and returns the revision.
func replaceConfig(t testing.TB, f *fleet.Fleet, c config.Config) config.Revision {
	t.Helper()
	var out ledger.Outcome
	require.True(t, fleet.Wait(context.Background(), eventuallyTimeout, func() bool {
		leader := f.Leader()
		if leader < 0 {
			return false
		}
		var err error
		out, err = f.Replica(leader).Node.Replace(source.Replacement{
			Request: fmt.Sprint("put-", c.Version), Operator: "o", Base: c.Version - 1, Config: c, Origin: []byte("x"),
		})
		return err == nil
	}))
	require.Equal(t, ledger.StatusAccepted, out.Status, "%v", out)
	return out.Revision
}

// startKeyed starts a fleet and a number of daemons, with a configuration that has API keys.
func startKeyed(t *testing.T, c fleet.Config, daemons int) *fleet.Fleet {
	t.Helper()
	c.KeyValidity = keyValidity
	f := startFleet(t, c)
	startDaemons(t, f, daemons)
	r := replaceKeyed(t, f, 1)
	eventually(t, "convergence", func() bool { return converged(f, r) && directoriesComplete(f) })
	// There is no freshness before the first configuration with API keys.
	eventually(t, "accepted keys", func() bool {
		for _, d := range f.Daemons() {
			if !acceptsKeys(d) {
				return false
			}
		}
		return true
	})
	return f
}

// freshnessAge returns the age of a daemon's freshness, by the host's boot clock.
func freshnessAge(d *daemon.Daemon) time.Duration {
	freshAt, known := d.Hub().FreshAt()
	if !known {
		return time.Hour
	}
	return bootclock.Now() - freshAt
}

// acceptsKeys returns whether a daemon accepts API keys by its last event on that. Without
// one it does if it has any freshness.
func acceptsKeys(d *daemon.Daemon) bool {
	_, accepts := d.Hub().FreshAt()
	for _, e := range d.Events().Since(time.Time{}) {
		switch e.Kind {
		case "keys-confirmed":
			accepts = true
		case "keys-unconfirmed":
			accepts = false
		}
	}
	return accepts
}

// Freshness must reach daemons several levels down without adding up the waits of pulls, or
// API keys would be refused there in normal operation.
func TestFreshnessReachesLowerLevels(t *testing.T) {
	t.Parallel()
	f := startKeyed(t, fleet.Config{Shape: directory.Shape{Relays: 1, Fanout: 1}}, 7)
	oldest := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, d := range f.Daemons() {
			oldest = max(oldest, freshnessAge(d))
		}
	}
	require.Less(t, oldest, maxUsualAge)
}

// Replicas that are alive but have no quorum cannot know whether a change was accepted. No
// daemon may count them as fresh, however often it asks.
func TestSourceWithoutQuorumIsNotFresh(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startKeyed(t, fleet.Config{Dial: n.dial}, 3)
	setCut := func(cut bool) {
		for i := range f.Replicas() {
			n.setCut(cut, f.Replica(i).Config.Name, f.SourceAddresses()...)
		}
	}
	setCut(true)
	// A read that began before the cut may complete, with its time.
	cutAt := bootclock.Now()
	for _, d := range f.Daemons() {
		eventually(t, "expired keys", func() bool { return !acceptsKeys(d) })
		freshAt, _ := d.Hub().FreshAt()
		require.LessOrEqual(t, freshAt, cutAt)
		require.GreaterOrEqual(t, bootclock.Now()-freshAt, keyValidity)
	}
	setCut(false)
	for _, d := range f.Daemons() {
		eventually(t, "freshness after the cut", func() bool { return acceptsKeys(d) })
	}
}

// A follower that is cut off from the leader must not be fresh, and the daemons that pull
// from it must get their freshness from other replicas.
func TestFollowerCutOffFromLeaderIsNotFresh(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startKeyed(t, fleet.Config{Dial: n.dial}, 6)
	follower := (waitForLeader(t, f) + 1) % f.Replicas()
	name, address := f.Replica(follower).Config.Name, f.Replica(follower).Config.Listen
	for i := range f.Replicas() {
		if i != follower {
			n.setCut(true, f.Replica(i).Config.Name, address)
			n.setCut(true, name, f.Replica(i).Config.Listen)
		}
	}
	cutAt, oldest := bootclock.Now(), time.Duration(0)
	for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, d := range f.Daemons() {
			oldest = max(oldest, freshnessAge(d))
		}
		freshAt, _ := f.Replica(follower).Node.Hub().FreshAt()
		require.LessOrEqual(t, freshAt, cutAt)
	}
	require.Less(t, oldest, keyValidity)
}

// A daemon whose host was suspended must not accept keys at its first call after that: the
// boot clock has gone on, and its monotonic clock has not.
func TestSuspendedDaemonIsNotFresh(t *testing.T) {
	t.Parallel()
	var suspension atomic.Int64
	boot := func(name string) func() time.Duration {
		return func() time.Duration {
			if name == "d0" {
				return bootclock.Now() + time.Duration(suspension.Load())
			}
			return bootclock.Now()
		}
	}
	n := newNetwork()
	f := startKeyed(t, fleet.Config{Dial: n.dial, BootClock: boot}, 2)
	d := f.Daemon("d0")
	before, _ := d.Hub().FreshAt()
	n.setCut(true, "d0", append(f.SourceAddresses(), f.Daemon("d1").Addresses().Peer)...)
	suspension.Store(int64(20 * time.Second))
	eventually(t, "expired keys", func() bool { return !acceptsKeys(d) })
	freshAt, _ := d.Hub().FreshAt()
	require.Less(t, freshAt-before, 2*time.Second, "a pull that was on its way must not count from its arrival")
	n.setCut(false, "d0", append(f.SourceAddresses(), f.Daemon("d1").Addresses().Peer)...)
	eventually(t, "freshness after the suspension", func() bool { return acceptsKeys(d) })
}

// acknowledged is a revision whose acceptance was acknowledged at a boot time.
type acknowledged struct {
	at       time.Duration
	revision config.Revision
}

// Links that are cut at random, also among the replicas and in one direction, must not make
// a daemon count a configuration as fresh at a time at which a newer one was acknowledged:
// it could have a key that was withdrawn.
func TestFreshConfigurationHasAllAcknowledgedChanges(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(5, 77))
	n := newNetwork()
	f := startKeyed(t, fleet.Config{Seed: 5, Dial: n.dial, Shape: directory.Shape{Relays: 1, Fanout: 2}}, 6)
	names, targets := []string{}, f.SourceAddresses()
	for i := range f.Replicas() {
		names = append(names, f.Replica(i).Config.Name)
	}
	for host, d := range f.Daemons() {
		names, targets = append(names, host), append(targets, d.Addresses().Peer)
	}
	var changes []acknowledged
	checks := 0
	check := func() {
		for host, d := range f.Daemons() {
			s := d.Hub().State()
			freshAt, known := s.FreshAt()
			require.True(t, known)
			for _, c := range changes {
				if c.at <= freshAt {
					require.GreaterOrEqual(t, s.Revision(), c.revision, host)
					checks++
				}
			}
		}
	}
	setCuts := func(percent int) {
		for _, from := range names {
			for _, to := range targets {
				n.setCut(random.IntN(100) < percent, from, to)
			}
		}
	}
	for version := uint64(2); version < 12; version++ {
		setCuts(20)
		for range 30 {
			check()
			time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		}
		n.setCut(false, names[0], targets...) // A change needs a quorum.
		n.setCut(false, names[1], targets...)
		n.setCut(false, names[2], targets...)
		r := replaceKeyed(t, f, version)
		changes = append(changes, acknowledged{at: bootclock.Now(), revision: r})
		check()
	}
	setCuts(0)
	eventually(t, "freshness of the newest revision", func() bool {
		check()
		for _, d := range f.Daemons() {
			if freshAt, _ := d.Hub().FreshAt(); freshAt < changes[len(changes)-1].at {
				return false
			}
		}
		return true
	})
	require.Positive(t, checks)
}
