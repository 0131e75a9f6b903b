package quorum_test

import (
	"fmt"
	"testing"
)

// Runs groups of 1, 3 and 5 replicas under random schedules with faults, one
// per seed. Each term must have at most one leader. A committed index must
// never hold another command later. A confirmed read must cover everything
// committed before it started. After all faults end, all replicas must have
// applied the same commands.
func TestRandomSchedulesKeepReplicasConsistent(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("size=%d/seed=%d", size, seed), func(t *testing.T) {
				t.Parallel()
				g := newGroup(t, seed, size)
				for i := range 3000 {
					g.step()
					if i%40 == 0 {
						g.injectFault()
					}
				}
				g.healAndCheck()
			})
		}
	}
}

// A replica that lost its disk no longer knows its votes and acknowledged
// entries. Under a random schedule the disks of two replicas are lost, the
// second right after the first replica was replaced. No committed entry may be
// lost.
func TestLostDisksLoseNoCommittedEntry(t *testing.T) {
	seeds := []uint64{103, 151, 343, 351} // A learner that had just been promoted did not vote.
	for seed := range uint64(20) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, seed, 3)
			g.killsOneAtATime = true
			for i := range 6000 {
				g.step()
				g.replaceLostMembers()
				if i%60 == 0 && g.random.Float64() < 0.5 {
					g.killOrRestartOne()
				}
				if i > 300 && g.diskLosses < 2 && g.lostMembersReplaced() && g.allUp() {
					g.loseDisk(g.ids[g.random.IntN(len(g.ids))])
				}
			}
			if g.diskLosses < 2 || !g.lostMembersReplaced() {
				t.Fatalf("%d disks were lost, all lost members replaced: %v, expected at least 2 and true", g.diskLosses, g.lostMembersReplaced())
			}
			g.healAndCheck()
		})
	}
}

// allUp reports whether all replicas run and are connected.
func (g *group) allUp() bool {
	for _, id := range g.ids {
		if g.replicas[id].down || g.isolated[id] {
			return false
		}
	}
	return true
}

// killOrRestartOne restarts the first stopped replica. If there is none, it
// stops a random one, so that at most one is down at a time.
func (g *group) killOrRestartOne() {
	for _, id := range g.ids {
		if g.replicas[id].down {
			g.restart(id)
			return
		}
	}
	if g.lostMembersReplaced() {
		g.replicas[g.ids[g.random.IntN(len(g.ids))]].down = true
	}
}
