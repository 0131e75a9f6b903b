package move_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// alarmPolicy rolls back by the alarm alone: the comparison needs more evidence than the
// tests below give it.
var alarmPolicy = move.Policy{AlarmRate: 0.2, FalsePositiveRate: 1e-300}

// failingCalls describes the calls of a second: of both versions, and the failed ones.
type failingCalls struct{ old, oldFailed, new, newFailed int64 }

// decideAfter returns the decision on a move at half of the traffic after the given
// seconds of calls.
func decideAfter(seconds []failingCalls) move.Decision {
	analyzer := move.NewAnalyzer(alarmPolicy)
	var sum failingCalls
	var now time.Time
	for i, s := range seconds {
		sum.old, sum.oldFailed = sum.old+s.old, sum.oldFailed+s.oldFailed
		sum.new, sum.newFailed = sum.new+s.new, sum.newFailed+s.newFailed
		now = start.Add(time.Duration(i) * time.Second)
		analyzer.Observe(now, runningMove(500), []callstats.Row{
			row("v1", "r", "a", sum.old, sum.oldFailed), row("v2", "r", "b", sum.new, sum.newFailed),
		})
	}
	return analyzer.Decide(now, runningMove(500), readySlots, config.DeadlineRollBack)
}

// The alarm was silent for good once the old version had failed one call in 15.
func TestAlarmHearsFaultBesideOldVersionsFailures(t *testing.T) {
	seconds := []failingCalls{{50, 5, 50, 5}, {50, 5, 50, 5}, {50, 5, 50, 25}, {50, 5, 50, 25}}
	require.Equal(t, config.MoveRolledBack, decideAfter(seconds).State)
}

// A good version was rolled back when a dependency of both versions began to fail.
func TestAlarmIgnoresFaultThatBothVersionsShare(t *testing.T) {
	calm := failingCalls{50, 0, 50, 0}
	shared := failingCalls{50, 15, 50, 15}
	seconds := []failingCalls{calm, calm, calm, calm, calm, calm, calm, calm, calm, calm, shared, shared}
	require.Equal(t, config.MoveRunning, decideAfter(seconds).State)
}

// A good version was rolled back if more of its calls than of the old version's were on a
// route on which both fail often.
func TestAlarmComparesVersionsOnEachRoute(t *testing.T) {
	analyzer := move.NewAnalyzer(alarmPolicy)
	var now time.Time
	for i := range int64(4) {
		now = start.Add(time.Duration(i) * time.Second)
		analyzer.Observe(now, runningMove(500), []callstats.Row{
			row("v1", "often", "a", i*90, 0), row("v1", "seldom", "a", i*10, i*6),
			row("v2", "often", "b", i*50, 0), row("v2", "seldom", "b", i*50, i*30),
		})
	}
	require.Equal(t, config.MoveRunning, analyzer.Decide(now, runningMove(500), readySlots, config.DeadlineRollBack).State)
}
