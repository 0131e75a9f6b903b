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

const patience = 20 * time.Second

// parent is a fake parent that answers pulls with what the test says, one
// after the other, and then with nothing new.
type parent struct {
	mutex   sync.Mutex
	replies []feed.PullReply
	asked   []feed.PullArgs
}

func (p *parent) Pull(args feed.PullArgs, reply *feed.PullReply) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.asked = append(p.asked, args)
	reply.Instance = 7
	if len(p.replies) > 0 {
		*reply = p.replies[0]
		reply.Instance = 7
		p.replies = p.replies[1:]
	}
	return nil
}

func (p *parent) Latest(_ feed.LatestArgs, reply *feed.LatestReply) error {
	reply.Revision = 1
	return nil
}

func (p *parent) Report(_ feed.ReportArgs, _ *feed.ReportReply) error { return nil }

// pulls returns the pulls so far, and whether all replies have been given.
func (p *parent) pulls() ([]feed.PullArgs, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]feed.PullArgs{}, p.asked...), len(p.replies) == 0
}

// serve starts a process that answers a service's calls.
func serve(t testing.TB, service any) string {
	s, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, s.Register("Feed", service))
	go s.Serve()
	t.Cleanup(s.Close)
	return s.Address()
}

func contract(t testing.TB, amount string) config.Object {
	o, err := config.MakeObject(config.Contract{Team: "club", Limit: amount})
	require.NoError(t, err)
	return o
}

func unit(t testing.TB) config.Object {
	o, err := config.MakeObject(config.Unit{Name: "credits", Window: config.Duration(time.Second), Costs: map[string]int{}})
	require.NoError(t, err)
	return o
}

// history returns a catalog at each of the revisions 1 to n, by revision.
func history(t testing.TB, n int) []*catalog.Catalog {
	c := &catalog.Catalog{}
	all := []*catalog.Catalog{c.Clone()}
	for i := range n {
		c.Change([]config.Object{unit(t), contract(t, string(rune('1'+i))+" credits")}, nil)
		all = append(all, c.Clone())
	}
	return all
}

func delta(h []*catalog.Catalog, from, to int) *catalog.Delta {
	d := h[to].Delta(h[from].Revision(), h[from].Digest())
	return &d
}

// follow runs a child below a fake parent until all replies have been taken.
func follow(t *testing.T, replies ...feed.PullReply) (*feed.Hub, *count.Set, []feed.PullArgs) {
	t.Helper()
	p := &parent{replies: replies}
	counters := &count.Set{}
	hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: counters})
	var lowest sync.Map
	child := feed.NewClient(feed.ClientConfig{
		Host: "d", Zone: "z", Sources: []string{serve(t, p)}, Clock: time.Now, Random: rand.Float64,
		Traffic: &peer.Traffic{}, OnRefused: func(r config.Revision, err error) { lowest.Store(r, err) },
	}, hub)
	var group sync.WaitGroup
	group.Go(child.RunPull)
	defer group.Wait()
	defer child.Stop()
	require.Eventually(t, func() bool {
		asked, all := p.pulls()
		return all && len(asked) > len(replies)
	}, patience, time.Millisecond)
	asked, _ := p.pulls()
	return hub, counters, asked
}

// Deltas cross on their way: an older one comes after a newer one, and one
// comes twice. What is in force never goes back.
func TestUpdatesCross(t *testing.T) {
	h := history(t, 5)
	hub, _, asked := follow(t,
		feed.PullReply{Delta: delta(h, 0, 3)},
		feed.PullReply{Delta: delta(h, 0, 2)},
		feed.PullReply{Delta: delta(h, 0, 3)},
		feed.PullReply{Delta: delta(h, 3, 5)},
		feed.PullReply{Delta: delta(h, 3, 4)},
		feed.PullReply{Delta: delta(h, 0, 1)},
	)
	have := config.Revision(0)
	for _, a := range asked {
		if a.Have > 0 { // 0 asks for a whole state.
			require.GreaterOrEqual(t, a.Have, have)
			have = a.Have
		}
	}
	require.EqualValues(t, 5, hub.State().Revision())
	require.Equal(t, h[5].Digest(), hub.State().Catalog().Digest())
}

// A delta that fails its check is not in force in part: all stays as it was,
// and the child asks for a whole state.
func TestDamagedDeltaIsNotTaken(t *testing.T) {
	h := history(t, 3)
	damaged := delta(h, 1, 2)
	damaged.Entries = append([]catalog.Entry{}, damaged.Entries...)
	damaged.Entries[0].Object = contract(t, "9 credits")
	hub, counters, asked := follow(t,
		feed.PullReply{Delta: delta(h, 0, 1)},
		feed.PullReply{Delta: damaged},
		feed.PullReply{Delta: delta(h, 0, 3)},
	)
	require.EqualValues(t, 1, counters.Get("feed_deltas_mismatched"))
	require.EqualValues(t, 0, asked[2].Have, "it asks for a whole state")
	require.EqualValues(t, 3, hub.State().Revision())
	require.Equal(t, h[3].Digest(), hub.State().Catalog().Digest())
}

// A revision that can't be expanded, as none that the source accepts, is
// refused whole; the one in force stays.
func TestUnsoundRevisionIsRefused(t *testing.T) {
	h := history(t, 1)
	unsound := h[1].Clone()
	unsound.Change([]config.Object{contract(t, "5 pebbles")}, nil)
	d := unsound.Delta(h[1].Revision(), h[1].Digest())
	hub, counters, _ := follow(t, feed.PullReply{Delta: delta(h, 0, 1)}, feed.PullReply{Delta: &d})
	require.EqualValues(t, 1, hub.State().Revision())
	require.NotZero(t, counters.Get("revisions_refused"))
}

// hostile draws messages that no process would send.
type hostile struct{ t *rapid.T }

func (h hostile) text(label string) string {
	return rapid.OneOf(rapid.Just("d1"), rapid.Just(""), rapid.String()).Draw(h.t, label)
}

func (h hostile) records() []directory.Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) directory.Record {
		in := hostile{t}
		return directory.Record{
			Host: in.text("host"), Zone: in.text("zone"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Sequence: rapid.Uint64().Draw(t, "sequence"), Gone: rapid.Bool().Draw(t, "gone"), Peer: in.text("peer"), Gate: in.text("gate"),
			Upstreams: []directory.Upstream{{ID: in.text("id"), Service: "s", Version: "v", Slots: rapid.Int().Draw(t, "slots"), Connections: 4}},
		}
	}), 0, 4).Draw(h.t, "records")
}

func (h hostile) reports() []callstats.Report {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) callstats.Report {
		in := hostile{t}
		return callstats.Report{
			Origin: in.text("origin"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Rows: []callstats.Row{{Key: callstats.Key{Service: rapid.SampledFrom([]string{"s", ""}).Draw(t, "service"), Version: "v", Host: "d", Route: in.text("route")}, Calls: rapid.Int64().Draw(t, "calls")}},
		}
	}), 0, 3).Draw(h.t, "reports")
}

// Whatever a peer says, what is in force stays, and the directory holds only
// records that a daemon would send.
func TestHostileMessages(t *testing.T) {
	h := history(t, 2)
	rapid.Check(t, func(t *rapid.T) {
		hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
		var b expand.Builder
		table, err := b.Build(h[2].Revision(), h[2].Objects())
		require.NoError(t, err)
		require.True(t, hub.Publish(h[2], table))
		s := feed.NewService(hub, time.Now, nil)
		m := hostile{t}
		var pulled feed.PullReply
		_ = s.Pull(feed.PullArgs{
			Host: m.text("puller"), Have: config.Revision(rapid.Uint64().Draw(t, "have")),
			Instance: rapid.Uint64().Draw(t, "instance"), Index: rapid.Uint64().Draw(t, "index"),
			Wait: time.Duration(rapid.Int64Range(-5, 5).Draw(t, "wait")),
		}, &pulled)
		_ = s.Report(feed.ReportArgs{
			Host: m.text("child"), Leaving: rapid.Bool().Draw(t, "leaving"), Records: m.records(), Reports: m.reports(),
			Ack: feed.Ack{Daemons: rapid.Int().Draw(t, "daemons"), Low: config.Revision(rapid.Uint64().Draw(t, "low")), Behind: []string{m.text("behind")}},
		}, &feed.ReportReply{})
		_ = s.Tell(feed.TellArgs{Host: m.text("teller"), Records: m.records()}, &feed.TellReply{})
		buckets := make([]directory.Digest, rapid.SampledFrom([]int{0, 1, directory.BucketCount}).Draw(t, "buckets"))
		_ = s.Compare(feed.CompareArgs{Host: m.text("comparer"), Buckets: buckets}, &feed.CompareReply{})
		require.EqualValues(t, 2, hub.State().Revision())
		for _, r := range hub.View().Live() {
			require.NoError(t, r.Check())
		}
		hub.Ack()
		hub.Total()
		for _, row := range hub.CallStats("s") {
			require.GreaterOrEqual(t, row.Calls, int64(0))
		}
	})
}

// FuzzPeerBytes sends bytes that are no message. The process goes on answering
// others.
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
		require.NoError(t, client.Call("Feed.Pull", feed.PullArgs{Host: "d2"}, &reply, patience))
		require.Zero(t, hub.State().Revision())
	})
}
