package processtest_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/processtest"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// TestRestartedDaemonServesWithoutSource kills the whole source and then a daemon.
// The restarted daemon must serve calls again: its witnesses have recorded its
// minimum revision and supply the configuration.
func TestRestartedDaemonServesWithoutSource(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3", "d4"}
	g.UseWitnesses(names...)
	daemons := startDaemons(g, names)
	applyToLatest(t, g, "base", kileleObjects(t)...)
	out := applyToLatest(t, g, "newest", contract(t, "clubs", 777))
	g.StartStandin("d1", "w1", "availability", "v1")
	g.Eventually(eventuallyTimeout, "convergence", func() bool { return allServe(g, names, out.Revision) })
	for i := range 3 {
		g.Source(i).Kill()
	}
	daemons["d1"].Kill()
	g.StartDaemon("d1", "zone-1")
	g.Eventually(eventuallyTimeout, "readiness without the source", func() bool { return allServe(g, []string{"d1"}, out.Revision) })
	g.Eventually(eventuallyTimeout, "successful call", func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+g.OutboundAddress("d1")+"/internal/benches", nil)
		require.NoError(t, err)
		r.Header.Set(call.HeaderTeam, "services")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventuallyTimeout is how long a test waits for a condition before it fails.
const eventuallyTimeout = 30 * time.Second

// startDaemons starts daemons, with three data centres in turn, and returns them by
// name.
func startDaemons(g *processtest.Group, names []string) map[string]*processtest.Process {
	daemons := map[string]*processtest.Process{}
	for i, name := range names {
		daemons[name] = g.StartDaemon(name, fmt.Sprintf("zone-%d", 1+i%3))
	}
	return daemons
}

// allServe reports whether the named daemons are ready and have revision r or a newer
// one.
func allServe(g *processtest.Group, names []string, r config.Revision) bool {
	for _, name := range names {
		if s, err := g.Status(name); err != nil || !s.Ready || s.Revision < r {
			return false
		}
	}
	return true
}

// monitor polls daemons, also over restarts. It fails the test if a daemon serves an
// older revision than before, or if two daemons expand a revision differently.
type monitor struct {
	mutex     sync.Mutex
	revisions map[string]config.Revision // The newest revision that each daemon served.
	digests   map[config.Revision]uint64 // Of the expanded configuration.
	samples   int
}

// poll polls a daemon until stop is closed. It may be called concurrently for
// several daemons.
func (m *monitor) poll(t *testing.T, g *processtest.Group, name string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		s, err := g.Status(name)
		if err != nil || !s.Ready {
			continue
		}
		m.mutex.Lock()
		if s.Revision < m.revisions[name] {
			t.Errorf("%s serves revision %d after %d", name, s.Revision, m.revisions[name])
		}
		m.revisions[name] = s.Revision
		if other, ok := m.digests[s.Revision]; ok && other != s.Digest {
			t.Errorf("%s expands revision %d differently", name, s.Revision)
		}
		m.digests[s.Revision] = s.Digest
		m.samples++
		m.mutex.Unlock()
	}
}

// TestRandomKillsAndFreezesLoseNoChange kills the leader and random daemons, and
// freezes daemons by SIGSTOP, while operators write. It guards against lost accepted
// changes, daemons that serve an older revision than before, and daemons that differ
// in the end.
func TestRandomKillsAndFreezesLoseNoChange(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			names := []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"}
			g.UseWitnesses(names[:4]...)
			daemons := startDaemons(g, names)
			out := applyToLatest(t, g, "base", kileleObjects(t)...)
			g.Eventually(eventuallyTimeout, "convergence", func() bool { return allServe(g, names, out.Revision) })
			m := &monitor{revisions: map[string]config.Revision{}, digests: map[config.Revision]uint64{}}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for _, name := range names {
				group.Go(func() { m.poll(t, g, name, stop) })
			}
			writeDuring(t, g, func() { disturb(g, daemons, names, seed) })
			out = applyToLatest(t, g, "last", contract(t, "clubs", 4242))
			g.Eventually(eventuallyTimeout, "convergence", func() bool { return allServe(g, names, out.Revision) })
			close(stop)
			group.Wait()
			digest := uint64(0)
			for _, name := range names {
				s, err := g.Status(name)
				require.NoError(t, err)
				require.True(t, digest == 0 || digest == s.Digest, name)
				digest = s.Digest
			}
			t.Logf("seed %d: %d samples, revision %d on all daemons", seed, m.samples, out.Revision)
		})
	}
}

// disturb has three rounds. In each it freezes one daemon, kills the leader and half
// of all daemons (but not the frozen one), restarts what it killed, and resumes the
// frozen daemon, with random delays in between.
func disturb(g *processtest.Group, daemons map[string]*processtest.Process, names []string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	for range 3 {
		order := random.Perm(len(names))
		frozen := daemons[names[order[0]]]
		frozen.Freeze()
		for _, i := range order[1 : 1+len(names)/2] {
			daemons[names[i]].Kill()
		}
		leader := g.Leader()
		g.Source(leader).Kill()
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		g.StartSource(leader)
		for _, i := range order[1 : 1+len(names)/2] {
			g.StartDaemon(names[i], fmt.Sprintf("zone-%d", 1+i%3))
		}
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		frozen.Signal(syscall.SIGCONT)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// TestFrozenDaemonCatchesUpIncrementally freezes a daemon by SIGSTOP while 300 changes
// are applied. It must catch up by the difference between both revisions, and not by
// all changes in between.
func TestFrozenDaemonCatchesUpIncrementally(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3"}
	daemons := startDaemons(g, names)
	out := applyToLatest(t, g, "base", kileleObjects(t)...)
	g.Eventually(eventuallyTimeout, "convergence", func() bool { return allServe(g, names, out.Revision) })
	before := g.Counter("d1", "control_bytes_received")
	daemons["d1"].Freeze()
	const changes = 300
	for i := range changes {
		out = applyToLatest(t, g, fmt.Sprintf("c%d", i), contract(t, "clubs", 1000+i))
	}
	daemons["d1"].Signal(syscall.SIGCONT)
	g.Eventually(eventuallyTimeout, "newest revision on the frozen daemon", func() bool { return allServe(g, names, out.Revision) })
	received := g.Counter("d1", "control_bytes_received") - before
	others := g.Counter("d2", "control_bytes_received") + g.Counter("d3", "control_bytes_received")
	t.Logf("received %d bytes for %d changes at once; the two other daemons received %d", received, changes, others)
	// Each change replaces one contract of about 100 bytes. Sent one by one, each
	// takes more than that.
	require.Less(t, received, changes*100)
}
