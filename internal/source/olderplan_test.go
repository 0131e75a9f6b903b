package source_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// routesTo returns a configuration with a route of each name, to the service of the same
// name.
func routesTo(version uint64, names ...string) config.Config {
	c := config.Config{Version: version}
	for _, n := range names {
		c.Services = append(c.Services, config.Service{Name: n, Deadline: config.DeadlineRollBack})
		c.Routes = append(c.Routes, config.HostRoute{
			Name: n, Host: "h", Prefix: "/" + n + "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second),
			Attempts: 1, Split: []config.Destination{{Service: n, Weight: 1}},
		})
	}
	return c
}

// replaceOnce proposes a configuration to each replica that regards itself as the leader.
func (g *openGroup) replaceOnce(request string, base uint64, c config.Config) (ledger.Outcome, error) {
	for _, n := range g.nodes {
		if n.IsLeader() {
			return n.Replace(source.Replacement{Request: request, Operator: "o", Base: base, Config: c, Origin: []byte(request)})
		}
	}
	return ledger.Outcome{}, source.ErrNoLeader
}

// requireRoutes waits until every replica has the version in force, with exactly its
// routes.
func (g *openGroup) requireRoutes(c config.Config) {
	g.t.Helper()
	for name, n := range g.nodes {
		require.Eventually(g.t, func() bool { return n.Hub().State().Table().Fleet().Version == c.Version }, eventuallyTimeout, 5*time.Millisecond, name)
		var want, got []string
		for _, r := range c.Routes {
			want = append(want, r.Name)
		}
		for _, r := range n.Hub().State().Table().Routes() {
			got = append(got, r.Name())
		}
		require.ElementsMatch(g.t, want, got, "%s at version %d", name, c.Version)
	}
}

// restartAll stops all replicas and starts them again on their data folders.
func (g *openGroup) restartAll() {
	for _, m := range g.seeds {
		if g.nodes[m.Name] != nil {
			g.stop(m.Name)
		}
	}
	for _, m := range g.seeds {
		g.start(m, false)
	}
}

// Guards against a change that is planned against an older state. After a restart of the
// whole group, the new leader has not applied its log until a quorum has synced its first
// entry, which slow disks hold back here. A change that drops a route and its service at
// that moment must drop them.
func TestChangeAfterElectionIsPlannedAgainstNewestState(t *testing.T) {
	g := newOpenGroup(t, 3)
	version := uint64(0)
	replace := func(names ...string) config.Config {
		t.Helper()
		c := routesTo(version+1, names...)
		require.Eventually(t, func() bool {
			out, err := g.replaceOnce(fmt.Sprint("put-", c.Version), version, c)
			if err == nil {
				require.Equal(t, ledger.StatusAccepted, out.Status, out.Reason)
			}
			return err == nil
		}, eventuallyTimeout, time.Millisecond)
		version++
		return c
	}
	replace("a")
	replace("a", "b", "c")
	replace("a", "b")
	g.sync = func(f *os.File) error {
		time.Sleep(60 * time.Millisecond)
		return f.Sync()
	}
	g.restartAll()
	g.requireRoutes(replace("a"))
	g.restartAll()
	g.requireRoutes(replace("c", "a"))
}

// Two operators change the configuration, each building on the newest version that is
// known, while the whole group is stopped and started again at random moments. At most
// one change of each version may be accepted, and what was accepted must be in force as it
// was sent, at every replica.
func TestChangesOfTwoOperatorsDuringRestarts(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			g := newOpenGroup(t, 3)
			slow := time.Duration(random.IntN(12)) * time.Millisecond
			g.sync = func(f *os.File) error {
				time.Sleep(slow)
				return f.Sync()
			}
			version := uint64(0)
			for round := range 12 {
				restart := round > 0 && random.IntN(3) > 0
				sent := map[string]config.Config{}
				var requests []string
				for operator := range 2 {
					kept := []string{}
					for _, n := range names {
						if random.IntN(2) == 0 {
							kept = append(kept, n)
						}
					}
					request := fmt.Sprintf("put-%d-%d", round, operator)
					requests = append(requests, request)
					sent[request] = routesTo(version+1+uint64(operator), kept...)
				}
				if restart {
					g.restartAll()
				}
				var mutex sync.Mutex
				var group sync.WaitGroup
				accepted := []string{}
				for _, request := range requests {
					pause := time.Duration(random.IntN(4)) * time.Millisecond
					group.Go(func() {
						deadline := time.Now().Add(eventuallyTimeout)
						for time.Now().Before(deadline) {
							time.Sleep(pause)
							out, err := g.replaceOnce(request, version, sent[request])
							if err != nil {
								if !errors.Is(err, source.ErrNoLeader) && !errors.Is(err, source.ErrUnknown) {
									t.Errorf("%s: %v", request, err)
									return
								}
								continue
							}
							if out.Status == ledger.StatusAccepted {
								mutex.Lock()
								accepted = append(accepted, request)
								mutex.Unlock()
							} else if out.Status != ledger.StatusConflict {
								t.Errorf("%s: %s %s", request, out.Status, out.Reason)
							}
							return
						}
						t.Errorf("%s has no outcome", request)
					})
				}
				group.Wait()
				require.Len(t, accepted, 1, "round %d", round)
				version = sent[accepted[0]].Version
				g.requireRoutes(sent[accepted[0]])
			}
		})
	}
}
