package source_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// eventuallyTimeout limits how long a test waits for a state of the group.
const eventuallyTimeout = 20 * time.Second

// openGroup is an open group of replicas in this process: they find each other by
// seeds, and lost ones can be replaced.
type openGroup struct {
	t       *testing.T
	seeds   []source.Member
	nodes   map[string]*source.Node // Running replicas by name.
	folders map[string]string       // Data folders by name.
	version uint64                  // Version of the last accepted configuration.
	sync    func(*os.File) error    // Of replicas that start; nil means (*os.File).Sync.
	// write writes to the disk of the named replica; nil means (*os.File).Write.
	write           func(name string, f *os.File, p []byte) (int, error)
	snapshotEntries int // 0 means the default.
}

func newOpenGroup(t *testing.T, founderCount int) *openGroup {
	g := &openGroup{t: t, nodes: map[string]*source.Node{}, folders: map[string]string{}}
	g.found(founderCount)
	return g
}

// found starts the founders of the group. They are stopped at the end of the test.
func (g *openGroup) found(founderCount int) {
	for range founderCount {
		g.seeds = append(g.seeds, g.newMember())
	}
	for _, m := range g.seeds {
		g.start(m, true)
	}
	g.t.Cleanup(func() {
		for _, n := range g.nodes {
			n.Stop()
		}
	})
}

// newMember returns a member with an unused name, a free address and a data
// folder of its own.
func (g *openGroup) newMember() source.Member {
	// Not an ephemeral port: while the replica is stopped, the system could give it to an
	// outgoing connection.
	addresses, err := fleet.FreeAddresses(fleet.FreeIP(), 1)
	require.NoError(g.t, err)
	name := fmt.Sprintf("r%d", len(g.folders))
	g.folders[name] = g.t.TempDir()
	return source.Member{Name: name, Address: addresses[0]}
}

func (g *openGroup) start(m source.Member, init bool) {
	store := disk.Config{Folder: g.folders[m.Name], Sync: g.sync}
	if g.write != nil {
		store.Write = func(f *os.File, p []byte) (int, error) { return g.write(m.Name, f, p) }
	}
	n, err := source.Start(source.Config{
		Name: m.Name, Zone: "z", Listen: m.Address, Founders: g.seeds, Voters: 3, Init: init,
		Disk:   store,
		Timing: source.Timing{Heartbeat: 20 * time.Millisecond, Election: 200 * time.Millisecond, SnapshotEntries: g.snapshotEntries},
		Fatal:  func(err error) { g.t.Errorf("%s ended: %v", m.Name, err) },
	})
	require.NoError(g.t, err)
	g.nodes[m.Name] = n
}

func (g *openGroup) stop(name string) {
	g.nodes[name].Stop()
	delete(g.nodes, name)
}

// replaceConfig proposes the next version of the configuration to the leader
// until it is accepted.
func (g *openGroup) replaceConfig() {
	g.t.Helper()
	version := g.version + 1
	document := config.Config{Version: version, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}}}
	require.Eventually(g.t, func() bool {
		for _, n := range g.nodes {
			if !n.IsLeader() {
				continue
			}
			out, err := n.Replace(source.Replacement{
				Request: fmt.Sprint("put-", version), Operator: "o", Base: g.version, Config: document, Origin: []byte(fmt.Sprint("origin ", version)),
			})
			if err == nil && out.Status == ledger.StatusAccepted {
				return true
			}
		}
		return false
	}, eventuallyTimeout, 20*time.Millisecond)
	g.version = version
}

// requireConfigRead waits until every replica returns the newest configuration.
// Until then a replica may return an error, but no other configuration.
func (g *openGroup) requireConfigRead() {
	g.t.Helper()
	for name, n := range g.nodes {
		require.Eventually(g.t, func() bool {
			document, err := n.ReadConfig()
			if err != nil {
				return false
			}
			require.Equal(g.t, g.version, document.Version, name)
			require.Equal(g.t, fmt.Sprint("origin ", g.version), string(document.Origin), name)
			return true
		}, eventuallyTimeout, 20*time.Millisecond, name)
	}
}

// voters returns the names of the voters in the leader's member list, or nil if
// there is no leader.
func (g *openGroup) voters() []string {
	for _, n := range g.nodes {
		if !n.IsLeader() {
			continue
		}
		var names []string
		for _, r := range n.Status(time.Now()).Replicas {
			if r.Voter {
				names = append(names, r.Name)
			}
		}
		return names
	}
	return nil
}

// TestNewReplicaReplacesLostVoter stops two of three voters for good, one after
// the other, and starts a replica at a new address after each. The new replica
// must become a voter in place of the lost one. In the end one more voter stops,
// and the group must still accept and return changes: if lost voters stayed in
// the member list, there would be no majority.
func TestNewReplicaReplacesLostVoter(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.replaceConfig()
	g.requireConfigRead()
	for _, lost := range []string{"r0", "r1"} {
		g.stop(lost)
		g.replaceConfig()
		replacement := g.newMember()
		g.start(replacement, false)
		require.Eventually(t, func() bool {
			v := g.voters()
			return len(v) == 3 && contains(v, replacement.Name) && !contains(v, lost)
		}, eventuallyTimeout, 20*time.Millisecond, "%s for %s", replacement.Name, lost)
		g.replaceConfig()
		g.requireConfigRead()
	}
	// Of the seeds only r2 is left, so stop one of the replacements.
	for name := range g.nodes {
		if name != "r2" {
			g.stop(name)
			break
		}
	}
	g.replaceConfig()
	g.requireConfigRead()
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// TestAdditionalReplicaStaysLearner adds a fourth replica to a group of three
// running voters. It must receive changes but must not become a voter.
func TestAdditionalReplicaStaysLearner(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.replaceConfig()
	added := g.newMember()
	g.start(added, false)
	g.replaceConfig()
	g.requireConfigRead()
	require.Len(t, g.voters(), 3)
	require.False(t, contains(g.voters(), added.Name))
}

// TestReplicaWithEmptyDiskRejoins restarts a replica under its old name
// and address, but with an empty data folder. It must return the newest
// configuration, and the group must have three voters and accept changes.
func TestReplicaWithEmptyDiskRejoins(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.replaceConfig()
	g.stop("r1")
	g.folders["r1"] = t.TempDir()
	g.replaceConfig()
	g.start(g.seeds[1], false)
	require.Eventually(t, func() bool { return len(g.voters()) == 3 }, eventuallyTimeout, 20*time.Millisecond)
	g.replaceConfig()
	g.requireConfigRead()
}

// TestConfigurationSurvivesRestartOfAllReplicas stops all replicas and starts them
// again on the same data folders. They must return the accepted configuration
// and accept the next one.
func TestConfigurationSurvivesRestartOfAllReplicas(t *testing.T) {
	g := newOpenGroup(t, 3)
	for range 5 {
		g.replaceConfig()
	}
	for _, m := range g.seeds {
		g.stop(m.Name)
	}
	for _, m := range g.seeds {
		g.start(m, false)
	}
	g.requireConfigRead()
	g.replaceConfig()
	g.requireConfigRead()
}
