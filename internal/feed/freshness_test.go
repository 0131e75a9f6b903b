package feed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/peer"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// keyedDelta returns the full state of a configuration with API keys at revision r.
func keyedDelta(t *testing.T, r config.Revision) *catalog.Delta {
	t.Helper()
	o, err := config.MakeObject(config.Fleet{Version: uint64(r), Keyed: true})
	require.NoError(t, err)
	c := &catalog.Catalog{}
	for c.Revision() < r {
		c.Change([]config.Object{o}, nil)
	}
	d := c.Delta(0, catalog.Digest{})
	return &d
}

// publishKeyed puts a configuration with API keys at revision r in force.
func publishKeyed(t *testing.T, h *Hub, r config.Revision) {
	t.Helper()
	c, err := (&catalog.Catalog{}).Apply(*keyedDelta(t, r))
	require.NoError(t, err)
	var b expand.Builder
	table, err := b.Build(r, c.Objects())
	require.NoError(t, err)
	require.True(t, table.Keyed())
	require.True(t, h.Publish(c, table))
}

// fakeClock is a boot clock that tests set. It is safe for concurrent use.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) read() time.Duration        { return time.Duration(c.now.Load()) }
func (c *fakeClock) advance(d time.Duration)    { c.now.Add(int64(d)) }
func newFakeClock(now time.Duration) *fakeClock { c := &fakeClock{}; c.advance(now); return c }

// newHub returns a hub with a boot clock; nil means the host's.
func newHub(host string, source bool, clock func() time.Duration) *Hub {
	return NewHub(HubConfig{Host: host, Instance: 7, Source: source, Counters: &count.Set{}, BootClock: clock})
}

// interrupted is a parent's service during whose calls something happens.
type interrupted struct {
	service       *Service
	before, after func()
}

func (s *interrupted) Pull(args PullArgs, reply *PullReply) error {
	s.before()
	defer s.after()
	return s.service.Pull(args, reply)
}

func (s *interrupted) Compare(args CompareArgs, reply *CompareReply) error {
	return s.service.Compare(args, reply)
}

// serveFeed starts an RPC server with a service named Feed and returns its address.
func serveFeed(t *testing.T, service any) string {
	t.Helper()
	s, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
	require.NoError(t, err)
	require.NoError(t, s.Register("Feed", service))
	go s.Serve()
	t.Cleanup(s.Close)
	return s.Address()
}

// newChild returns a client of the processes at the given addresses.
func newChild(t *testing.T, hub *Hub, addresses ...string) *Client {
	t.Helper()
	return NewClient(ClientConfig{
		Features: config.Features(),
		Host:     hub.config.Host, Zone: "z", Sources: addresses, Clock: time.Now, Random: rand.Float64, Traffic: &peer.Traffic{},
	}, hub)
}

// requireFreshAt requires a freshness time of the configuration in force.
func requireFreshAt(t *testing.T, h *Hub, want time.Duration, text string) {
	t.Helper()
	got, known := h.FreshAt()
	require.True(t, known, text)
	require.Equal(t, want, got, text)
}

// A reply that is late because the parent, the child or both were stopped for some seconds
// must not make the child count as fresh. The boot clock goes on meanwhile, and the
// monotonic clock of the calls need not.
func TestStoppedProcessDoesNotMakeChildFresh(t *testing.T) {
	const stop, freshAt, now = 9 * time.Second, 99 * time.Second, 100 * time.Second
	for name, test := range map[string]struct{ before, after, want time.Duration }{
		"no stop":                   {0, 0, 1099 * time.Second},
		"before the pull arrives":   {stop, 0, 1090 * time.Second},
		"after the pull arrived":    {0, stop, 1099 * time.Second},
		"both before and after":     {stop, stop, 1090 * time.Second},
		"before by a short instant": {time.Millisecond, 0, 1099*time.Second - time.Millisecond},
	} {
		// Both clocks go on during a stop of either process, but differ.
		parentClock, childClock := newFakeClock(now), newFakeClock(now+1000*time.Second)
		elapse := func(d time.Duration) func() {
			return func() { parentClock.advance(d); childClock.advance(d) }
		}
		parent, hub := newHub("s", true, parentClock.read), newHub("d", false, childClock.read)
		publishKeyed(t, parent, 3)
		parent.SetLastContact(time.Now())
		require.True(t, parent.SetFreshAt(3, freshAt))
		service := &interrupted{NewService(parent, time.Now, nil), elapse(test.before), elapse(test.after)}
		child := newChild(t, hub, serveFeed(t, service))
		_, err := child.pullOnce(child.candidates()[0])
		require.NoError(t, err, name)
		requireFreshAt(t, hub, test.want, name)
		child.Stop()
	}
}

// Replies must establish freshness only for what they describe, and only once that is in
// force at the child.
func TestFreshnessNeedsAppliedRevision(t *testing.T) {
	mismatched := keyedDelta(t, 4)
	mismatched.After = catalog.Digest{1}
	invalid := func() *catalog.Delta {
		o, err := config.MakeObject(config.Contract{Team: "club", Limit: "5 pebbles"})
		require.NoError(t, err)
		c := &catalog.Catalog{}
		for range 4 {
			c.Change([]config.Object{o}, nil)
		}
		d := c.Delta(0, catalog.Digest{})
		return &d
	}()
	fresh := PullReply{Fresh: -time.Second, FreshRevision: 4}
	for name, test := range map[string]struct {
		change func(*PullReply)
		fresh  bool
	}{
		"applied":                   {func(r *PullReply) { r.Delta = keyedDelta(t, 4) }, true},
		"newer applied":             {func(r *PullReply) { r.Delta, r.FreshRevision = keyedDelta(t, 4), 3 }, true},
		"wrong digest":              {func(r *PullReply) { r.Delta = mismatched }, false},
		"invalid":                   {func(r *PullReply) { r.Delta = invalid }, false},
		"without the configuration": {func(*PullReply) {}, false},
		"configuration comes later": {func(r *PullReply) { r.Busy = time.Second }, false},
		"busy":                      {func(r *PullReply) { r.Busy, r.FreshRevision = time.Second, 2 }, false},
		"of a newer revision":       {func(r *PullReply) { r.Delta, r.FreshRevision = keyedDelta(t, 4), 5 }, false},
		"of another data centre":    {func(r *PullReply) { r.Elsewhere, r.FreshRevision = true, 2 }, false},
	} {
		hub := newHub("d", false, newFakeClock(time.Minute).read)
		publishKeyed(t, hub, 2)
		reply := fresh
		test.change(&reply)
		child := newChild(t, hub, serveFeed(t, &fixedParent{reply: reply}))
		_, _ = child.pullOnce(child.candidates()[0])
		_, known := hub.FreshAt()
		require.Equal(t, test.fresh, known, name)
		child.Stop()
	}
}

// fixedParent replies to each pull with the same reply.
type fixedParent struct{ reply PullReply }

func (p *fixedParent) Pull(_ PullArgs, reply *PullReply) error { *reply = p.reply; return nil }

func (p *fixedParent) Compare(CompareArgs, *CompareReply) error { return nil }

// OlderReply, exported for net/rpc, holds the fields of a reply that a build without freshness sends.
type OlderReply struct {
	Delta    *catalog.Delta
	Instance uint64
}

// olderParent is a parent of a build without freshness.
type olderParent struct{ reply OlderReply }

func (p *olderParent) Pull(_ struct{ Host string }, reply *OlderReply) error {
	*reply = p.reply
	return nil
}

func (p *olderParent) Compare(CompareArgs, *CompareReply) error { return nil }

// A parent of an older build, one whose configuration has no API keys, and one that knows no
// freshness itself must establish none, in particular not that of age 0.
func TestParentWithoutFreshnessEstablishesNone(t *testing.T) {
	older := serveFeed(t, &olderParent{OlderReply{Delta: keyedDelta(t, 4), Instance: 7}})
	unknown := newHub("s", true, nil)
	publishKeyed(t, unknown, 4)
	unkeyed := newHub("s", true, nil)
	publish(t, unkeyed, 4)
	require.True(t, unkeyed.SetFreshAt(4, unkeyed.config.BootClock()))
	for name, address := range map[string]string{
		"older build": older, "unknown": serveFeed(t, NewService(unknown, time.Now, nil)), "no keys": serveFeed(t, NewService(unkeyed, time.Now, nil)),
	} {
		hub := newHub("d", false, nil)
		child := newChild(t, hub, address)
		_, _ = child.pullOnce(address)
		require.EqualValues(t, 4, hub.State().Revision(), name)
		_, known := hub.FreshAt()
		require.False(t, known, name)
		child.Stop()
	}
}

// The freshness time of a newer configuration must not be read with an older one, which may
// have a key that was withdrawn.
func TestFreshnessBelongsToItsState(t *testing.T) {
	h := newHub("d", false, nil)
	publishKeyed(t, h, 2)
	require.True(t, h.SetFreshAt(1, 10*time.Second))
	older := h.State()
	require.False(t, h.SetFreshAt(3, 20*time.Second))
	publishKeyed(t, h, 3)
	requireFreshAt(t, h, 10*time.Second, "inherited: nothing newer than revision 1 was accepted then")
	require.True(t, h.SetFreshAt(3, 20*time.Second))
	require.True(t, h.SetFreshAt(2, 15*time.Second))
	requireFreshAt(t, h, 20*time.Second, "the time never decreases")
	freshAt, known := older.FreshAt()
	require.True(t, known)
	require.Equal(t, 10*time.Second, freshAt)
}

// A waiting pull must return once the parent has what the child needs. A pull that gains
// little must wait: otherwise children would pull without pause.
func TestWaitingPullReturnsForFreshness(t *testing.T) {
	const now = time.Minute
	for name, test := range map[string]struct {
		source                       bool
		parentAge, childAge, becomes time.Duration // childAge as in PullArgs; becomes is the parent's age later.
		returns                      bool
	}{
		"child needs it and parent has it":       {true, 100 * time.Millisecond, 2 * time.Second, -1, true},
		"parent is not fresher than the child":   {true, 1700 * time.Millisecond, 2 * time.Second, -1, false},
		"parent gets it":                         {true, 5 * time.Second, 2 * time.Second, 0, true},
		"child knows none":                       {true, 5 * time.Second, unknownAge, -1, true},
		"child needs none":                       {true, 2 * time.Second, 0, 0, false},
		"source replies at the end of the pull":  {true, time.Second, time.Second, 0, false},
		"source that got little fresher":         {true, 300 * time.Millisecond, 300 * time.Millisecond, 0, false},
		"relay passes on what it gets":           {false, time.Second, time.Second, 0, true},
		"relay has got it before the pull":       {false, 100 * time.Millisecond, 1200 * time.Millisecond, -1, true},
		"relay does not repeat what it has":      {false, 300 * time.Millisecond, 300 * time.Millisecond, -1, false},
		"child of relay has no keys":             {false, time.Second, 0, 0, false},
		"malformed":                              {true, 0, -1 << 63, -1, false},
		"relay that is not fresher than a child": {false, 1700 * time.Millisecond, 2 * time.Second, 1600 * time.Millisecond, false},
	} {
		clock := newFakeClock(now)
		parent := newHub("p", test.source, clock.read)
		publishKeyed(t, parent, 2)
		require.True(t, parent.SetFreshAt(2, now-test.parentAge))
		const wait = 400 * time.Millisecond
		if test.becomes >= 0 {
			time.AfterFunc(wait/10, func() { parent.SetFreshAt(2, now-test.becomes) })
		}
		begin := time.Now()
		args := PullArgs{Host: "d", Have: 2, Digest: parent.State().Catalog().Digest(), Instance: 7, Wait: wait, FreshnessAge: test.childAge, Features: config.Features()}
		var reply PullReply
		require.NoError(t, NewService(parent, time.Now, nil).Pull(args, &reply))
		require.Equal(t, test.returns, time.Since(begin) < wait-wait/10, name)
		require.EqualValues(t, 2, reply.FreshRevision, name)
		newest, _ := parent.FreshAt()
		require.Equal(t, newest, now+reply.Fresh, "the reply is as of its end: %s", name)
	}
}

// Whatever delays and stops there are on the way, no daemon may count as fresher than the
// source was when its reply was made, seen from outside.
func TestFreshnessNeverExceedsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, label))
		}
		now := draw("start") // Of an outside observer. A host has booted at -offset.
		freshAt, offset, evidence := now-draw("source's age"), draw("offset"), time.Duration(0)
		evidence = freshAt
		freshAt += offset
		for range rapid.IntRange(1, 4).Draw(t, "levels") {
			childOffset := draw("offset") - 10*time.Second
			sent := now + childOffset
			now += draw("request")
			arrived := now + offset
			now += draw("wait")
			reply := PullReply{FreshRevision: 1, Fresh: freshAt - arrived}
			now += draw("reply")
			childFreshAt, _, ok := reply.freshAt(sent, now+childOffset)
			require.True(t, ok)
			require.LessOrEqual(t, childFreshAt-childOffset, evidence)
			freshAt, offset = childFreshAt, childOffset
		}
	})
}

// A parent that hangs while its connections stay open must not end the freshness: the child
// asks others. The parent replies once, and then to nothing.
func TestHangingParentDoesNotEndFreshness(t *testing.T) {
	t.Parallel()
	source := newHub("s", true, nil)
	publishKeyed(t, source, 2)
	stop, release := make(chan struct{}), make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	group.Go(func() {
		for {
			source.SetFreshAt(2, source.config.BootClock())
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	})
	var hangs atomic.Bool
	service := NewService(source, time.Now, nil)
	newParent := func() string {
		var hung atomic.Bool
		return serveFeed(t, &interrupted{service, func() {
			if hangs.Load() && (hung.Load() || hangs.CompareAndSwap(true, false)) {
				hung.Store(true)
			}
			if hung.Load() {
				<-release
			}
		}, func() {}})
	}
	t.Cleanup(func() { close(release) })
	hub := newHub("d", false, nil)
	child := newChild(t, hub, newParent(), newParent(), newParent())
	defer child.Stop()
	group.Go(child.RunPull)
	group.Go(child.RunFreshness)
	require.Eventually(t, func() bool { _, known := hub.FreshAt(); return known }, 10*time.Second, time.Millisecond)
	require.Zero(t, hub.config.Counters.Get("feed_freshness_pulls"))
	hangs.Store(true) // The next process that is pulled from, the parent, hangs from then on.
	require.Eventually(t, func() bool { return !hangs.Load() }, 10*time.Second, time.Millisecond)
	oldest := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < 3500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		oldest = max(oldest, hub.State().freshnessAge(hub.config.BootClock()))
	}
	require.Less(t, oldest, 3*time.Second)
	require.Positive(t, hub.config.Counters.Get("feed_freshness_pulls"))
}
