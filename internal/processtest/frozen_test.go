package processtest_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/processtest"
)

// TestFrozenRelay freezes a daemon that others pull from. A change reaches
// them by their second parents, without waiting until the relay is given up.
func TestFrozenRelay(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	names := []string{"d1", "d2", "d3", "d4", "d5", "d6"}
	daemons := map[string]*processtest.Process{}
	for _, name := range names {
		daemons[name] = g.StartDaemon(name, "zone-1")
	}
	out := applyNow(t, g, "base", kilele(t)...)
	relay := ""
	g.Eventually(30*time.Second, "a tree", func() bool {
		relay = ""
		for _, name := range names {
			s, err := g.Status(name)
			if err != nil || !s.Ready || s.Revision < out.Revision || s.Known != len(names) {
				return false
			}
			if parent := g.DaemonAt(s.Parent); parent != "" {
				relay = parent
			}
		}
		return relay != ""
	})
	daemons[relay].Signal(syscall.SIGSTOP)
	t.Cleanup(func() { daemons[relay].Signal(syscall.SIGCONT) })
	began := time.Now()
	out = applyNow(t, g, "during", contract(t, "clubs", 321))
	second := 0
	g.Eventually(30*time.Second, "convergence beside the frozen relay", func() bool {
		second = 0
		for _, name := range names {
			if name == relay {
				continue
			}
			s, err := g.Status(name)
			if err != nil || s.Revision < out.Revision {
				return false
			}
			second += g.Counter(name, "feed_second_pulls")
		}
		return true
	})
	t.Logf("in force beside the frozen relay %s after %v, %d pulls from second parents", relay, time.Since(began), second)
	require.NotZero(t, second, "its children did not wait for it")
	daemons[relay].Signal(syscall.SIGCONT)
	g.Eventually(30*time.Second, "the relay's catching up", func() bool {
		s, err := g.Status(relay)
		return err == nil && s.Revision >= out.Revision
	})
}
