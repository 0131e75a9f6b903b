package feed_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// waitTimeout is how long a test waits for an expected result.
const waitTimeout = 20 * time.Second

// fakeParent serves pulls with the given replies in order, and then with empty
// ones. It records the arguments of all pulls.
type fakeParent struct {
	mutex    sync.Mutex
	replies  []feed.PullReply
	received []feed.PullArgs
}

func (p *fakeParent) Pull(args feed.PullArgs, reply *feed.PullReply) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.received = append(p.received, args)
	reply.Instance = 7
	if len(p.replies) > 0 {
		*reply = p.replies[0]
		reply.Instance = 7
		p.replies = p.replies[1:]
	}
	return nil
}

func (p *fakeParent) Latest(_ feed.LatestArgs, reply *feed.LatestReply) error {
	reply.Revision = 1
	return nil
}

func (p *fakeParent) Report(_ feed.ReportArgs, _ *feed.ReportReply) error { return nil }

// pulls returns the arguments of all pulls so far, and whether all replies have
// been sent.
func (p *fakeParent) pulls() ([]feed.PullArgs, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]feed.PullArgs{}, p.received...), len(p.replies) == 0
}

// serve starts an RPC server with a service named Feed and returns its address.
// The server is closed at the end of the test.
func serve(t testing.TB, service any) string {
	s, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, s.Register("Feed", service))
	go s.Serve()
	t.Cleanup(s.Close)
	return s.Address()
}

func newContract(t testing.TB, amount string) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "club", Limit: amount})
	require.NoError(t, err)
	return o
}

func newUnit(t testing.TB) config.Object {
	o, err := config.MakeObject(config.Unit{Name: "credits", Window: config.Duration(time.Second), Costs: map[string]int{}})
	require.NoError(t, err)
	return o
}

// newHistory returns a catalog for each of the revisions 0 to n, indexed by
// revision.
func newHistory(t testing.TB, n int) []*catalog.Catalog {
	c := &catalog.Catalog{}
	all := []*catalog.Catalog{c.Clone()}
	for i := range n {
		c.Change([]config.Object{newUnit(t), newContract(t, string(rune('1'+i))+" credits")}, nil)
		all = append(all, c.Clone())
	}
	return all
}

// newDelta returns the delta between two revisions of a history.
func newDelta(h []*catalog.Catalog, from, to int) *catalog.Delta {
	d := h[to].Delta(h[from].Revision(), h[from].Digest())
	return &d
}

// runChild runs a child of a fake parent until it has pulled all replies and pulled
// again after the last one. It returns the child's hub and counters, and the
// arguments of its pulls.
func runChild(t *testing.T, replies ...feed.PullReply) (*feed.Hub, *count.Set, []feed.PullArgs) {
	t.Helper()
	p := &fakeParent{replies: replies}
	counters := &count.Set{}
	hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: counters})
	var rejected sync.Map
	child := feed.NewClient(feed.ClientConfig{
		Host: "d", Zone: "z", Sources: []string{serve(t, p)}, Clock: time.Now, Random: rand.Float64,
		Traffic: &peer.Traffic{}, OnRejected: func(r config.Revision, err error) { rejected.Store(r, err) },
	}, hub)
	var group sync.WaitGroup
	group.Go(child.RunPull)
	defer group.Wait()
	defer child.Stop()
	require.Eventually(t, func() bool {
		received, all := p.pulls()
		return all && len(received) > len(replies)
	}, waitTimeout, time.Millisecond)
	received, _ := p.pulls()
	return hub, counters, received
}

// The revision in force must never decrease when deltas arrive out of order or
// twice.
func TestReorderedDeltasNeverRevertRevision(t *testing.T) {
	h := newHistory(t, 5)
	hub, _, pulls := runChild(t,
		feed.PullReply{Delta: newDelta(h, 0, 3)},
		feed.PullReply{Delta: newDelta(h, 0, 2)},
		feed.PullReply{Delta: newDelta(h, 0, 3)},
		feed.PullReply{Delta: newDelta(h, 3, 5)},
		feed.PullReply{Delta: newDelta(h, 3, 4)},
		feed.PullReply{Delta: newDelta(h, 0, 1)},
	)
	have := config.Revision(0)
	for _, a := range pulls {
		if a.Have > 0 { // 0 asks for the full state.
			require.GreaterOrEqual(t, a.Have, have)
			have = a.Have
		}
	}
	require.EqualValues(t, 5, hub.State().Revision())
	require.Equal(t, h[5].Digest(), hub.State().Catalog().Digest())
}

// A delta whose result does not match its digest must not be applied, not even in
// part. The child must then ask for the full state.
func TestMismatchedDeltaTriggersFullPull(t *testing.T) {
	h := newHistory(t, 3)
	damaged := newDelta(h, 1, 2)
	damaged.Entries = append([]catalog.Entry{}, damaged.Entries...)
	damaged.Entries[0].Object = newContract(t, "9 credits")
	hub, counters, pulls := runChild(t,
		feed.PullReply{Delta: newDelta(h, 0, 1)},
		feed.PullReply{Delta: damaged},
		feed.PullReply{Delta: newDelta(h, 0, 3)},
	)
	require.EqualValues(t, 1, counters.Get("feed_deltas_mismatched"))
	require.EqualValues(t, 0, pulls[2].Have, "want a pull of the full state")
	require.EqualValues(t, 3, hub.State().Revision())
	require.Equal(t, h[3].Digest(), hub.State().Catalog().Digest())
}

// A revision that cannot be expanded must be rejected as a whole, and the one in
// force must stay. The source accepts no such revision.
func TestInvalidRevisionIsRejected(t *testing.T) {
	h := newHistory(t, 1)
	invalid := h[1].Clone()
	invalid.Change([]config.Object{newContract(t, "5 pebbles")}, nil)
	d := invalid.Delta(h[1].Revision(), h[1].Digest())
	hub, counters, _ := runChild(t, feed.PullReply{Delta: newDelta(h, 0, 1)}, feed.PullReply{Delta: &d})
	require.EqualValues(t, 1, hub.State().Revision())
	require.NotZero(t, counters.Get("revisions_refused"))
}

// messageGenerator draws the content of messages, most of which no correct process
// would send.
type messageGenerator struct{ t *rapid.T }

func (g messageGenerator) drawText(label string) string {
	return rapid.OneOf(rapid.Just("d1"), rapid.Just(""), rapid.String()).Draw(g.t, label)
}

func (g messageGenerator) drawRecords() []directory.Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) directory.Record {
		inner := messageGenerator{t}
		return directory.Record{
			Host: inner.drawText("host"), Zone: inner.drawText("zone"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Sequence: rapid.Uint64().Draw(t, "sequence"), Gone: rapid.Bool().Draw(t, "gone"), Peer: inner.drawText("peer"), Gate: inner.drawText("gate"),
			Upstreams: []directory.Upstream{{ID: inner.drawText("id"), Service: "s", Version: "v", Slots: rapid.Int().Draw(t, "slots"), Connections: 4}},
		}
	}), 0, 4).Draw(g.t, "records")
}

func (g messageGenerator) drawReports() []callstats.Report {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) callstats.Report {
		inner := messageGenerator{t}
		return callstats.Report{
			Origin: inner.drawText("origin"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Rows: []callstats.Row{{Key: callstats.Key{Service: rapid.SampledFrom([]string{"s", ""}).Draw(t, "service"), Version: "v", Host: "d", Route: inner.drawText("route")}, Calls: rapid.Int64().Draw(t, "calls")}},
		}
	}), 0, 3).Draw(g.t, "reports")
}

// Arbitrary messages of a peer must neither change the revision in force, nor add
// invalid records to the directory, nor make a count of calls negative.
func TestArbitraryMessagesKeepStateValid(t *testing.T) {
	h := newHistory(t, 2)
	rapid.Check(t, func(t *rapid.T) {
		hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
		var b expand.Builder
		table, err := b.Build(h[2].Revision(), h[2].Objects())
		require.NoError(t, err)
		require.True(t, hub.Publish(h[2], table))
		s := feed.NewService(hub, time.Now, nil)
		g := messageGenerator{t}
		var pulled feed.PullReply
		_ = s.Pull(feed.PullArgs{
			Host: g.drawText("puller"), Have: config.Revision(rapid.Uint64().Draw(t, "have")),
			Instance: rapid.Uint64().Draw(t, "instance"), Index: rapid.Uint64().Draw(t, "index"),
			Wait: time.Duration(rapid.Int64Range(-5, 5).Draw(t, "wait")),
		}, &pulled)
		_ = s.Report(feed.ReportArgs{
			Host: g.drawText("child"), Leaving: rapid.Bool().Draw(t, "leaving"), Records: g.drawRecords(), Reports: g.drawReports(),
			Ack: feed.Ack{Daemons: rapid.Int().Draw(t, "daemons"), Low: config.Revision(rapid.Uint64().Draw(t, "low")), Behind: []string{g.drawText("behind")}},
		}, &feed.ReportReply{})
		_ = s.Tell(feed.TellArgs{Host: g.drawText("teller"), Records: g.drawRecords()}, &feed.TellReply{})
		buckets := make([]directory.Digest, rapid.SampledFrom([]int{0, 1, directory.BucketCount}).Draw(t, "buckets"))
		_ = s.Compare(feed.CompareArgs{Host: g.drawText("comparer"), Buckets: buckets}, &feed.CompareReply{})
		require.EqualValues(t, 2, hub.State().Revision())
		for _, r := range hub.View().Live() {
			require.NoError(t, r.Check())
		}
		hub.Ack()
		hub.FleetAck()
		for _, row := range hub.CallStats("s") {
			require.GreaterOrEqual(t, row.Calls, int64(0))
		}
	})
}

// FuzzPeerBytes sends arbitrary bytes over a connection. The process must continue
// to serve other connections.
func FuzzPeerBytes(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x2e, 0xff, 0x81, 0x03, 0x01, 0x01, 0x07, 'R', 'e', 'q', 'u', 'e', 's', 't'})
	hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
	address := serve(f, feed.NewService(hub, time.Now, nil))
	client := peer.NewClient(address, nil, &peer.Traffic{})
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		var reply feed.PullReply
		require.NoError(t, client.Call("Feed.Pull", feed.PullArgs{Host: "d2"}, &reply, waitTimeout))
		require.Zero(t, hub.State().Revision())
	})
}
