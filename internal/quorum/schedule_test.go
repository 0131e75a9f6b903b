package quorum_test

import (
	"fmt"
	"testing"
)

// TestRandomSchedules explores schedules by seed. It checks that a term has one
// leader, that what is committed is never another command later, that
// confirmed reads see all that was committed before, and that replicas end
// alike.
func TestRandomSchedules(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(t *testing.T) {
				t.Parallel()
				g := newGroup(t, seed, size)
				for i := range 3000 {
					g.step()
					if i%40 == 0 {
						g.disturb()
					}
				}
				g.settle()
			})
		}
	}
}

// TestLostDisks loses the disks of two replicas, the second right after the
// first one was repaired, under a random schedule. Nothing committed may be
// lost, though the replicas that lost their disks have forgotten what they
// promised.
func TestLostDisks(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, seed, 3)
			g.careful = true
			for i := range 6000 {
				g.step()
				g.repair()
				if i%60 == 0 && g.random.Float64() < 0.5 {
					g.disturbOne()
				}
				if i > 300 && g.losses < 2 && g.repaired() && g.allUp() {
					g.loseDisk(g.ids[g.random.IntN(len(g.ids))])
				}
			}
			if g.losses < 2 || !g.repaired() {
				t.Fatalf("%d disks were lost, repaired: %v", g.losses, g.repaired())
			}
			g.settle()
		})
	}
}

func (g *group) allUp() bool {
	for _, id := range g.ids {
		if g.replicas[id].down || g.cut[id] {
			return false
		}
	}
	return true
}

// disturbOne kills a replica if all are up, and otherwise brings one back, so
// that no more than one host is gone at a time.
func (g *group) disturbOne() {
	for _, id := range g.ids {
		if g.replicas[id].down {
			g.startAgain(id)
			return
		}
	}
	if g.repaired() {
		g.replicas[g.ids[g.random.IntN(len(g.ids))]].down = true
	}
}
