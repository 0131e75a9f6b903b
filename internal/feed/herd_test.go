package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
)

func newRecord(host string) directory.Record {
	return directory.Record{Host: host, Incarnation: 1, Sequence: 1, Zone: "z", Peer: "127.0.0.1:1", Gate: "127.0.0.1:2", Local: "127.0.0.1:3"}
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
