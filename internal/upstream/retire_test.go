package upstream_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// newAwaitingProxy returns a proxy of a daemon that has just started.
func newAwaitingProxy() *upstream.Proxy {
	return upstream.New(upstream.Config{
		Clock: func() time.Time { return testStart }, Counters: &count.Set{}, Events: event.New("d", "z"), AwaitRetirements: true,
	})
}

// Guards against a leave that is forgotten with the daemon's process: an announcement
// that was sent before it, and that reaches the next incarnation, must not bring the
// upstream back, whether it arrives before the retirements are known or after. The
// upstream's next start must.
func TestLateAnnouncementDoesNotUndoRetirement(t *testing.T) {
	a := announcement("w", "stock", address)
	old := upstream.Incarnation{Start: 10, Sequence: 5}
	for name, start := range map[string]int64{"with its start": 10, "without": 0} {
		before := newProxy()
		require.NoError(t, before.Heartbeat(testStart, a, old, false), name)
		retirement, recorded, err := before.Retire(testStart, "w", start)
		require.NoError(t, err, name)
		require.False(t, recorded, name)
		require.Equal(t, map[string]directory.State{"w": directory.StateDraining}, states(before), name)
		before.MarkRecorded(retirement)
		_, recorded, err = before.Retire(testStart, "w", start)
		require.NoError(t, err, name)
		require.True(t, recorded, "%s: a retirement is recorded once", name)

		next := newAwaitingProxy()
		require.NoError(t, next.Heartbeat(testStart, a, old, false), name)
		requireWaiting(t, next, "w")
		next.SetRetirements(testStart, []directory.Retirement{retirement})
		require.Empty(t, next.Upstreams(), name)
		require.ErrorIs(t, next.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 6}, false), upstream.ErrStale, name)
		require.NoError(t, next.Heartbeat(testStart, a, upstream.Incarnation{Start: 11, Sequence: 1}, false), name)
		require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(next), name)
	}
}

// An upstream that has not retired gets calls as soon as the retirements are known,
// those that wait for that too. It is listed before, so that other daemons know it.
func TestUpstreamGetsCallsOnceRetirementsAreKnown(t *testing.T) {
	sent := make(chan string, 10)
	p := upstream.New(upstream.Config{
		Clock: time.Now, Counters: &count.Set{}, Events: event.New("d", "z"), AwaitRetirements: true,
		NewSender: func(a upstream.Announcement) upstream.Sender {
			return upstream.Sender{Close: func() {}, Send: func(context.Context, upstream.Call, time.Duration) (*upstream.Response, error) {
				sent <- a.ID
				return &upstream.Response{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
			}}
		},
	})
	now := time.Now()
	start := now.Add(-time.Hour).UnixMilli()
	for _, id := range []string{"stays", "left"} {
		a := announcement(id, "stock", map[string]string{"stays": "127.0.0.1:9000", "left": "127.0.0.1:9001"}[id])
		require.NoError(t, p.Heartbeat(now, a, upstream.Incarnation{Start: start, Sequence: 5}, false))
	}
	timed := announcement("timed", "stock", "127.0.0.1:9002")
	timed.Start = start
	require.NoError(t, p.Announce(now, timed))
	nameless := announcement("nameless", "stock", "127.0.0.1:9003")
	require.NoError(t, p.Announce(now, nameless))
	require.Len(t, p.Upstreams(), 4)
	send := func(id string) error {
		response, err := p.Do(context.Background(), upstream.Call{Upstream: id, Method: "GET", Deadline: time.Now().Add(5 * time.Second)})
		response.Discard()
		return err
	}
	require.NoError(t, send("nameless"), "it never says when it started")
	require.Equal(t, "nameless", <-sent)

	results := map[string]chan error{}
	for _, id := range []string{"stays", "left", "timed"} {
		result := make(chan error, 1)
		results[id] = result
		go func() { result <- send(id) }()
	}
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, sent)
	p.SetRetirements(now, []directory.Retirement{{ID: "left", Start: start}, {ID: "stays", Start: start - 1}})
	require.NoError(t, <-results["stays"])
	require.NoError(t, <-results["timed"])
	require.Error(t, <-results["left"])
	require.ElementsMatch(t, []string{"stays", "timed"}, []string{<-sent, <-sent})
	require.Empty(t, sent)
	require.NoError(t, send("stays"))
}

// requireWaiting checks that a call to an upstream waits and is then rejected as not
// executed.
func requireWaiting(t *testing.T, p *upstream.Proxy, id string) {
	t.Helper()
	begin := time.Now()
	_, err := p.Do(context.Background(), upstream.Call{Upstream: id, Method: "GET", Deadline: testStart.Add(time.Hour)})
	require.Equal(t, call.NotExecuted, call.AsError(err).Execution)
	require.Equal(t, call.ReasonNotReady, call.AsError(err).Reason)
	require.GreaterOrEqual(t, time.Since(begin), 100*time.Millisecond)
}

// If the source cannot be asked, upstreams whose announcements may be late ones must
// announce themselves again. Retirements that become known afterwards still apply.
func TestReleasedUpstreamsAnnounceThemselvesAgain(t *testing.T) {
	p := newAwaitingProxy()
	a := announcement("w", "stock", address)
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 5}, false))
	require.Equal(t, 1, p.ReleaseAnnouncements(testStart))
	require.Empty(t, p.Upstreams())
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 5}, false), upstream.ErrStale)
	require.Zero(t, p.ReleaseAnnouncements(testStart))
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 6}, false))
	require.Len(t, p.Upstreams(), 1)
	p.SetRetirements(testStart, []directory.Retirement{{ID: "w", Start: 10}})
	require.Empty(t, p.Upstreams())
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 7}, false), upstream.ErrStale)
}

// An upstream that the daemon's previous incarnation knew at its shutdown, but that has
// retired, must get no calls.
func TestRetiredUpstreamIsNotResumed(t *testing.T) {
	p := newAwaitingProxy()
	previous := previousUpstreams(directory.StateReady)
	require.Equal(t, 1, p.Resume(testStart, address, previous))
	p.SetRetirements(testStart, []directory.Retirement{{ID: "w", Start: previous[0].Since.UnixMilli()}})
	require.Empty(t, p.Upstreams())

	restarted := newAwaitingProxy()
	require.Equal(t, 1, restarted.Resume(testStart, address, previous))
	restarted.SetRetirements(testStart, []directory.Retirement{{ID: "w", Start: previous[0].Since.UnixMilli() - 1}})
	require.Len(t, restarted.Upstreams(), 1, "the retirement is of an earlier start")
}

// A leave that arrives late must not end the upstream's next start, and a leave of a
// start that has not announced itself must hold.
func TestRetirementIsOfOneStart(t *testing.T) {
	p := newProxy()
	a := announcement("w", "stock", address)
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 20, Sequence: 1}, false))
	retirement, recorded, err := p.Retire(testStart, "w", 10)
	require.NoError(t, err)
	require.False(t, recorded)
	require.Equal(t, int64(10), retirement.Start)
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))

	retirement, recorded, err = p.Retire(testStart, "w", 30)
	require.NoError(t, err)
	require.False(t, recorded)
	require.Equal(t, int64(30), retirement.Start)
	require.ErrorIs(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 30, Sequence: 1}, false), upstream.ErrStale)
	require.NoError(t, p.Heartbeat(testStart, a, upstream.Incarnation{Start: 31, Sequence: 1}, false))
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))

	// A daemon that does not know the upstream remembers its leave.
	unknown := newProxy()
	retirement, recorded, err = unknown.Retire(testStart, "w", 10)
	require.NoError(t, err)
	require.False(t, recorded)
	require.Equal(t, int64(10), retirement.Start)
	require.ErrorIs(t, unknown.Heartbeat(testStart, a, upstream.Incarnation{Start: 10, Sequence: 1}, false), upstream.ErrStale)
	retirement, _, err = unknown.Retire(testStart, "nameless", 0)
	require.NoError(t, err)
	require.Equal(t, testStart.UnixMilli(), retirement.Start)

	for _, invalid := range []int64{-1, testStart.Add(48 * time.Hour).UnixMilli()} {
		_, _, err = p.Retire(testStart, "w", invalid)
		require.ErrorIs(t, err, upstream.ErrInvalid, fmt.Sprint(invalid))
	}
	require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
}

// Whatever is restarted, late or repeated: once a retirement is acknowledged, no
// announcement of that start or an earlier one makes the upstream ready, and the next
// start does.
func TestRetirementsHoldOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newAwaitingProxy()
		recorded := map[string]directory.Retirement{} // What the source has.
		acknowledged := int64(0)                      // The newest start whose retirement was acknowledged.
		now := testStart
		start, sequence := now.UnixMilli(), uint64(0)
		var sent []upstream.Incarnation // Any of these may arrive late.
		known := false
		setRetirements := func() {
			var all []directory.Retirement
			for _, r := range recorded {
				all = append(all, r)
			}
			p.SetRetirements(now, all)
			known = true
		}
		a := announcement("w", "stock", address)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) {
				sequence++
				i := upstream.Incarnation{Start: start, Sequence: sequence}
				sent = append(sent, i)
				_ = p.Heartbeat(now, a, i, false)
			},
			"announceLate": func(t *rapid.T) {
				if len(sent) > 0 {
					_ = p.Heartbeat(now, a, rapid.SampledFrom(sent).Draw(t, "late"), rapid.Bool().Draw(t, "draining"))
				}
			},
			"retire": func(t *rapid.T) {
				of := rapid.SampledFrom([]int64{0, testStart.UnixMilli(), start}).Draw(t, "start")
				retirement, isRecorded, err := p.Retire(now, "w", of)
				require.NoError(t, err)
				if !isRecorded && rapid.Bool().Draw(t, "source down") {
					return // Not acknowledged.
				}
				if !isRecorded {
					if old, ok := recorded["w"]; !ok || old.Start <= retirement.Start {
						recorded["w"] = retirement
					}
					p.MarkRecorded(retirement)
				}
				acknowledged = max(acknowledged, of, retirement.Start)
			},
			"restart": func(*rapid.T) {
				p = newAwaitingProxy()
				known = false
			},
			"know":   func(*rapid.T) { setRetirements() },
			"expire": func(*rapid.T) { p.Expire(now.Add(time.Minute)) },
			"nextStart": func(*rapid.T) {
				now = now.Add(time.Second)
				start, sequence = now.UnixMilli(), 0
			},
			"": func(t *rapid.T) {
				for _, u := range p.Upstreams() {
					if !known {
						break // Calls wait.
					}
					if u.State == directory.StateReady && u.Since.UnixMilli() <= acknowledged {
						t.Fatalf("ready, started at %d, though the retirement of %d was acknowledged", u.Since.UnixMilli(), acknowledged)
					}
				}
			},
		})
		if !known {
			setRetirements()
		}
		now = now.Add(time.Second)
		require.NoError(t, p.Heartbeat(now, a, upstream.Incarnation{Start: now.UnixMilli(), Sequence: 1}, false))
		require.Equal(t, map[string]directory.State{"w": directory.StateReady}, states(p))
	})
}
