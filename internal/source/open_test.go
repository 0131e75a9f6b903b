package source_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/disk"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const patience = 20 * time.Second

// openGroup is a group of replicas that find each other by seeds.
type openGroup struct {
	t       *testing.T
	seeds   []source.Member
	nodes   map[string]*source.Node
	folders map[string]string
	version uint64
}

func newOpenGroup(t *testing.T, founders int) *openGroup {
	g := &openGroup{t: t, nodes: map[string]*source.Node{}, folders: map[string]string{}}
	for range founders {
		g.seeds = append(g.seeds, g.place())
	}
	for _, m := range g.seeds {
		g.start(m, true)
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.Stop()
		}
	})
	return g
}

// place returns a name and a free address.
func (g *openGroup) place() source.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	defer l.Close()
	name := fmt.Sprintf("r%d", len(g.folders))
	g.folders[name] = g.t.TempDir()
	return source.Member{Name: name, Address: l.Addr().String()}
}

func (g *openGroup) start(m source.Member, first bool) {
	n, err := source.Start(source.Config{
		Name: m.Name, Zone: "z", Listen: m.Address, Members: g.seeds, Voters: 3, Init: first,
		Disk:   disk.Config{Folder: g.folders[m.Name]},
		Timing: source.Timing{Heartbeat: 20 * time.Millisecond, Election: 200 * time.Millisecond},
		Fatal:  func(err error) { g.t.Errorf("%s ended: %v", m.Name, err) },
	})
	require.NoError(g.t, err)
	g.nodes[m.Name] = n
}

func (g *openGroup) stop(name string) {
	g.nodes[name].Stop()
	delete(g.nodes, name)
}

// put has the next configuration accepted by whoever leads.
func (g *openGroup) put() {
	g.t.Helper()
	next := g.version + 1
	whole := config.Config{Version: next, Services: []config.Service{{Name: "s", Deadline: config.DeadlineRollBack}}}
	require.Eventually(g.t, func() bool {
		for _, n := range g.nodes {
			if !n.IsLeader() {
				continue
			}
			out, err := n.Replace(source.Replacement{
				Request: fmt.Sprint("put-", next), Operator: "o", Base: g.version, Config: whole, Origin: []byte(fmt.Sprint("origin ", next)),
			})
			if err == nil && out.Status == ledger.StatusAccepted {
				return true
			}
		}
		return false
	}, patience, 20*time.Millisecond)
	g.version = next
}

// reads checks that every replica returns the newest configuration, or none
// while it can't be sure.
func (g *openGroup) reads() {
	g.t.Helper()
	for name, n := range g.nodes {
		require.Eventually(g.t, func() bool {
			w, err := n.ReadConfig()
			if err != nil {
				return false
			}
			require.Equal(g.t, g.version, w.Version, name)
			require.Equal(g.t, fmt.Sprint("origin ", g.version), string(w.Origin), name)
			return true
		}, patience, 20*time.Millisecond, name)
	}
}

// voters returns the names of the voters that the leader knows.
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

// A group founded by its seeds takes in a replica at a new address in place of
// one that is lost for good, and then bears the loss of another one.
func TestLostReplicasAreReplaced(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.put()
	g.reads()
	for _, lost := range []string{"r0", "r1"} {
		g.stop(lost)
		g.put()
		fresh := g.place()
		g.start(fresh, false)
		require.Eventually(t, func() bool {
			v := g.voters()
			return len(v) == 3 && contains(v, fresh.Name) && !contains(v, lost)
		}, patience, 20*time.Millisecond, "%s for %s", fresh.Name, lost)
		g.put()
		g.reads()
	}
	// The founder that is left is the only seed that still exists.
	for name := range g.nodes {
		if name != "r2" {
			g.stop(name)
			break
		}
	}
	g.put()
	g.reads()
}

func contains(all []string, one string) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
}

// A further replica learns and does not vote while the voters are well.
func TestFurtherReplicasLearn(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.put()
	further := g.place()
	g.start(further, false)
	g.put()
	g.reads()
	require.Len(t, g.voters(), 3)
	require.False(t, contains(g.voters(), further.Name))
}

// A replica that comes back with an empty disk under its old name and address
// is made a voter again, and what was accepted is kept.
func TestWipedReplicaReturns(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.put()
	g.stop("r1")
	g.folders["r1"] = t.TempDir()
	g.put()
	g.start(g.seeds[1], false)
	require.Eventually(t, func() bool { return len(g.voters()) == 3 }, patience, 20*time.Millisecond)
	g.put()
	g.reads()
}

// All replicas stopped at once come back with what was accepted.
func TestAllStoppedAtOnce(t *testing.T) {
	g := newOpenGroup(t, 3)
	for range 5 {
		g.put()
	}
	for _, m := range g.seeds {
		g.stop(m.Name)
	}
	for _, m := range g.seeds {
		g.start(m, false)
	}
	g.reads()
	g.put()
	g.reads()
}
