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

// patience is far above every target; tests check order, not speed.
const patience = 30 * time.Second

var zones = []string{"sokoine", "themi", "njiro"}

func start(t *testing.T, c fleet.Config) *fleet.Fleet {
	t.Helper()
	c.Folder = t.TempDir()
	f, err := fleet.Start(c)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	if !fleet.Wait(context.Background(), patience, done) {
		t.Fatalf("no %s after %v", what, patience)
	}
}

func leader(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	eventually(t, "leader", func() bool { return f.Leader() >= 0 })
	return f.Leader()
}

func kilele(t *testing.T) []config.Object {
	d, err := config.Parse("mesh.jsonc", examples.KileleMesh)
	require.NoError(t, err)
	return d.Objects()
}

// apply sends a change until it is accepted, and returns its revision.
func apply(t *testing.T, f *fleet.Fleet, request string, put ...config.Object) config.Revision {
	t.Helper()
	return applyBy(t, f.Client(), request, put...)
}

func applyBy(t *testing.T, client *operator.Client, request string, put ...config.Object) config.Revision {
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

func limit(t *testing.T, amount int) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "clubs", Limit: fmt.Sprintf("%d bench-credits", amount)})
	require.NoError(t, err)
	return o
}

func startDaemons(t *testing.T, f *fleet.Fleet, count int) {
	t.Helper()
	for i := range count {
		_, err := f.StartDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)])
		require.NoError(t, err)
	}
}

func everywhere(f *fleet.Fleet, r config.Revision) bool {
	for _, d := range f.Daemons() {
		if !d.Ready() || d.Hub().State().Revision() < r {
			return false
		}
	}
	return true
}

// A replica that lags behind must not answer a confirmed read with what it
// has.
func TestReadOnALaggingReplica(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := start(t, fleet.Config{Dial: n.dial, Timing: source.Timing{Heartbeat: 100 * time.Millisecond, Election: 5 * time.Second}})
	apply(t, f, "first", kilele(t)...)
	at := leader(t, f)
	lagging := (at + 1) % 3
	n.set(true, f.Replica(at).Config.Name, f.Replica(lagging).Config.Listen)
	r := apply(t, f, "second", limit(t, 7000))
	now, err := f.Replica(lagging).Node.Configuration()
	if err == nil {
		require.GreaterOrEqual(t, now.Revision, r)
	}
}

// watch follows daemons and fails the test if a revision falls, or if two
// daemons ever expand one revision differently.
type watch struct {
	t       *testing.T
	fleet   *fleet.Fleet
	mutex   sync.Mutex
	highest map[string]config.Revision
	digests map[config.Revision]uint64
	seen    int
	stop    chan struct{}
	done    sync.WaitGroup
}

func startWatch(t *testing.T, f *fleet.Fleet) *watch {
	w := &watch{t: t, fleet: f, highest: map[string]config.Revision{}, digests: map[config.Revision]uint64{}, stop: make(chan struct{})}
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(time.Millisecond):
				w.look()
			}
		}
	}()
	return w
}

// look notes what each daemon would serve. A daemon that is not ready serves
// nothing.
func (w *watch) look() {
	for host, d := range w.fleet.Daemons() {
		if !d.Ready() {
			continue
		}
		s := d.Hub().State()
		w.mutex.Lock()
		if s.Revision() < w.highest[host] {
			w.t.Errorf("%s fell from revision %d to %d", host, w.highest[host], s.Revision())
		}
		w.highest[host] = s.Revision()
		digest := s.Table().Digest()
		if other, ok := w.digests[s.Revision()]; ok && other != digest {
			w.t.Errorf("%s expands revision %d differently", host, s.Revision())
		}
		w.digests[s.Revision()] = digest
		w.seen++
		w.mutex.Unlock()
	}
}

// end stops the watch and compares what was served with what the source would
// expand at the newest revision.
func (w *watch) end() {
	close(w.stop)
	w.done.Wait()
	require.NotZero(w.t, w.seen)
	now, err := w.fleet.Client().Configuration(context.Background())
	require.NoError(w.t, err)
	objects := map[config.Key]config.Object{}
	for _, o := range now.Objects {
		objects[o.Key] = o.Object
	}
	var b expand.Builder
	table, err := b.Build(now.Revision, objects)
	require.NoError(w.t, err)
	if digest, ok := w.digests[now.Revision]; ok {
		require.Equal(w.t, table.Digest(), digest)
	}
}

// TestHerdsDuringChanges crashes and restarts half of the daemons, again and
// again, while changes go on.
func TestHerdsDuringChanges(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			f := start(t, fleet.Config{Seed: seed, Shape: directory.Shape{Relays: 1, Fanout: 2}})
			startDaemons(t, f, 18)
			apply(t, f, "first", kilele(t)...)
			w := startWatch(t, f)
			for round := range 6 {
				for i := range 18 {
					if random.IntN(2) == 0 {
						f.StopDaemon(fmt.Sprintf("d%d", i))
					}
				}
				r := apply(t, f, fmt.Sprintf("c%d", round), limit(t, 5000+round))
				for i := range 18 {
					host := fmt.Sprintf("d%d", i)
					if f.Daemon(host) == nil {
						_, err := f.StartDaemon(host, zones[i%3])
						require.NoError(t, err)
					}
				}
				if round%2 == 1 {
					eventually(t, "convergence", func() bool { return everywhere(f, r) })
				}
			}
			w.end()
		})
	}
}

// TestLeaderCutOff cuts the leader off from the other replicas without a sign
// for long. The others go on, daemons below the cut one turn away from it,
// nothing is undone, and the cut one takes no changes.
func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	f := start(t, fleet.Config{Dial: n.dial})
	startDaemons(t, f, 9)
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	w := startWatch(t, f)
	old := leader(t, f)
	setCut := func(cut bool) {
		for i := range 3 {
			if i == old {
				continue
			}
			n.set(cut, f.Replica(old).Config.Name, f.Replica(i).Config.Listen)
			n.set(cut, f.Replica(i).Config.Name, f.Replica(old).Config.Listen)
		}
	}
	setCut(true)
	eventually(t, "another leader", func() bool { l := f.Leader(); return l >= 0 && l != old && !f.Replica(old).Node.IsLeader() })
	_, err := f.Replica(old).Node.Configuration()
	require.Error(t, err, "a replica that is cut off confirms nothing")
	alone := operator.Client{Token: fleet.Token, Sources: []string{f.Replica(old).Operator}}
	_, err = alone.Apply(context.Background(), operator.Change{Request: "alone", Replaces: r, Put: []config.Object{limit(t, 1)}})
	require.ErrorIs(t, err, operator.ErrUnreachable, "it says that the change was not taken")
	others := f.Client()
	others.Sources = append(others.Sources[:old:old], others.Sources[old+1:]...)
	for i := range 5 {
		r = applyBy(t, others, fmt.Sprintf("during-%d", i), limit(t, 6000+i))
	}
	eventually(t, "convergence in spite of the cut", func() bool { return everywhere(f, r) })
	setCut(false)
	r = apply(t, f, "after", limit(t, 9000))
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	eventually(t, "the old leader's catching up", func() bool { return f.Replica(old).Node.Hub().State().Revision() >= r })
	w.end()
}

// TestSourceDown stops the whole source. Daemons go on with what they have; a
// daemon that restarts meanwhile serves nothing, since nobody can tell it what
// it had, and serves again once the source is back.
func TestSourceDown(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{})
	startDaemons(t, f, 6)
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	w := startWatch(t, f)
	for i := range 3 {
		f.StopReplica(i)
	}
	f.StopDaemon("d4")
	again, err := f.StartDaemon("d4", zones[1])
	require.NoError(t, err)
	require.Never(t, again.Ready, 700*time.Millisecond, 10*time.Millisecond)
	require.True(t, f.Daemon("d1").Ready())
	for i := range 3 {
		require.NoError(t, f.StartReplica(i))
	}
	eventually(t, "readiness", again.Ready)
	require.GreaterOrEqual(t, again.Hub().State().Revision(), r)
	w.end()
}

// TestRelayDies kills the relays of a data centre; their children turn to
// another parent.
func TestRelayDies(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{Zones: []string{"sokoine"}, Shape: directory.Shape{Relays: 1, Fanout: 2}})
	for i := range 9 {
		_, err := f.StartDaemon(fmt.Sprintf("d%d", i), "sokoine")
		require.NoError(t, err)
	}
	r := apply(t, f, "first", kilele(t)...)
	eventually(t, "convergence", func() bool { return everywhere(f, r) })
	w := startWatch(t, f)
	for round := range 3 {
		f.StopDaemon(relay(t, f))
		r = apply(t, f, fmt.Sprintf("c%d", round), limit(t, 4000+round))
		eventually(t, "convergence", func() bool { return everywhere(f, r) })
	}
	w.end()
}

// relay returns a daemon that others pull from.
func relay(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	found := ""
	eventually(t, "a relay with children", func() bool {
		for host, d := range f.Daemons() {
			if len(d.Hub().Children()) > 0 {
				found = host
				return true
			}
		}
		return false
	})
	return found
}

// TestDeadDaemonIsNoticed crashes a daemon; all others agree that it is gone,
// and that it is back when it comes back.
func TestDeadDaemonIsNoticed(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{})
	startDaemons(t, f, 9)
	knows := func(d *daemon.Daemon, host string) bool {
		r, ok := d.Hub().Record(host)
		return ok && !r.Gone
	}
	all := func(want bool) func() bool {
		return func() bool {
			for host, d := range f.Daemons() {
				if host != "d3" && knows(d, "d3") != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "a full directory", all(true))
	f.StopDaemon("d3")
	eventually(t, "notice of the death", all(false))
	_, err := f.StartDaemon("d3", zones[0])
	require.NoError(t, err)
	eventually(t, "notice of the return", all(true))
}

// TestInForceIsKnown checks that the source tells when a change is in force on
// every live daemon, and names a daemon that is not there yet.
func TestInForceIsKnown(t *testing.T) {
	t.Parallel()
	f := start(t, fleet.Config{})
	startDaemons(t, f, 9)
	r := apply(t, f, "first", kilele(t)...)
	status := func() operator.Status {
		s, err := f.Client().Status(context.Background())
		require.NoError(t, err)
		return s
	}
	eventually(t, "the word that it is in force", func() bool {
		s := status()
		return s.Fleet.InForce && s.Fleet.Known == 9 && s.Fleet.Reporting >= 9 && s.Fleet.Low >= r
	})
	require.True(t, everywhere(f, r))
}
