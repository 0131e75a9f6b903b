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

// TestRestartWithoutTheSource kills the whole source, and then a daemon. The
// daemon serves again by the word of its keepers.
func TestRestartWithoutTheSource(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3", "d4"}
	g.UseWitnesses(names...)
	daemons := startAll(g, names)
	applyNow(t, g, "base", kilele(t)...)
	out := applyNow(t, g, "newest", contract(t, "clubs", 777))
	g.StartStandin("d1", "w1", "availability", "v1")
	g.Eventually(patience, "convergence", func() bool { return allHave(g, names, out.Revision) })
	for i := range 3 {
		g.Source(i).Kill()
	}
	daemons["d1"].Kill()
	g.StartDaemon("d1", "zone-1")
	g.Eventually(patience, "readiness without the source", func() bool { return allHave(g, []string{"d1"}, out.Revision) })
	g.Eventually(patience, "a served call", func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+g.Caller("d1")+"/internal/benches", nil)
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

const patience = 30 * time.Second

func startAll(g *processtest.Group, names []string) map[string]*processtest.Process {
	daemons := map[string]*processtest.Process{}
	for i, name := range names {
		daemons[name] = g.StartDaemon(name, fmt.Sprintf("zone-%d", 1+i%3))
	}
	return daemons
}

// allHave reports whether daemons serve a revision or a newer one.
func allHave(g *processtest.Group, names []string, r config.Revision) bool {
	for _, name := range names {
		if s, err := g.Status(name); err != nil || !s.Ready || s.Revision < r {
			return false
		}
	}
	return true
}

// highest follows daemons, over all their lives, and fails the test if one
// serves something older than before, or other than another daemon does.
type highest struct {
	mutex     sync.Mutex
	revisions map[string]config.Revision
	digests   map[config.Revision]uint64
	looks     int
}

func (h *highest) follow(t *testing.T, g *processtest.Group, name string, stop <-chan struct{}) {
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
		h.mutex.Lock()
		if s.Revision < h.revisions[name] {
			t.Errorf("%s serves revision %d after %d", name, s.Revision, h.revisions[name])
		}
		h.revisions[name] = s.Revision
		if other, ok := h.digests[s.Revision]; ok && other != s.Digest {
			t.Errorf("%s expands revision %d differently", name, s.Revision)
		}
		h.digests[s.Revision] = s.Digest
		h.looks++
		h.mutex.Unlock()
	}
}

// TestHerdOfProcesses kills and freezes daemons and the leader at random while
// operators write. Nothing that was accepted is lost, no daemon ever serves
// anything older than before, and in the end all serve the same.
func TestHerdOfProcesses(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			g := processtest.New(t, program)
			names := []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"}
			g.UseWitnesses(names[:4]...)
			daemons := startAll(g, names)
			out := applyNow(t, g, "base", kilele(t)...)
			g.Eventually(patience, "convergence", func() bool { return allHave(g, names, out.Revision) })
			h := &highest{revisions: map[string]config.Revision{}, digests: map[config.Revision]uint64{}}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for _, name := range names {
				group.Go(func() { h.follow(t, g, name, stop) })
			}
			during(t, g, func() { disturb(g, daemons, names, seed) })
			out = applyNow(t, g, "last", contract(t, "clubs", 4242))
			g.Eventually(patience, "convergence", func() bool { return allHave(g, names, out.Revision) })
			close(stop)
			group.Wait()
			digest := uint64(0)
			for _, name := range names {
				s, err := g.Status(name)
				require.NoError(t, err)
				require.True(t, digest == 0 || digest == s.Digest, name)
				digest = s.Digest
			}
			t.Logf("seed %d: %d looks, revision %d everywhere", seed, h.looks, out.Revision)
		})
	}
}

// disturb kills half of the daemons, freezes one of the others, and kills the
// leader, three times over.
func disturb(g *processtest.Group, daemons map[string]*processtest.Process, names []string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	for range 3 {
		order := random.Perm(len(names))
		frozen := daemons[names[order[0]]]
		frozen.Signal(syscall.SIGSTOP)
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

// TestCatchUpAfterHundreds freezes a daemon while hundreds of changes go by. It
// catches up, by what differs and not by all that happened.
func TestCatchUpAfterHundreds(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3"}
	daemons := startAll(g, names)
	out := applyNow(t, g, "base", kilele(t)...)
	g.Eventually(patience, "convergence", func() bool { return allHave(g, names, out.Revision) })
	before := g.Counter("d1", "control_bytes_received")
	daemons["d1"].Signal(syscall.SIGSTOP)
	const changes = 300
	for i := range changes {
		out = applyNow(t, g, fmt.Sprintf("c%d", i), contract(t, "clubs", 1000+i))
	}
	daemons["d1"].Signal(syscall.SIGCONT)
	g.Eventually(patience, "catching up", func() bool { return allHave(g, names, out.Revision) })
	got := g.Counter("d1", "control_bytes_received") - before
	other := g.Counter("d2", "control_bytes_received") + g.Counter("d3", "control_bytes_received")
	t.Logf("%d bytes for %d changes at once; the two others took %d", got, changes, other)
	// Each change replaces one contract of about 100 bytes; one by one they take
	// more than that each.
	require.Less(t, got, changes*100)
}
