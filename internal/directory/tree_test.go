package directory_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// A daemon must keep its parent while others are added to its directory one by
// one, as after a power loss, if the data centre has no more daemons than relays.
// With few relays, each new daemon may change the parents of others.
func TestParentsAreStableWithManyRelays(t *testing.T) {
	changes := func(shape directory.Shape) int {
		var live []directory.Record
		last, count := map[string]string{}, 0
		for i := range 30 {
			live = append(live, directory.Record{Host: fmt.Sprintf("host-%d", i), Zone: "a", Peer: fmt.Sprintf("10.0.0.%d:1", i)})
			for _, r := range live {
				first := ""
				if parents := shape.Parents(live, r.Host, "a"); len(parents) > 0 {
					first = parents[0].Peer
				}
				if first != last[r.Host] {
					last[r.Host] = first
					count++
				}
			}
		}
		return count
	}
	require.Zero(t, changes(directory.Shape{Relays: 64}))
	require.Greater(t, changes(directory.Shape{Relays: 2}), 30)
}
