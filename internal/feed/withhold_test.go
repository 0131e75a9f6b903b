package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// The messages of builds without features.
type (
	olderPullArgs struct {
		Host   string
		Have   config.Revision
		Digest catalog.Digest
		Wait   time.Duration
	}
	olderPullReply struct {
		Delta     *catalog.Delta
		Packed    []byte
		Records   []directory.Record
		Instance  uint64
		Index     uint64
		Digest    directory.Digest
		Age       time.Duration
		Busy      time.Duration
		Sources   []directory.Source
		Elsewhere bool
	}
	olderNoticeArgs struct {
		Host string
		Have config.Revision
		Wait time.Duration
	}
	olderAck struct {
		Daemons int
		Low     config.Revision
		Behind  []string
	}
	olderReportArgs struct {
		Host    string
		Ack     olderAck
		Records []olderRecord
	}
	olderRecord struct {
		Host                  string
		Incarnation, Sequence uint64
		Zone, Peer, Gate      string
	}
)

// publishKeyedConfig puts a keyed configuration in force on h and returns its revision.
func publishKeyedConfig(t *testing.T, h *Hub) config.Revision {
	t.Helper()
	objects, err := config.Config{Version: 1, Keyed: true, Teams: []config.Team{{Name: "t", Rate: 1}}}.Objects()
	require.NoError(t, err)
	c := &catalog.Catalog{}
	c.Change(objects, nil)
	var b expand.Builder
	table, err := b.Build(c.Revision(), c.Objects())
	require.NoError(t, err)
	require.True(t, h.Publish(c, table))
	return c.Revision()
}

// A daemon of an older build put keyed configurations in force and ignored the keys. It
// must get none, and neither it nor its children may take theirs for the newest. A daemon
// that declares the features gets it at once.
func TestKeyedConfigurationIsWithheldFromOlderDaemons(t *testing.T) {
	var changes [][]config.Feature
	counters := &count.Set{}
	h := NewHub(HubConfig{Host: "parent", Instance: 1, Source: true, Counters: counters, OnWithheld: func(child string, missing []config.Feature) {
		require.Equal(t, "d", child)
		changes = append(changes, missing)
	}})
	h.SetLastContact(time.Now())
	server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	defer server.Close()
	require.NoError(t, server.Register("Feed", NewService(h, time.Now, nil)))
	go server.Serve()
	client := peer.NewClient(server.Address(), nil, &peer.Traffic{})
	defer client.Close()
	revision := publishKeyedConfig(t, h)

	for range 2 {
		var reply olderPullReply
		require.NoError(t, client.Call("Feed.Pull", olderPullArgs{Host: "d", Wait: time.Second}, &reply, pullTimeout))
		require.Nil(t, reply.Delta)
		require.Nil(t, reply.Packed)
		require.Positive(t, reply.Busy)
		require.Greater(t, reply.Age, staleAge)
	}
	var notice NoticeReply
	require.NoError(t, client.Call("Feed.Notice", olderNoticeArgs{Host: "d", Wait: time.Millisecond}, &notice, pullTimeout))
	require.Zero(t, notice.Revision)
	var reply PullReply
	require.NoError(t, client.Call("Feed.Pull", PullArgs{Host: "d", Features: []config.Feature{config.FeatureKeys}}, &reply, pullTimeout))
	require.Nil(t, reply.Delta)
	require.Equal(t, []config.Feature{config.FeatureLimits}, reply.Withheld)
	require.EqualValues(t, 3, counters.Get("feed_withheld"))

	reply = PullReply{}
	require.NoError(t, client.Call("Feed.Pull", PullArgs{Host: "d", Features: config.Features()}, &reply, pullTimeout))
	delta, err := reply.delta()
	require.NoError(t, err)
	require.Equal(t, revision, delta.To)
	require.Zero(t, reply.Busy)
	require.Less(t, reply.Age, staleAge)
	require.NoError(t, client.Call("Feed.Notice", NoticeArgs{Host: "d", Features: config.Features()}, &notice, pullTimeout))
	require.Equal(t, revision, notice.Revision)
	require.Equal(t, [][]config.Feature{config.Features(), nil}, changes, "one call for each change of state")
}

// A daemon whose parent, of an older build, hands it a configuration that it does not carry
// out must not put it in force.
func TestDaemonRefusesConfigurationThatItDoesNotCarryOut(t *testing.T) {
	parent := NewHub(HubConfig{Host: "parent", Instance: 1, Counters: &count.Set{}})
	publishKeyedConfig(t, parent)
	var refused error
	child := NewClient(ClientConfig{Host: "d", Zone: "z", Clock: time.Now, Traffic: &peer.Traffic{},
		OnRejected: func(_ config.Revision, err error) { refused = err }}, NewHub(HubConfig{Host: "d", Instance: 2, Counters: &count.Set{}}))
	defer child.Stop()
	require.False(t, child.apply(parent.State().Catalog().Delta(0, catalog.Digest{})))
	require.ErrorIs(t, refused, ErrWithheld)
	require.Zero(t, child.hub.State().Revision())
	child.config.Features = config.Features()
	require.True(t, child.apply(parent.State().Catalog().Delta(0, catalog.Digest{})))
	require.NotZero(t, child.hub.State().Revision())
}

// The features of a fleet are those that all of its daemons declare: a report of an older
// build, or through one, counts as declaring none, and is replaced by the next one.
func TestAcknowledgementsHoldCommonFeatures(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	defer server.Close()
	require.NoError(t, server.Register("Feed", NewService(h, time.Now, nil)))
	go server.Serve()
	client := peer.NewClient(server.Address(), nil, &peer.Traffic{})
	defer client.Close()
	report := func(args any) {
		require.NoError(t, client.Call("Feed.Report", args, &ReportReply{}, reportTimeout))
	}
	require.Empty(t, h.FleetAck().Features)
	report(ReportArgs{Host: "a", Ack: Ack{Daemons: 2, Features: config.Features()}})
	require.Equal(t, config.Features(), h.FleetAck().Features)
	report(olderReportArgs{Host: "b", Ack: olderAck{Daemons: 3}, Records: []olderRecord{{Host: "b", Incarnation: 1, Sequence: 1, Zone: "z", Peer: "p", Gate: "g"}}})
	require.Empty(t, h.FleetAck().Features)
	require.Len(t, h.View().Live(), 1)
	require.Empty(t, h.View().Live()[0].Features)
	report(ReportArgs{Host: "b", Ack: Ack{Daemons: 3, Features: []config.Feature{config.FeatureLimits}}})
	require.Equal(t, 5, h.FleetAck().Daemons)
	require.Equal(t, []config.Feature{config.FeatureLimits}, h.FleetAck().Features)
	require.False(t, Ack{}.Covers(Ack{Features: config.Features()}), "a change of features alone is reported")
}
