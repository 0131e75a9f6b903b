package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Calls to a new upstream, and those that an upstream rejected, were missing from the calls
// that count against the limit of a new version.
func TestAllCallsOfNewVersionAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	route := splitRoute(t, 1)
	rejected := call.NotExecutedError(call.ReasonShed)
	rejected.FromUpstream = true
	for _, test := range []struct {
		name                 string
		age                  time.Duration // Of the upstream.
		left                 time.Duration // Until the deadline.
		response             *upstream.Response
		err                  error
		calls, failed, timed int64
	}{
		{"a response", time.Minute, time.Second, &upstream.Response{Status: 200}, nil, 1, 0, 1},
		{"a response of a new upstream", time.Second, time.Second, &upstream.Response{Status: 200}, nil, 1, 0, 0},
		{"a failure of a new upstream", time.Second, time.Second, &upstream.Response{Status: 500}, nil, 1, 1, 0},
		{"a rejection by the upstream", time.Minute, time.Second, nil, rejected, 1, 0, 0},
		{"a lost response", time.Minute, time.Second, nil, call.UnknownError(call.ReasonBroken), 1, 1, 0},
		{"a caller that left early", time.Minute, 3 * time.Second, nil, call.UnknownError(call.ReasonCallerLeft), 1, 0, 0},
		{"a caller that left late", time.Minute, time.Second, nil, call.UnknownError(call.ReasonCallerLeft), 1, 1, 0},
		{"a call that did not reach the upstream", time.Minute, time.Second, nil, call.NotExecutedError(call.ReasonShed), 0, 0, 0},
	} {
		counter := callstats.NewCounter("d", 1)
		p := New(Config{
			Clock: func() time.Time { return now }, Random: func() float64 { return 0 }, Counters: &count.Set{},
			CallStats: counter, Hub: feed.NewHub(feed.HubConfig{Host: "d", Instance: 1}),
		})
		running := config.Move{Service: "a", From: "v1", To: "v2", Start: now.Add(-time.Minute), State: config.MoveRunning}
		target := feed.Target{Upstream: directory.Upstream{Service: "a", Version: "v2", Since: now.Add(-test.age)}, Host: "h"}
		p.recordAttempt(&routedCall{route: route, service: "a", body: &callBody{}, started: now.Add(-2 * time.Second), deadline: now.Add(test.left)}, now, target, &running, test.response, test.err)
		var sum callstats.Row
		for _, row := range counter.Report().Rows {
			sum = row
		}
		timed := int64(0)
		for _, n := range sum.Latency {
			timed += n
		}
		require.Equal(t, []int64{test.calls, test.failed, test.timed}, []int64{sum.Calls, sum.Failed, timed}, test.name)
	}
}
