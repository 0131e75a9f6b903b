package move_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

var start = time.Unix(7000, 0)

// runningMove returns a move of service s from v1 to v2, running for 10 minutes
// from start, at a share in thousandths.
func runningMove(share int) config.Move {
	return config.Move{Service: "s", From: "v1", To: "v2", Start: start, By: start.Add(10 * time.Minute), Share: share, State: config.MoveRunning}
}

// row returns call statistics of the running move. Calls that did not fail took
// 5 ms.
func row(version, route, host string, calls, failed int64) callstats.Row {
	r := callstats.Row{
		Key:   callstats.Key{Service: "s", Move: start.UnixMilli(), Version: version, Route: route, Host: host},
		Calls: calls, Failed: failed,
	}
	r.Latency[callstats.BucketOf(5*time.Millisecond)] = calls - failed
	return r
}

// readySlots gives the old and the new version as many ready slots each.
var readySlots = [2]int{9, 9}

// At the deadline, the policy decides for a move that is still at a small
// share. At the last share the move completes with either policy.
func TestMoveEndsAtDeadlineByPolicy(t *testing.T) {
	late := start.Add(10 * time.Minute)
	for _, test := range []struct {
		deadline string
		share    int
		want     config.MoveState
	}{
		{config.DeadlineFinish, 5, config.MoveDone},
		{config.DeadlineRollBack, 5, config.MoveRolledBack},
		{config.DeadlineFinish, 900, config.MoveDone},
		{config.DeadlineRollBack, 900, config.MoveDone},
	} {
		d := move.NewAnalyzer(move.Policy{}).Decide(late, runningMove(test.share), readySlots, test.deadline)
		require.Equal(t, test.want, d.State, "%v", test)
		require.NotEmpty(t, d.Reason)
	}
}

// Failures on a route with few calls must not be diluted by the good calls of a
// route with many.
func TestBadRouteIsDetectedAmongGoodTraffic(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	// The gains of a single interval are cut, so the calls come in four
	// intervals.
	for i := int64(1); i <= 4; i++ {
		analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(10), []callstats.Row{
			row("v1", "big", "a", 25000*i, 25*i), row("v2", "big", "b", 250*i, 0),
			row("v1", "small", "a", 250*i, 0), row("v2", "small", "b", 3*i, 2*i),
		})
	}
	d := analyzer.Decide(start.Add(4*time.Second), runningMove(10), readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State)
	require.Contains(t, d.Reason, "route small is failing: 8 of 12")
	require.Zero(t, d.Share)
}

// Failures that both versions have at the same rate are no evidence against the
// new one.
func TestFailuresOfBothVersionsDoNotRollBack(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	analyzer.Observe(start.Add(time.Second), runningMove(10), []callstats.Row{row("v1", "r", "a", 10000, 5000), row("v2", "r", "b", 100, 52)})
	require.Equal(t, config.MoveRunning, analyzer.Decide(start.Add(time.Second), runningMove(10), readySlots, config.DeadlineFinish).State)
}

// Failures of an earlier move of the same service must not roll back the
// present one.
func TestRowsOfEarlierMoveAreIgnored(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	old := row("v2", "r", "b", 100, 100)
	old.Move--
	analyzer.Observe(start.Add(time.Second), runningMove(10), []callstats.Row{row("v1", "r", "a", 10000, 0), old})
	require.Equal(t, config.MoveRunning, analyzer.Decide(start.Add(time.Second), runningMove(10), readySlots, config.DeadlineFinish).State)
}

// A daemon's counters restart from zero with it. Sums that fall are not
// evidence.
func TestFallingCountersAreIgnored(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	now := start
	for _, calls := range []int64{1000, 10, 2000} {
		now = now.Add(time.Second)
		analyzer.Observe(now, runningMove(500), []callstats.Row{row("v1", "r", "a", calls, calls/100), row("v2", "r", "b", calls, calls/100)})
	}
	require.Equal(t, config.MoveRunning, analyzer.Decide(now, runningMove(500), readySlots, config.DeadlineFinish).State)
}

// A running share without a ready upstream of the new version is rolled back.
// Before the first step the move waits for an upstream.
func TestMoveWithoutReadyUpstreamRollsBack(t *testing.T) {
	d := move.NewAnalyzer(move.Policy{}).Decide(start.Add(time.Second), runningMove(10), [2]int{9, 0}, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State)
	d = move.NewAnalyzer(move.Policy{}).Decide(start.Add(time.Second), runningMove(0), [2]int{9, 0}, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, "the new version has not been started yet")
	require.Zero(t, d.Share)
}

// A single daemon, which calls Regressed, needs stronger evidence than the
// source, which calls Decide.
func TestRegressedNeedsMoreEvidenceThanDecide(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	// The first interval of detection, for Regressed (true) and Decide (false).
	detectedAt := map[bool]int{}
	for i := int64(1); i < 12; i++ {
		now := start.Add(time.Duration(i) * time.Second)
		analyzer.Observe(now, runningMove(100), []callstats.Row{row("v1", "r", "a", 90*i, 0), row("v2", "r", "b", 10*i, i)})
		bad, _ := analyzer.Regressed()
		if analyzer.Decide(now, runningMove(100), readySlots, config.DeadlineFinish).State == config.MoveRolledBack && detectedAt[false] == 0 {
			detectedAt[false] = int(i)
		}
		if bad && detectedAt[true] == 0 {
			detectedAt[true] = int(i)
		}
	}
	require.NotZero(t, detectedAt[false])
	require.Greater(t, detectedAt[true], detectedAt[false])
}

// With little traffic most intervals hold calls of only one version. Their
// evidence must not be lost, but wait for calls of the other version.
func TestAlternatingCallsAreCompared(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	now := start
	var oldCalls, newCalls int64
	for i := range 40 {
		now = now.Add(time.Second)
		if i%2 == 0 {
			oldCalls++
		} else {
			newCalls++
		}
		analyzer.Observe(now, runningMove(500), []callstats.Row{row("v1", "r", "a", oldCalls, 0), row("v2", "r", "b", newCalls, newCalls)})
	}
	require.Equal(t, config.MoveRolledBack, analyzer.Decide(now, runningMove(500), readySlots, config.DeadlineFinish).State)
}

// Without calls, nothing is known of the new version. The share must not exceed
// the first step, however much time has passed.
func TestShareWaitsWithoutCalls(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	m := runningMove(0)
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		now := start.Add(elapsed)
		analyzer.Observe(now, m, nil)
		m.Share = analyzer.Decide(now, m, readySlots, config.DeadlineFinish).Share
		require.LessOrEqual(t, m.Share, 5, "after %v", elapsed)
	}
}

// However little traffic there is, a move must not begin with a large share.
func TestLittleTrafficBeginsWithBoundedShare(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	m := runningMove(0)
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		now := start.Add(elapsed)
		analyzer.Observe(now, m, []callstats.Row{row("v1", "r", "a", 1, 0)})
		m.Share = analyzer.Decide(now, m, readySlots, config.DeadlineFinish).Share
		require.LessOrEqual(t, m.Share, 200, "after %v", elapsed)
	}
}

// Failures on several routes add up to enough evidence where those of one route
// alone are not enough.
func TestEvidenceOfRoutesAddsUp(t *testing.T) {
	for _, test := range []struct {
		routes []string
		want   config.MoveState
	}{
		{[]string{"a"}, config.MoveRunning},
		{[]string{"a", "b", "c"}, config.MoveRolledBack},
	} {
		analyzer := move.NewAnalyzer(move.Policy{})
		for i := int64(1); i <= 3; i++ {
			var rows []callstats.Row
			for n, route := range test.routes {
				// Each route fails on a different host.
				rows = append(rows, row("v1", route, "a", 100*i, 0))
				for h, host := range []string{"b", "c", "d"} {
					failed := int64(0)
					if h == n {
						failed = min(i, 2)
					}
					rows = append(rows, row("v2", route, host, 2*i, failed))
				}
			}
			analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(50), rows)
		}
		d := analyzer.Decide(start.Add(3*time.Second), runningMove(50), readySlots, config.DeadlineFinish)
		require.Equal(t, test.want, d.State, "%d routes: %s", len(test.routes), d.Reason)
	}
}

// During the slow start of upstreams only failures are counted, so the first
// statistics may come from one bad host alone. The version must not be blamed
// for that host until the evidence is clear.
func TestSingleHostNeedsClearEvidence(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	for i := int64(1); i <= 2; i++ {
		analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, i),
		})
	}
	d := analyzer.Decide(start.Add(2*time.Second), runningMove(5), readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, d.Reason)
	require.Contains(t, d.Reason, "waits")
	for i := int64(3); i <= 6; i++ {
		analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, i),
		})
	}
	d = analyzer.Decide(start.Add(6*time.Second), runningMove(5), readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State, "a version with a single host is rolled back too")
}

// One failure on each of two hosts is as likely to be one bad host and an
// ordinary failure as a bad version.
func TestOneFailureOnSecondHostDoesNotRollBack(t *testing.T) {
	analyzer := move.NewAnalyzer(move.Policy{})
	for i := int64(1); i <= 2; i++ {
		analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, 1), row("v2", "r", "c", i, i-1),
		})
	}
	d := analyzer.Decide(start.Add(2*time.Second), runningMove(5), readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, d.Reason)
}

// observeHosts returns an analyzer of a move at half of the traffic that has observed
// the calls of one daemon for a minute: all calls of the new version on host a failed,
// and of the few on host b the given number.
func observeHosts(callsOnB, failedOnB int64) *move.Analyzer {
	analyzer := move.NewAnalyzer(move.Policy{})
	for i := int64(1); i <= 60; i++ {
		analyzer.Observe(start.Add(time.Duration(i)*time.Second), runningMove(500), []callstats.Row{
			row("v1", "r", "a", 10*i, 0), row("v2", "r", "a", 10*i, 10*i), row("v2", "r", "b", callsOnB, failedOnB),
		})
	}
	return analyzer
}

// A daemon sends nearly all its calls to the upstream beside it. If the few others
// failed, too, it need not wait for more of them to blame the version. A single good
// one leaves it open whether only that upstream is bad.
func TestFewFailedCallsElsewhereDoNotDelayRollback(t *testing.T) {
	bad, reason := observeHosts(3, 3).Regressed()
	require.True(t, bad, reason)
	bad, reason = observeHosts(3, 2).Regressed()
	require.False(t, bad, reason)
}

// A new leader forgot that the calls of the new version spoke against it, and took the next
// step after a few good calls.
func TestElectionKeepsDoubtsOfVersion(t *testing.T) {
	policy := limited
	policy.MinCalls, policy.FalsePositiveRate = 8, 1e-12 // The comparison alone does not end the move.
	m := exposedMove(90)
	observe := func(a *move.Analyzer, from time.Duration, calls, failed int64) move.Decision {
		var d move.Decision
		for i := range int64(6) {
			now := start.Add(from + time.Duration(i)*300*time.Millisecond)
			a.Observe(now, m, []callstats.Row{row("v1", "r", "a", 100*i, 0), row("v2", "r", "b", calls*i, failed*i)})
			d = a.Decide(now, m, readySlots, config.DeadlineRollBack)
		}
		return d
	}
	good := func() int { return observe(move.NewAnalyzer(policy), 8*time.Second, 3, 0).Share }
	require.Equal(t, 500, good(), "good calls alone")
	d := observe(move.NewAnalyzer(policy), 2*time.Second, 2, 1)
	require.Equal(t, config.MoveRunning, d.State)
	require.Contains(t, d.Reason, "waits")
	m.Reason = d.Reason
	require.Equal(t, 90, good(), "as many good calls after an election")
}

// A version that failed no calls under little load and many under load was proven because
// the old version failed as many all the time.
func TestVersionIsComparedWithItselfUnderLessLoad(t *testing.T) {
	policy := limited
	policy.MinCalls = 8
	a := move.NewAnalyzer(policy)
	m := exposedMove(90)
	var oldCalls, newCalls, newFailed int64
	step := func(at time.Duration, oldMore, newMore, failedMore int64) move.Decision {
		oldCalls, newCalls, newFailed = oldCalls+oldMore, newCalls+newMore, newFailed+failedMore
		now := start.Add(at)
		a.Observe(now, m, []callstats.Row{row("v1", "r", "a", oldCalls, oldCalls/5), row("v2", "r", "b", newCalls/2, newFailed/2), row("v2", "r", "c", newCalls-newCalls/2, newFailed-newFailed/2)})
		return a.Decide(now, m, readySlots, config.DeadlineRollBack)
	}
	for i := range 24 {
		step(time.Duration(i)*300*time.Millisecond, 50, 3, 0)
	}
	m.Share, m.Since = 500, start.Add(7400*time.Millisecond)
	for i := range 20 {
		d := step(7400*time.Millisecond+time.Duration(i)*300*time.Millisecond, 20, 20, 4)
		require.LessOrEqual(t, d.Share, 500, "as many fail as of the old version, but none did before")
	}
}

// Good calls prove a version under load only as long as it is under load.
func TestFewCallsProveNothingUnderLoad(t *testing.T) {
	policy := limited
	policy.MinCalls = 8
	for _, test := range []struct {
		newMore int64
		want    int
	}{{20, 900}, {2, 500}} {
		a := move.NewAnalyzer(policy)
		m := exposedMove(500)
		m.Since = start.Add(7400 * time.Millisecond)
		share := 0
		for i := range int64(15) {
			now := start.Add(7400*time.Millisecond + time.Duration(i)*300*time.Millisecond)
			a.Observe(now, m, []callstats.Row{row("v1", "r", "a", 20*i, 0), row("v2", "r", "b", test.newMore*i, 0)})
			share = max(share, a.Decide(now, m, readySlots, config.DeadlineRollBack).Share)
		}
		require.Equal(t, test.want, share)
	}
}
