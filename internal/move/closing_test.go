package move_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// closingPolicy lets moves end with a closing.
var closingPolicy = move.Policy{
	AlarmRate: 0.2, ExposedFraction: 0.1, ExposedCalls: 50,
	Closing: move.Closing{Fraction: 0.08, Calls: 0.5, MinTime: 900 * time.Millisecond, Verdict: 250 * time.Millisecond},
}

// closingRun makes the calls of a move of 14 s, 200 a second, and applies the decisions at
// once. The times are those after the start.
type closingRun struct {
	analyzer            *move.Analyzer
	move                config.Move
	at                  time.Duration
	oldCalls, newCalls  float64
	newFailed           float64
	failing             float64 // The fraction of the new version's calls that fail.
	perSecond           float64
	hasRare             bool // There is a route with 1.5 calls a second, which all fail.
	oldRare, newRare    float64
	shares              []int // In their order.
	closingAt, decision time.Duration
}

func newClosingRun() *closingRun {
	r := &closingRun{analyzer: move.NewAnalyzer(closingPolicy), move: runningMove(0), perSecond: 200}
	r.move.By = start.Add(14 * time.Second)
	return r
}

// until runs the move until a time, or its end.
func (r *closingRun) until(at time.Duration) {
	for ; r.at < at && r.move.State == config.MoveRunning; r.at += 100 * time.Millisecond {
		more := r.perSecond / 10
		newMore := more * float64(r.move.Share) / config.FullShare
		r.oldCalls, r.newCalls, r.newFailed = r.oldCalls+more-newMore, r.newCalls+newMore, r.newFailed+newMore*r.failing
		now := start.Add(r.at)
		if r.hasRare {
			newRare := 0.15 * min(1, 8*float64(r.move.Share)/config.FullShare)
			r.oldRare, r.newRare = r.oldRare+0.15-newRare, r.newRare+newRare
		}
		r.analyzer.Observe(now, r.move, []callstats.Row{
			row("v1", "rare", "a", int64(r.oldRare), int64(r.oldRare)), row("v2", "rare", "b", int64(r.newRare), int64(r.newRare)),
			row("v1", "r", "a", int64(r.oldCalls), 0),
			row("v2", "r", "b", int64(r.newCalls)/2, int64(r.newFailed)/2), row("v2", "r", "c", int64(r.newCalls)-int64(r.newCalls)/2, int64(r.newFailed)-int64(r.newFailed)/2),
		})
		d := r.analyzer.Decide(now, r.move, readySlots, config.DeadlineRollBack)
		if d.Share != r.move.Share && d.State == config.MoveRunning {
			r.shares = append(r.shares, d.Share)
			r.move.Since = now
			if d.Share == config.FullShare {
				r.closingAt = r.at
			}
		}
		r.move.Share, r.move.State, r.move.Reason, r.decision = d.Share, d.State, d.Reason, r.at
	}
}

// A good version gets a small share, a larger one, and then all calls, which fit its limit
// up to the deadline.
func TestClosingOfGoodVersion(t *testing.T) {
	r := newClosingRun()
	r.until(15 * time.Second)
	require.Equal(t, config.MoveDone, r.move.State, r.move.Reason)
	require.Len(t, r.shares, 3)
	require.Less(t, r.shares[0], r.shares[1])
	require.Less(t, r.shares[1], 100)
	require.Less(t, r.decision, 14*time.Second)
	require.GreaterOrEqual(t, 14*time.Second-r.decision, 200*time.Millisecond)
	untilDeadline := r.newCalls + r.perSecond*(14*time.Second-r.decision).Seconds()
	require.LessOrEqual(t, untilDeadline, 0.1*14*r.perSecond+50)
}

// A version that fails from some time on is rolled back, at its small share or in the
// closing.
func TestClosingOfFailingVersion(t *testing.T) {
	for _, from := range []time.Duration{0, 9 * time.Second, 12 * time.Second, 12900 * time.Millisecond} {
		r := newClosingRun()
		r.until(from)
		r.failing = 0.32
		r.until(15 * time.Second)
		require.Equal(t, config.MoveRolledBack, r.move.State, "%v: %s", from, r.move.Reason)
		require.Less(t, r.newCalls, 0.1*14*r.perSecond+50, "%v", from)
	}
}

// The calls that were counted shortly before the verdict had no part in it.
func TestVerdictTakesAllCallsIntoAccount(t *testing.T) {
	for _, length := range []time.Duration{14 * time.Second, 14100 * time.Millisecond, 14200 * time.Millisecond} {
		r := newClosingRun()
		r.move.By = start.Add(length)
		r.until(length - 300*time.Millisecond)
		require.Equal(t, config.MoveRunning, r.move.State)
		r.failing = 0.32
		r.until(length)
		require.Equal(t, config.MoveRolledBack, r.move.State, "%v: %s", length, r.move.Reason)
	}
}

// A good version was rolled back because of a route with few calls that fail with both
// versions.
func TestRouteThatAlwaysFailsDoesNotStopGoodVersion(t *testing.T) {
	for _, length := range []time.Duration{12 * time.Second, 14 * time.Second, 16 * time.Second} {
		r := newClosingRun()
		r.hasRare, r.move.By = true, start.Add(length)
		r.until(length)
		require.Equal(t, config.MoveDone, r.move.State, "%v, %v calls of %v: %s", length, r.newRare, r.oldRare+r.newRare, r.move.Reason)
	}
}

// The closing must not begin if the new version could go past its limit in it: the traffic
// has grown meanwhile.
func TestClosingWaitsUntilCallsFitLimit(t *testing.T) {
	r := newClosingRun()
	r.until(12500 * time.Millisecond)
	r.perSecond = 800
	r.until(15 * time.Second)
	require.Equal(t, config.MoveRolledBack, r.move.State)
	require.Zero(t, r.closingAt)
	require.Less(t, r.newCalls, 330.0)
}

// The closing is interrupted if the traffic grows in it.
func TestClosingEndsWhenTrafficGrows(t *testing.T) {
	r := newClosingRun()
	r.until(13 * time.Second)
	require.Equal(t, config.FullShare, r.move.Share)
	r.perSecond = 800
	r.until(15 * time.Second)
	require.Equal(t, config.MoveRolledBack, r.move.State, r.move.Reason)
	require.Less(t, r.newCalls, 0.1*(13*200+800)+50)
}

// A leader that is elected in the closing, and has no calls to judge by, rolls back.
func TestElectionInClosing(t *testing.T) {
	r := newClosingRun()
	r.until(13200 * time.Millisecond)
	require.Equal(t, config.FullShare, r.move.Share)
	d := move.NewAnalyzer(closingPolicy).Decide(start.Add(13700*time.Millisecond), r.move, readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRunning, d.State)
	d = move.NewAnalyzer(closingPolicy).Decide(start.Add(13800*time.Millisecond), r.move, readySlots, config.DeadlineFinish)
	require.Equal(t, config.MoveRolledBack, d.State)
}

// A daemon that loses touch in the closing soon returns to a small share.
func TestClosingEndsWithoutContact(t *testing.T) {
	m := exposedMove(config.FullShare)
	e := move.NewExposure(closingPolicy, func() float64 { return 0 })
	contact := start.Add(15 * time.Second)
	sent := 0
	for i := range 200 {
		version, _ := e.Choose(contact.Add(time.Duration(i)*100*time.Millisecond), m, "r", move.Knowledge{OldReady: true, NewReady: true, Contact: contact})
		e.Record(m, version, true, true)
		if version == "v2" {
			sent++
		}
	}
	require.InDelta(t, 31, sent, 3, "10 calls a second for the 3 s after the contact")
}

// A service without calls keeps its move from its closing.
func TestClosingNeedsCalls(t *testing.T) {
	r := newClosingRun()
	r.perSecond = 0
	r.until(15 * time.Second)
	require.Equal(t, config.MoveRolledBack, r.move.State)
	for _, share := range r.shares {
		require.Less(t, share, 100)
	}
}
