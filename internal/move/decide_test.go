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

func running(share int) config.Move {
	return config.Move{Service: "s", From: "v1", To: "v2", Start: start, By: start.Add(10 * time.Minute), Share: share, State: config.MoveRunning}
}

func row(version, route, host string, calls, failed int64) callstats.Row {
	r := callstats.Row{
		Key:   callstats.Key{Service: "s", Move: start.UnixMilli(), Version: version, Route: route, Host: host},
		Calls: calls, Failed: failed,
	}
	r.Latency[callstats.BucketOf(5*time.Millisecond)] = calls - failed
	return r
}

var slots = [2]int{9, 9}

func TestDeadlineFollowsThePolicy(t *testing.T) {
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
		d := move.NewAnalyzer(move.Policy{}).Decide(late, running(test.share), slots, test.deadline)
		require.Equal(t, test.want, d.State, "%v", test)
		require.NotEmpty(t, d.Reason)
	}
}

func TestBadOnOneRouteIsNotDiluted(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	// One interval alone is not believed, so the calls come in four.
	for i := int64(1); i <= 4; i++ {
		j.Observe(start.Add(time.Duration(i)*time.Second), running(10), []callstats.Row{
			row("v1", "big", "a", 25000*i, 25*i), row("v2", "big", "b", 250*i, 0),
			row("v1", "small", "a", 250*i, 0), row("v2", "small", "b", 3*i, 2*i),
		})
	}
	d := j.Decide(start.Add(4*time.Second), running(10), slots, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State)
	require.Contains(t, d.Reason, "route small is failing: 8 of 12")
	require.Zero(t, d.Share)
}

func TestSharedFailureSpeaksAgainstNeither(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	j.Observe(start.Add(time.Second), running(10), []callstats.Row{row("v1", "r", "a", 10000, 5000), row("v2", "r", "b", 100, 52)})
	require.Equal(t, config.MoveRunning, j.Decide(start.Add(time.Second), running(10), slots, config.DeadlineFinish).State)
}

// Evidence of an earlier move of the same service says nothing.
func TestEarlierMoveIsPassedOver(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	old := row("v2", "r", "b", 100, 100)
	old.Move--
	j.Observe(start.Add(time.Second), running(10), []callstats.Row{row("v1", "r", "a", 10000, 0), old})
	require.Equal(t, config.MoveRunning, j.Decide(start.Add(time.Second), running(10), slots, config.DeadlineFinish).State)
}

// A daemon that starts anew counts from zero; sums that fall say nothing.
func TestFallingSumsSayNothing(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	now := start
	for _, calls := range []int64{1000, 10, 2000} {
		now = now.Add(time.Second)
		j.Observe(now, running(500), []callstats.Row{row("v1", "r", "a", calls, calls/100), row("v2", "r", "b", calls, calls/100)})
	}
	require.Equal(t, config.MoveRunning, j.Decide(now, running(500), slots, config.DeadlineFinish).State)
}

func TestNoUpstreamLeft(t *testing.T) {
	d := move.NewAnalyzer(move.Policy{}).Decide(start.Add(time.Second), running(10), [2]int{9, 0}, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State)
	d = move.NewAnalyzer(move.Policy{}).Decide(start.Add(time.Second), running(0), [2]int{9, 0}, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, "the new version has not been started yet")
	require.Zero(t, d.Share)
}

// One daemon alone needs stronger evidence than the source.
func TestBrakeNeedsMore(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	seen := map[bool]int{}
	for i := int64(1); i < 12; i++ {
		now := start.Add(time.Duration(i) * time.Second)
		j.Observe(now, running(100), []callstats.Row{row("v1", "r", "a", 90*i, 0), row("v2", "r", "b", 10*i, i)})
		bad, _ := j.Regressed()
		if j.Decide(now, running(100), slots, config.DeadlineFinish).State == config.MoveRolledBack && seen[false] == 0 {
			seen[false] = int(i)
		}
		if bad && seen[true] == 0 {
			seen[true] = int(i)
		}
	}
	require.NotZero(t, seen[false])
	require.Greater(t, seen[true], seen[false])
}

// With little traffic most intervals hold calls of one version only. Their
// evidence waits for the other's.
func TestLittleTrafficCounts(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	now := start
	var old, fresh int64
	for i := range 40 {
		now = now.Add(time.Second)
		if i%2 == 0 {
			old++
		} else {
			fresh++
		}
		j.Observe(now, running(500), []callstats.Row{row("v1", "r", "a", old, 0), row("v2", "r", "b", fresh, fresh)})
	}
	require.Equal(t, config.MoveRolledBack, j.Decide(now, running(500), slots, config.DeadlineFinish).State)
}

// While no evidence comes, the share follows the ladder and its times alone.
func TestNoEvidenceDoesNotRaiseTheShare(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	m := running(0)
	for passed := time.Duration(0); passed < time.Minute; passed += time.Second {
		now := start.Add(passed)
		j.Observe(now, m, nil)
		m.Share = j.Decide(now, m, slots, config.DeadlineFinish).Share
		require.LessOrEqual(t, m.Share, 5, "after %v", passed)
	}
}

// However little traffic there is, a move does not begin with a large share.
func TestLittleTrafficBeginsSmall(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	m := running(0)
	for passed := time.Duration(0); passed < time.Minute; passed += time.Second {
		now := start.Add(passed)
		j.Observe(now, m, []callstats.Row{row("v1", "r", "a", 1, 0)})
		m.Share = j.Decide(now, m, slots, config.DeadlineFinish).Share
		require.LessOrEqual(t, m.Share, 200, "after %v", passed)
	}
}

// Failures on several routes add up: none of them alone would be enough.
func TestRoutesAddUp(t *testing.T) {
	for _, test := range []struct {
		routes []string
		want   config.MoveState
	}{
		{[]string{"a"}, config.MoveRunning},
		{[]string{"a", "b", "c"}, config.MoveRolledBack},
	} {
		j := move.NewAnalyzer(move.Policy{})
		for i := int64(1); i <= 3; i++ {
			var rows []callstats.Row
			for n, route := range test.routes {
				// Each route's failure is on another host.
				rows = append(rows, row("v1", route, "a", 100*i, 0))
				for h, host := range []string{"b", "c", "d"} {
					failed := int64(0)
					if h == n {
						failed = min(i, 2)
					}
					rows = append(rows, row("v2", route, host, 2*i, failed))
				}
			}
			j.Observe(start.Add(time.Duration(i)*time.Second), running(50), rows)
		}
		d := j.Decide(start.Add(3*time.Second), running(50), slots, config.DeadlineFinish)
		require.Equal(t, test.want, d.State, "%d routes: %s", len(test.routes), d.Reason)
	}
}

// While an upstream warms up only its failures count, so that at first the
// evidence may know of one bad host alone. That host is not the version.
func TestFirstHostSeenIsNotTheVersion(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	for i := int64(1); i <= 2; i++ {
		j.Observe(start.Add(time.Duration(i)*time.Second), running(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, i),
		})
	}
	d := j.Decide(start.Add(2*time.Second), running(5), slots, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, d.Reason)
	require.Contains(t, d.Reason, "waits")
	for i := int64(3); i <= 6; i++ {
		j.Observe(start.Add(time.Duration(i)*time.Second), running(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, i),
		})
	}
	d = j.Decide(start.Add(6*time.Second), running(5), slots, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State, "a version with a single host can be taken back too")
}

// One failure on each of two hosts is a bad host and an ordinary failure as
// likely as a bad version.
func TestOneOrdinaryFailureIsNoProof(t *testing.T) {
	j := move.NewAnalyzer(move.Policy{})
	for i := int64(1); i <= 2; i++ {
		j.Observe(start.Add(time.Duration(i)*time.Second), running(5), []callstats.Row{
			row("v1", "r", "a", 300*i, 0), row("v2", "r", "b", i, 1), row("v2", "r", "c", i, i-1),
		})
	}
	d := j.Decide(start.Add(2*time.Second), running(5), slots, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State, d.Reason)
}
