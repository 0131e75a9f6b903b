package caller

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// splitRoute returns a route whose destinations are services a, b, c and so on,
// with the given weights.
func splitRoute(t *testing.T, weights ...float64) *expand.Route {
	t.Helper()
	c := config.Config{Version: 1}
	route := config.HostRoute{
		Name: "r", Host: "h", Prefix: "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second), Attempts: 1,
	}
	for i, weight := range weights {
		name := string(rune('a' + i))
		c.Services = append(c.Services, config.Service{Name: name, Deadline: config.DeadlineRollBack})
		route.Split = append(route.Split, config.Destination{Service: name, Weight: weight})
	}
	c.Routes = []config.HostRoute{route}
	objects, err := c.Objects()
	require.NoError(t, err)
	byKey := map[config.Key]config.Object{}
	for _, o := range objects {
		byKey[o.Key] = o
	}
	var b expand.Builder
	table, err := b.Build(1, byKey)
	require.NoError(t, err)
	r, ok := table.MatchHost("h", "/")
	require.True(t, ok)
	return r
}

// Each service gets its share of any sequence of calls to within one call, and
// a service without weight gets none. The first services differ between
// daemons, in proportion to the weights.
func TestSplitFollowsWeightsExactly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := splitRoute(t, 90, 10, 0)
	first := map[string]int{}
	for range 1000 {
		var s splitter
		counts := map[string]int{}
		for i := range 200 {
			service := s.pick(r, random.Float64)
			if i == 0 {
				first[service]++
			}
			counts[service]++
			require.InDelta(t, 0.9*float64(i+1), counts["a"], 1.01)
		}
		require.Zero(t, counts["c"])
	}
	require.InDelta(t, 100, first["b"], 40, "the first services follow the weights")
}

// A changed weight takes effect at once.
func TestSplitFollowsChangedWeights(t *testing.T) {
	var s splitter
	random := func() float64 { return 0 }
	s.pick(splitRoute(t, 1, 1), random)
	counts := map[string]int{}
	r := splitRoute(t, 0, 1)
	for range 10 {
		counts[s.pick(r, random)]++
	}
	require.Equal(t, map[string]int{"b": 10}, counts)
}

// The retries of all daemons together stay within the fleet's burst and the
// deposits of the calls, in every window and for any number of daemons.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 60} {
		p := RetryPolicy{Ratio: 0.1, FleetBurst: 28}.withDefaults()
		budgets := make([]retryBudgets, daemons)
		calls, retries := 0, 0
		for range 100 {
			for i := range budgets {
				calls++
				budgets[i].deposit("s", p.Ratio, p.burstFor(daemons))
				if budgets[i].withdraw("s", p.burstFor(daemons)) {
					retries++
				}
			}
			// A daemon whose share of the burst is less than one saves up
			// for one retry, over more calls than the window of the retry
			// rule has.
			maxRetries := max(28, float64(daemons)) + 0.1*float64(calls)
			require.LessOrEqual(t, float64(retries), maxRetries, "%d daemons", daemons)
		}
		require.Greater(t, float64(retries), 0.05*float64(calls), "%d daemons", daemons)
	}
}

// Daemons that restart together know no others at first, and each took the burst of the
// whole fleet.
func TestRestartedDaemonsShareRetryBurst(t *testing.T) {
	p := RetryPolicy{Ratio: 0.1, FleetBurst: 28}.withDefaults()
	calls, retries := 0, 0
	for range 2 { // Two restarts of all.
		for range 9 {
			var b retryBudgets
			for range 20 {
				calls++
				b.deposit("s", p.Ratio, p.burstFor(1))
				if b.withdraw("s", p.burstFor(1)) {
					retries++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(retries), 28+0.1*float64(calls))
}

// Retries to one service don't use up the budget of another.
func TestRetryBudgetsAreSeparateByService(t *testing.T) {
	var b retryBudgets
	require.True(t, b.withdraw("a", 1))
	require.False(t, b.withdraw("a", 1))
	require.True(t, b.withdraw("b", 1))
}

// A caller that retries is recognised by its shorter timeout. A caller without
// a timeout, or callers that all wait less than before, must not be taken for
// retries.
func TestElapsedTimeOfRetryingCaller(t *testing.T) {
	var tracker timeoutTracker
	require.Zero(t, tracker.elapsed("r", 1500*time.Millisecond))
	require.Zero(t, tracker.elapsed("r", 1480*time.Millisecond))
	require.InDelta(t, 500*time.Millisecond, tracker.elapsed("r", time.Second), float64(20*time.Millisecond))
	require.Zero(t, tracker.elapsed("other", time.Second))
	require.Zero(t, tracker.elapsed("r", 0), "a caller without a timeout")
	for range 2000 {
		tracker.elapsed("r", time.Second)
	}
	require.Zero(t, tracker.elapsed("r", time.Second), "the timeouts of all callers have become shorter")
}

// A call that may have been executed must not be reported as not executed
// because a later attempt was rejected. The shortest retry-after is kept.
func TestMergeErrorsKeepsUnknownExecution(t *testing.T) {
	unknown := call.UnknownError(call.ReasonBroken)
	require.Equal(t, call.ExecutionUnknown, mergeErrors(unknown, call.NotExecutedError(call.ReasonShed)).Execution)
	sooner, later := call.NotExecutedError(call.ReasonShed), call.NotExecutedError(call.ReasonShed)
	sooner.RetryAfter, later.RetryAfter = time.Second, 2*time.Second
	require.Equal(t, 2*time.Second, mergeErrors(call.NotExecutedError(call.ReasonShed), later).RetryAfter)
	require.Equal(t, time.Second, mergeErrors(sooner, later).RetryAfter)
}
