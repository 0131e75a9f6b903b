package source_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/source"
)

// fullDisks refuses writes to the disk of one replica at a time.
type fullDisks struct {
	mutex   sync.Mutex
	name    string // The replica whose disk is full; "" means none.
	only    string // Only files whose names contain this are refused.
	partial bool   // Half of the bytes are written before the rest is refused.
	refused int
}

// fill makes the disk of a replica full and returns how many writes were refused before.
func (d *fullDisks) fill(name, only string, partial bool) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.name, d.only, d.partial = name, only, partial
	return d.refused
}

func (d *fullDisks) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.refused
}

func (d *fullDisks) write(name string, f *os.File, p []byte) (int, error) {
	d.mutex.Lock()
	full := d.name == name && strings.Contains(f.Name(), d.only)
	partial := d.partial
	if full {
		d.refused++
	}
	d.mutex.Unlock()
	if !full {
		return f.Write(p)
	}
	n := 0
	if partial {
		n, _ = f.Write(p[:len(p)/2])
	}
	return n, syscall.ENOSPC
}

// leaderName returns the name of a replica that leads, or "".
func (g *openGroup) leaderName() string {
	for name, n := range g.nodes {
		if n.IsLeader() {
			return name
		}
	}
	return ""
}

// The disks of the replicas are full for a few seconds each, one after the other, the
// leader's first, while configurations are accepted and snapshots written. Changes go on
// meanwhile, and once the last disk has room they are accepted at once and read
// everywhere. No replica ends.
func TestDisksFullInTurnDelayNoLaterChange(t *testing.T) {
	for _, test := range []struct {
		name    string
		only    string // Files that cannot be written.
		partial bool
		extra   int // Replicas beside the three founders.
		fullFor time.Duration
	}{
		{"all files", "", false, 0, time.Second},
		{"all files, partial writes", "", true, 0, time.Second},
		{"snapshots", "snapshot.new", false, 0, time.Second},
		{"logs that are replaced", "log.new", true, 0, time.Second},
		// Longer than a learner waits to replace a voter.
		{"all files, with learners", "", false, 2, 2600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			disks := &fullDisks{}
			g := &openGroup{t: t, nodes: map[string]*source.Node{}, folders: map[string]string{}, write: disks.write, snapshotEntries: 4}
			g.found(3)
			for range test.extra {
				g.start(g.newMember(), false)
			}
			g.replaceConfig()
			require.Eventually(t, func() bool { return g.leaderName() != "" }, eventuallyTimeout, 10*time.Millisecond)
			order := []string{g.leaderName()}
			for name := range g.nodes {
				if name != order[0] {
					order = append(order, name)
				}
			}
			for _, name := range order {
				refused := disks.fill(name, test.only, test.partial)
				for start := time.Now(); time.Since(start) < test.fullFor; {
					g.replaceConfig()
				}
				require.Greater(t, disks.count(), refused, "the disk of %s was written to while it was full", name)
				disks.fill("", "", false)
			}
			// A change must be acknowledged within four seconds of calm.
			start := time.Now()
			g.replaceConfig()
			require.Less(t, time.Since(start), 4*time.Second)
			g.requireConfigRead()
			require.Eventually(t, func() bool { return len(g.voters()) == 3 }, eventuallyTimeout, 20*time.Millisecond, fmt.Sprint(g.voters()))
		})
	}
}

// A replica that has missed more than the log holds gets a snapshot while its disk is full.
// It takes it in once there is room.
func TestSnapshotIsInstalledOnceDiskHasRoom(t *testing.T) {
	for _, only := range []string{"snapshot.new", "log.new"} {
		t.Run(only, func(t *testing.T) {
			t.Parallel()
			disks := &fullDisks{}
			g := &openGroup{t: t, nodes: map[string]*source.Node{}, folders: map[string]string{}, write: disks.write, snapshotEntries: 4}
			g.found(3)
			g.replaceConfig()
			var behind source.Member
			for _, m := range g.seeds {
				if m.Name != g.leaderName() {
					behind = m
				}
			}
			g.stop(behind.Name)
			for range 10 {
				g.replaceConfig()
			}
			refused := disks.fill(behind.Name, only, true)
			g.start(behind, false)
			require.Eventually(t, func() bool { return disks.count() > refused }, eventuallyTimeout, 10*time.Millisecond)
			disks.fill("", "", false)
			g.requireConfigRead()
			g.replaceConfig()
			g.requireConfigRead()
		})
	}
}
