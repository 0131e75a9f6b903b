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

// splitRoute returns a route whose calls are shared between two services.
func splitRoute(t *testing.T, weights ...float64) *expand.Route {
	t.Helper()
	w := config.Config{Version: 1}
	route := config.HostRoute{
		Name: "r", Host: "h", Prefix: "/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second), Attempts: 1,
	}
	for i, weight := range weights {
		name := string(rune('a' + i))
		w.Services = append(w.Services, config.Service{Name: name, Deadline: config.DeadlineRollBack})
		route.Split = append(route.Split, config.Destination{Service: name, Weight: weight})
	}
	w.Routes = []config.HostRoute{route}
	objects, err := w.Objects()
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

// Any run of calls is shared to within one call for each service, and no
// service without weight gets any; over many daemons the beginnings differ.
func TestSplitIsExact(t *testing.T) {
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
	require.InDelta(t, 100, first["b"], 40, "beginnings follow the weights")
}

// A changed weight takes effect at once.
func TestSplitFollowsItsRoute(t *testing.T) {
	var s splitter
	draw := func() float64 { return 0 }
	s.pick(splitRoute(t, 1, 1), draw)
	counts := map[string]int{}
	r := splitRoute(t, 0, 1)
	for range 10 {
		counts[s.pick(r, draw)]++
	}
	require.Equal(t, map[string]int{"b": 10}, counts)
}

// The retries of all daemons together stay within the slack and the part that
// calls earn, in every window, however many daemons there are.
func TestRetriesStayWithinTheFleetsBudget(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 60} {
		p := RetryPolicy{Ratio: 0.1, FleetBurst: 28}.withDefaults()
		budgets := make([]retryBudgets, daemons)
		calls, retries := 0, 0
		for range 100 {
			for i := range budgets {
				calls++
				budgets[i].deposit("s", p.Ratio, p.burst(daemons))
				if budgets[i].withdraw("s", p.burst(daemons)) {
					retries++
				}
			}
			// A daemon that saves up for one retry holds it for more calls than
			// the rule's window has.
			most := max(28, float64(daemons)) + 0.1*float64(calls)
			require.LessOrEqual(t, float64(retries), most, "%d daemons", daemons)
		}
		require.Greater(t, float64(retries), 0.05*float64(calls), "%d daemons", daemons)
	}
}

// Services have budgets of their own.
func TestRetryBudgetsAreByService(t *testing.T) {
	var b retryBudgets
	require.True(t, b.withdraw("a", 1))
	require.False(t, b.withdraw("a", 1))
	require.True(t, b.withdraw("b", 1))
}

// A caller that comes back is known by its shorter patience.
func TestElapsed(t *testing.T) {
	var p timeoutTracker
	require.Zero(t, p.elapsed("r", 1500*time.Millisecond))
	require.Zero(t, p.elapsed("r", 1480*time.Millisecond))
	require.InDelta(t, 500*time.Millisecond, p.elapsed("r", time.Second), float64(20*time.Millisecond))
	require.Zero(t, p.elapsed("other", time.Second))
	require.Zero(t, p.elapsed("r", 0), "a caller that does not say")
	for range 2000 {
		p.elapsed("r", time.Second)
	}
	require.Zero(t, p.elapsed("r", time.Second), "callers have become less patient")
}

// A call that may have run is never told not to have run because of what became
// of later tries.
func TestEarlierKeepsWhatIsNotKnown(t *testing.T) {
	unknown := call.UnknownError(call.ReasonBroken)
	require.Equal(t, call.ExecutionUnknown, earlier(unknown, call.NotExecutedError(call.ReasonShed)).Execution)
	soon, late := call.NotExecutedError(call.ReasonShed), call.NotExecutedError(call.ReasonShed)
	soon.RetryAfter, late.RetryAfter = time.Second, 2*time.Second
	require.Equal(t, 2*time.Second, earlier(call.NotExecutedError(call.ReasonShed), late).RetryAfter)
	require.Equal(t, time.Second, earlier(soon, late).RetryAfter)
}
