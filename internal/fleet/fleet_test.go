package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/examples"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// eventuallyTimeout is far above every latency target: tests check order, not
// speed.
const eventuallyTimeout = 30 * time.Second

// zones are the data centres of the daemons, and by default of the replicas.
var zones = []string{"sokoine", "themi", "njiro"}

// startFleet starts the source replicas of a fleet, with a temporary folder, and
// stops the fleet at the end of the test.
func startFleet(t *testing.T, c fleet.Config) *fleet.Fleet {
	t.Helper()
	c.DataFolder = t.TempDir()
	f, err := fleet.Start(c)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f
}

// eventually polls done until it returns true, and fails the test after
// eventuallyTimeout.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	if !fleet.Wait(context.Background(), eventuallyTimeout, done) {
		t.Fatalf("no %s after %v", what, eventuallyTimeout)
	}
}

// waitForLeader waits for a leader and returns its index.
func waitForLeader(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	leader := -1
	eventually(t, "leader", func() bool {
		leader = f.Leader()
		return leader >= 0
	})
	return leader
}

// kileleObjects returns the objects of the example configuration "kilele".
func kileleObjects(t *testing.T) []config.Object {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	return d.Objects()
}

// apply sends a change of the newest revision and resends it until the source
// replies. It returns the revision of the change, and fails the test if the change
// is not accepted.
func apply(t *testing.T, f *fleet.Fleet, request string, put ...config.Object) config.Revision {
	t.Helper()
	return applyWith(t, f.Client(), request, put...)
}

// applyWith is like apply, with the given client.
func applyWith(t *testing.T, client *operator.Client, request string, put ...config.Object) config.Revision {
	t.Helper()
	var out operator.Outcome
	eventually(t, "outcome", func() bool {
		now, err := client.Configuration(context.Background())
		if err != nil {
			return false
		}
		out, err = client.Apply(context.Background(), operator.Change{Request: request, Replaces: now.Revision, Put: put})
		return err == nil
	})
	require.Equal(t, operator.Accepted, out.Status, "%v", out)
	return out.Revision
}

// clubsContract returns a contract of the team "clubs", which tests change to get
// a new revision.
func clubsContract(t *testing.T, amount int) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: fmt.Sprintf("%d bench-credits", amount)})
	require.NoError(t, err)
	return o
}

// startDaemons starts the daemons d0, d1 and so on, with the data centres in turn.
func startDaemons(t *testing.T, f *fleet.Fleet, count int) {
	t.Helper()
	for i := range count {
		_, err := f.StartDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)])
		require.NoError(t, err)
	}
}

// converged reports whether every running daemon is ready and has revision r or a
// newer one.
func converged(f *fleet.Fleet, r config.Revision) bool {
	for _, d := range f.Daemons() {
		if !d.Ready() || d.Hub().State().Revision() < r {
			return false
		}
	}
	return true
}

// TestLaggingReplicaServesNoStaleRead cuts a follower off from the leader while a
// change is accepted. A confirmed read at the follower must fail or return the
// change, not the follower's old state.
func TestLaggingReplicaServesNoStaleRead(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startFleet(t, fleet.Config{Dial: n.dial, Timing: source.Timing{Heartbeat: 100 * time.Millisecond, Election: 5 * time.Second}})
	apply(t, f, "first", kileleObjects(t)...)
	leader := waitForLeader(t, f)
	lagging := (leader + 1) % 3
	n.setCut(true, f.Replica(leader).Config.Name, f.Replica(lagging).Config.Listen)
	r := apply(t, f, "second", clubsContract(t, 7000))
	now, err := f.Replica(lagging).Node.Configuration()
	if err == nil {
		require.GreaterOrEqual(t, now.Revision, r)
	}
}

// monitor samples the daemons of a fleet. It fails the test if the revision of a
// daemon decreases, also over a restart, or if two daemons expand a revision
// differently.
type monitor struct {
	t       *testing.T
	fleet   *fleet.Fleet
	mutex   sync.Mutex
	highest map[string]config.Revision // The newest revision that each host served.
	digests map[config.Revision]uint64 // Of the expanded configuration.
	samples int
	stop    chan struct{}
	group   sync.WaitGroup
}

// startMonitor starts a monitor that samples every millisecond until finish.
func startMonitor(t *testing.T, f *fleet.Fleet) *monitor {
	m := &monitor{t: t, fleet: f, highest: map[string]config.Revision{}, digests: map[config.Revision]uint64{}, stop: make(chan struct{})}
	m.group.Add(1)
	go func() {
		defer m.group.Done()
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(time.Millisecond):
				m.sample()
			}
		}
	}()
	return m
}

// sample records the revision and digest of each daemon that is ready; others
// serve nothing.
func (m *monitor) sample() {
	for host, d := range m.fleet.Daemons() {
		if !d.Ready() {
			continue
		}
		s := d.Hub().State()
		m.mutex.Lock()
		if s.Revision() < m.highest[host] {
			m.t.Errorf("%s went back from revision %d to %d", host, m.highest[host], s.Revision())
		}
		m.highest[host] = s.Revision()
		digest := s.Table().Digest()
		if other, ok := m.digests[s.Revision()]; ok && other != digest {
			m.t.Errorf("%s expands revision %d differently", host, s.Revision())
		}
		m.digests[s.Revision()] = digest
		m.samples++
		m.mutex.Unlock()
	}
}

// finish stops the monitor and compares the digest that daemons served at the newest
// revision with that of the source's configuration.
func (m *monitor) finish() {
	close(m.stop)
	m.group.Wait()
	require.NotZero(m.t, m.samples)
	now, err := m.fleet.Client().Configuration(context.Background())
	require.NoError(m.t, err)
	objects := map[config.Key]config.Object{}
	for _, o := range now.Objects {
		objects[o.Key] = o.Object
	}
	var b expand.Builder
	table, err := b.Build(now.Revision, objects)
	require.NoError(m.t, err)
	if digest, ok := m.digests[now.Revision]; ok {
		require.Equal(m.t, table.Digest(), digest)
	}
}

// TestMassRestartsDuringChanges repeatedly crashes and restarts about half of the
// daemons while changes are applied. Daemons must converge, and no daemon may
// return to an older revision.
func TestMassRestartsDuringChanges(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			f := startFleet(t, fleet.Config{Seed: seed, Shape: directory.Shape{Relays: 1, Fanout: 2}})
			startDaemons(t, f, 18)
			apply(t, f, "first", kileleObjects(t)...)
			m := startMonitor(t, f)
			for round := range 6 {
				for i := range 18 {
					if random.IntN(2) == 0 {
						f.StopDaemon(fmt.Sprintf("d%d", i))
					}
				}
				r := apply(t, f, fmt.Sprintf("c%d", round), clubsContract(t, 5000+round))
				for i := range 18 {
					host := fmt.Sprintf("d%d", i)
					if f.Daemon(host) == nil {
						_, err := f.StartDaemon(host, zones[i%3])
						require.NoError(t, err)
					}
				}
				if round%2 == 1 {
					eventually(t, "convergence", func() bool { return converged(f, r) })
				}
			}
			m.finish()
		})
	}
}

// TestPartitionedLeaderAcceptsNoChanges partitions the leader from the other
// replicas. The others must elect a leader and accept changes, daemons that pull
// from the old leader must converge too, the old leader must confirm no read and
// accept no change, and no accepted change may be lost.
func TestPartitionedLeaderAcceptsNoChanges(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := startFleet(t, fleet.Config{Dial: n.dial})
	startDaemons(t, f, 9)
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	m := startMonitor(t, f)
	oldLeader := waitForLeader(t, f)
	setCut := func(cut bool) {
		for i := range 3 {
			if i == oldLeader {
				continue
			}
			n.setCut(cut, f.Replica(oldLeader).Config.Name, f.Replica(i).Config.Listen)
			n.setCut(cut, f.Replica(i).Config.Name, f.Replica(oldLeader).Config.Listen)
		}
	}
	setCut(true)
	eventually(t, "another leader", func() bool { l := f.Leader(); return l >= 0 && l != oldLeader && !f.Replica(oldLeader).Node.IsLeader() })
	_, err := f.Replica(oldLeader).Node.Configuration()
	require.Error(t, err, "a partitioned replica must not confirm a read")
	oldClient := operator.Client{Token: fleet.Token, Sources: []string{f.Replica(oldLeader).OperatorAddress}}
	_, err = oldClient.Apply(context.Background(), operator.Change{Request: "alone", Replaces: r, Put: []config.Object{clubsContract(t, 1)}})
	require.ErrorIs(t, err, operator.ErrUnreachable, "a partitioned replica must not accept a change")
	others := f.Client()
	others.Sources = append(others.Sources[:oldLeader:oldLeader], others.Sources[oldLeader+1:]...)
	for i := range 5 {
		r = applyWith(t, others, fmt.Sprintf("during-%d", i), clubsContract(t, 6000+i))
	}
	eventually(t, "convergence during the partition", func() bool { return converged(f, r) })
	setCut(false)
	r = apply(t, f, "after", clubsContract(t, 9000))
	eventually(t, "convergence", func() bool { return converged(f, r) })
	eventually(t, "newest revision at the old leader", func() bool { return f.Replica(oldLeader).Node.Hub().State().Revision() >= r })
	m.finish()
}

// TestDaemonsServeWithoutSource stops the whole source. Running daemons must go on
// with the configuration that they have. A daemon that restarts meanwhile must not
// be ready, since there are no witnesses of its minimum revision, until the source
// is back.
func TestDaemonsServeWithoutSource(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	startDaemons(t, f, 6)
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	m := startMonitor(t, f)
	for i := range 3 {
		f.StopReplica(i)
	}
	f.StopDaemon("d4")
	restarted, err := f.StartDaemon("d4", zones[1])
	require.NoError(t, err)
	require.Never(t, restarted.Ready, 700*time.Millisecond, 10*time.Millisecond)
	require.True(t, f.Daemon("d1").Ready())
	for i := range 3 {
		require.NoError(t, f.StartReplica(i))
	}
	eventually(t, "readiness", restarted.Ready)
	require.GreaterOrEqual(t, restarted.Hub().State().Revision(), r)
	m.finish()
}

// TestChildrenSwitchParentWhenRelayDies crashes one relay after the other in a data
// centre. Their children must pull changes from another parent.
func TestChildrenSwitchParentWhenRelayDies(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{Zones: []string{"sokoine"}, Shape: directory.Shape{Relays: 1, Fanout: 2}})
	for i := range 9 {
		_, err := f.StartDaemon(fmt.Sprintf("d%d", i), "sokoine")
		require.NoError(t, err)
	}
	r := apply(t, f, "first", kileleObjects(t)...)
	eventually(t, "convergence", func() bool { return converged(f, r) })
	m := startMonitor(t, f)
	for round := range 3 {
		f.StopDaemon(findRelay(t, f))
		r = apply(t, f, fmt.Sprintf("c%d", round), clubsContract(t, 4000+round))
		eventually(t, "convergence", func() bool { return converged(f, r) })
	}
	m.finish()
}

// findRelay waits for a daemon that others pull from, and returns its host.
func findRelay(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	relay := ""
	eventually(t, "relay with children", func() bool {
		for host, d := range f.Daemons() {
			if len(d.Hub().LastReports()) > 0 {
				relay = host
				return true
			}
		}
		return false
	})
	return relay
}

// TestCrashedDaemonIsMarkedGone crashes a daemon. All others must mark it as gone,
// and as live once it has restarted.
func TestCrashedDaemonIsMarkedGone(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	startDaemons(t, f, 9)
	isLive := func(d *daemon.Daemon, host string) bool {
		r, ok := d.Hub().Record(host)
		return ok && !r.Gone
	}
	allSee := func(want bool) func() bool {
		return func() bool {
			for host, d := range f.Daemons() {
				if host != "d3" && isLive(d, "d3") != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "complete directory", allSee(true))
	f.StopDaemon("d3")
	eventually(t, "mark as gone on all daemons", allSee(false))
	_, err := f.StartDaemon("d3", zones[0])
	require.NoError(t, err)
	eventually(t, "mark as live on all daemons", allSee(true))
}

// TestStatusReportsChangeInForce checks that the status of the source reports a
// change as in force once every live daemon has it, and not before.
func TestStatusReportsChangeInForce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Config{})
	startDaemons(t, f, 9)
	r := apply(t, f, "first", kileleObjects(t)...)
	status := func() operator.Status {
		s, err := f.Client().Status(context.Background())
		require.NoError(t, err)
		return s
	}
	eventually(t, "status in force", func() bool {
		s := status()
		return s.Fleet.InForce && s.Fleet.Known == 9 && s.Fleet.Reporting >= 9 && s.Fleet.Low >= r
	})
	require.True(t, converged(f, r))
}
