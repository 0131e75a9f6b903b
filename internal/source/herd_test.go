package source_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

// A daemon that asks a replica without a leader is answered as soon as there is one.
// Before, it had to ask again and again.
func TestQuestionWaitsForLeader(t *testing.T) {
	g := newOpenGroup(t, 3)
	g.replaceConfig()
	g.stop("r1")
	g.stop("r2")
	asked := g.nodes["r0"]
	require.Eventually(t, func() bool { return asked.Leader() == "" }, eventuallyTimeout, time.Millisecond)
	client := peer.NewClient(asked.Address(), nil, &peer.Traffic{})
	defer client.Close()
	require.Error(t, client.Call("Feed.Latest", feed.LatestArgs{Host: "d"}, &feed.LatestReply{}, time.Second))
	done := make(chan error, 1)
	var reply feed.LatestReply
	go func() {
		done <- client.Call("Feed.Latest", feed.LatestArgs{Host: "d", Wait: 2 * time.Second}, &reply, eventuallyTimeout)
	}()
	time.Sleep(200 * time.Millisecond)
	g.start(g.seeds[1], false)
	require.NoError(t, <-done)
	require.NotZero(t, reply.Revision)
}
