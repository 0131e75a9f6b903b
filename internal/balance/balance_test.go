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

func withObjective(objective time.Duration) balance.Query {
	return balance.Query{Objective: objective, HasObjective: true}
}

// reportLoad ends a call with a load report of the target.
func reportLoad(b *balance.Balancer, t feed.Target, running, queued int, service time.Duration) {
	b.Done(now, t, balance.Result{Load: call.Load{Running: running, Queued: queued, Limit: 6, Service: service}})
}

// countPicks counts the choices for 300 calls that end at once, by upstream.
func countPicks(b *balance.Balancer, q balance.Query, targets []feed.Target) map[string]int {
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

// An upstream whose host acknowledges nothing is ejected after one failed call.
func TestUnresponsiveHostIsEjectedAtOnce(t *testing.T) {
	unresponsive, healthy := target("unresponsive", "a"), target("healthy", "a")
	b := balance.New(balance.Config{Zone: "a"})
	b.Done(now, unresponsive, balance.Result{Failed: true, Unresponsive: true})
	require.Equal(t, map[string]int{"healthy": 300}, countPicks(b, withObjective(time.Second), []feed.Target{unresponsive, healthy}))
}

// An upstream that fails a third of its calls is avoided while others have
// room, even by a daemon that has not seen it fail. It is tried again later.
func TestUpstreamWithReportedFailuresIsAvoided(t *testing.T) {
	failing, healthy := target("failing", "a"), target("healthy", "a")
	both := []feed.Target{failing, healthy}
	b := balance.New(balance.Config{Zone: "a"})
	reportLoad(b, healthy, 2, 0, 50*time.Millisecond)
	b.Done(now, failing, balance.Result{Load: call.Load{Running: 0, Limit: 6, Service: 50 * time.Millisecond, Failing: 333}})
	require.Zero(t, countPicks(b, withObjective(time.Second), both)["failing"])
	b.Done(now.Add(-time.Minute), failing, balance.Result{Load: call.Load{Running: 0, Limit: 6, Service: 50 * time.Millisecond, Failing: 333}})
	require.NotZero(t, countPicks(b, withObjective(time.Second), both)["failing"])
}

// Calls stay in their data centre while they can meet their objective there, and
// leave it if the wait there would miss the objective.
func TestCallsLeaveZoneIfObjectiveWouldBeMissed(t *testing.T) {
	local, remote := target("local", "a"), target("remote", "b")
	both := []feed.Target{local, remote}
	b := balance.New(balance.Config{Zone: "a"})
	b.Pick(now, withObjective(time.Second), []feed.Target{local}, rand.Float64)
	b.Pick(now, withObjective(time.Second), []feed.Target{remote}, rand.Float64)
	reportLoad(b, local, 5, 0, 150*time.Millisecond)
	reportLoad(b, remote, 1, 0, 150*time.Millisecond)
	require.Equal(t, 300, countPicks(b, withObjective(600*time.Millisecond), both)["local"])

	b = balance.New(balance.Config{Zone: "a"})
	b.Pick(now, withObjective(time.Second), []feed.Target{local}, rand.Float64)
	b.Pick(now, withObjective(time.Second), []feed.Target{remote}, rand.Float64)
	reportLoad(b, local, 6, 18, 150*time.Millisecond)
	reportLoad(b, remote, 1, 0, 150*time.Millisecond)
	require.Equal(t, 300, countPicks(b, withObjective(600*time.Millisecond), both)["remote"])
}

// A slow upstream gets fewer calls than its slots would allow.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	fast, slow := target("fast", "a"), target("slow", "a")
	b := balance.New(balance.Config{Zone: "a"})
	for _, upstream := range []feed.Target{fast, slow} {
		b.Pick(now, withObjective(time.Second), []feed.Target{upstream}, rand.Float64)
	}
	reportLoad(b, fast, 3, 0, 100*time.Millisecond)
	reportLoad(b, slow, 0, 0, 800*time.Millisecond)
	require.Greater(t, countPicks(b, withObjective(400*time.Millisecond), []feed.Target{fast, slow})["fast"], 290)
}

// Calls of this daemon in flight add to the load that other daemons report, and
// are not counted twice.
func TestOwnCallsInFlightAreCounted(t *testing.T) {
	one, two := target("one", "a"), target("two", "a")
	b := balance.New(balance.Config{Zone: "a"})
	counts := map[string]int{}
	for range 12 { // None of these calls ends.
		picked, ok := b.Pick(now, withObjective(400*time.Millisecond), []feed.Target{one, two}, func() float64 { return 0.5 })
		require.True(t, ok)
		counts[picked.ID]++
	}
	require.Equal(t, 6, counts["one"])
}

// Callers that leave ejected the upstreams that were at work for them.
func TestAbandonedCallsEjectNoUpstream(t *testing.T) {
	one, other := target("one", "a"), target("other", "a")
	b := balance.New(balance.Config{Zone: "a"})
	for range 9 {
		b.Pick(now, withObjective(time.Second), []feed.Target{one}, rand.Float64)
		b.Done(now, one, balance.Result{Failed: true, Abandoned: true})
	}
	require.NotZero(t, countPicks(b, withObjective(time.Second), []feed.Target{one, other})["one"])
}

// An upstream that fails three times in a row is ejected for a while, unless
// there is no other.
func TestUpstreamFailingRepeatedlyIsEjected(t *testing.T) {
	healthy, failing := target("healthy", "a"), target("failing", "a")
	b := balance.New(balance.Config{Zone: "a"})
	for range 3 {
		b.Pick(now, withObjective(time.Second), []feed.Target{failing}, rand.Float64)
		b.Done(now, failing, balance.Result{Failed: true})
	}
	require.Equal(t, 300, countPicks(b, withObjective(time.Second), []feed.Target{healthy, failing})["healthy"])
	require.Equal(t, 300, countPicks(b, withObjective(time.Second), []feed.Target{failing})["failing"])
}
