package fleet_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivewalk/endivewalk/internal/fleet"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/internal/source"
)

// TestFleetStartsWhenOneReplicaIsLate delays the third replica's first connection, by which
// it asks whether the group exists, until the other two have elected a leader. The fleet
// must start with three voters all the same.
func TestFleetStartsWhenOneReplicaIsLate(t *testing.T) {
	t.Parallel()
	var isDelayed atomic.Bool
	f := startFleet(t, fleet.Config{
		Timing: source.Timing{Heartbeat: 10 * time.Millisecond, Election: 100 * time.Millisecond},
		Dial: func(from string) peer.Dial {
			return func(address string, timeout time.Duration) (net.Conn, error) {
				if from == "source-3" && isDelayed.CompareAndSwap(false, true) {
					time.Sleep(400 * time.Millisecond)
				}
				return net.DialTimeout("tcp", address, timeout)
			}
		},
	})
	// With two of three voters the group does not survive the loss of its leader.
	f.StopReplica(waitForLeader(t, f))
	waitForLeader(t, f)
}
