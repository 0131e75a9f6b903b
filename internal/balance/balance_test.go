package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
)

var now = time.Unix(1000, 0)

func target(id, zone string) feed.Target {
	return feed.Target{Upstream: directory.Upstream{ID: id, Service: "s", Version: "v", Slots: 6}, Host: "h-" + id, Zone: zone}
}

func bound(objective time.Duration) balance.Query {
	return balance.Query{Objective: objective, HasObjective: true}
}

// tell has an upstream tell its load.
func tell(b *balance.Balancer, t feed.Target, running, queued int, service time.Duration) {
	b.Done(now, t, balance.Result{Load: call.Load{Running: running, Queued: queued, Limit: 6, Service: service}})
}

// picks counts the choices of many calls that end at once.
func picks(b *balance.Balancer, q balance.Query, targets []feed.Target) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 300 {
		t, ok := b.Pick(now, q, targets, random.Float64)
		if !ok {
			continue
		}
		counts[t.ID]++
		b.Done(now, t, balance.Result{})
	}
	return counts
}

// A host that acknowledges nothing is left out after one call; other failures
// take three.
func TestSilentHostIsLeftOutAtOnce(t *testing.T) {
	silent, sound := target("silent", "a"), target("sound", "a")
	b := balance.New(balance.Config{Zone: "a"})
	b.Done(now, silent, balance.Result{Failed: true, Unresponsive: true})
	require.Equal(t, map[string]int{"sound": 300}, picks(b, bound(time.Second), []feed.Target{silent, sound}))
}

// An upstream that fails a third of its calls is avoided while others have room,
// also by an entry that has not seen it fail, and tried again later.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	failing, sound := target("failing", "a"), target("sound", "a")
	both := []feed.Target{failing, sound}
	b := balance.New(balance.Config{Zone: "a"})
	tell(b, sound, 2, 0, 50*time.Millisecond)
	b.Done(now, failing, balance.Result{Load: call.Load{Running: 0, Limit: 6, Service: 50 * time.Millisecond, Failing: 333}})
	require.Zero(t, picks(b, bound(time.Second), both)["failing"])
	b.Done(now.Add(-time.Minute), failing, balance.Result{Load: call.Load{Running: 0, Limit: 6, Service: 50 * time.Millisecond, Failing: 333}})
	require.NotZero(t, picks(b, bound(time.Second), both)["failing"])
}

// Calls stay in their data centre while they can make their objective there,
// and leave it when waiting would miss it.
func TestNearUntilTheObjectiveIsMissed(t *testing.T) {
	near, away := target("near", "a"), target("away", "b")
	both := []feed.Target{near, away}
	b := balance.New(balance.Config{Zone: "a"})
	b.Pick(now, bound(time.Second), []feed.Target{near}, rand.Float64)
	b.Pick(now, bound(time.Second), []feed.Target{away}, rand.Float64)
	tell(b, near, 5, 0, 150*time.Millisecond)
	tell(b, away, 1, 0, 150*time.Millisecond)
	require.Equal(t, 300, picks(b, bound(600*time.Millisecond), both)["near"])

	b = balance.New(balance.Config{Zone: "a"})
	b.Pick(now, bound(time.Second), []feed.Target{near}, rand.Float64)
	b.Pick(now, bound(time.Second), []feed.Target{away}, rand.Float64)
	tell(b, near, 6, 18, 150*time.Millisecond)
	tell(b, away, 1, 0, 150*time.Millisecond)
	require.Equal(t, 300, picks(b, bound(600*time.Millisecond), both)["away"])
}

// A slow upstream gets less than its slots say.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	fast, slow := target("fast", "a"), target("slow", "a")
	b := balance.New(balance.Config{Zone: "a"})
	for _, one := range []feed.Target{fast, slow} {
		b.Pick(now, bound(time.Second), []feed.Target{one}, rand.Float64)
	}
	tell(b, fast, 3, 0, 100*time.Millisecond)
	tell(b, slow, 0, 0, 800*time.Millisecond)
	require.Greater(t, picks(b, bound(400*time.Millisecond), []feed.Target{fast, slow})["fast"], 290)
}

// What this daemon has sent counts on top of what others have, and is not
// counted twice.
func TestOwnCallsCountOnce(t *testing.T) {
	one, two := target("one", "a"), target("two", "a")
	b := balance.New(balance.Config{Zone: "a"})
	counts := map[string]int{}
	for range 12 { // None of these calls ends.
		picked, ok := b.Pick(now, bound(400*time.Millisecond), []feed.Target{one, two}, func() float64 { return 0.5 })
		require.True(t, ok)
		counts[picked.ID]++
	}
	require.Equal(t, 6, counts["one"])
}

// An upstream that has failed several times in a row is left out for a while,
// unless there is no other.
func TestFailingUpstreamIsLeftOut(t *testing.T) {
	good, bad := target("good", "a"), target("bad", "a")
	b := balance.New(balance.Config{Zone: "a"})
	for range 3 {
		b.Pick(now, bound(time.Second), []feed.Target{bad}, rand.Float64)
		b.Done(now, bad, balance.Result{Failed: true})
	}
	require.Equal(t, 300, picks(b, bound(time.Second), []feed.Target{good, bad})["good"])
	require.Equal(t, 300, picks(b, bound(time.Second), []feed.Target{bad})["bad"])
}
