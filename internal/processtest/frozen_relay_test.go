package processtest_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/processtest"
)

// TestFrozenRelayDoesNotDelayChanges freezes, by SIGSTOP, a daemon that others pull
// from. Its children must get a change from their second parents, without waiting
// until the relay is declared failed.
func TestFrozenRelayDoesNotDelayChanges(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3", "d4", "d5", "d6"}
	daemons := map[string]*processtest.Process{}
	for _, name := range names {
		daemons[name] = g.StartDaemon(name, "zone-1")
	}
	out := applyToLatest(t, g, "base", kileleObjects(t)...)
	// While daemons start, a relay has children that will leave it. In the final tree
	// all daemons but the two relays pull from the same one.
	relay := ""
	g.Eventually(30*time.Second, "final distribution tree", func() bool {
		children := map[string]int{}
		for _, name := range names {
			s, err := g.Status(name)
			if err != nil || !s.Ready || s.Revision < out.Revision || s.Known != len(names) {
				return false
			}
			if parent := g.DaemonAt(s.Parent); parent != "" {
				relay = parent
				children[parent]++
			}
		}
		return children[relay] == len(names)-2
	})
	daemons[relay].Freeze()
	t.Cleanup(func() { daemons[relay].Signal(syscall.SIGCONT) })
	begin := time.Now()
	out = applyToLatest(t, g, "during", contract(t, "clubs", 321))
	secondPulls := 0
	g.Eventually(30*time.Second, "convergence of all daemons but the frozen relay", func() bool {
		secondPulls = 0
		for _, name := range names {
			if name == relay {
				continue
			}
			s, err := g.Status(name)
			if err != nil || s.Revision < out.Revision {
				return false
			}
			secondPulls += g.Counter(name, "feed_second_pulls")
		}
		return true
	})
	t.Logf("in force on all daemons but the frozen relay %s after %v, %d pulls from second parents", relay, time.Since(begin), secondPulls)
	require.NotZero(t, secondPulls, "no daemon pulled from its second parent")
	daemons[relay].Signal(syscall.SIGCONT)
	g.Eventually(30*time.Second, "change at the relay", func() bool {
		s, err := g.Status(relay)
		return err == nil && s.Revision >= out.Revision
	})
}
