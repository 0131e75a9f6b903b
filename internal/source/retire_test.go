package source_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

// Once a replica has answered that a retirement is recorded, every replica must return
// it, also after a restart of all of them at once.
func TestRetirementSurvivesRestartOfAllReplicas(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.replaceConfig()
	call := func(name, method string, args, reply any) error {
		client := peer.NewClient(g.nodes[name].Address(), nil, &peer.Traffic{})
		defer client.Close()
		return client.Call(method, args, reply, eventuallyTimeout)
	}
	want := []directory.Retirement{{ID: "w", Start: 7}}
	for _, m := range g.seeds {
		// Followers pass the retirement on to the leader.
		require.NoError(t, call(m.Name, "Feed.Retire", feed.RetireArgs{Host: "d-" + m.Name, Retirement: want[0]}, &feed.RetireReply{}))
		for name := range g.nodes {
			var reply feed.LatestReply
			require.NoError(t, call(name, "Feed.Latest", feed.LatestArgs{Host: "d-" + m.Name}, &reply))
			require.Equal(t, want, reply.Retired, name)
		}
	}
	for _, m := range g.seeds {
		g.stop(m.Name)
	}
	for _, m := range g.seeds {
		g.start(m, false)
	}
	g.requireConfigRead()
	for name, n := range g.nodes {
		for _, m := range g.seeds {
			retired, err := n.Retirements("d-" + m.Name)
			require.NoError(t, err, name)
			require.Equal(t, want, retired, name)
		}
	}
	require.Error(t, call("r0", "Feed.Retire", feed.RetireArgs{Host: "No Host", Retirement: want[0]}, &feed.RetireReply{}))
}
