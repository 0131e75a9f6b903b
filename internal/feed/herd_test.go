package feed_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

func newRecord(host string) directory.Record {
	return directory.Record{Host: host, Incarnation: 1, Sequence: 1, Zone: "z", Peer: "127.0.0.1:1", Gate: "127.0.0.1:2", Local: "127.0.0.1:3"}
}

// A daemon sent an empty report for each change that its parent had sent to it.
func TestChangesOfParentAreNotReportedBack(t *testing.T) {
	p := &reportedParent{instance: 7, partial: true}
	hub, _ := runReporter(t, p)
	require.Eventually(t, func() bool { return p.received.Load() > 0 }, waitTimeout, time.Millisecond)
	start, before := time.Now(), p.received.Load()
	for i := range 15 {
		require.Len(t, hub.MergeRecords(time.Now(), p.address, newRecord(fmt.Sprint("other", i))), 1)
		time.Sleep(60 * time.Millisecond)
	}
	withoutChanges := int64(time.Since(start)/time.Second) + 1
	require.LessOrEqual(t, p.received.Load()-before, withoutChanges)

	hub.MergeRecords(time.Now(), "child", newRecord("below"))
	require.Eventually(t, func() bool { return p.records.Load() == 1 }, waitTimeout, time.Millisecond)
}

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Each acknowledgement of a child woke the pulls and notices of all children, and each
// change of the directory their notices.
func TestAcknowledgementsWakeNoPull(t *testing.T) {
	hub := feed.NewHub(feed.HubConfig{Host: "source", Instance: 1, Source: true, Counters: &count.Set{}})
	s := feed.NewService(hub, time.Now, nil)
	changed, published, acknowledged := hub.Changed(), hub.Published(), hub.Acknowledged()
	require.NoError(t, s.Report(feed.ReportArgs{Host: "d", Ack: feed.Ack{Daemons: 1}}, &feed.ReportReply{}))
	require.True(t, closed(acknowledged))
	require.False(t, closed(changed))
	hub.MergeRecords(time.Now(), "d", newRecord("d"))
	require.True(t, closed(changed))
	require.False(t, closed(published))
}

// leaderlessSource is a source replica that knows no leader.
type leaderlessSource struct{ asked *atomic.Int64 }

func (s *leaderlessSource) Latest(args feed.LatestArgs, _ *feed.LatestReply) error {
	s.asked.Add(1)
	time.Sleep(args.Wait)
	return errors.New("no leader")
}

// After a power loss of everything, each daemon asked all replicas several times a second
// while they elected a leader.
func TestLeaderlessReplicasAreRarelyAsked(t *testing.T) {
	var asked atomic.Int64
	var sources []string
	for range 3 {
		sources = append(sources, serve(t, &leaderlessSource{asked: &asked}))
	}
	hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
	c := feed.NewClient(feed.ClientConfig{
		Host: "d", Zone: "z", Sources: sources, Clock: time.Now, Random: rand.Float64, Traffic: &peer.Traffic{},
	}, hub)
	var group sync.WaitGroup
	group.Go(c.RunMinRevision)
	time.Sleep(2500 * time.Millisecond)
	c.Stop()
	require.LessOrEqual(t, asked.Load(), int64(4))
	require.False(t, hub.Ready())
	group.Wait()
}
